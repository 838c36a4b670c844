"""Specification of rows that hubs relay: no change is missed, no version decreases.

Describes `guavajunction.fleet`: `ReadRows` and `RelayedRows` of `_relayed_rows`,
`_relay.Relay` and `_relayed_feed.RelayedFeed`.

The store's history is fixed: one row is written, changed, changed back and deleted,
then another row is written. Two hubs read the store at any time and send notices of
the changes since their previous read. A follower follows one hub, switches to the
other, or reads the store itself. If the store does not answer it, it requests newer
rows from either hub. Notices may be lost. A hub that restarts has no rows and reads all
of them from the store.

In the other history the store comes back from an older copy. The model numbers all
versions of both eras in the order of time, as positions do.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

HISTORY = (("x", 1), ("x", 2), ("x", 1), ("x", None), ("y", 1))
"""The change that leads to each version from 1."""
RETURN = "return"
"""Key of a change by which the store comes back from the copy of its value."""
ERA_HISTORY = (("x", 1), ("y", 1), ("x", 2), (RETURN, 1), ("z", 1), ("y", 2))
"""The same with a return."""
UNREAD = -1
"""Version of a hub or follower before its first read."""
HUBS = (0, 1)


class Rules(NamedTuple):
    """Rules of the protocol. Tests disable one at a time to show that it is needed."""

    requires_continuity: bool = True
    """Whether a notice is applied only if no change before it is missing."""
    rejects_older_answers: bool = True
    """Whether a hub's full set of rows is rejected if the follower's is newer."""
    requires_hub_rows: bool = True
    """Whether notices are applied only to rows that came from the same hub."""
    rejects_older_peers: bool = True
    """Whether rows requested in an outage are rejected unless they are newer."""
    peer_rows_end_following: bool = True
    """Whether all rows of the followed hub are needed again after such rows."""
    store_returns: bool = False
    """Whether the store comes back from an older copy."""
    compares_eras: bool = True
    """Whether a version of a later era counts as newer."""
    rereads_in_new_era: bool = True
    """Whether changes after a version of an earlier era are refused."""

    @property
    def history(self) -> tuple[tuple[str, int | None], ...]:
        """The change that leads to each version from 1."""
        return ERA_HISTORY if self.store_returns else HISTORY

    def is_newer(self, version: int, than: int) -> bool:
        """Return whether a version counts as newer than another one."""
        if self.compares_eras:
            return version > than
        return self.number(version) > self.number(than)

    def number(self, version: int) -> int:
        """Return the number that the store gives to a version."""
        number = min(version, 0)
        for key, value in self.history[: max(version, 0)]:
            number = value if key == RETURN else number + 1
        return number

    def era(self, version: int) -> int:
        """Return the era of a version."""
        keys = [key for key, _ in self.history[: max(version, 0)]]
        return keys.count(RETURN)


DEFAULT_RULES = Rules()


class Notice(NamedTuple):
    """Changes that a hub relays to its followers."""

    after: int
    """Version that the changes apply to."""
    version: int
    """Version that the changes lead to."""


class Hub(NamedTuple):
    """One hub."""

    version: int = UNREAD
    """Version up to which the hub has read the store."""
    sent_version: int = UNREAD
    """Version of the last notice, or of the first read before any notice."""
    restarts: int = 0


class State(NamedTuple):
    """State of the store, the hubs and the follower."""

    store: int
    """Newest version of the store."""
    hubs: tuple[Hub, ...]
    followed_hub: int
    """Number of the hub that the follower follows."""
    notices: tuple[Notice, ...]
    """Notices in flight from the followed hub."""
    version: int
    """Version of the follower's rows."""
    rows: frozenset[tuple[str, int]]
    rows_from_hub: bool
    """Whether the rows came from the followed hub since its last restart."""
    version_decreased: bool
    """Whether the follower ever replaced its rows by older ones."""


def content(version: int, rules: Rules) -> frozenset[tuple[str, int]]:
    """Return the rows at a version."""
    rows: dict[str, int | None] = {}
    for key, value in rules.history[:version]:
        if key == RETURN:
            rows = dict(rules.history[:value])
        else:
            rows[key] = value
    return frozenset((key, value) for key, value in rows.items() if value is not None)


