"""Draws what goes wrong in a soak."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """What can go wrong."""

    KILL = "kill"
    """An instance is killed and started again."""
    KILL_ALL = "kill all"
    FREEZE = "freeze"
    """An instance is suspended."""
    STUTTER = "stutter"
    """An instance is suspended again and again: it is slow."""
    STOP = "stop"
    """A planned stop; the instance is started again."""
    RELOAD = "reload"
    """Changed settings and a signal."""
    STORE_HANGS = "store hangs"
    STORE_FAILS = "store fails"
    STORE_DROPS = "store drops"
    STORE_SLOW = "store slow"
    STORE_LOSES = "store loses answers"
    HISTORY = "history"
    """The store forgets its history of changes."""
    STORE_LINK = "store link"
    """The link of one instance to the store is silent."""
    STORE_MUTE = "store mute"
    """Open connections of one instance to the store are silent for good."""
    RUNNER_LINK = "runner link"
    """The links to one runner are silent."""
    RUNNER_BACK = "runner back"
    """Nothing comes back from one runner."""
    RUNNER_DELAY = "runner delay"
    RUNNER_RESET = "runner reset"
    RUNNER_MUTE = "runner mute"
    RUNNER_FAILS = "runner fails"
    RUNNER_CUTS = "runner cuts"
    """A runner cuts its streams."""
    DRAIN = "drain"
    """A runner leaves and comes back under another start."""
    KEYS = "keys"
    """The operator gives the customer another key."""


INSTANT_KINDS = frozenset(
    (
        FaultKind.RELOAD,
        FaultKind.STORE_LOSES,
        FaultKind.HISTORY,
        FaultKind.STORE_MUTE,
        FaultKind.RUNNER_RESET,
        FaultKind.RUNNER_MUTE,
        FaultKind.KEYS,
    )
)
"""Kinds that last no time."""


class Fault(NamedTuple):
    """One thing that goes wrong."""

    at: float
    """Seconds from the start of traffic."""
    seconds: float
    """How long it lasts."""
    kind: FaultKind
    target: int
    """Number of the instance or runner, taken modulo how many there are."""

    @property
    def ends_at(self) -> float:
        """Return when it is over, in seconds from the start of traffic."""
        return self.at + self.seconds

    def __str__(self) -> str:
        return f"{self.at:.1f}+{self.seconds:.1f} {self.kind} {self.target}"


MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 3.0


def draw_plan(seed: int, seconds: float, *, faults: int) -> list[Fault]:
    """Draw faults, which may overlap and come in series.

    Args:
        seed: Decides everything.
        seconds: All are over by then.
        faults: How many.
    """
    rng = random.Random(seed)
    kinds = rng.sample(list(FaultKind), k=min(len(FaultKind), 1 + faults // 2))
    plan = []
    for _ in range(faults):
        kind = rng.choice(kinds)
        duration = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        if kind in INSTANT_KINDS:
            duration = 0.0
        at = rng.uniform(0.0, max(0.1, seconds - duration))
        plan.append(Fault(round(at, 2), round(duration, 2), kind, rng.randrange(12)))
    return sorted(plan)
