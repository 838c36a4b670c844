"""Reads a streamed chat completion."""

from __future__ import annotations

import json
import time

import aiohttp


class ChatStream:
    """Text, token times, usage and end state of a streamed chat completion."""

    def __init__(self) -> None:
        self.text = ""
        """Generated text received so far."""
        self.token_times: list[float] = []
        """Monotonic time of each token, in seconds."""
        self.ended = False
        """Whether the end marker `[DONE]` was received."""
        self.error: dict[str, object] | None = None
        """Error object of an error event, None if there was none."""
        self.total_tokens = 0.0
        """Total tokens of prompt and answer, from the `usage` field."""

    async def read(self, resp: aiohttp.ClientResponse) -> None:
        """Read events until the response body ends."""
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
            self.token_times.append(time.monotonic())
            self.text += content
        if body.get("usage"):
            self.total_tokens = float(body["usage"]["total_tokens"])
