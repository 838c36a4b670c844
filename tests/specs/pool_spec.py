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

RATE = 2
"""Units a step. The number is even, so that half of it is a whole number."""
BURST = 2
"""Capacity of the pool in units."""
WINDOW = 3
"""Length of the checked window in steps."""
STEPS = 5
"""Steps that the model runs for."""
UNSEEN_UNITS = BURST
"""Units that both instances may spend twice, by emptying the pool before the counts of
the other arrive."""
BOUND = RATE * WINDOW + BURST + UNSEEN_UNITS
"""Units that may be spent in a window."""


class Rules(NamedTuple):
    """Rules of the limit. Tests disable one at a time to show that it is needed."""

    limits_to_share: bool = True
    """Whether an instance that receives no counts limits itself to its share."""
    subtracts_peer_usage: bool = True
    """Whether the units that the peer spent are subtracted from the level."""


DESIGN = Rules()


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


def pool_model(rules: Rules = DESIGN) -> Protocol:
    """Return the model under the given rules."""
    return Protocol(
        name="pooled rate limit",
        candidate=False,
        fields=State._fields,
        initial=State(0, (BURST, BURST), (0, 0), 0, False, (0,) * WINDOW),
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={
            "no window exceeds the bound": lambda state: sum(state["spent"]) <= BOUND
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
    if state.step < STEPS and (state.partitioned_steps or all_reported):
        yield "time passes", _advance_step(state, rules)


def _spend(state: State, me: int) -> State:
    return state._replace(
        levels=_with(state.levels, me, state.levels[me] - 1),
        unreported=_with(state.unreported, me, state.unreported[me] + 1),
        spent=(*state.spent[:-1], state.spent[-1] + 1),
    )


def _receive_count(state: State, sender: int, rules: Rules) -> State:
    me = 1 - sender
    units = state.unreported[sender] if rules.subtracts_peer_usage else 0
    return state._replace(
        levels=_with(state.levels, me, max(state.levels[me] - units, -UNSEEN_UNITS)),
        unreported=_with(state.unreported, sender, 0),
    )


def _advance_step(state: State, rules: Rules) -> State:
    limited = state.partitioned_steps > 1 and rules.limits_to_share
    share = 2 if limited else 1
    return state._replace(
        step=state.step + 1,
        levels=tuple(
            min(BURST // share, level + RATE // share) for level in state.levels
        ),
        partitioned_steps=min(state.partitioned_steps + 1, 2)
        if state.partitioned_steps
        else 0,
        spent=(*state.spent[1:], 0),
    )


def _with(pair: tuple[int, int], index: int, value: int) -> tuple[int, int]:
    return (value, pair[1]) if index == 0 else (pair[0], value)
