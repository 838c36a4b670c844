"""What the gateway needs from callers, backend servers and its deployment."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager
from typing import NamedTuple, Protocol

from ._backend import BackendRecord
from ._request import GatewayRequest


class AnswerHead(NamedTuple):
    """Status and headers of a backend server's answer."""

    status: int
    reason: str
    headers: tuple[tuple[str, str], ...]
    not_run: bool
    """Whether the backend server says that it did not run the request."""
    misdirected: bool
    """Whether it lacks the model or is another backend server than the one meant."""
    length: int | None
    """Bytes of the body if the backend server says so beforehand."""


class BackendAnswer(Protocol):
    """An answer that is still arriving."""

    @property
    def head(self) -> AnswerHead:
        """Return status and headers."""
        ...

    def chunks(self) -> AsyncIterator[bytes]:
        """Yield the body as it arrives.

        Raises:
            AnswerCut: The answer ended before it was whole.
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
            backend: Where to; any other backend server refuses the request.
            req: The request.
            customer: Whom it runs for.
            priority: Its rank at the engine, 0 to 9, or None for the default.
            seconds_left: Time that the backend server may take.

        Raises:
            NotSent: No byte went out.
            OutcomeUnknown: It went out and no answer came: it may have run.
        """
        ...


class AnswerSink(Protocol):
    """The caller's side of an answer."""

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
        """End a whole answer."""
        ...

    def abort(self) -> None:
        """Cut the connection, so that the answer cannot be taken for whole."""
        ...
