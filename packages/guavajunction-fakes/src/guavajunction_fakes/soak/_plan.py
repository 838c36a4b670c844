"""Draws the random plan of a soak's faults."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """Kind of a fault or change that a soak injects."""

    KILL = "kill"
    """Kills and restarts an instance."""
    KILL_ALL = "kill all"
    """Kills and restarts all instances that have no other fault."""
    FREEZE = "freeze"
    """Suspends an instance."""
    STUTTER = "stutter"
    """Suspends and resumes an instance repeatedly, which slows it down."""
    STOP = "stop"
    """Stops an instance gracefully and restarts it."""
    RELOAD = "reload"
    """Changes an instance's settings and sends SIGHUP."""
    STORE_HANGS = "store hangs"
    """The store sends no responses."""
    STORE_FAILS = "store fails"
    """The store responds with errors."""
    STORE_DROPS = "store drops"
    """The store aborts connections."""
    STORE_SLOW = "store slow"
    """The store delays each operation."""
    STORE_LOSES = "store loses answers"
    """The store executes writes but sends no response."""
    HISTORY = "history"
    """The store discards its history of changes."""
    STORE_LINK = "store link"
    """Stalls the link of one instance to the store."""
    STORE_MUTE = "store mute"
    """Permanently stalls an instance's open connections to the store."""
    RUNNER_LINK = "runner link"
    """Stalls the links to one runner."""
    RUNNER_BACK = "runner back"
    """Stalls data from one runner to the instances, but not data to the runner."""
    RUNNER_DELAY = "runner delay"
    """Delays all data from and to one runner."""
    RUNNER_RESET = "runner reset"
    """Resets the open connections to one runner."""
    RUNNER_MUTE = "runner mute"
    """Permanently stalls the open connections to one runner."""
    RUNNER_FAILS = "runner fails"
    """One runner responds with status 500."""
    RUNNER_CUTS = "runner cuts"
    """One runner aborts its streams, or closes them in order inside an event."""
    DRAIN = "drain"
    """A runner drains, then accepts work again as if restarted."""
    KEYS = "keys"
    """The operator replaces the customer's API key."""
    STORE_RETURNS = "store returns"
    """The store goes away and comes back from an older copy."""
    CUT_HANG = "cut hang"
    """Some instances reach no runner; their connections hang."""
    CUT_RESET = "cut reset"
    """Some instances reach no runner; their connections are reset."""
    CUT_LIVE_ON = "cut live on"
    """Some instances reach no runner by new connections; open ones live on."""
    REPEAT_AT_ONCE = "repeat at once"
    """Some runners write each answer and refusal a second time, at once."""
    REPEAT_LATER = "repeat later"
    """Some runners write each answer and refusal a second time, some time later."""
    REPEAT_BEFORE_NEXT = "repeat before next"
    """Some runners write each answer and refusal a second time, before the next."""


CUT_KINDS = (FaultKind.CUT_HANG, FaultKind.CUT_RESET, FaultKind.CUT_LIVE_ON)
REPEAT_KINDS = (
    FaultKind.REPEAT_AT_ONCE,
    FaultKind.REPEAT_LATER,
    FaultKind.REPEAT_BEFORE_NEXT,
)
DRAWN_KINDS = tuple(
    kind
    for kind in FaultKind
    if kind not in (FaultKind.STORE_RETURNS, *CUT_KINDS, *REPEAT_KINDS)
)
"""Kinds that `draw_plan` draws; `draw_returns`, `draw_cuts` and `draw_repeats` draw
the others."""

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
"""Kinds of faults that have no duration."""


class Fault(NamedTuple):
    """One planned fault."""

    at: float
    """Start of the fault in seconds from the start of traffic."""
    seconds: float
    """Duration of the fault."""
    kind: FaultKind
    target: int
    """Index of the instance or runner, modulo their number."""

    @property
    def ends_at(self) -> float:
        """Return the end of the fault in seconds from the start of traffic."""
        return self.at + self.seconds

    def __str__(self) -> str:
        return f"{self.at:.1f}+{self.seconds:.1f} {self.kind} {self.target}"


class Conditions(NamedTuple):
    """What holds during a whole soak, besides its faults."""

    crashing_part: str
    """Part of a prompt on which all engines crash; empty for none."""
    named_limit: float | None
    """Requests a second that one runner names as its limit; None for no limit."""
    crashing_request: bool = False
    """Whether all runners crash on one request, which callers repeat."""
    brittle: float | None = None
    """Rejections a second that the plain runners say they bear; None if they are not
    brittle."""


class Ending(NamedTuple):
    """How an instance ends at last, while callers keep using it."""

    killed: bool
    """Whether it is killed, not stopped."""
    work_seconds: float
    """Longest work of a plain runner."""
    event_seconds: float
    """Time after each event of a stream."""
    unframed: bool
    """Whether the end of a stream is the end of its connection."""


def draw_ending(seed: int) -> Ending:
    """Draw how an instance ends at last.

    It does not change the plan that is drawn from the same seed.
    """
    rng = random.Random(f"ending/{seed}")
    return Ending(
        killed=rng.random() < 0.3,
        work_seconds=rng.choice((0.05, 0.2, 0.4, 0.9)),
        event_seconds=rng.choice((0.05, 0.3)),
        unframed=rng.random() < 0.7,
    )


CRASHING_PART = "bad0"
NAMED_LIMITS = (None, 0.3, 2.0, 5.0)
BORNE_REJECTIONS = (None, None, 0.0, 2.0)


