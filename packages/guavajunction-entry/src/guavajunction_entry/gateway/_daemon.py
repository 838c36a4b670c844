"""The daemon of one gateway instance: wires the aggregates and runs them."""

from __future__ import annotations

import asyncio
import contextlib
import random
import secrets
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

from guavajunction.backends import PassiveHealth
from guavajunction.clock import Clock
from guavajunction.errors import DocumentInvalid, SettingsInvalid
from guavajunction.fleet import (
    InstanceEntry,
    Member,
    Roster,
    StoreRoster,
    choose_fronts,
    obtain_keys,
)
from guavajunction.gateway import (
    Allowances,
    BackendBook,
    BackendRecord,
    Demand,
    Gateway,
    GatewayParts,
    HoldingNotice,
    Load,
    LoadView,
    ModelDemand,
    RetireNotice,
    RetryAllowance,
    RouteTable,
    WaitingRoom,
)
from guavajunction.membership import Lease
from guavajunction.metrics import MetricsRegistry
from guavajunction.peers import PeerId, PeerMesh
from guavajunction.storage import Changes, InstanceRecord, PartitionWatcher
from guavajunction.swapping import (
    LEASE_NAME,
    AuthorBeat,
    LoadCeiling,
    OrderAuthor,
    TermParts,
)
from guavajunction_entry import _events as events

from . import _events as gateway_events
from ._deployment import Deployment, FrontParts
from ._settings import GatewaySettings
from ._tuning import Tuning

Duty = Callable[[], Coroutine[Any, Any, None]]
"""Work that goes on as long as the process does."""


