"""A small HTTP/1.1 server and client on plain sockets, for the stand-ins."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import NamedTuple

REASONS = {200: "OK", 202: "Accepted", 409: "Conflict", 412: "Precondition Failed"}


class Request(NamedTuple):
    """A request that was read completely."""

    method: str
    target: str
    headers: dict[str, str]
    """By name in lower case."""
    body: bytes

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """Return the parameters of the query, which need no decoding here."""
        pairs = self.target.partition("?")[2].split("&")
        return {k: v for k, _, v in (pair.partition("=") for pair in pairs if pair)}


class Connection(NamedTuple):
    """One accepted connection."""

    reader: asyncio.StreamReader
    writer: asyncio.StreamWriter

    def write(
        self,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
        *,
        framed: bool = True,
    ) -> None:
        """Write a response; without framing it ends with the connection."""
        self.writer.write(head(status, headers, len(body) if framed else None) + body)

    def reset(self) -> None:
        """Reset the connection."""
        reset(self.writer)


Handler = Callable[[Request, Connection], Awaitable[bool]]
"""Answers a request; returns whether the connection is kept."""


def head(status: int, headers: dict[str, str] | None, length: int | None) -> bytes:
    """Return the head of a response."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    if length is not None:
        lines.append(f"Content-Length: {length}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1")


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    writer.transport.abort()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Read one request, or return None if the connection has ended."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
        first, *lines = text.split("\r\n")
        method, target, _ = first.split(" ")
        headers = {
            name.strip().lower(): value.strip()
            for name, _, value in (line.partition(":") for line in lines if line)
        }
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, asyncio.IncompleteReadError, ValueError):
        return None
    return Request(method, target, headers, body)


@contextlib.asynccontextmanager
async def serve(
    handle: Handler, host: str, port: int = 0
) -> AsyncIterator[asyncio.Server]:
    """Serve requests while the context is open; yield the listening server."""
    tasks: set[asyncio.Task[None]] = set()

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        conn = Connection(reader, writer)
        try:
            while (req := await read_request(reader)) is not None:
                if not await handle(req, conn):
                    break
                await writer.drain()
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    server = await asyncio.start_server(accept, host, port, limit=1 << 20)
    try:
        yield server
    finally:
        server.close()
        for task in list(tasks):
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def address_of(server: asyncio.Server) -> str:
    """Return the address of a listening server, `host:port`."""
    host, port = server.sockets[0].getsockname()
    return f"{host}:{port}"


class Answer(NamedTuple):
    """What a client got on its connection."""

    status: int
    """0 if the connection ended before a status line."""
    headers: dict[str, str]
    body: bytes
    complete: bool
    """Whether the answer ended as complete by the rules of HTTP."""
    end: str
    """How it ended: `length`, `chunks`, `closed in order`, `reset` and so on."""


async def request(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    *,
    timeout: float = 30.0,
    max_segment: int = 0,
    receive_buffer: int = 0,
    read_rate: float = 0.0,
) -> Answer:
    """Send one request on a new connection and read its answer.

    Args:
        address: `host:port`.
        method: HTTP method.
        target: Path and query.
        headers: Headers to send; the length of a body is added.
        body: Body to send.
        timeout: Time limit for the whole answer, in seconds.
        max_segment: Largest TCP segment; 0 for that of the loopback interface.
        receive_buffer: Size of the socket's receive buffer; 0 for the default.
        read_rate: Bytes a second that are read at most; 0 for no limit.
    """
    host, _, port = address.rpartition(":")
    sock = socket.socket()
    sock.setblocking(False)
    if max_segment:
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, max_segment)
    if receive_buffer:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
    loop = asyncio.get_running_loop()
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    sent = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
    data, end = b"", "no answer in time"
    try:
        async with asyncio.timeout(timeout):
            await loop.sock_connect(sock, (host, int(port)))
            await loop.sock_sendall(sock, sent)
            while not _is_complete(data):
                began = loop.time()
                size = max(1, int(read_rate / 10)) if read_rate else 65_536
                chunk = await loop.sock_recv(sock, size)
                if not chunk:
                    end = "closed in order"
                    break
                data += chunk
                if read_rate:
                    await asyncio.sleep(
                        max(0.0, began + len(chunk) / read_rate - loop.time())
                    )
            else:
                end = "complete"
    except ConnectionResetError:
        end = "reset"
    except TimeoutError:
        end = "no answer in time"
    except OSError as exc:
        end = type(exc).__name__
    finally:
        sock.close()
    return _answer(data, end)


def _split(data: bytes) -> tuple[int, dict[str, str], bytes] | None:
    text, mark, rest = data.partition(b"\r\n\r\n")
    if not mark:
        return None
    first, *lines = text.decode("latin-1").split("\r\n")
    headers = {
        name.strip().lower(): value.strip()
        for name, _, value in (line.partition(":") for line in lines)
    }
    return int(first.split(" ")[1]), headers, rest


def _chunks(rest: bytes) -> tuple[bytes, bool]:
    """Return the content of a chunked body, and whether it is complete."""
    body = b""
    while True:
        size_text, mark, rest = rest.partition(b"\r\n")
        if not mark:
            return body, False
        size = int(size_text, 16)
        if size == 0:
            return body, rest.startswith(b"\r\n")
        body += rest[:size]
        if len(rest) < size + 2:
            return body, False
        rest = rest[size + 2 :]


def _is_complete(data: bytes) -> bool:
    split = _split(data)
    if split is None:
        return False
    _, headers, rest = split
    if "content-length" in headers:
        return len(rest) >= int(headers["content-length"])
    if "chunked" in headers.get("transfer-encoding", ""):
        return _chunks(rest)[1]
    return False


def _answer(data: bytes, end: str) -> Answer:
    split = _split(data)
    if split is None:
        return Answer(0, {}, b"", complete=False, end=end)
    status, headers, rest = split
    if "chunked" in headers.get("transfer-encoding", ""):
        rest, complete = _chunks(rest)
        return Answer(status, headers, rest, complete, end)
    if "content-length" in headers:
        return Answer(status, headers, rest, _is_complete(data), end)
    return Answer(status, headers, rest, end == "closed in order", end)
