"""HTTP client connections that lead through another instance while this one is cut."""

from __future__ import annotations

import asyncio
import socket
from contextlib import ExitStack
from typing import Any, Protocol

import aiohttp

from guavajunction.connections import StrictConnection, StrictConnector


class NoTunnel(ConnectionError):
    """No other instance gave a path to a backend server."""


class TunnelDialer(Protocol):
    """Opens connections through other instances."""

    @property
    def is_needed(self) -> bool:
        """Return whether new connections must lead through another instance."""
        ...

    async def dial(self, address: str) -> socket.socket:
        """Return a connected socket to a backend server.

        Args:
            address: Address of the backend server, `host:port`.

        Raises:
            NoTunnel: No other instance gave a path; nothing was sent.
            OSError: The backend server is unreachable for another instance as well.
        """
        ...


class TunnelConnector(StrictConnector):
    """Opens direct connections, or tunnels while the dialer needs them.

    A tunnel carries one request, so that the instance at its end knows when it may
    stop.
    """

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        self.dialer: TunnelDialer | None = None
        """Opens tunnels; None for direct connections only."""

    def drop_idle(self) -> None:
        """Close the idle connections, which may lead nowhere."""
        for connections in self._conns.values():
            for connection, _ in connections:
                connection.close()
        self._conns.clear()

    async def _wrap_create_connection(
        self,
        *args: Any,
        req: aiohttp.ClientRequest,
        timeout: aiohttp.ClientTimeout,
        client_error: type[Exception] = aiohttp.ClientConnectorError,
        **kwargs: Any,
    ) -> tuple[asyncio.Transport, StrictConnection]:
        if self.dialer is None or not self.dialer.is_needed:
            return await super()._wrap_create_connection(
                *args, req=req, timeout=timeout, client_error=client_error, **kwargs
            )
        try:
            async with asyncio.timeout(timeout.sock_connect):
                with ExitStack() as stack:
                    sock = await self.dialer.dial(f"{req.url.host}:{req.url.port}")
                    stack.callback(sock.close)
                    transport, connection = await self._loop.create_connection(
                        self._factory, sock=sock
                    )
                    # The transport owns the socket from now on.
                    stack.pop_all()
        except OSError as exc:
            raise client_error(req.connection_key, exc) from exc
        connection.force_close()
        return transport, connection
