"""Specification of a pooled allowance: what a cut between instances may cost.

Describes `guavajunction.gateway._pooled_allowance` and the bound on silence of
`guavajunction.fleet.Roster`. Two instances spend one pool, in whole units and steps of
time. Each hears the other's count within a step unless they are cut from each other; a
cut is noticed after a step, and each then keeps to a half of the pool and of the rate.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

RATE = 2
"""Units a step; even, so that a half is whole."""
BURST = 2
WINDOW = 3
"""Steps."""
STEPS = 5
UNSEEN_UNITS = BURST
"""What may be spent unseen: both empty the pool before they hear of each other."""
BOUND = RATE * WINDOW + BURST + UNSEEN_UNITS


class Rules(NamedTuple):
    """The design, each part of which a test can take away."""

    limits_to_share: bool = True
    """Whether a side that does not hear the other keeps to its part."""
    subtracts_peer_usage: bool = True
    """Whether what the other spent is taken off."""


DESIGN = Rules()


class State(NamedTuple):
    """One state."""

    step: int
    levels: tuple[int, int]
    unreported: tuple[int, int]
    """What each spent and the other has not heard of."""
    partitioned_steps: int
    """Steps since the cut; 0 while there is none."""
    healed: bool
    spent: tuple[int, ...]
    """Units in each of the last steps, the present one last."""


def pool_model(rules: Rules = DESIGN) -> Protocol:
    """Return the model under the given rules."""
    return Protocol(
        name="pooled allowance",
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
            yield f"instance {1 - me} hears", _receive_count(state, me, rules)
    if not state.partitioned_steps and not state.healed:
        yield "the instances are cut", state._replace(partitioned_steps=1)
    if state.partitioned_steps > 1:
        yield "the cut heals", state._replace(partitioned_steps=0, healed=True)
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
