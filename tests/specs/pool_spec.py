"""Specification of a pooled rate limit: the overshoot during a network partition.

Describes `guavajunction.gateway._pooled_rate_limit` and the time without heartbeats
after which `guavajunction.fleet.Roster` treats a peer as unreachable. Two instances
spend from one pool, in whole units and steps of time. Each receives the other's count
within a step unless the network between them is partitioned. A partition is detected
after a step; each instance then limits itself to half of the pool and of the rate.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

UNITS_PER_STEP = 2
"""Rate of the pool. An even number, so that each instance's half is a whole number."""
BURST_UNITS = 2
"""Capacity of the pool."""
WINDOW_STEPS = 3
"""Length of the window in which the spent units are checked."""
RUN_STEPS = 5
"""Length of a run."""
UNSEEN_UNITS = BURST_UNITS
"""Units that may be spent twice, as both instances may empty the pool before they
receive the count of the other."""
BOUND_UNITS = UNITS_PER_STEP * WINDOW_STEPS + BURST_UNITS + UNSEEN_UNITS
"""Most units that may be spent in a window."""


class Rules(NamedTuple):
    """Rules of the limit. Tests disable one at a time to show that it is needed."""

    limits_to_share: bool = True
    """Whether an instance that receives no counts limits itself to its share."""
    subtracts_peer_usage: bool = True
    """Whether the units that the peer spent are subtracted from the level."""


DEFAULT_RULES = Rules()


class State(NamedTuple):
    """State of both instances."""

    step: int
    levels: tuple[int, int]
    """Level of the pool as each instance sees it; negative if it owes units."""
    unreported: tuple[int, int]
    """Units that each instance spent and whose count the other has not received."""
    partitioned_steps: int
    """Steps since the partition began, 0 without one, at most 2."""
    healed: bool
    """Whether the one partition of a run has ended."""
    spent: tuple[int, ...]
    """Units spent in each step of the window, the current step last."""


def pool_model(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model under the given rules."""
    return Protocol(
        name="pooled rate limit",
        candidate=False,
        fields=State._fields,
        initial=State(
            0, (BURST_UNITS, BURST_UNITS), (0, 0), 0, False, (0,) * WINDOW_STEPS
        ),
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={
            "no window exceeds the bound": lambda state: (
                sum(state["spent"]) <= BOUND_UNITS
            )
        },
    )


def _transitions(state: State, rules: Rules):
    for me in (0, 1):
        if state.levels[me] > 0:
            yield f"instance {me} spends", _spend(state, me)
        if state.unreported[me] and not state.partitioned_steps:
            yield (
                f"instance {1 - me} receives the count",
                _receive_count(state, me, rules),
            )
    if not state.partitioned_steps and not state.healed:
        yield "the network is partitioned", state._replace(partitioned_steps=1)
    if state.partitioned_steps > 1:
        yield "the partition heals", state._replace(partitioned_steps=0, healed=True)
    all_reported = not any(state.unreported)
    if state.step < RUN_STEPS and (state.partitioned_steps or all_reported):
        yield "time passes", _advance_step(state, rules)


def _spend(state: State, me: int) -> State:
    return state._replace(
        levels=_with_value(state.levels, me, state.levels[me] - 1),
        unreported=_with_value(state.unreported, me, state.unreported[me] + 1),
        spent=(*state.spent[:-1], state.spent[-1] + 1),
    )


def _receive_count(state: State, sender: int, rules: Rules) -> State:
    me = 1 - sender
    units = state.unreported[sender] if rules.subtracts_peer_usage else 0
    return state._replace(
        levels=_with_value(
            state.levels, me, max(state.levels[me] - units, -UNSEEN_UNITS)
        ),
        unreported=_with_value(state.unreported, sender, 0),
    )


def _advance_step(state: State, rules: Rules) -> State:
    limited = state.partitioned_steps > 1 and rules.limits_to_share
    share = 2 if limited else 1
    return state._replace(
        step=state.step + 1,
        levels=tuple(
            min(BURST_UNITS // share, level + UNITS_PER_STEP // share)
            for level in state.levels
        ),
        partitioned_steps=min(state.partitioned_steps + 1, 2)
        if state.partitioned_steps
        else 0,
        spent=(*state.spent[1:], 0),
    )


def _with_value(pair: tuple[int, int], index: int, value: int) -> tuple[int, int]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
