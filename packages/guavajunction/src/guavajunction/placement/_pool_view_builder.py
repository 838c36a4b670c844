"""Builds the planner's view of a pool."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from guavajunction.backends import (
    LOADING,
    READY,
    BackendState,
    Inventory,
    Ledger,
    OrderManager,
)
from guavajunction.clock import Clock
from guavajunction.configuration import BackendServer, Configuration

from ._model import Budget, Deployment, Holding, PoolView, ServerView, name_of


class PoolViewBuilder:
    """Combines load reports, ledgers and drain marks into the view of a pool."""

    ORDER_OVERDUE_SECONDS = 15.0
    """Age at which an open load order counts as overdue."""

    def __init__(
        self,
        pool: str,
        inventory: Inventory,
        order_manager: OrderManager,
        is_draining: Callable[[str, str], bool],
        configuration: Callable[[], Configuration],
        clock: Clock,
    ) -> None:
        """Create a builder without a history of replicas.

        Args:
            pool: The pool's name.
            inventory: States of the engines.
            order_manager: Ledgers of the engines.
            is_draining: Returns whether an artifact is being drained on an engine.
            configuration: Returns the configuration in force.
            clock: Time source.
        """
        self._pool = pool
        self._inventory = inventory
        self._order_manager = order_manager
        self._is_draining = is_draining
        self._configuration = configuration
        self._clock = clock
        self._resident_since: dict[tuple[str, str], float] = {}

    def servers(self) -> list[BackendServer]:
        """Return the engines of the pool."""
        engines = self._configuration().engines
        return [server for server in engines if server.pool == self._pool]

    def deployments(self) -> dict[str, Deployment]:
        """Return the deployed models and adapters of the pool, by artifact."""
        cfg = self._configuration()
        models = {m.name: m for m in cfg.models.values() if m.pool == self._pool}
        found = [
            Deployment(m.artifact, m.memory_mib, m.min_replicas)
            for m in models.values()
        ]
        found += [
            Deployment(a.artifact, a.memory_mib, base=models[a.model].artifact)
            for a in cfg.adapters.values()
            if a.model in models
        ]
        return {deployment.artifact: deployment for deployment in found}

    def view(
        self, need: Mapping[str, float], urgent: frozenset[str], budget: Budget
    ) -> PoolView:
        """Return the current view of the pool.

        Args:
            need: Busy slots by model or adapter name.
            urgent: Artifacts that requests are waiting for.
            budget: Number of loads that may be started.
        """
        servers = {server.name: self._server(server) for server in self.servers()}
        return PoolView(self.deployments(), servers, dict(need), urgent, budget)

    def removal_view(self, artifact: str) -> PoolView:
        """Return the part of the pool that decides whether a replica may be removed.

        The view contains only the engines with any version of the artifact, of its base
        model or of its adapters, and neither need nor urgent artifacts.
        """
        adapters = self._configuration().adapters
        name = name_of(artifact)
        names = {name} | {a.name for a in adapters.values() if a.model == name}
        if name in adapters:
            names.add(adapters[name].model)
        servers = {
            server.name: self._server(server)
            for server in self.servers()
            if (state := self._inventory.state(server.name)) is not None
            if any(name_of(r.artifact) in names for r in state.resident)
        }
        return PoolView(
            self.deployments(), servers, {}, frozenset(), Budget(base=0, adapter=0)
        )

    def _server(self, server: BackendServer) -> ServerView:
        state = self._inventory.state(server.name)
        ledger = self._order_manager.ledger(server.name)
        if state is None or ledger is None:
            return ServerView(server.name, server.slots, 0, 0, False, {})
        holdings = self._holdings(state, ledger)
        committed_mib = sum(holding.mib for holding in holdings.values())
        blocked = self._overdue(ledger)
        for artifact in blocked:
            if holdings[artifact].state == LOADING:
                del holdings[artifact]
        return ServerView(
            server.name,
            state.slots or server.slots,
            server.weights_mib,
            server.weights_mib - committed_mib,
            state.healthy and not state.leaving,
            holdings,
            blocked,
        )

    def _holdings(self, state: BackendState, ledger: Ledger) -> dict[str, Holding]:
        adapters = self._configuration().adapters
        now = self._clock.monotonic()
        holdings = {}
        ledger_is_newer = ledger.as_of > state.as_of
        for resident in ledger.residents if ledger_is_newer else state.resident:
            artifact = resident.artifact
            holding_state = self._holding_state(state, ledger, artifact, resident.state)
            resident_since = self._resident_since.setdefault(
                (state.name, artifact), now
            )
            base = ledger.base_of(artifact)
            if base is None and name_of(artifact) in adapters:
                base = adapters[name_of(artifact)].model
            holdings[artifact] = Holding(
                holding_state, resident.mib, now - resident_since, base
            )
        for intent in ledger.intents:
            if intent.action == "load" and intent.artifact not in holdings:
                holding = Holding(LOADING, intent.mib, 0.0, intent.base)
                holdings[intent.artifact] = holding
        return holdings

    def _holding_state(
        self, state: BackendState, ledger: Ledger, artifact: str, reported: str
    ) -> str:
        pending = ledger.pending(artifact)
        going = pending is not None and pending.action == "unload"
        if going or self._is_draining(state.name, artifact):
            return "going"
        return reported if reported in (READY, LOADING) else "going"

    def _overdue(self, ledger: Ledger) -> frozenset[str]:
        now = self._clock.monotonic()
        return frozenset(
            intent.artifact
            for intent in ledger.intents
            if intent.action == "load"
            if ledger.age(intent, now) >= self.ORDER_OVERDUE_SECONDS
        )

    def prune_history(self) -> None:
        """Drop the history of replicas that have been removed."""
        present = {
            (state.name, resident.artifact)
            for server in self.servers()
            if (state := self._inventory.state(server.name)) is not None
            for resident in state.resident
        }
        self._resident_since = {
            key: at for key, at in self._resident_since.items() if key in present
        }
