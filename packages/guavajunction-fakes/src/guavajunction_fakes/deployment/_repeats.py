"""Answers that a faulty runner writes a second time."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import Iterator
from enum import StrEnum

from aiohttp import web


class AnswerRepeat(StrEnum):
    """When a faulty runner writes an answer again on the connection that it kept."""

    NEVER = "never"
    AT_ONCE = "at once"
    LATER = "later"
    BEFORE_NEXT = "before the answer to the next request"


class AnswerRepeater:
    """Writes answers of one runner again, but never inside another answer."""

    LATER_SECONDS = 0.06
    """Longest time after which an answer is written again."""

    def __init__(self) -> None:
        self.copies = 0
        """Number of answers that were written again."""
        self._pending: dict[asyncio.Transport, bytes] = {}
        """Copies that are due before the next answer on a connection."""
        self._begun: dict[asyncio.Transport, bytes] = {}
        """Copies that are due after the answer that is being written."""

    def write_pending(self, transport: asyncio.Transport | None) -> None:
        """Write the answer that is due before the next one on a connection, if any."""
        copy = self._pending.pop(transport, None) if transport else None
        if transport is not None and copy is not None:
            self._write(transport, copy)

    @contextlib.contextmanager
    def answering(self, transport: asyncio.Transport) -> Iterator[None]:
        """Write no copy on a connection while the context is open."""
        self._begun[transport] = b""
        try:
            yield
        finally:
            self._write(transport, self._begun.pop(transport))

    def _write_when_idle(self, transport: asyncio.Transport, copy: bytes) -> None:
        if transport in self._begun:
            self._begun[transport] += copy
        else:
            self._write(transport, copy)

    def write_again(
        self, transport: asyncio.Transport, copy: bytes, when: AnswerRepeat
    ) -> None:
        """Write an answer again.

        Args:
            transport: Connection that carried it.
            copy: Its bytes.
            when: Time of the copy.
        """
        if when is AnswerRepeat.BEFORE_NEXT:
            self._pending[transport] = copy
        elif when is AnswerRepeat.LATER:
            delay = random.uniform(0.0, self.LATER_SECONDS)
            asyncio.get_running_loop().call_later(
                delay, self._write_when_idle, transport, copy
            )
        elif when is AnswerRepeat.AT_ONCE:
            self._write(transport, copy)

    def _write(self, transport: asyncio.Transport, copy: bytes) -> None:
        self.copies += bool(copy) and not transport.is_closing()
        write(transport, copy)


def encode_response(resp: web.StreamResponse, body: bytes) -> bytes:
    """Return the bytes of a response that has been sent with a length or in chunks."""
    head = [f"HTTP/1.1 {resp.status} {resp.reason}"]
    head += [f"{name}: {value}" for name, value in resp.headers.items()]
    if "Transfer-Encoding" in resp.headers:
        body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    elif "Content-Length" not in resp.headers:
        head.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*head, "", ""]).encode() + body


@contextlib.contextmanager
def in_one_segment(transport: asyncio.Transport) -> Iterator[None]:
    """Send what is written meanwhile together."""
    sock = transport.get_extra_info("socket")
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 1)
    try:
        yield
    finally:
        if not transport.is_closing():
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_CORK, 0)


def write(transport: asyncio.Transport, data: bytes) -> None:
    """Write to a connection that may have been closed meanwhile."""
    if data and not transport.is_closing():
        transport.write(data)
