"""Interfaces of the gateway to callers, backend servers and the deployment."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from guavajunction.quarantine import BackendId

from ._backend import BackendRecord
from ._framing import Framing
from ._request import GatewayRequest


class AnswerHead(NamedTuple):
    """Status and headers of a backend server's answer."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    not_run: bool
    """Whether the backend server reports that it did not run the request."""
    misdirected: bool
    """Whether the request needs another backend server: this one lacks the model, or is
    not the one addressed."""
    framing: Framing
    """How the end of the body is marked."""
    named_limit: str | None = None
    """Requests a second that the backend server takes from all instances together, as
    it wrote the number; None if it names no limit."""
    leaving: bool = False
    """Whether the backend server says that it leaves."""
    pause: str | None = None
    """Seconds for which the backend server wants no request of this instance, as it
    wrote the number; None if it names no time."""
    answered_by: str | None = None
    """Name of the backend server that sent a misdirected request back, if it named
    itself."""
    bears_rejections: str | None = None
    """Number of requests that the backend server can reject in a second without falling
    over, as it wrote the number; None if it names none."""

    @property
    def succeeded(self) -> bool:
        """Return whether the status says that the request was carried out."""
        return 200 <= self.status < 300


class BackendAnswer(Protocol):
    """An answer that is still arriving."""

    @property
    def head(self) -> AnswerHead:
        """Return status and headers."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            AnswerCut: The connection broke before the answer was complete.
        """
        ...


class BackendCaller(Protocol):
    """Sends requests to backend servers."""

    def send(
        self,
        backend: BackendRecord,
        req: GatewayRequest,
        *,
        customer: str | None,
        priority: int | None,
        seconds_left: float,
    ) -> AbstractAsyncContextManager[BackendAnswer]:
        """Send a request once and wait for the head of its answer.

        Args:
            backend: Where to send it; any other backend server refuses the request.
            req: The request.
            customer: Name of the customer, None for an anonymous request.
            priority: Its priority at the engine, 0 (most urgent) to 9, or None for the
                default.
            seconds_left: Time until the deadline for the answer.

        Raises:
            NotSent: Nothing was sent.
            OutcomeUnknown: It was sent but not answered, so it may have run.
        """
        ...


class ServerWatch(Protocol):
    """Learns whether this instance still reaches any backend server."""

    @property
    def is_cut(self) -> bool:
        """Return whether this instance reaches no backend server."""
        ...

    def begin(self) -> None:
        """Count a request that waits for bytes of its backend server."""
        ...

    def end(self) -> None:
        """Stop counting a request."""
        ...

    def note_bytes(self, now: float) -> None:
        """Record that a backend server sent bytes.

        Args:
            now: Time on the monotonic clock.
        """
        ...

    def note_refused(self, backend: BackendId) -> None:
        """Record that a connection could not be opened."""
        ...

    def note_lost(self, backend: BackendId) -> None:
        """Record that an open connection was lost."""
        ...

    async def settle(self) -> None:
        """Wait until it is known whether failed connections mean a cut."""
        ...


class AnswerSink(Protocol):
    """Sends an answer to the caller."""

    @property
    def started(self) -> bool:
        """Return whether the status line has been sent."""
        ...

    async def start(self, head: AnswerHead) -> None:
        """Send status and headers."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Send a part of the body."""
        ...

    async def finish(self) -> None:
        """Complete the answer."""
        ...

    def abort(self) -> None:
        """Close the connection, so that the caller sees an incomplete answer."""
        ...
