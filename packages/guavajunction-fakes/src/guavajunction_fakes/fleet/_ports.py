"""Finds free TCP ports for a fleet."""

from __future__ import annotations

import random
import socket

FIRST_PORT = 18_000
LAST_PORT = 32_000
"""Kept below the range of ephemeral ports of outgoing connections."""
HOST = "127.0.0.1"


def find_free_ports(count: int) -> list[int]:
    """Return consecutive ports that are free at the moment.

    They are not reserved: another process may bind one before the caller does.
    """
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
