"""Outcome of a request as observed by the caller."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ._arrivals import Arrival


class Verdict(Enum):
    """How a request ended, as observed by the caller."""

    WHOLE = "whole"
    """The complete and correct answer to this request."""
    REFUSED = "refused"
    """An error with a type."""
    CUT = "cut"
    """Ended early, with an error event or without the end marker."""
    CUT_AS_WHOLE = "cut given as whole"
    """Ended early, but with the end marker of a complete answer."""
    WRONG = "wrong"
    """Not the answer to this request."""
    UNKNOWN = "unknown"
    """A call whose error response leaves its outcome unknown."""
    UNREACHABLE = "unreachable"
    """No instance responded."""


class Refusal(NamedTuple):
    """One error response; a request with retries may receive several."""

    type: str
    """Error type."""
    not_run: str
    """Whether the request was not run: `true`, `false` or `unknown`."""
    request_id: str
    retry_after: float | None
    """Seconds after which a retry is allowed, None if it is not."""
    inside_rate: bool
    """Whether the attempt was within the customer's rate limit."""


class Outcome(NamedTuple):
    """Outcome of one request after all its attempts."""

    arrival: Arrival
    verdict: Verdict
    first_token: float
    """Seconds from the arrival to the first token or, for calls, to the answer."""
    gaps: list[float]
    """Seconds between consecutive tokens."""
    refusals: list[Refusal]
    """Error responses of all attempts, in order."""
    sent: float
    """Start of the last attempt, in seconds after the start of the run."""
    began: float
    """Start of the last attempt's answer, in seconds after the start of the run."""
    used: float
    """Tokens charged to the customer's rate limit."""
    inside_rate: bool
    """Whether the first attempt was within the customer's rate limit."""
    send_delay: float = 0.0
    """Seconds by which the load tool started the first attempt late."""
    idempotency_key: str = ""

    @property
    def mean_gap(self) -> float:
        """Average seconds between tokens."""
        return sum(self.gaps) / len(self.gaps) if self.gaps else 0.0

    @property
    def wrongfully_refused(self) -> bool:
        """Whether the request was refused although within the customer's rate limit."""
        return self.verdict is Verdict.REFUSED and self.inside_rate

    @property
    def wrongful_refusals(self) -> list[Refusal]:
        """Refusals of attempts that were within the customer's rate limit."""
        return [refusal for refusal in self.refusals if refusal.inside_rate]
