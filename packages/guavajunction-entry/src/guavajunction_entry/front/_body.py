"""Reads and decodes request bodies, with limits on size and time."""

from __future__ import annotations

import asyncio
from typing import Annotated, Any, Literal

import msgspec
from aiohttp import web

from guavajunction.decoding import decode
from guavajunction.errors import (
    BadRequest,
    RequestTimeout,
    RequestTooLarge,
    WrongContentType,
)

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


class BodyReader:
    """Reads request bodies within a size limit and a timeout."""

    def __init__(self, max_bytes: int, timeout: float) -> None:
        self._max_bytes = max_bytes
        self._timeout = timeout

    async def read(self, req: web.Request) -> bytes:
        """Read a complete body.

        Raises:
            RequestTooLarge: The body exceeds the size limit.
            RequestTimeout: The body did not arrive within the timeout.
            BadRequest: The connection ended before the end of the body.
        """
        if (req.content_length or 0) > self._max_bytes:
            raise RequestTooLarge(f"a body may have {self._max_bytes} bytes")
        chunks: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(self._timeout):
                async for chunk in req.content.iter_any():
                    size += len(chunk)
                    if size > self._max_bytes:
                        raise RequestTooLarge(
                            f"a body may have {self._max_bytes} bytes"
                        )
                    chunks.append(chunk)
        except TimeoutError:
            raise RequestTimeout(
                f"the body did not arrive within {self._timeout:g} s",
                retry_after=BODY_READ_RETRY_SECONDS,
            ) from None
        except web.RequestPayloadError:
            raise BadRequest("the body ended early or is malformed") from None
        return b"".join(chunks)

    async def read_inference(self, req: web.Request) -> tuple[bytes, InferenceBody]:
        """Read and decode the body of a chat or completion request.

        Returns:
            The body as received, and its decoded fields.

        Raises:
            WrongContentType: The content type is not JSON.
            BadRequest: The body is not JSON, or a field has the wrong type.
        """
        if req.content_type != "application/json":
            raise WrongContentType("the body must be application/json")
        raw = await self.read(req)
        try:
            return raw, decode(_body_decoder, raw)
        except msgspec.DecodeError as exc:
            raise BadRequest(f"the body is not accepted: {exc}") from None
