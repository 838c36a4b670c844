"""Reads a streamed chat as a caller does."""

from __future__ import annotations

import json
import time

import aiohttp


class ChatStream:
    """The text of a stream, the time of each token, and whether it ended well."""

    def __init__(self) -> None:
        self.text = ""
        """Text so far."""
        self.times: list[float] = []
        """Monotonic time of each token, in seconds."""
        self.ended = False
        """Whether the end mark came."""
        self.error: dict[str, object] | None = None
        """Body of an error event."""
        self.used = 0.0
        """Tokens of prompt and answer, as the answer says."""

    async def read(self, resp: aiohttp.ClientResponse) -> None:
        """Read until the end mark, an error event or the end of the connection."""
        is_error = False
        async for raw in resp.content:
            line = raw.rstrip(b"\r\n")
            if line.startswith(b"event:"):
                is_error = line[6:].strip() == b"error"
            elif line.startswith(b"data:"):
                self._on_data(line[5:].strip(), is_error)
                is_error = False

    def _on_data(self, data: bytes, is_error: bool) -> None:
        if data == b"[DONE]":
            self.ended = True
            return
        body = json.loads(data)
        if is_error or "error" in body:
            self.error = body["error"]
            return
        content = body["choices"][0]["delta"].get("content", "")
        if content:
            self.times.append(time.monotonic())
            self.text += content
        if body.get("usage"):
            self.used = float(body["usage"]["total_tokens"])
