"""Free TCP ports for a fleet."""

from __future__ import annotations

import random
import socket

FIRST_PORT = 18_000
LAST_PORT = 32_000
"""Below the range that the kernel gives to outgoing connections."""
HOST = "127.0.0.1"


def find_free_ports(count: int) -> list[int]:
    """Return consecutive ports that nothing listens on now."""
    while True:
        first = random.randrange(FIRST_PORT, LAST_PORT - count)
        ports = list(range(first, first + count))
        if all(_is_free(port) for port in ports):
            return ports


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((HOST, port))
        except OSError:
            return False
        return True
