"""Reads and decodes request bodies, with limits on size and time."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import ExitStack
from typing import Annotated, Any, Literal

import msgspec
from aiohttp import web

from guavajunction.clock import Clock
from guavajunction.decoding import decode
from guavajunction.errors import (
    BadRequest,
    RequestTimeout,
    RequestTooLarge,
    WrongContentType,
)
from guavajunction.memory import Holding, MemoryBudget

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

BODY_READ_RETRY_SECONDS = 1.0
"""Delay suggested to callers for a retry after a body did not arrive in time."""


class Message(msgspec.Struct):
    """One message of a chat completion request."""

    role: str
    content: str | list[Any] | None = None

    @property
    def text(self) -> str:
        """Return the text of the message, with its parts joined."""
        if isinstance(self.content, str):
            return self.content
        parts = self.content or []
        return "".join(
            str(part.get("text", "")) for part in parts if isinstance(part, dict)
        )


class InferenceBody(msgspec.Struct):
    """The fields of an OpenAI-compatible body that admission and routing use."""

    model: str
    messages: list[Message] = []
    prompt: str | list[Any] = ""
    stream: bool = False
    max_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    max_completion_tokens: Annotated[int, msgspec.Meta(ge=1)] | None = None
    service_tier: Literal["auto", "default", "flex", "priority"] | None = None

    @property
    def prompt_text(self) -> str:
        """Return the text of all messages, or of `prompt` if there are no messages."""
        if self.messages:
            return "\n".join(message.text for message in self.messages)
        return self.prompt if isinstance(self.prompt, str) else str(self.prompt)

    @property
    def prefix_text(self) -> str:
        """Return the text that identifies the prompt's prefix.

        The text consists of the first system message and the first user message, or of
        the prompt if there are no messages.
        """
        if not self.messages:
            return self.prompt_text
        system = [m.text for m in self.messages if m.role == "system"][:1]
        user = [m.text for m in self.messages if m.role == "user"][:1]
        return "\n".join(system + user)


_body_decoder = msgspec.json.Decoder(InferenceBody)


RESOURCES = web.RequestKey("resources", ExitStack)
"""Key of what a request holds until it is answered."""


@web.middleware
async def release_resources(req: web.Request, handler: Handler) -> web.StreamResponse:
    """Release what a request holds once it is answered."""
    with ExitStack() as stack:
        req[RESOURCES] = stack
        return await handler(req)


class BodyReader:
    """Reads request bodies within a size limit, a timeout and a memory budget."""

    def __init__(
        self, max_bytes: int, timeout: float, budget: MemoryBudget, clock: Clock
    ) -> None:
        """Create a reader.

        Args:
            max_bytes: Size limit of a body, in bytes.
            timeout: Time for a body to arrive, in seconds.
            budget: What requests may hold in this process.
            clock: Source of time of the budget.
        """
        self._max_bytes = max_bytes
        self._timeout = timeout
        self._budget = budget
        self._clock = clock

    async def read(self, req: web.Request, customer: str | None = None) -> bytes:
        """Read a complete body, which counts in the budget until the answer.

        Args:
            req: The request.
            customer: Name of the customer whose key it has; None without one.

        Raises:
            MemoryShort: Memory is short, and the request is refused or was shed.
            RequestTooLarge: The body exceeds the size limit.
            RequestTimeout: The body did not arrive within the timeout.
            BadRequest: The connection ended before the end of the body.
        """
        if (req.content_length or 0) > self._max_bytes:
            raise RequestTooLarge(f"a body may have {self._max_bytes} bytes")
        task = asyncio.current_task()
        assert task is not None
        holding = req[RESOURCES].enter_context(self._budget.hold(task.cancel))
        if customer is not None:
            holding.note_known(customer)
        try:
            async with asyncio.timeout(self._timeout):
                with holding.refused_if_shed():
                    holding.reserve_head(len(req.raw_headers))
                    holding.reserve_body(req.content_length or 0)
                    body = await self._gather(req, holding)
        except TimeoutError:
            raise RequestTimeout(
                f"the body did not arrive within {self._timeout:g} s",
                retry_after=BODY_READ_RETRY_SECONDS,
            ) from None
        except web.RequestPayloadError:
            raise BadRequest("the body ended early or is malformed") from None
        holding.note_sent()
        return body

    async def _gather(self, req: web.Request, holding: Holding) -> bytes:
        chunks: list[bytes] = []
        async for chunk in req.content.iter_any():
            holding.receive(len(chunk), self._clock.monotonic())
            if holding.received > self._max_bytes:
                raise RequestTooLarge(f"a body may have {self._max_bytes} bytes")
            chunks.append(chunk)
        return b"".join(chunks)

    async def read_inference(
        self, req: web.Request, customer: str
    ) -> tuple[bytes, InferenceBody]:
        """Read and decode the body of a chat or completion request.

        Args:
            req: The request.
            customer: Name of the customer whose key it has.

        Returns:
            The body as received, and its decoded fields.

        Raises:
            WrongContentType: The content type is not JSON.
            BadRequest: The body is not JSON, or a field has the wrong type.
        """
        if req.content_type != "application/json":
            raise WrongContentType("the body must be application/json")
        raw = await self.read(req, customer)
        try:
            return raw, decode(_body_decoder, raw)
        except msgspec.DecodeError as exc:
            raise BadRequest(f"the body is not accepted: {exc}") from None
