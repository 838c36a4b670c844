"""Specification of evacuations: no instance forgets one that the operator wants.

Describes `guavajunction.evacuation.Evacuations` (executed unchanged), how the gateway
daemon's `EvacuationRows` calls it, and which rows `RelayedFeed.rows_from_peer` accepts.

The store's history is fixed: the operator writes the row of a data centre, the store
comes back from a copy without it, the operator writes it again within two seconds, and
ends the evacuation later; in another history a second return follows the first. Two
instances read all rows or changes at any time, apply rows of each other if the store
does not answer, lose the history and read all rows again, or restart. Reads may be
arbitrarily late. Time passes in ticks of half a second.

It is assumed that an answer shows the state of the store at its arrival.
"""

from __future__ import annotations

from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from guavajunction.clock import ManualClock
from guavajunction.evacuation import Evacuations

ZONE = "z"
WRITTEN, REMOVED, RETURN = "written", "removed", "return"
HISTORY = (WRITTEN, RETURN, WRITTEN, REMOVED)
"""The change that leads to each position from 1. A return is to a copy without rows."""
HISTORY_OF_TWO_RETURNS = (WRITTEN, RETURN, RETURN, WRITTEN, REMOVED)
UNREAD = -1
TICK_SECONDS = 0.5
REWRITE_TICKS = 4
"""Ticks after a return within which the operator writes its rows again."""


class Rules(NamedTuple):
    """Rules of the protocol. Tests disable one at a time to show that it is needed."""

    history: tuple[str, ...] = HISTORY
    keeps_missing: bool = True
    """Whether an evacuation is kept for a while if its row is missing in a new era."""
    keeps_in_later_lists: bool = True
    """Whether it is kept also if a later list of that era lacks its row."""
    restarts_wait: bool = True
    """Whether another return restarts the time for which it is kept."""
    needs_answer_to_expire: bool = True
    """Whether it ends only after an answer of the store beyond that time."""
    rejects_older_peers: bool = True
    """Whether rows of a peer are rejected that are older than the latest applied."""
    keeps_over_outages: bool = True
    """Whether the set outlives the loss of the store's history."""

    def exists(self, position: int) -> bool:
        """Return whether the row exists at a position."""
        return position > 0 and self.history[position - 1] == WRITTEN

    def era(self, position: int) -> int:
        """Return the era of a position."""
        return self.history[: max(position, 0)].count(RETURN)

    def is_wanted(self, position: int) -> bool:
        """Return whether the operator wants the evacuation when the store is there."""
        return position > 0 and self.history[position - 1] != REMOVED


DEFAULT_RULES = Rules()


class Known(NamedTuple):
    """State of an `Evacuations`."""

    in_force: bool = False
    kept: int | None = None
    """Ticks for which it is still kept; negative beyond that time, None if its row was
    not missing."""


class Instance(NamedTuple):
    """One instance."""

    position: int = UNREAD
    """Position up to which it has read, also if it reads all rows again."""
    reads_all: bool = True
    """Whether its next read must be of all rows."""
    known: Known = Known()
    has_read: bool = False
    """Whether it has read the row since it started."""
    may_expire: bool = False
    """Whether the store has answered beyond the time for which it is kept."""
    restarted: bool = False


class State(NamedTuple):
    """State of the store and the instances."""

    store: int
    away: int
    """Ticks since the last return, until the operator has written again."""
    first: Instance
    second: Instance