def relayed_rows_model(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model under the given rules."""
    return Protocol(
        name="relayed rows",
        candidate=False,
        fields=State._fields,
        initial=State(1, (Hub(), Hub()), 0, (), UNREAD, frozenset(), False, False),
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={
            "the follower has the rows of its version": lambda state: (
                state["version"] == UNREAD
                or state["rows"] == content(state["version"], rules)
            ),
            "its version never decreases": lambda state: not state["version_decreased"],
        },
    )


def _transitions(state: State, rules: Rules):
    if state.store < len(rules.history):
        yield "the store changes", state._replace(store=state.store + 1)
    for number in HUBS:
        yield from _hub_steps(state, number)
    yield from _follower_steps(state, rules)


def _hub_steps(state: State, number: int):
    hub = state.hubs[number]
    if hub.version < state.store:
        first_read = hub.sent_version == UNREAD
        notice = Notice(hub.sent_version, state.store)
        after = hub._replace(version=state.store, sent_version=state.store)
        read = state._replace(hubs=_with(state.hubs, number, after))
        if number == state.followed_hub and not first_read:
            read = read._replace(notices=(*state.notices, notice))
        yield f"hub {number} reads", read
    if hub.version > UNREAD and not hub.restarts:
        restarted = state._replace(hubs=_with(state.hubs, number, Hub(restarts=1)))
        if number == state.followed_hub:
            restarted = restarted._replace(notices=(), rows_from_hub=False)
        yield f"hub {number} restarts", restarted


def _follower_steps(state: State, rules: Rules):
    other = 1 - state.followed_hub
    yield (
        "the follower switches hubs",
        state._replace(followed_hub=other, notices=(), rows_from_hub=False),
    )
    if state.notices:
        first, *rest = state.notices
        remaining = state._replace(notices=tuple(rest))
        yield "a notice is lost", remaining
        continuous = first.after <= state.version or not rules.requires_continuity
        has_rows = state.version > UNREAD and (
            state.rows_from_hub or not rules.requires_hub_rows
        )
        if has_rows and continuous:
            yield "a notice is applied", _apply_notice(remaining, first, rules)
    hub = state.hubs[state.followed_hub]
    if hub.version > UNREAD:
        older = rules.is_newer(state.version, hub.version)
        if not older or not rules.rejects_older_answers:
            rows = _set_rows(state, hub.version, True, rules)
            yield "all rows of the hub are applied", rows
    for number in HUBS:
        version = state.hubs[number].version
        newer = rules.is_newer(version, state.version) or not rules.rejects_older_peers
        if version > UNREAD and newer:
            from_hub = state.rows_from_hub and not rules.peer_rows_end_following
            yield (
                f"rows of hub {number} replace those of the store",
                _set_rows(state, version, from_hub, rules),
            )
    yield "the store is read", _set_rows(state, state.store, False, rules)
    if state.version > UNREAD:
        yield "the store's changes are read", _read_changes(state, rules)


def _read_changes(state: State, rules: Rules) -> State:
    """Return the state after the follower read the changes since its version."""
    same_era = rules.era(state.version) == rules.era(state.store)
    if same_era or rules.rereads_in_new_era:
        return _set_rows(state, state.store, False, rules)
    rows = dict(state.rows)
    for version, (key, value) in enumerate(rules.history[: state.store], start=1):
        in_era = rules.era(version) == rules.era(state.store)
        after = rules.number(version) > rules.number(state.version)
        if in_era and after and key != RETURN:
            rows[key] = value
    read = _set_rows(state, state.store, False, rules)
    return read._replace(rows=frozenset(rows.items()))


def _apply_notice(state: State, notice: Notice, rules: Rules) -> State:
    if notice.version <= state.version:
        return state
    before = dict(content(max(notice.after, 0), rules))
    now = dict(content(notice.version, rules))
    rows = dict(state.rows)
    for key in before.keys() | now.keys():
        if key not in now:
            rows.pop(key, None)
        elif before.get(key) != now[key]:
            rows[key] = now[key]
    return state._replace(version=notice.version, rows=frozenset(rows.items()))


def _set_rows(state: State, version: int, rows_from_hub: bool, rules: Rules) -> State:
    return state._replace(
        version=version,
        rows=content(version, rules),
        rows_from_hub=rows_from_hub,
        version_decreased=state.version_decreased or version < state.version,
    )


def _with(hubs: tuple[Hub, ...], number: int, hub: Hub) -> tuple[Hub, ...]:
    return tuple(hub if n == number else old for n, old in enumerate(hubs))
