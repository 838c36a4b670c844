"""Chooses the sizes of the kernel's buffers, which count as memory of the machine.

Designed for up to 7,000 connections of one process, each accepted once.
"""

from __future__ import annotations


class KernelBuffers:
    """Sizes of the buffers of a process' connections.

    The first connections get buffers of the usual size. Those that are accepted while
    many are open share what is left, so that a crowd whose bytes are not read can't
    fill the machine's memory.
    """

    USUAL_BYTES = 65_536
    """Size of each buffer, for which the kernel takes twice as much."""
    MIN_BYTES = 4_096
    OVERHEAD = 2
    """Memory of a buffer in relation to its size."""
    SHARE = 0.25
    """Share of the machine's memory. Half of it is for buffers of the usual size."""

    def __init__(self, memory: int | None, connections: int | None) -> None:
        """Create the choice.

        Args:
            memory: Memory of the machine in bytes; None for no limit.
            connections: Number of connections that may be open; None for any.
        """
        self._usual_connections: int | None = None
        self.least = self.USUAL_BYTES
        """Size of the buffers while many connections are open."""
        if memory is None or connections is None:
            return
        half = memory * self.SHARE / 2 / self.OVERHEAD
        self._usual_connections = int(half / self.USUAL_BYTES)
        least = int(half / connections)
        self.least = min(self.USUAL_BYTES, max(self.MIN_BYTES, least))

    def size_for(self, open_connections: int) -> int:
        """Return the size in bytes of the buffers of a new connection.

        Args:
            open_connections: Number of open connections, with the new one.
        """
        usual = self._usual_connections
        if usual is None or open_connections <= usual:
            return self.USUAL_BYTES
        return self.least
