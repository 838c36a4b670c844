"""Specification of rows handed on by hubs: nothing is missed and nothing goes back.

Describes `guavajunction.fleet`: `ReadRows` and `HandedRows` of `_handed_rows`,
`_relay.Relay` and `_relayed_feed.RelayedFeed`.

The store's history is fixed: one row is written, changed, changed back and removed,
then another is written. Two hubs read it, each as far as it happens to, and tell how
rows differ from their reading before. A follower follows one of them, changes to the
other, or reads the store by itself. Notices may be lost. A hub that restarts knows
nothing and reads everything anew.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

HISTORY = (("x", 1), ("x", 2), ("x", 1), ("x", None), ("y", 1))
"""The change that leads to each version from 1."""
UNREAD = -1
HUBS = (0, 1)


class Rules(NamedTuple):
    """The design, each part of which a test can take away."""

    notices_connect: bool = True
    """Whether a notice is only taken if it begins where the follower stands."""
    answers_checked: bool = True
    """Whether all rows are only taken if they are no older than what is known."""
    asks_anew: bool = True
    """Whether notices are only taken on rows that the same hub told."""


DESIGN = Rules()


class Notice(NamedTuple):
    """Changes handed on."""

    after: int
    version: int


class Hub(NamedTuple):
    """One hub."""

    version: int = UNREAD
    told: int = UNREAD
    restarts: int = 0


class State(NamedTuple):
    """One state."""

    store: int
    """Newest version of the store."""
    hubs: tuple[Hub, ...]
    followed: int
    notices: tuple[Notice, ...]
    """On their way from the followed hub."""
    version: int
    """What the follower knows."""
    rows: frozenset[tuple[str, int]]
    of_hub: bool
    """Whether the followed hub told them, in its present run."""
    went_back: bool


def content(version: int) -> frozenset[tuple[str, int]]:
    """Return the rows at a version."""
    rows: dict[str, int | None] = dict(HISTORY[:version])
    return frozenset((key, value) for key, value in rows.items() if value is not None)


def handed_model(rules: Rules = DESIGN) -> Protocol:
    """Return the model under the given rules."""
    return Protocol(
        name="handed rows",
        candidate=False,
        fields=State._fields,
        initial=State(1, (Hub(), Hub()), 0, (), UNREAD, frozenset(), False, False),
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={
            "the follower has the rows of its version": lambda state: (
                state["version"] == UNREAD or state["rows"] == content(state["version"])
            ),
            "its version never goes back": lambda state: not state["went_back"],
        },
    )


def _transitions(state: State, rules: Rules):
    if state.store < len(HISTORY):
        yield "the store changes", state._replace(store=state.store + 1)
    for number in HUBS:
        yield from _hub_steps(state, number)
    yield from _follower_steps(state, rules)


def _hub_steps(state: State, number: int):
    hub = state.hubs[number]
    if hub.version < state.store:
        first = hub.told == UNREAD
        told = Notice(hub.told, state.store)
        after = hub._replace(version=state.store, told=state.store)
        read = state._replace(hubs=_with(state.hubs, number, after))
        if number == state.followed and not first:
            read = read._replace(notices=(*state.notices, told))
        yield f"hub {number} reads", read
    if hub.version > UNREAD and not hub.restarts:
        restarted = state._replace(hubs=_with(state.hubs, number, Hub(restarts=1)))
        if number == state.followed:
            restarted = restarted._replace(notices=(), of_hub=False)
        yield f"hub {number} restarts", restarted


def _follower_steps(state: State, rules: Rules):
    other = 1 - state.followed
    yield (
        "the follower changes hubs",
        state._replace(followed=other, notices=(), of_hub=False),
    )
    if state.notices:
        first, *rest = state.notices
        left = state._replace(notices=tuple(rest))
        yield "a notice is lost", left
        connects = first.after <= state.version or not rules.notices_connect
        known = state.version > UNREAD and (state.of_hub or not rules.asks_anew)
        if known and connects:
            yield "a notice is taken", _take_notice(left, first)
    hub = state.hubs[state.followed]
    if hub.version > UNREAD:
        newer = hub.version >= state.version or not rules.answers_checked
        if newer:
            yield "all rows of the hub are taken", _know(state, hub.version, True)
    yield "the store is read", _know(state, state.store, False)


def _take_notice(state: State, notice: Notice) -> State:
    if notice.version <= state.version:
        return state
    before = dict(content(max(notice.after, 0)))
    now = dict(content(notice.version))
    rows = dict(state.rows)
    for key in before.keys() | now.keys():
        if key not in now:
            rows.pop(key, None)
        elif before.get(key) != now[key]:
            rows[key] = now[key]
    return state._replace(version=notice.version, rows=frozenset(rows.items()))


def _know(state: State, version: int, of_hub: bool) -> State:
    return state._replace(
        version=version,
        rows=content(version),
        of_hub=of_hub,
        went_back=state.went_back or version < state.version,
    )


def _with(hubs: tuple[Hub, ...], number: int, hub: Hub) -> tuple[Hub, ...]:
    return tuple(hub if n == number else old for n, old in enumerate(hubs))
