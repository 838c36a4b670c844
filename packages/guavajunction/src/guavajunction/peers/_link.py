"""Outgoing connection to one peer address."""

from __future__ import annotations

import zmq
import zmq.asyncio

from ._keys import FleetKeys


class Link:
    """One outgoing connection to a peer's router. Sending never blocks.

    While the connection is down or its queue is full, messages are dropped and
    counted. They are not queued, because heartbeats and requests are useless when
    they arrive late.
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
        """Address that the peer's router listens on, `host:port`."""
        self.sent_bytes = 0
        """Payload bytes accepted by the connection."""
        self.sent_messages = 0
        """Messages accepted by the connection."""
        self.dropped = 0
        """Messages dropped because the connection was down or its queue full."""
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
        # Without a limit, TCP waits minutes after a network outage before it
        # retransmits.
        sock.tcp_maxrt = self.UNACKNOWLEDGED_MILLISECONDS
        sock.curve_serverkey = keys.public.encode("ascii")
        sock.curve_publickey = keys.public.encode("ascii")
        sock.curve_secretkey = keys.secret.encode("ascii")

    def send(self, payload: bytes) -> bool:
        """Queue a payload on the connection, or drop it.

        Returns:
            Whether the connection accepted the payload, which may still be lost.
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
        """Drop queued messages and close the connection."""
        self._socket.close(linger=0)
