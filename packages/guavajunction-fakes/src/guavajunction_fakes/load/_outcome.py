"""What became of a request."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from ._arrivals import Arrival


class Verdict(Enum):
    """How a request ended, as the caller can tell."""

    WHOLE = "whole"
    """The whole answer of its own request."""
    REFUSED = "refused"
    """A typed refusal."""
    CUT = "cut"
    """Ended early, and said so or lacked its end mark."""
    CUT_AS_WHOLE = "cut given as whole"
    """Ended early with the end mark of a whole answer."""
    WRONG = "wrong"
    """Something else than the answer of its own request."""
    UNKNOWN = "unknown"
    """A call whose outcome the system does not know, and said so."""
    UNREACHABLE = "unreachable"
    """No instance answered."""


class Refusal(NamedTuple):
    """One typed refusal; a request may meet several."""

    type: str
    not_run: str
    """`true`, `false` or `unknown`."""
    request_id: str
    retry_after: float | None
    """Seconds."""
    inside_rate: bool
    """Whether the customer had the tokens for it."""


class Outcome(NamedTuple):
    """What became of one request, with all its repeats."""

    arrival: Arrival
    verdict: Verdict
    first_token: float
    """Seconds from the arrival to the first token or, for calls, to the answer."""
    gaps: list[float]
    """Seconds between tokens."""
    refusals: list[Refusal]
    sent: float
    """When its last send began, in seconds after the start."""
    began: float
    """When the answer to that began."""
    used: float
    """Tokens that it used of the customer's rate."""
    inside_rate: bool
    """Whether the customer had the tokens for it when it arrived."""
    send_delay: float = 0.0
    """Seconds that the load tool itself was late with its first send."""
    idempotency_key: str = ""

    @property
    def mean_gap(self) -> float:
        """Seconds between tokens on average."""
        return sum(self.gaps) / len(self.gaps) if self.gaps else 0.0

    @property
    def wrongfully_refused(self) -> bool:
        """Whether it ended refused although it arrived inside the customer's rate."""
        return self.verdict is Verdict.REFUSED and self.inside_rate

    @property
    def wrongful_refusals(self) -> list[Refusal]:
        """Refusals although the request was inside the customer's rate."""
        return [refusal for refusal in self.refusals if refusal.inside_rate]
