"""Record of the requests, runs, changes and faults of a soak."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction_fakes.deployment import OrderBody, Run


class Call(NamedTuple):
    """One request with the result that its caller received."""

    request_id: str
    kind: str
    """Name of the route."""
    target: str
    """Path and query."""
    key: str
    """API key of the request."""
    sent_at: float
    """Seconds of the monotonic clock, as all times in this module."""
    status: int | None = None
    """Status of the response; None if no complete response was received."""
    sealed: bool = False
    """Whether the response has a runner's seal header."""
    answered_id: str | None = None
    """Request that the response names in its header, also if it is not complete."""
    body: bytes = b""
    """Body, or the part of it that arrived before the connection broke."""
    resumes: str = ""
    """Id of the request that began the stream; empty if this one begins it."""
    resume_after: int = 0
    """Number of the last event that the caller has of the stream."""
    crashing: bool = False
    """Whether its prompt has the part on which engines crash, or it is the request on
    which all runners crash."""

    @property
    def stream(self) -> str:
        """Return the id of the request that began the stream."""
        return self.resumes or self.request_id

    @property
    def last_event(self) -> int:
        """Return the number of the last complete event that the caller has."""
        return self.resume_after + self.body.count(b"\n\n")


class Change(NamedTuple):
    """A change that the operator or a runner wrote to the store."""

    at: float
    kind: str
    """`drain` or `keys`."""
    subject: str
    """Name of the draining runner, or the withdrawn API key."""
    until: float = float("inf")
    """Time at which the change was undone."""


class Crash(NamedTuple):
    """A crash of a runner on a request, or on a part of a prompt."""

    at: float
    runner: str


class LimitedRunner(NamedTuple):
    """A runner that names a limit during the whole soak."""

    limit: float
    """Requests a second."""
    arrived_at: tuple[float, ...]
    """Times of all requests that arrived, orders and reports included."""


class EndedInstance(NamedTuple):
    """An instance that ended while callers used it, without any other fault."""

    name: str
    planned: bool
    """Whether it was stopped, not killed."""
    exit_status: int | None
    calls: tuple[Call, ...]


class History(NamedTuple):
    """Record of one soak, on which the guarantees are checked."""

    calls: tuple[Call, ...]
    runs: dict[str, tuple[Run, ...]]
    """Executed requests by runner."""
    changes: tuple[Change, ...]
    fault_periods: tuple[tuple[float, float], ...]
    """Start and end of each fault."""
    overloads: dict[str, tuple[str, ...]]
    """By runner: artifacts whose load orders exceeded its memory or adapter slots."""
    unexpected_exits: tuple[str, ...]
    """Names of instances whose process exited without a planned kill or stop."""
    failed_stops: tuple[str, ...]
    """Planned stops in which the process did not exit in time with status 0."""
    recovery_deadline: float
    """Time from which requests should be served normally after the last fault."""
    stream_events: int
    """Number of events in a complete stream."""
    customer: str
    """Name of the customer that all requests belong to."""
    crashes: tuple[Crash, ...] = ()
    reports_lost_at: float = float("-inf")
    """Latest time at which all instances were killed about when the store lost its
    last rows, so that no report of a crash may have been left."""
    crashing_arrivals: tuple[float, ...] = ()
    """Times at which requests with the crashing part reached runners."""
    request_crashes: tuple[Crash, ...] = ()
    crashing_runs: tuple[float, ...] = ()
    """Times at which runners began to run the crashing request."""
    limited: LimitedRunner | None = None
    falls: tuple[Crash, ...] = ()
    """When brittle runners fell over under the requests that they rejected."""
    orders: tuple[OrderBody, ...] = ()
    """Orders that reached runners, including refused ones."""
    ended: EndedInstance | None = None
    copies: int | None = None
    """Number of answers that runners wrote a second time; None if none were to be."""

    @property
    def checked_answers(self) -> int:
        """Return the number of complete answers of runners that callers received."""
        calls = self.calls + (self.ended.calls if self.ended else ())
        return sum(call.sealed and call.status is not None for call in calls)