def evacuation_model(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model under the given rules."""
    return Protocol(
        name="evacuations",
        candidate=False,
        fields=State._fields,
        initial=State(0, 0, Instance(), Instance()),
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={
            "an instance that has read the row sends nothing": lambda state: (
                not (
                    rules.is_wanted(state["store"])
                    and any(
                        instance.has_read and not instance.known.in_force
                        for instance in (state["first"], state["second"])
                    )
                )
            )
        },
    )


class _Mutant(Evacuations):
    """Evacuations without some of their rules."""

    def __init__(self, clock: ManualClock, rules: Rules) -> None:
        super().__init__(clock)
        self._rules = rules

    def end(self, name: str, *, came_back: bool = False) -> None:
        kept = self._kept_until.get(name)
        if not came_back and not self._rules.keeps_in_later_lists:
            self._kept_until.pop(name, None)
        super().end(name, came_back=came_back and self._rules.keeps_missing)
        if kept is not None and came_back and not self._rules.restarts_wait:
            self._kept_until[name] = kept


def _evacuations(known: Known, rules: Rules) -> tuple[Evacuations, ManualClock]:
    """Return the product's object in a given state."""
    clock = ManualClock()
    weakened = rules._replace(history=HISTORY) != DEFAULT_RULES
    one = _Mutant(clock, rules) if weakened else Evacuations(clock)
    if known.in_force:
        one.begin(ZONE)
    if known.kept is not None:
        Evacuations.end(one, ZONE, came_back=True)
        clock.advance(Evacuations.RETURN_SECONDS - known.kept * TICK_SECONDS)
    return one, clock


def _known(one: Evacuations, clock: ManualClock) -> Known:
    until = one._kept_until.get(ZONE)
    ticks = None
    if until is not None:
        ticks = max(-1, round((until - clock.monotonic()) / TICK_SECONDS))
    return Known(one.is_evacuated(ZONE), ticks)


@cache
def _after_list(known: Known, exists: bool, came_back: bool, rules: Rules) -> Known:
    one, clock = _evacuations(known, rules)
    one.replace_all([ZONE] if exists else [], keep_missing=came_back)
    return _known(one, clock)


@cache
def _after_change(known: Known, exists: bool, came_back: bool, rules: Rules) -> Known:
    one, clock = _evacuations(known, rules)
    if exists:
        one.begin(ZONE)
    else:
        one.end(ZONE, came_back=came_back)
    return _known(one, clock)


@cache
def _after_expiry(known: Known, rules: Rules) -> Known:
    one, clock = _evacuations(known, rules)
    one.expire()
    return _known(one, clock)


def _transitions(state: State, rules: Rules):
    if state.store < len(rules.history):
        changed = state._replace(store=state.store + 1)
        returns = rules.history[state.store] == RETURN
        yield "the store changes", changed._replace(away=0 if returns else -1)
    is_awaited = state.store > 0 and rules.history[state.store - 1] == RETURN
    if not is_awaited or state.away < REWRITE_TICKS:
        yield (
            "tick",
            state._replace(
                away=state.away + 1 if is_awaited else -1,
                first=_older(state.first),
                second=_older(state.second),
            ),
        )
    for name, other in (("first", state.second), ("second", state.first)):
        for step, after in _instance_steps(getattr(state, name), other, state, rules):
            yield f"the {name} {step}", state._replace(**{name: after})


def _older(instance: Instance) -> Instance:
    known = instance.known
    if known.kept is None:
        return instance
    return instance._replace(known=known._replace(kept=max(-1, known.kept - 1)))


def _instance_steps(one: Instance, other: Instance, state: State, rules: Rules):
    all_rows = _read(one, state.store, rules, is_complete=True)
    yield "reads all rows", _answered(all_rows)
    same_era = rules.era(one.position) == rules.era(state.store)
    if not one.reads_all and same_era:
        changes = _read(one, state.store, rules, is_complete=False)
        yield "reads changes", _answered(changes)
    newer = other.position > one.position
    if other.position > UNREAD and (
        newer or (one.reads_all and not rules.rejects_older_peers)
    ):
        yield (
            "applies rows of its peer",
            _read(one, other.position, rules, is_complete=True),
        )
    if not one.reads_all:
        known = one.known if rules.keeps_over_outages else Known()
        yield "loses the history", one._replace(reads_all=True, known=known)
    kept = one.known.kept
    if kept is not None and (one.may_expire or not rules.needs_answer_to_expire):
        expired = _after_expiry(one.known, rules)
        yield "expires", one._replace(known=expired, may_expire=False)
    if not one.restarted:
        yield "restarts", Instance(restarted=True)


def _read(one: Instance, position: int, rules: Rules, *, is_complete: bool) -> Instance:
    """Return an instance that has applied the rows or changes up to a position."""
    exists = rules.exists(position)
    came_back = rules.era(position) > max(0, rules.era(one.position))
    apply = _after_list if is_complete else _after_change
    return one._replace(
        position=position,
        reads_all=False,
        known=apply(one.known, exists, came_back, rules),
        has_read=one.has_read or exists,
        may_expire=False,
    )


def _answered(one: Instance) -> Instance:
    kept = one.known.kept
    return one._replace(may_expire=kept is not None and kept <= 0)
