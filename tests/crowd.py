"""Clients that do not stay inside the limits, over raw sockets."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator
from typing import NamedTuple

from guavajunction.connections import open_stream
from guavajunction_fakes.deployment import HOST

WRITE_BYTES = 65_536
"""Bytes that a client hands to its socket at once."""
MAX_STALLED_SECONDS = 1.5
"""A client that can't send for this long counts as having sent all that is taken."""
MAX_CALM_SECONDS = 20.0
"""Time for the answer to a request without other load."""


class Traffic(NamedTuple):
    """What each client of a crowd sends."""

    name: str
    head: str
    """Request line and headers after `METHOD PATH`, without the empty line."""
    body: bytes
    repeats: int = 1
    """Number of copies of the whole that each client sends."""
    prefix: bytes = b""
    """What precedes the first request line."""

    def pieces(self, path: str) -> Iterator[bytes]:
        """Yield the bytes that one client sends, in pieces."""
        head = f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n{self.head}\r\n"
        request = head.encode("latin-1") + self.body
        whole = self.prefix + request * self.repeats
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


def unfinished_head(name: str, field: str, size: int) -> Traffic:
    """Return heads of one field many times, without the empty line at their end.

    Args:
        name: Name of the traffic.
        field: The field, without its line end.
        size: Bytes of the fields.
    """
    fields = f"{field}\r\n" * (size // (len(field) + 2))
    return Traffic(name, caller_head() + fields[:-2], b"")


def short_fields(name: str, size: int, body: bytes, repeats: int = 1) -> Traffic:
    """Return complete heads of the shortest fields, with bodies of 1,000 bytes.

    Args:
        name: Name of the traffic.
        size: Bytes of the shortest fields.
        body: What is sent of each body.
        repeats: Number of copies that each client sends.
    """
    head = caller_head() + "a:\r\n" * (size // 4) + "Content-Length: 1000\r\n"
    return Traffic(name, head, body, repeats)


def endless_line(size: int) -> Traffic:
    """Return heads whose last line has no end."""
    return Traffic("endless-line", caller_head() + "a: " + "x" * size, b"")


def empty_lines(count: int) -> Traffic:
    """Return empty lines before a request that does not follow."""
    return Traffic("empty-lines", caller_head()[:-2], b"", prefix=b"\r\n" * count)


def trailers(name: str, count: int) -> Traffic:
    """Return bodies in chunks whose trailers do not end."""
    head = caller_head() + "Transfer-Encoding: chunked\r\n"
    return Traffic(name, head, b"1\r\nx\r\n0\r\n" + b"a:\r\n" * count)


def endless_extension(size: int) -> Traffic:
    """Return bodies whose first chunk has an extension without end."""
    head = caller_head() + "Transfer-Encoding: chunked\r\n"
    return Traffic("endless-extension", head, b"1;" + b"x" * size)


def usual_fields(name: str, count: int, body: bytes, repeats: int = 1) -> Traffic:
    """Return heads of a usual number of fields, with bodies of 1,000 bytes.

    Args:
        name: Name of the traffic.
        count: Number of fields besides those that all callers send.
        body: What is sent of each body.
        repeats: Number of copies that each client sends.
    """
    fields = "".join(f"f{n}: {n}\r\n" for n in range(count))
    head = caller_head() + fields + "Content-Length: 1000\r\n"
    return Traffic(name, head, body, repeats)


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


async def send_largest_head(
    address: str, port: int, path: str, field: str, size: int
) -> int:
    """Send one request whose header lines have `size` bytes; return the status.

    The lines are those that callers send, and copies of `field`.
    """
    known = f"Host: {HOST}\r\n{caller_head()}Connection: close\r\nContent-Length: 0\r\n"
    count, rest = divmod(size - len(known) - len("r:\r\n"), len(field) + 2)
    lines = known + f"{field}\r\n" * count + f"r:{'x' * rest}\r\n"
    assert len(lines) == size
    async with open_stream(address, port) as (reader, writer):
        writer.write(f"POST {path} HTTP/1.1\r\n{lines}\r\n".encode())
        async with asyncio.timeout(MAX_CALM_SECONDS):
            return int((await reader.read()).split(b" ", 2)[1])