class GatewayDaemon:
    """Serves callers until it is asked to stop."""

    LEASE_SLACK_SECONDS = 0.2
    """On top of the deployment's lease."""
    DRIFT_SECONDS = 0.1
    STORE_FRESH_SECONDS = 3.8
    """After its last answer, until an instance counts as cut from the store."""
    STOP_SLACK_SECONDS = 0.7
    """Before the forced end, the process ends by itself."""
    STREAMS_SECONDS = 1.0
    """How long streams are still taken after the stop signal."""
    LINGER_SECONDS = 2.5
    """Least time from the stop signal to the end: callers keep the directory's
    answer for a while."""
    MAINTENANCE_SECONDS = 0.2
    SETTINGS_SECONDS = 1.0
    """How often the settings are looked at without a signal."""

    def __init__(
        self,
        settings: GatewaySettings,
        deployment: Deployment,
        clock: Clock,
        tuning: Tuning = Tuning(),  # noqa: B008
    ) -> None:
        """Create a daemon; nothing is opened before `run`.

        Args:
            settings: What the deployment says of this instance.
            deployment: What differs from one deployment to the next.
            clock: Source of time.
            tuning: Settings of the gateway's own.
        """
        self._settings = settings
        self._tuning = tuning
        self._deployment = deployment
        self._clock = clock
        self._stop = asyncio.Event()
        self._stopping_since: float | None = None
        self._me = PeerId(settings.instance, secrets.token_hex(8))
        self._rng = random.Random(self._me.incarnation)
        self.metrics = MetricsRegistry()
        """Counters and latencies of this instance."""
        self._health = PassiveHealth(clock)
        self._book = BackendBook(clock)
        self._loads = LoadView()
        self._demand = ModelDemand()
        self._allowances = Allowances(settings.allowances, clock)
        self._retries = RetryAllowance(settings.retries)
        self._reload = asyncio.Event()
        self._settings_fault: str | None = None
        self._roster = Roster(self._me, clock)
        self._room = WaitingRoom(self._book, self._loads, self._health, clock)
        self._gateway = Gateway(
            GatewayParts(
                book=self._book,
                room=self._room,
                health=self._health,
                allowances=self._allowances,
                retries=self._retries,
                demand=self._demand,
                caller=deployment.caller,
                metrics=self.metrics,
                clock=clock,
                rng=self._rng,
            )
        )
        self._configuration = PartitionWatcher(
            deployment.feed, deployment.configuration_row.partition, clock, self._rng
        )
        self._backends = PartitionWatcher(
            deployment.feed,
            deployment.backends_partition,
            clock,
            self._rng,
            rest=self._backends_rest,
        )
        self._backends_known = False
        self._mesh: PeerMesh | None = None
        self._author: OrderAuthor | None = None
        self._store_roster = StoreRoster(
            deployment.table, self._me, self._entry(), clock
        )

    def stop(self) -> None:
        """Begin a planned stop."""
        if self._stopping_since is None:
            now = self._stopping_since = self._clock.monotonic()
            self._gateway.streams_until = now + self.STREAMS_SECONDS
            self._room.closes_at = self._last_moment(now)
            self._room.wake()
            events.STOPPING.log(in_flight=self._gateway.in_flight)
            if self._author is not None:
                self._author.stopping = True
        self._stop.set()

    async def run(self) -> None:
        """Serve until a planned stop has ended."""
        events.STARTED.log(
            instance=self._me.name,
            incarnation=self._me.incarnation,
            front=str(self._settings.front),
            data_centre=self._settings.data_centre,
        )
        async with AsyncExitStack() as stack:
            await stack.enter_async_context(
                self._deployment.listen(self._front_parts())
            )
            tasks = [
                asyncio.create_task(self._keep_running(coro, name), name=name)
                for name, coro in self._duties().items()
            ]
            try:
                await self._stop.wait()
                await self._finish_requests()
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
            await self._store_roster.leave()
        events.STOPPED.log(in_flight=self._gateway.in_flight)

    def _duties(self) -> dict[str, Duty]:
        return {
            "configuration": self._follow_configuration,
            "backends": self._follow_backends,
            "waiting-room": self._room.review,
            "links": self._run_links,
            "roster": self._store_roster.run,
            "maintenance": self._maintain,
            "settings": self._follow_settings,
        }

    async def _keep_running(self, duty: Duty, name: str) -> None:
        """Run a duty again after a failure: a process never ends by itself."""
        while True:
            try:
                await duty()
            except Exception as exc:
                gateway_events.DUTY_FAILED.log(duty=name, failure=repr(exc))
                events.log_traceback()
            await self._clock.sleep(self.MAINTENANCE_SECONDS)

    def reload(self) -> None:
        """Read the settings again soon."""
        self._reload.set()

    async def _follow_settings(self) -> None:
        """Apply changed settings, with or without a signal."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._reload.wait(), self.SETTINGS_SECONDS)
            self._reload.clear()
            try:
                settings = self._deployment.read_settings()
            except SettingsInvalid as exc:
                if exc.message != self._settings_fault:
                    gateway_events.SETTINGS_REFUSED.log(reason=exc.message)
                self._settings_fault = exc.message
                continue
            self._settings_fault = None
            if settings != self._settings:
                self._apply(settings)

    def _apply(self, settings: GatewaySettings) -> None:
        """Put bounds in force; addresses stay until the next start."""
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._retries.change_bounds(settings.retries)
        self._allowances.change_bounds(settings.allowances)
        gateway_events.RELOADED.log(changed=changed)

    async def _follow_configuration(self) -> None:
        sort = self._deployment.configuration_row.sort
        async for changes in self._configuration:
            for row in changes.rows:
                if row.sort == sort and row.body is not None:
                    self._configure(row.body)

    def _configure(self, body: bytes) -> None:
        try:
            catalogue = self._deployment.decode_configuration(body)
        except DocumentInvalid as exc:
            gateway_events.DOCUMENT_REFUSED.log(reason=exc.message)
            return
        self._gateway.configure(RouteTable(catalogue))

    async def _follow_backends(self) -> None:
        async for changes in self._backends:
            self._take_backends(changes)
            self._backends_known = True
            self._room.wake()

    def _take_backends(self, changes: Changes) -> None:
        """Apply changes in their order: one answer may hold several of a row."""
        if changes.complete:
            decoded = [self._decode_backend(r.sort, r.body) for r in changes.rows]
            self._book.replace_all([r for r in decoded if r is not None])
            return
        for row in changes.rows:
            record = self._decode_backend(row.sort, row.body)
            if record is not None:
                self._book.put(record)
            else:
                self._book.drop(row.sort)

    def _decode_backend(self, name: str, body: bytes | None) -> BackendRecord | None:
        if body is None:
            return None
        try:
            return self._deployment.decode_backend(name, body)
        except DocumentInvalid as exc:
            gateway_events.DOCUMENT_REFUSED.log(reason=exc.message)
            return None

    async def _run_links(self) -> None:
        keys = await obtain_keys(self._deployment.table, self._clock)
        mesh = PeerMesh(
            self._me,
            self._settings.address,
            self._settings.peer_port,
            keys,
            self._clock,
            heartbeat_seconds=self._tuning.timing.heartbeat,
        )
        self._mesh = mesh
        self._author = self._order_author(mesh)
        self._room.loads_due = self._author.loads_due
        self._room.on_adapter_wanted = self._author.want_adapter
        self._store_roster.on_read = self._note_instances
        mesh.share("member", self._member, self._roster.hear, Member)
        mesh.share("loads", self._loads.own, self._hear_loads, dict[str, Load])
        mesh.share("spent", self._allowances.spent, self._hear_spent, dict[str, float])
        mesh.share("demand", self._own_demand, self._hear_demand, dict[str, Demand])
        mesh.share("author", self._author.beat, self._author.hear, AuthorBeat)
        mesh.handle(HoldingNotice, self._on_holding)
        mesh.handle(RetireNotice, self._on_retired)
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(mesh.run())
            tasks.create_task(self._author.run())

    def _order_author(self, mesh: PeerMesh) -> OrderAuthor:
        orders = self._settings.orders
        lease = Lease(
            self._deployment.table,
            LEASE_NAME,
            self._me,
            self._clock,
            duration=orders.lease_seconds + self.LEASE_SLACK_SECONDS,
            drift_margin=self.DRIFT_SECONDS,
        )
        parts = TermParts(
            book=self._book,
            loads=self._loads,
            catalogue=lambda: (
                self._gateway.routes.catalogue if self._gateway.routes else None
            ),
            demand=self._fleet_demand,
            tell_all=mesh.tell_all,
            wake=self._room.wake,
            ceiling=LoadCeiling(orders.ceiling_window_seconds),
            clock=self._clock,
        )
        author = OrderAuthor(
            mesh,
            lease,
            self._deployment.orders,
            parts,
            self._clock,
            candidates=self._candidates,
            turn_seconds=orders.lease_seconds + self.DRIFT_SECONDS,
        )
        author.stopping = self._stopping_since is not None
        return author

    def _backends_rest(self) -> float:
        """Let changes of backend servers gather, unless orders wait for them."""
        author = self._author is not None and self._author.in_office
        return 0.0 if author else self._tuning.timing.backends_rest

    def _candidates(self) -> list[PeerId]:
        peers = self._roster.peers_that(lambda member: member.sees_store)
        return [*peers, self._me] if self._sees_store() else peers

    def _sees_store(self) -> bool:
        now = self._clock.monotonic()
        read_at = max(self._backends.read_at, self._configuration.read_at)
        return now - read_at < self.STORE_FRESH_SECONDS

    def _member(self) -> Member:
        return Member(
            front=str(self._settings.front),
            data_centre=self._settings.data_centre,
            ready=self._ready(),
            sees_store=self._sees_store(),
        )

    def _hear_loads(self, peer: PeerId, loads: dict[str, Load]) -> None:
        self._loads.hear(peer, loads)
        self._room.wake()

    def _hear_spent(self, peer: PeerId, spent: dict[str, float]) -> None:
        self._allowances.hear(peer, spent)

    def _own_demand(self) -> dict[str, Demand]:
        now = self._clock.monotonic()
        return self._demand.own(self._room.models_waited_for(), now)

    def _hear_demand(self, peer: PeerId, demand: dict[str, Demand]) -> None:
        self._demand.hear(peer, demand)

    def _fleet_demand(self) -> dict[str, Demand]:
        return self._demand.fleet(self._own_demand(), self._roster.peers())

    async def _on_holding(self, _: PeerId, notice: HoldingNotice) -> None:
        self._book.note_holding(notice)
        self._room.wake()

    async def _on_retired(self, _: PeerId, notice: RetireNotice) -> None:
        self._book.note_retired(notice)

    def _note_instances(self, records: list[InstanceRecord]) -> None:
        if self._mesh is not None:
            others = [r for r in records if r.name != self._me.name]
            self._mesh.set_targets(others)

    async def _maintain(self) -> None:
        while True:
            self._roster.expire()
            self._loads.keep_only(self._roster.peers())
            self._allowances.keep_to(self._roster.heard_part)
            self._gateway.instances = self._roster.serving
            await self._clock.sleep(self.MAINTENANCE_SECONDS)

    def _front_parts(self) -> FrontParts:
        return FrontParts(
            gateway=self._gateway,
            addresses=self._addresses,
            ttl_seconds=lambda: min(
                self._tuning.directory.ttl, self._settings.directory_ttl_seconds
            ),
            ready=self._ready,
            closing=lambda: self._stopping_since is not None,
            metrics=self.metrics,
        )

    def _addresses(self, data_centre: str | None) -> list[str]:
        return choose_fronts(
            [*self._roster.members(), self._member()],
            data_centre,
            near_enough=self._tuning.directory.near_enough,
            rng=self._rng,
        )

    def _ready(self) -> bool:
        return (
            self._stopping_since is None
            and self._gateway.routes is not None
            and self._backends_known
        )

    async def _finish_requests(self) -> None:
        """Wait until callers have left and their requests have ended."""
        assert self._stopping_since is not None
        since = self._stopping_since
        last = self._last_moment(since)
        earliest = since + self.LINGER_SECONDS
        while (now := self._clock.monotonic()) < last:
            if now >= earliest and not self._gateway.in_flight:
                return
            await self._clock.sleep(0.05)

    def _last_moment(self, since: float) -> float:
        return since + self._settings.grace_seconds - self.STOP_SLACK_SECONDS

    def _entry(self) -> InstanceEntry:
        settings = self._settings
        return InstanceEntry(
            incarnation=self._me.incarnation,
            data_centre=settings.data_centre,
            address=settings.address,
            front_port=settings.front.port,
            peer_port=settings.peer_port,
        )
