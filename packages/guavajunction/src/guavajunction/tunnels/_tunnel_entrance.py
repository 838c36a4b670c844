"""Opens connections to backend servers through instances that reach them."""

from __future__ import annotations

import asyncio
import random
import socket
from collections.abc import Callable
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.connections import open_socket

from . import _events as events
from ._handshake import NONCE_BYTES, TunnelReply, encode_wanted
from ._server_paths import ServerPaths
from ._tunnel_connector import NoTunnel


class TunnelExit(NamedTuple):
    """An instance that reaches backend servers."""

    name: str
    address: str
    """Address on which it accepts tunnels, `host:port`."""


class TunnelEntrance:
    """Implements `TunnelDialer` for an instance that is cut from backend servers."""

    MAX_EXITS = 3
    """Number of instances that are asked for one connection."""
    EXIT_SECONDS = 0.7
    """Timeout of one instance: its own connection may take 0.5 s."""
    AVOID_SECONDS = 1.0
    """Time for which an instance that gave no connection is asked last."""
    MAX_AVOIDED = 1024
    """Number of instances that are remembered as such."""

    def __init__(
        self,
        paths: ServerPaths,
        exits: Callable[[], list[TunnelExit]],
        backend_at: Callable[[str], str | None],
        clock: Clock,
        rng: random.Random,
    ) -> None:
        """Create an entrance, which opens nothing before it has the fleet's secret.

        Args:
            paths: Tells whether this instance is cut.
            exits: Returns the live instances that reach backend servers.
            backend_at: Returns the name of the backend server at an address.
            clock: Source of time.
            rng: Spreads the tunnels over the instances.
        """
        self._paths = paths
        self._exits = exits
        self._backend_at = backend_at
        self._clock = clock
        self._rng = rng
        self._avoid_until: dict[str, float] = {}
        self.may_lead: Callable[[TunnelExit, str], bool] = lambda *_: True
        """Returns whether a tunnel to a backend server may lead through an instance."""
        self.secret: str | None = None
        """The fleet's secret key; None before it is known."""

    @property
    def is_needed(self) -> bool:
        """Return whether new connections must lead through another instance.

        Without any instance that reaches backend servers, direct ones are tried.
        """
        return self._paths.is_cut and self.secret is not None and bool(self._exits())

    async def dial(self, address: str) -> socket.socket:
        """Return a connected socket to a backend server.

        Raises:
            NoTunnel: No other instance gave a path; nothing was sent.
            OSError: The backend server is unreachable for another instance as well.
        """
        backend = self._backend_at(address)
        if backend is None:
            raise ConnectionRefusedError(f"no backend server is known at {address}")
        for chosen in self._choose_exits(backend):
            reply, sock = await self._ask(chosen, backend)
            if sock is not None:
                events.TUNNEL_OPENED.log(backend=backend, instance=chosen.name)
                return sock
            events.TUNNEL_FAILED.log(
                backend=backend, instance=chosen.name, reason=reply
            )
            if reply == TunnelReply.SERVER_UNREACHABLE.name:
                raise ConnectionRefusedError(
                    f"instance {chosen.name!r} does not reach {backend!r}"
                )
            self._avoid(chosen)
        raise NoTunnel(f"no instance provides a path to {backend!r}")

    def _choose_exits(self, backend: str) -> list[TunnelExit]:
        now = self._clock.monotonic()
        exits = [one for one in self._exits() if self.may_lead(one, backend)]
        self._rng.shuffle(exits)
        exits.sort(key=lambda one: self._avoid_until.get(one.name, 0.0) > now)
        return exits[: self.MAX_EXITS]

    def _avoid(self, chosen: TunnelExit) -> None:
        self._avoid_until.pop(chosen.name, None)
        self._avoid_until[chosen.name] = self._clock.monotonic() + self.AVOID_SECONDS
        drop_oldest(self._avoid_until, self.MAX_AVOIDED)

    async def _ask(
        self, chosen: TunnelExit, backend: str
    ) -> tuple[str, socket.socket | None]:
        """Return the reply of an instance, and the socket if it is connected."""
        host, _, port = chosen.address.rpartition(":")
        loop = asyncio.get_running_loop()
        sock = open_socket(socket.AF_INET)
        try:
            async with asyncio.timeout(self.EXIT_SECONDS):
                await loop.sock_connect(sock, (host, int(port)))
                reply = await self._shake_hands(sock, backend)
        except (OSError, TimeoutError) as exc:
            sock.close()
            return type(exc).__name__, None
        except BaseException:
            sock.close()
            raise
        if reply is TunnelReply.CONNECTED:
            return reply.name, sock
        sock.close()
        return reply.name, None

    async def _shake_hands(self, sock: socket.socket, backend: str) -> TunnelReply:
        assert self.secret is not None
        loop = asyncio.get_running_loop()
        nonce = await _receive(sock, NONCE_BYTES)
        await loop.sock_sendall(sock, encode_wanted(backend, nonce, self.secret))
        reply = await _receive(sock, 1)
        try:
            return TunnelReply(reply[0])
        except ValueError as exc:
            raise ConnectionAbortedError(f"unknown reply {reply[0]}") from exc


async def _receive(sock: socket.socket, size: int) -> bytes:
    loop = asyncio.get_running_loop()
    data = b""
    while len(data) < size:
        chunk = await loop.sock_recv(sock, size - len(data))
        if not chunk:
            raise ConnectionAbortedError("the instance closed the connection")
        data += chunk
    return data
