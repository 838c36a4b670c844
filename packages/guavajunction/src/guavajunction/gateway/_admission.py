"""Decides whether a request waits or is refused.

Answers bursts and jumps of demand: a queue that only grows answers everybody late,
and one that refuses early leaves accelerators idle. A request waits exactly as long
as it is still predicted to be answered within the caller's time; once it is not, it
is refused at once and told when capacity is expected.
"""

from __future__ import annotations

from typing import NamedTuple

from ._backend_selection import PREFILL_TOKENS_PER_SECOND
from ._request import GenerationSize

TOKEN_SECONDS = 0.012
"""Time between two output tokens in a fairly full batch; the sheets give 8.2 ms and
more a step."""

PLAIN_SERVICE_SECONDS = 0.03
"""Work of a plain request; the sheets give 20 to 45 ms."""

MIN_RETRY_AFTER_SECONDS = 0.2
"""Shortest time told: a caller that comes back sooner meets the same queue."""


class WaitEstimate(NamedTuple):
    """When capacity for a request is expected."""

    seconds: float
    """From now until it could start."""
    reason: str
    """What it waits for, for the log and the refusal."""


class Refusal(NamedTuple):
    """Why a request is refused, and when to come back."""

    reason: str
    retry_after: float
    """Seconds."""


def service_seconds(size: GenerationSize | None) -> float:
    """Return how long a request takes once it has started.

    >>> service_seconds(None)
    0.03
    """
    if size is None:
        return PLAIN_SERVICE_SECONDS
    return first_event_seconds(size) + size.max_output_tokens * TOKEN_SECONDS


def check_deadline(
    estimate: WaitEstimate,
    size: GenerationSize | None,
    *,
    seconds_left: float,
    first_event_left: float,
) -> Refusal | None:
    """Return a refusal if the request is hopeless, or None if it may wait.

    Args:
        outlook: When capacity is expected.
        size: What the request asks of an engine, None for a plain service.
        seconds_left: Time until its caller gives up.
        first_event_left: Time until its caller gives up if nothing has come.

    >>> judge(Outlook(1.0, "slots"), None, seconds_left=0.5, first_event_left=9).reason
    'slots'
    >>> judge(Outlook(0.1, "slots"), None, seconds_left=0.5, first_event_left=9)
    """
    begins = estimate.seconds + first_event_seconds(size)
    ends = estimate.seconds + service_seconds(size)
    if begins <= first_event_left and ends <= seconds_left:
        return None
    return Refusal(estimate.reason, max(MIN_RETRY_AFTER_SECONDS, estimate.seconds))


def first_event_seconds(size: GenerationSize | None) -> float:
    """Return how long a request takes from its start to its first event."""
    return size.prompt_tokens / PREFILL_TOKENS_PER_SECOND if size else 0.0
