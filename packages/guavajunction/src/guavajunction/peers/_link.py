"""The sending side towards one address."""

from __future__ import annotations

import zmq
import zmq.asyncio

from ._keys import FleetKeys


class Link:
    """One connection to a peer's router. Sending never waits.

    While the connection is not up, or its queue is full, messages are dropped and
    counted instead of kept: what is sent late helps nobody.
    """

    HIGH_WATER_MARK_MESSAGES = 1000
    RECONNECT_MILLISECONDS = 100
    RECONNECT_MAX_MILLISECONDS = 2000
    CONNECT_MILLISECONDS = 2000
    UNACKNOWLEDGED_MILLISECONDS = 5000

    def __init__(
        self, context: zmq.asyncio.Context, address: str, keys: FleetKeys
    ) -> None:
        self.address = address
        """Where the peer's router listens, `host:port`."""
        self.sent_bytes = 0
        """Payload handed to the connection."""
        self.sent_messages = 0
        """Messages handed to the connection."""
        self.dropped = 0
        """Messages that found no connection or a full queue."""
        self._socket: zmq.Socket[bytes] = context.socket(
            zmq.DEALER, socket_class=zmq.Socket
        )
        self._configure(keys)
        self._socket.connect(f"tcp://{address}")

    def _configure(self, keys: FleetKeys) -> None:
        sock = self._socket
        sock.linger = 0
        sock.sndhwm = self.HIGH_WATER_MARK_MESSAGES
        sock.immediate = 1
        sock.reconnect_ivl = self.RECONNECT_MILLISECONDS
        sock.reconnect_ivl_max = self.RECONNECT_MAX_MILLISECONDS
        sock.connect_timeout = self.CONNECT_MILLISECONDS
        # After a cut, TCP alone would wait minutes before it sends again.
        sock.tcp_maxrt = self.UNACKNOWLEDGED_MILLISECONDS
        sock.curve_serverkey = keys.public.encode("ascii")
        sock.curve_publickey = keys.public.encode("ascii")
        sock.curve_secretkey = keys.secret.encode("ascii")

    def send(self, payload: bytes) -> bool:
        """Hand a payload to the connection, or drop it.

        Returns:
            Whether the connection took it; it may still be lost.
        """
        try:
            self._socket.send(payload, zmq.NOBLOCK)
        except zmq.ZMQError:
            self.dropped += 1
            return False
        self.sent_bytes += len(payload)
        self.sent_messages += 1
        return True

    def close(self) -> None:
        """Drop what is queued and close the connection."""
        self._socket.close(linger=0)
