"""Decides whether a request waits or is refused.

During bursts and jumps of demand, a queue without a limit answers every request late,
and one that refuses too early leaves accelerators idle. A request therefore waits as
long as it is predicted to be answered before its caller's deadline. Once it is not, it
is refused at once, with the time when capacity is expected.
"""

from __future__ import annotations

import math
from typing import NamedTuple

from guavajunction.errors import PromptQuarantined, RequestQuarantined
from guavajunction.quarantine import BlamedParts, PartQuarantine, RequestFingerprint

from ._backend_selection import PREFILL_TOKENS_PER_SECOND
from ._request import GenerationSize

SECONDS_PER_OUTPUT_TOKEN = 0.012
"""Prior of the time between two output tokens in a fairly full batch; engines specify
4.7 to 10.1 ms for each decoding step."""

PLAIN_SERVICE_SECONDS = 0.03
"""Service time of a plain request; backend servers specify 20 to 45 ms."""

MIN_RETRY_AFTER_SECONDS = 0.2
"""Shortest retry delay; a caller that retries sooner meets the same queue."""


class TokenTimes(NamedTuple):
    """How fast the backend servers of a service process tokens."""

    prefill_rate: float = PREFILL_TOKENS_PER_SECOND
    """Prompt tokens a second."""
    output_token_seconds: float = SECONDS_PER_OUTPUT_TOKEN
    """Seconds between two output tokens."""


USUAL_TOKEN_TIMES = TokenTimes()
"""Prior of every service."""


class WaitEstimate(NamedTuple):
    """When a request is expected to start, and what it waits for until then."""

    seconds: float
    """Seconds from now until the request can start."""
    reason: str
    """Resource that the request waits for, used in log lines and refusals."""


class Refusal(NamedTuple):
    """Reason for a refusal and the delay before a retry."""

    reason: str
    retry_after: float | None
    """Seconds; None if a retry is useless."""


def service_seconds(
    size: GenerationSize | None,
    plain_seconds: float = PLAIN_SERVICE_SECONDS,
    times: TokenTimes = USUAL_TOKEN_TIMES,
) -> float:
    """Return the seconds from the start of a request to the end of its answer.

    Args:
        size: Size of the generation, None for a plain service.
        plain_seconds: Service time of a plain request.
        times: Speed of the service.

    >>> service_seconds(None)
    0.03
    """
    if size is None:
        return plain_seconds
    output_seconds = size.max_output_tokens * times.output_token_seconds
    return first_event_seconds(size, times) + output_seconds


def check_deadline(
    estimate: WaitEstimate,
    size: GenerationSize | None,
    *,
    seconds_left: float,
    first_event_left: float,
    plain_seconds: float = PLAIN_SERVICE_SECONDS,
    times: TokenTimes = USUAL_TOKEN_TIMES,
) -> Refusal | None:
    """Return a refusal if a request would miss a deadline, or None if it may wait.

    Args:
        estimate: When the request can start.
        size: Size of the generation, None for a plain service.
        seconds_left: Time until the deadline for the complete answer.
        first_event_left: Time until the deadline for the first event.
        plain_seconds: Service time of a plain request.
        times: Speed of the service.

    >>> check_deadline(
    ...     WaitEstimate(1.0, "slots"), None, seconds_left=0.5, first_event_left=9
    ... ).reason
    'slots'
    >>> check_deadline(
    ...     WaitEstimate(0.1, "slots"), None, seconds_left=0.5, first_event_left=9
    ... )
    """
    first_event_in = estimate.seconds + first_event_seconds(size, times)
    end_in = estimate.seconds + service_seconds(size, plain_seconds, times)
    if first_event_in <= first_event_left and end_in <= seconds_left:
        return None
    if math.isinf(estimate.seconds):
        return Refusal(estimate.reason, None)
    return Refusal(estimate.reason, max(MIN_RETRY_AFTER_SECONDS, estimate.seconds))


def find_blamed_parts(
    quarantine: PartQuarantine,
    size: GenerationSize | None,
    fingerprint: RequestFingerprint,
) -> BlamedParts | None:
    """Return the blamed parts of a request, or itself, or None if it may be sent."""
    parts = size.parts if size else ()
    return quarantine.blamed_in((part.part_id for part in parts), fingerprint)


def quarantined(blamed: BlamedParts) -> RequestQuarantined:
    """Return the refusal of a request because backend servers crash on it."""
    if blamed.is_request:
        return RequestQuarantined(
            f"{len(blamed.crashes)} backend servers crashed on this request"
        )
    return PromptQuarantined(
        f"{len(blamed.crashes)} backend servers crashed on prompts with "
        f"{', '.join(map(repr, sorted(blamed.parts)))}"
    )


def first_event_seconds(
    size: GenerationSize | None, times: TokenTimes = USUAL_TOKEN_TIMES
) -> float:
    """Return the seconds from the start of a request to its first event."""
    return size.prompt_tokens / times.prefill_rate if size else 0.0
