"""Clients that do not stay inside the limits, over raw sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import NamedTuple

from guavajunction_fakes.deployment import HOST

WRITE_BYTES = 65_536
"""Bytes that a client hands to its socket at once."""
MAX_STALLED_SECONDS = 1.5
"""A client that can't send for this long counts as having sent all that is taken."""


class Traffic(NamedTuple):
    """What each client of a crowd sends."""

    name: str
    head: str
    """Request line and headers after `METHOD PATH`, without the empty line."""
    body: bytes
    repeats: int = 1
    """Number of copies of the whole that each client sends."""

    def pieces(self, path: str) -> Iterator[bytes]:
        """Yield the bytes that one client sends, in pieces."""
        head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{self.head}\r\n"
        whole = (head.encode() + self.body) * self.repeats
        for start in range(0, len(whole), WRITE_BYTES):
            yield whole[start : start + WRITE_BYTES]


def caller_head(number: int | str = 0) -> str:
    """Return the headers that the platform's callers send."""
    return (
        f"X-Attempt-Id: crowd-{number}\r\nX-Deadline-Ms: 20000\r\n"
        "Authorization: Token key-of-atelier\r\n"
    )


def unfinished_body(size: int) -> Traffic:
    """Return bodies that stop ten bytes before their end."""
    head = caller_head() + f"Content-Length: {size}\r\n"
    return Traffic("unfinished-body", head, b"x" * (size - 10))


def unfinished_chunks(size: int) -> Traffic:
    """Return bodies in chunks of 10,000 bytes whose last chunk is missing."""
    chunk = b"2710\r\n" + b"x" * 10_000 + b"\r\n"
    head = caller_head() + "Transfer-Encoding: chunked\r\n"
    return Traffic("unfinished-chunks", head, chunk * (size // 10_000 - 1))


def tiny_chunks(count: int) -> Traffic:
    """Return bodies in chunks of one byte whose last chunk is missing."""
    head = caller_head() + "Transfer-Encoding: chunked\r\n"
    return Traffic("tiny-chunks", head, b"1\r\nx\r\n" * count)


def oversized_body(size: int) -> Traffic:
    """Return bodies far over the limit."""
    head = caller_head() + f"Content-Length: {size}\r\n"
    return Traffic("oversized-body", head, b"x" * size)


def oversized_chunks(size: int) -> Traffic:
    """Return bodies far over the limit, in chunks."""
    chunk = b"2710\r\n" + b"x" * 10_000 + b"\r\n"
    head = caller_head() + "Transfer-Encoding: chunked\r\n"
    return Traffic("oversized-chunks", head, chunk * (size // 10_000))


def many_fields(count: int, repeats: int) -> Traffic:
    """Return requests with very many short fields, one after another."""
    fields = "".join(f"f{n}: 1\r\n" for n in range(count))
    head = caller_head() + fields + "Content-Length: 0\r\n"
    return Traffic("many-fields", head, b"", repeats=repeats)


def endless_head(size: int) -> Traffic:
    """Return heads that never end."""
    fields = "".join(f"f{n}: {'x' * 1000}\r\n" for n in range(size // 1000))
    return Traffic("endless-head", caller_head() + fields[:-2], b"")


def pipelined(count: int) -> Traffic:
    """Return many requests ahead on one connection; no answer is read."""
    head = caller_head() + "Content-Length: 6\r\n"
    return Traffic("pipelined", head, b"a body", repeats=count)


class Crowd:
    """A context that keeps the connections of a crowd open."""

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def __enter__(self) -> Crowd:
        return self

    def __exit__(self, *_: object) -> None:
        for sock in self._sockets:
            sock.close()

    async def send(
        self, address: str, port: int, path: str, traffic: Traffic, callers: int
    ) -> None:
        """Send the traffic from each caller at once, until nothing more is taken."""
        pieces = list(traffic.pieces(path))
        await asyncio.gather(
            *(self._send_one(address, port, pieces) for _ in range(callers))
        )

    async def _send_one(self, address: str, port: int, pieces: list[bytes]) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setblocking(False)
        self._sockets.append(sock)
        # The server may close at any moment, which is its right.
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(MAX_STALLED_SECONDS):
                await loop.sock_connect(sock, (address, port))
            for piece in pieces:
                async with asyncio.timeout(MAX_STALLED_SECONDS):
                    await loop.sock_sendall(sock, piece)
