"""Serves callers through other instances while this one is cut, and the reverse."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from contextlib import AsyncExitStack
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.fleet import Roster
from guavajunction.gateway import BackendRegistry, RequestQueue
from guavajunction.health import PassiveHealth
from guavajunction.peers import FleetKeys
from guavajunction.quarantine import PartQuarantine
from guavajunction.tunnels import (
    PathState,
    PathWatch,
    Probe,
    ServerPaths,
    TunnelConnector,
    TunnelEntrance,
    TunnelExit,
    TunnelListener,
)

from . import _events as events
from ._settings import GatewaySettings


class TunnelLinkParts(NamedTuple):
    """Aggregates that a cut concerns."""

    registry: BackendRegistry
    queue: RequestQueue
    health: PassiveHealth
    quarantine: PartQuarantine
    roster: Roster
    connections: TunnelConnector
    """Connections to backend servers."""
    probe: Probe
    """Asks a backend server for an answer."""
    clock: Clock
    rng: random.Random


class TunnelLinks:
    """Both ends of the tunnels of one instance."""

    OWN_CUT_SECONDS = 3.0
    """Time before a cut is noticed in which lost connections are due to it."""

    def __init__(self, settings: GatewaySettings, parts: TunnelLinkParts) -> None:
        """Create both ends; nothing is opened before `run`.

        Args:
            settings: Settings of this instance from the deployment.
            parts: Aggregates that a cut concerns.
        """
        self._settings = settings
        self._parts = parts
        self._listener: TunnelListener | None = None
        paths = ServerPaths(parts.clock)
        self.watch = PathWatch(
            paths,
            parts.registry.outside_evacuations,
            parts.clock,
            parts.rng,
            parts.probe,
        )
        """Tells whether this instance is cut."""
        self._entrance = TunnelEntrance(
            paths, self._exits, self._backend_at, parts.clock, parts.rng
        )
        self._entrance.may_lead = self._may_lead
        self.watch.on_change = self._on_change
        self.watch.on_reached = parts.registry.note_reachable
        parts.connections.dialer = self._entrance
        parts.quarantine.is_on_hold = lambda: paths.state is PathState.SUSPECT
        self.must_stay_in_region: Callable[[], bool] = lambda: False
        """Returns whether a tunnel must lead through the backend server's region."""
        self.may_serve = lambda: True
        """Returns whether this instance may begin to serve others."""

    @property
    def open(self) -> int:
        """Return the number of tunnels that other instances use."""
        return self._listener.open if self._listener is not None else 0

    async def run(self, keys: FleetKeys) -> None:
        """Accept tunnels of the fleet's other instances until cancelled."""
        port = self._settings.tunnel_port
        if not port:
            return
        self._entrance.secret = keys.secret
        self._listener = TunnelListener(keys.secret, self._address_of, self._may_serve)
        async with AsyncExitStack() as stack:
            listening = self._listener.listen(self._settings.address, port)
            try:
                await stack.enter_async_context(listening)
            except OSError as exc:
                # Callers of this instance can still be served.
                events.TUNNEL_PORT_FAILED.log(port=port, reason=str(exc))
                return
            await asyncio.Event().wait()

    def _may_serve(self) -> bool:
        return not self.watch.is_cut and self.may_serve()

    def _on_change(self, state: PathState) -> None:
        """Forget what the cut made this instance believe of backend servers."""
        parts = self._parts
        parts.registry.forget_unreachable()
        parts.health.forget()
        parts.connections.drop_idle()
        if state is PathState.CUT:
            parts.quarantine.forget_since(self.OWN_CUT_SECONDS)
        parts.queue.schedule_dispatch()

    def _exits(self) -> list[TunnelExit]:
        port = self._settings.tunnel_port
        return [
            TunnelExit(name, f"{member.front.rpartition(':')[0]}:{port}")
            for name, member in self._parts.roster.reaching()
            if member.ready
        ]

    def _may_lead(self, through: TunnelExit, backend: str) -> bool:
        """Return whether a tunnel may carry requests through another instance.

        The bodies of requests with homes may not leave them. The backend server is in
        one of them, so an instance in its region is as well.
        """
        if not self.must_stay_in_region():
            return True
        parts = self._parts
        record = parts.registry.get(backend)
        region_of = parts.queue.regions.region_of
        region = region_of(record.data_centre) if record is not None else None
        return region is not None and any(
            name == through.name and region_of(member.data_centre) == region
            for name, member in parts.roster.reaching()
        )

    def _address_of(self, backend: str) -> str | None:
        """Return where a tunnel leads, or None if this instance may not open it."""
        registry = self._parts.registry
        record = registry.get(backend)
        if record is None or registry.is_evacuated(record):
            return None
        return record.address

    def _backend_at(self, address: str) -> str | None:
        record = self._parts.registry.at_address(address)
        return record.name if record is not None else None