def draw_conditions(seed: int) -> Conditions:
    """Draw the conditions of a soak.

    They do not change the plan that is drawn from the same seed.
    """
    rng = random.Random(f"conditions/{seed}")
    crashing_part = CRASHING_PART if rng.random() < 0.5 else ""
    named_limit = rng.choice(NAMED_LIMITS)
    crashing_request = rng.random() < 0.5
    brittle = rng.choice(BORNE_REJECTIONS)
    return Conditions(crashing_part, named_limit, crashing_request, brittle)


MIN_FAULT_SECONDS = 0.3
MAX_FAULT_SECONDS = 3.0


def draw_plan(seed: int, seconds: float, *, faults: int) -> list[Fault]:
    """Draw a random plan, in which faults may overlap.

    Args:
        seed: Seed that determines the plan.
        seconds: Time from the start of traffic by which all faults have ended.
        faults: Number of faults.

    Returns:
        Faults in order of their start.
    """
    rng = random.Random(seed)
    kinds = rng.sample(DRAWN_KINDS, k=min(len(DRAWN_KINDS), 1 + faults // 2))
    plan = []
    for _ in range(faults):
        kind = rng.choice(kinds)
        duration = rng.uniform(MIN_FAULT_SECONDS, MAX_FAULT_SECONDS)
        if kind in INSTANT_KINDS:
            duration = 0.0
        at = rng.uniform(0.0, max(0.1, seconds - duration))
        plan.append(Fault(round(at, 2), round(duration, 2), kind, rng.randrange(12)))
    return sorted(plan)


class StoreReturn(NamedTuple):
    """What is lost when the store comes back from an older copy."""

    age_seconds: float
    """Age of the copy."""
    rewrite_seconds: float
    """Time until the operator and the runners write their rows again."""


STORE_RETURNS = (
    StoreReturn(0.2, 0.0),
    StoreReturn(1.0, 0.5),
    StoreReturn(3.0, 1.5),
    StoreReturn(8.0, 1.0),
    StoreReturn(30.0, 0.2),
)
MAX_AWAY_SECONDS = 1.5


def draw_returns(seed: int, seconds: float) -> list[Fault]:
    """Draw the times at which the store comes back from a copy, up to three.

    They do not change the plan that is drawn from the same seed. The target of each
    fault is an index of `STORE_RETURNS`.
    """
    rng = random.Random(f"returns/{seed}")
    return sorted(
        Fault(
            round(rng.uniform(0.5, seconds - MAX_AWAY_SECONDS), 2),
            round(rng.uniform(0.1, MAX_AWAY_SECONDS), 2),
            FaultKind.STORE_RETURNS,
            rng.randrange(len(STORE_RETURNS)),
        )
        for _ in range(rng.choice((0, 1, 1, 2, 3)))
    )


MAX_CUT_SECONDS = 4.0


def draw_cuts(seed: int, seconds: float, *, instances: int) -> list[Fault]:
    """Draw the times at which instances are cut from all runners, up to three.

    They do not change the plan that is drawn from the same seed. The target of each
    fault has a bit for each instance that is cut; at least one never is.
    """
    rng = random.Random(f"cuts/{seed}")
    cuts = []
    for _ in range(rng.choice((0, 0, 1, 2, 3))):
        duration = rng.uniform(MIN_FAULT_SECONDS, min(MAX_CUT_SECONDS, seconds - 0.5))
        at = rng.uniform(0.0, seconds - duration)
        target = rng.randrange(1, 2**instances - 1)
        kind = rng.choice(CUT_KINDS)
        cuts.append(Fault(round(at, 2), round(duration, 2), kind, target))
    return sorted(cuts)


MAX_REPEAT_SECONDS = 4.0


def draw_repeats(seed: int, seconds: float, *, runners: int) -> list[Fault]:
    """Draw the times at which runners write their answers twice, up to four.

    They do not change the plan that is drawn from the same seed. The target of each
    fault has a bit for each runner; the first that is drawn is about all runners.
    """
    rng = random.Random(f"repeats/{seed}")
    all_runners = 2**runners - 1
    repeats = []
    for number in range(rng.choice((0, 1, 2, 3, 4))):
        duration = rng.uniform(1.0, min(MAX_REPEAT_SECONDS, seconds - 0.5))
        at = rng.uniform(0.0, seconds - duration)
        kind = rng.choice(REPEAT_KINDS)
        some = rng.randrange(1, all_runners + 1)
        target = some if number and rng.random() < 0.5 else all_runners
        repeats.append(Fault(round(at, 2), round(duration, 2), kind, target))
    return sorted(repeats)


REWRITE_SECONDS = 2.0
"""Time after a return in which instances write their rows again."""


def reports_lost_at(plan: list[Fault]) -> float:
    """Return when all memory of the fleet was last lost, in seconds, or minus infinity.

    That is the case if all instances are killed after the copy was made from which the
    store comes back, and before they have written their rows again.
    """
    kills = [fault for fault in plan if fault.kind is FaultKind.KILL_ALL]
    returns = [fault for fault in plan if fault.kind is FaultKind.STORE_RETURNS]
    return max(
        (
            max(kill.ends_at, back.ends_at) + REWRITE_SECONDS
            for kill in kills
            for back in returns
            if back.ends_at - STORE_RETURNS[back.target].age_seconds < kill.ends_at
            and kill.at < back.ends_at + REWRITE_SECONDS
        ),
        default=float("-inf"),
    )
