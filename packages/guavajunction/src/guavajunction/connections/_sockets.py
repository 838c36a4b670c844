"""Socket options by which the end of a silent connection is noticed in time."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

USER_TIMEOUT_MS = 2000
"""A connection is closed if sent data stays unacknowledged for this long. It also
decides when keepalive probes give up, whatever their number."""
KEEPALIVE_IDLE_SECONDS = 1
"""Idle time of a connection before the first keepalive probe."""
KEEPALIVE_INTERVAL_SECONDS = 1
KEEPALIVE_PROBES = 2
"""Number of unanswered keepalive probes after which a connection is closed."""

NO_LINGER = struct.pack("ii", 1, 0)
"""Value of SO_LINGER with which closing a socket resets its connection."""
LINGER = struct.pack("ii", 0, 0)
"""Value of SO_LINGER with which a socket is closed in order."""


def open_socket(
    family: int, kind: int = socket.SOCK_STREAM, proto: int = 0
) -> socket.socket:
    """Return a non-blocking socket with the timers of the product's connections."""
    sock = socket.socket(family, kind, proto)
    set_timers(sock)
    sock.setblocking(False)
    return sock


def set_timers(sock: socket.socket) -> None:
    """Set the timers of an open socket."""
    options = (
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        sock.setsockopt(level, option, value)


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection, which marks what it carried as incomplete.

    `transport.abort` alone would close the connection in order.
    """
    reset_when_closed(transport)
    transport.abort()


def reset_when_closed(transport: asyncio.WriteTransport) -> None:
    """Make any end of this process's side of a connection reset it.

    This includes the end of the process, after which nothing else could.
    """
    _set_linger(transport, NO_LINGER)


def close_in_order(transport: asyncio.WriteTransport) -> None:
    """Undo `reset_when_closed`."""
    _set_linger(transport, LINGER)


def _set_linger(transport: asyncio.WriteTransport, value: bytes) -> None:
    sock = transport.get_extra_info("socket")
    if sock is not None:
        # uvloop raises `ValueError` for a connection that is closed already.
        with contextlib.suppress(OSError, ValueError):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, value)
