"""Records HTTP sessions as text in which values that vary between runs are replaced."""

from __future__ import annotations

import asyncio
import re
from pathlib import Path

PLACEHOLDERS = (
    (re.compile(r"gj_[0-9a-f]{12}_[0-9a-f]{48}"), "KEY"),
    (re.compile(r"\b[0-9a-f]{24}\b"), "REQUEST-ID"),
    (re.compile(r"(?i)^< Date: .*$", re.M), "< Date: DATE"),
    (re.compile(r"(?i)^< Server: .*$", re.M), "< Server: SERVER"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r'"port": ?\d+'), '"port": PORT'),
    (re.compile(r'"retry_after":[0-9.e-]+'), '"retry_after":SECONDS'),
    (re.compile(r"(?i)^< Retry-After: \d+$", re.M), "< Retry-After: SECONDS"),
    (re.compile(r'"server": "[a-z]+-\d+"'), '"server": "SERVER"'),
    (re.compile(r'"number": \d+'), '"number": NUMBER'),
    (re.compile(r"engine-\d+"), "ENGINE"),
    (re.compile(r"(?i)^< Content-Length: \d+$", re.M), "< Content-Length: LENGTH"),
)
"""Patterns of values that vary between runs, and their placeholders."""


class WireSession:
    """Client of one connection at a time, with a transcript of all its traffic."""

    def __init__(self) -> None:
        self._lines: list[str] = []
        self._reader: asyncio.StreamReader
        self._writer: asyncio.StreamWriter | None = None

    async def connect(self, port: int, name: str) -> None:
        """Open a connection, also to another instance, and record it.

        The one before it is closed.
        """
        self.close()
        self._reader, self._writer = await asyncio.open_connection("127.0.0.1", port)
        self._lines.append(f"-- connection to {name}")

    def note(self, text: str) -> None:
        """Add a line to the transcript about an event outside the connection."""
        self._lines.append(f"-- {text}")

    async def send_request(self, head: str, key: str = "", body: str = "") -> str:
        """Send a request and record it with its response.

        Args:
            head: Method, path and further header lines.
            key: Customer's key, empty to send none.
            body: Request body, empty to send none.

        Returns:
            The body of the response.
        """
        request_line, *headers = head.split("\n")
        lines = [f"{request_line} HTTP/1.1", "Host: guavajunction", *headers]
        if key:
            lines.append(f"Authorization: Bearer {key}")
        if body:
            lines.append(f"Content-Length: {len(body.encode())}")
        request = "\r\n".join([*lines, "", body])
        assert self._writer is not None
        self._writer.write(request.encode())
        self._record(">", request)
        response_head, response_body = await asyncio.wait_for(self._read_response(), 20)
        self._record("<", f"{response_head}\n{response_body}")
        return response_body

    async def is_closed(self) -> bool:
        """Return whether the instance has closed the connection."""
        try:
            return await asyncio.wait_for(self._reader.read(1), 5) == b""
        except TimeoutError:
            return False

    def close(self) -> None:
        """Close the connection, if any."""
        if self._writer is not None:
            self._writer.close()

    def transcript(self) -> str:
        """Return the session with placeholders for values that vary between runs."""
        text = "\n".join(self._lines) + "\n"
        for pattern, placeholder in PLACEHOLDERS:
            text = pattern.sub(placeholder, text)
        return text

    async def _read_response(self) -> tuple[str, str]:
        head = (await self._reader.readuntil(b"\r\n\r\n")).decode()
        lower = head.lower()
        if "transfer-encoding: chunked" in lower:
            return head.strip(), await self._read_chunked_body()
        length = re.search(r"content-length: (\d+)", lower)
        size = int(length[1]) if length else 0
        return head.strip(), (await self._reader.readexactly(size)).decode()

    async def _read_chunked_body(self) -> str:
        body = b""
        while size := int(await self._reader.readline(), 16):
            body += await self._reader.readexactly(size)
            await self._reader.readline()
        await self._reader.readline()
        return body.decode()

    def _record(self, prefix: str, text: str) -> None:
        lines = text.replace("\r\n", "\n").rstrip("\n").split("\n")
        self._lines.extend(f"{prefix} {line}".rstrip() for line in lines)


def check_golden(path: Path, transcript: str, *, update: bool) -> None:
    """Compare a transcript with its golden file, or write the file."""
    if update:
        path.write_text(transcript)
    assert path.read_text() == transcript
