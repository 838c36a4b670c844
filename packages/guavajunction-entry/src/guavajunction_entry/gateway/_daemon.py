"""The gateway daemon: creates the aggregates of an instance and runs them."""

from __future__ import annotations

import asyncio
import contextlib
import functools
import random
import secrets
from collections.abc import Callable, Coroutine
from contextlib import AsyncExitStack
from typing import Any

from guavajunction.brittle import BrittlePlaces
from guavajunction.clock import Clock
from guavajunction.errors import DocumentInvalid, SettingsInvalid
from guavajunction.fleet import (
    InstanceEntry,
    Member,
    ReadRows,
    RelayedFeed,
    Roster,
    StoreRoster,
    choose_fronts,
    keep_keys,
    obtain_keys,
)
from guavajunction.gateway import (
    BackendRecord,
    BackendRegistry,
    Catalogue,
    Gateway,
    GatewayParts,
    LoadView,
    ModelDemand,
    RateLimits,
    Regions,
    RequestQueue,
    RetryBudget,
    RouteTable,
    StreamOrigins,
)
from guavajunction.health import PassiveHealth
from guavajunction.intake import ColdNews, ReturnedServer, ServerIntake
from guavajunction.metrics import MetricsRegistry
from guavajunction.peers import FleetKeys, PeerId
from guavajunction.quarantine import PartQuarantine
from guavajunction.storage import (
    Changes,
    ObservedStore,
    PartitionWatcher,
    RowChange,
    era_of,
)
from guavajunction_entry import _events as events

from . import _events as gateway_events
from . import _quarantine_links as quarantine_links
from ._brittle_rows import BrittleRows
from ._deployment import (
    CallerConnections,
    Deployment,
    DirectoryQuery,
    ListenerParts,
)
from ._evacuation_rows import EvacuationRows
from ._fleet_links import FleetLinkParts, FleetLinks
from ._quarantine_links import QuarantineLinks
from ._settings import GatewaySettings
from ._stream_rows import StreamRows
from ._tuning import Tuning
from ._tunnel_links import TunnelLinkParts, TunnelLinks

BackgroundJob = Callable[[], Coroutine[Any, Any, None]]
"""Creates a coroutine that runs until the process stops."""


class GatewayDaemon:
    """Serves callers until a planned stop."""

    HUB_READ_WAIT_SECONDS = 0.8
    """Maximum wait of a change feed read on a hub.

    Followers treat the rows of a hub as stale if the store has not answered the hub for
    `Relay.STORE_AGE_SECONDS`, so the wait must be shorter.
    """
    LEADER_BATCH_SECONDS = 0.1
    """Batching time of the order leader with more than `MAX_UNBATCHED_BACKENDS`."""
    MAX_UNBATCHED_BACKENDS = 20
    """Largest number of backend servers whose changes the order leader does not batch.

    Each unbatched change costs a read of the store. With more backend servers there
    would be too many reads.
    """
    DECODE_CACHE_ROWS = 256
    """Size of the cache of decoded rows.

    It is twice the number of backend servers of the largest deployment, because a new
    version of a row is compared with the previous version.
    """
    STOP_MARGIN_SECONDS = 0.7
    """Time by which the process ends before the platform would kill it."""
    LAST_RESPONSES_SECONDS = 0.1
    """Time in which errors are sent for the requests that are left at the deadline."""
    DRAIN_POLL_SECONDS = 0.05
    """Interval at which a stopping instance checks what it still has to finish."""
    STREAM_ACCEPT_SECONDS = 1.0
    """Time after the stop signal during which new streams are still accepted."""
    MIN_STOP_SECONDS = 2.5
    """Minimum time from the stop signal to the end of the process.

    Callers that have cached the directory's answer still connect during this time.
    """
    MAINTENANCE_INTERVAL_SECONDS = 0.2
    """Interval of the maintenance job, and delay before a failed job restarts."""
    HEAR_MEMBERS_SECONDS = 1.2
    """Time after the start in which heartbeats of all other instances arrive."""
    MAX_OFFER_SECONDS = 5.0
    """Longest time after the start in which a configuration is not activated because
    another instance has a later one."""
    SETTINGS_POLL_SECONDS = 1.0
    """Interval at which the settings are re-read without a signal."""

    def __init__(
        self,
        settings: GatewaySettings,
        deployment: Deployment,
        clock: Clock,
        tuning: Tuning = Tuning(),  # noqa: B008
    ) -> None:
        """Create a daemon. Sockets and connections are opened by `run`.

        Args:
            settings: Settings of this instance from the deployment.
            deployment: Interface to the deployment.
            clock: Source of time.
            tuning: Settings from the gateway's own settings file.
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
        self._registry = BackendRegistry(clock)
        self._loads = LoadView()
        self._demand = ModelDemand()
        self._rate_limits = RateLimits(settings.allowances, clock)
        self._streams = StreamOrigins(clock)
        self._retries = RetryBudget(settings.retries)
        self._reload = asyncio.Event()
        self._settings_fault: str | None = None
        self._roster = Roster(self._me, clock)
        self._quarantine = PartQuarantine(clock)
        self._limits = ServerIntake(clock)
        self._limits.cold.bounds = settings.cold
        self._limits.paces.is_enabled = tuning.intake.pace == "on"
        self._health.on_readmitted = self._on_readmitted
        self._cold_news = ColdNews(clock)
        self._places = BrittlePlaces(clock)
        self._queue = RequestQueue(
            self._registry,
            self._loads,
            self._health,
            self._quarantine,
            self._limits,
            self._places,
            clock,
            self._rng,
        )
        self._queue.speeds.learns = tuning.routing.server_speeds == "learned"
        self._tunnels = TunnelLinks(
            settings,
            TunnelLinkParts(
                registry=self._registry,
                queue=self._queue,
                health=self._health,
                quarantine=self._quarantine,
                roster=self._roster,
                connections=deployment.backend_connections,
                probe=deployment.orders.answers,
                clock=clock,
                rng=self._rng,
            ),
        )
        self._evacuation_rows = EvacuationRows(
            self._registry.evacuations, deployment.decode_evacuation
        )
        self._queue.regions = Regions(settings.regions)
        self._tunnels.must_stay_in_region = lambda: (
            self._gateway.routes is not None
            and self._gateway.routes.catalogue.has_homes
        )
        self._tunnels.may_serve = lambda: (
            self._stopping_since is None and self._evacuation_rows.is_read
        )
        self._limits.on_answered = self._queue.schedule_dispatch
        self._places.on_granted = self._queue.use_place
        self._places.on_refused = self._queue.schedule_dispatch
        self._quarantine.on_blamed = self._queue.schedule_dispatch
        self._registry.evacuations.on_changed = self._queue.schedule_dispatch
        self._registry.evacuations.on_ended = self._on_evacuation_ended
        self._gateway = Gateway(
            GatewayParts(
                registry=self._registry,
                queue=self._queue,
                health=self._health,
                rate_limits=self._rate_limits,
                streams=self._streams,
                quarantine=self._quarantine,
                limits=self._limits,
                places=self._places,
                paths=self._tunnels.watch,
                retries=self._retries,
                demand=self._demand,
                caller=deployment.caller,
                metrics=self.metrics,
                clock=clock,
                rng=self._rng,
            )
        )
        self._decode_backend = functools.lru_cache(self.DECODE_CACHE_ROWS)(
            self._decode_new_backend
        )
        self._store = ObservedStore(deployment.store, clock)
        self._feed = RelayedFeed(self._store, clock)
        configuration = deployment.configuration_row.partition
        self._configuration = PartitionWatcher(
            self._feed,
            configuration,
            clock,
            self._rng,
            max_wait_seconds=self._max_read_wait_seconds,
            other_source=self._feed.rows_from_peer,
        )
        self._backends = PartitionWatcher(
            self._feed,
            deployment.backends_partition,
            clock,
            self._rng,
            batch_seconds=self._backends_batch_seconds,
            max_wait_seconds=self._max_read_wait_seconds,
            other_source=self._feed.rows_from_peer,
        )
        crashes = quarantine_links.PARTITION
        self._crashes = PartitionWatcher(
            self._feed,
            crashes,
            clock,
            self._rng,
            max_wait_seconds=self._max_read_wait_seconds,
            other_source=self._feed.rows_from_peer,
        )
        self._watchers = {
            configuration: self._configuration,
            deployment.backends_partition: self._backends,
            crashes: self._crashes,
        }
        for partition, watcher in self._watchers.items():
            watcher.on_answer = functools.partial(self._publish_to_followers, partition)
        self._rows_by_partition = {
            configuration: ReadRows(
                configuration,
                is_relevant=_has_new_body,
                is_older=self._is_older_configuration,
            ),
            deployment.backends_partition: ReadRows(
                deployment.backends_partition,
                is_relevant=self._has_new_backend_state,
                is_older=self._is_older_report,
            ),
            crashes: ReadRows(crashes, is_relevant=_has_new_body),
        }
        self._created_at = clock.monotonic()
        self._offered: Catalogue | None = None
        self._offered_in = 0
        self._backends_known = False
        self._backends_era = 0
        self.metrics.gauge("cut_from_backends", lambda: int(self._tunnels.watch.is_cut))
        self.metrics.gauge("tunnels_open", lambda: self._tunnels.open)
        connections = self._deployment.backend_connections
        self.metrics.gauge("stray_responses_total", lambda: connections.stray_responses)
        self.metrics.gauge(
            "crash_parts_left_out_total", lambda: self._quarantine.parts_left_out
        )
        self.metrics.gauge(
            "brittle_services", lambda: len(self._places.brittle_services())
        )
        self.metrics.gauge("fleet_backlog", lambda: self._queue.backlog.size)
        self.metrics.gauge("slowest_server_factor", self._queue.speeds.factors.slowest)
        self.metrics.gauge(
            "evacuated_data_centres", lambda: len(self._registry.evacuations)
        )
        self.metrics.gauge("cold_servers", self._limits.cold.count)
        self.metrics.gauge("ramping_servers", self._limits.paces.count)
        self.metrics.gauge("store_era", lambda: self._backends_era)
        self._era_began = asyncio.Event()
        self._crashes_known = False
        self._quarantine_links = QuarantineLinks(
            self._store, self._me, self._quarantine, clock
        )
        self._brittle_rows = BrittleRows(self._store, self._places, clock)
        self._stream_rows = StreamRows(self._store, self._me, self._streams, clock)
        self._stream_rows.versions = self._registry.versions
        self._links: FleetLinks | None = None
        self._store_roster = StoreRoster(
            self._store, self._me, self._own_entry(), clock
        )
        self._store_roster.on_rows = self._roster.on_rows
        self._store_roster.must_read = self._roster.must_read_rows
        self._store_roster.must_renew = self._roster.must_renew_row
        self._store_roster.on_renewal = self._roster.note_renewal
        self._store_roster.on_renewed = self._roster.note_renewed

    def stop(self) -> None:
        """Begin a planned stop."""
        if self._stopping_since is None:
            now = self._stopping_since = self._clock.monotonic()
            self._gateway.streams_until = now + self.STREAM_ACCEPT_SECONDS
            self._queue.stops_at = self._stop_deadline(now)
            self._queue.schedule_dispatch()
            events.STOPPING.log(in_flight=self._gateway.in_flight)
            if self._links is not None:
                self._links.leader.stopping = True
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
            connections = await stack.enter_async_context(
                self._deployment.listen(self._listener_parts())
            )
            tasks = [
                asyncio.create_task(self._run_with_restarts(coro, name), name=name)
                for name, coro in self._background_jobs().items()
            ]
            try:
                await self._stop.wait()
                # Runs concurrently: an unreachable store must not delay the stop.
                tasks.append(asyncio.create_task(self._store_roster.leave()))
                await self._drain_requests(connections)
            finally:
                for task in tasks:
                    task.cancel()
                await asyncio.gather(*tasks, return_exceptions=True)
        events.STOPPED.log(in_flight=self._gateway.in_flight)

    def _background_jobs(self) -> dict[str, BackgroundJob]:
        return {
            "configuration": self._follow_configuration,
            "backends": self._follow_backends,
            "crashes": self._follow_crashes,
            "quarantine": self._quarantine_links.run,
            "brittle-rows": self._brittle_rows.run,
            "stream-rows": self._stream_rows.run,
            "waiting-room": self._queue.run,
            "links": self._run_links,
            "roster": self._store_roster.run,
            "renewals": self._store_roster.keep_renewed,
            "maintenance": self._maintain,
            "settings": self._follow_settings,
        }

    async def _run_with_restarts(self, job: BackgroundJob, name: str) -> None:
        """Run a background job and restart it after a failure.

        A failed job must not end the process.
        """
        while True:
            try:
                await job()
            except Exception as exc:
                gateway_events.JOB_FAILED.log(duty=name, failure=repr(exc))
                events.log_traceback()
            await self._clock.sleep(self.MAINTENANCE_INTERVAL_SECONDS)

    def reload(self) -> None:
        """Request that the settings are re-read."""
        self._reload.set()

    async def _follow_settings(self) -> None:
        """Re-read the settings on `reload` and at intervals, and apply changes."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._reload.wait(), self.SETTINGS_POLL_SECONDS)
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
                self._apply_settings(settings)

    def _apply_settings(self, settings: GatewaySettings) -> None:
        """Apply changed limits; changed addresses take effect only after a restart."""
        changed = [
            name
            for name in settings._fields
            if getattr(settings, name) != getattr(self._settings, name)
        ]
        self._settings = settings
        self._queue.regions = Regions(settings.regions)
        self._retries.change_bounds(settings.retries)
        self._rate_limits.change_bounds(settings.allowances)
        self._limits.cold.bounds = settings.cold
        gateway_events.RELOADED.log(changed=changed)

    async def _follow_configuration(self) -> None:
        sort = self._deployment.configuration_row.sort
        async for changes in self._configuration:
            self._evacuation_rows.apply(changes)
            bodies = [
                row.body
                for row in changes.rows
                if row.sort == sort and row.body is not None
            ]
            if not bodies:
                continue
            gateway_events.DOCUMENT_READ.log(
                bytes=len(bodies[-1]),
                documents=len(bodies),
                store_version=changes.version,
                all_rows=changes.complete,
                store_age=round(self._configuration.age(), 2),
                hub=self._links.relay.follows if self._links else None,
            )
            for body in bodies:
                self._offer(body, era_of(changes.version))

    def _offer(self, body: bytes, era: int) -> None:
        """Activate a configuration that was read, unless a later one is known."""
        catalogue = self._decode_configuration(body)
        if catalogue is None:
            return
        if self._offered is None or self._offered.version < catalogue.version:
            self._offered, self._offered_in = catalogue, era
        self._activate_offered()

    def _activate_offered(self) -> None:
        offered, active = self._offered, self._gateway.routes
        if offered is None or (
            active is not None and active.catalogue.version >= offered.version
        ):
            return
        if active is None and self._may_have_gone_back(offered):
            return
        self._gateway.configure(RouteTable(offered))

    def _may_have_gone_back(self, offered: Catalogue) -> bool:
        """Return whether the first configuration may be older than that of the fleet.

        The store shows an older one after it came back from a copy, until the operator
        writes again. An instance that starts then first hears from the others.
        """
        elapsed = self._clock.monotonic() - self._created_at
        if self._offered_in == 0 or elapsed > self.MAX_OFFER_SECONDS:
            return False
        members = self._roster.members()
        return elapsed < self.HEAR_MEMBERS_SECONDS or any(
            member.configuration > offered.version for member in members
        )

    def _decode_configuration(self, body: bytes | None) -> Catalogue | None:
        if body is None:
            return None
        try:
            return self._deployment.decode_configuration(body)
        except DocumentInvalid as exc:
            gateway_events.DOCUMENT_REFUSED.log(reason=exc.message)
            return None

    async def _follow_backends(self) -> None:
        async for changes in self._backends:
            if not self._backends_known:
                await self._brittle_rows.wait_until_read()
            self._apply_backend_changes(changes)
            self._backends_known = True
            self._queue.schedule_dispatch()

    async def _follow_crashes(self) -> None:
        async for changes in self._crashes:
            self._quarantine_links.apply(changes)
            self._crashes_known = True

    def _apply_backend_changes(self, changes: Changes) -> None:
        """Apply changes in order, as one answer may contain several for a row."""
        era = era_of(changes.version)
        came_back, self._backends_era = era > self._backends_era, era
        if came_back:
            self._era_began.set()
            self._store_roster.read_again()
            self._brittle_rows.write_again()
            self._stream_rows.write_again()
        if changes.complete:
            decoded = [self._decode_backend(r.sort, r.body) for r in changes.rows]
            listed = [record for record in decoded if record is not None]
            self._registry.replace_all(listed, keep_missing=came_back)
            for record in listed:
                self._note_start(record)
            return
        for row in changes.rows:
            record = self._decode_backend(row.sort, row.body)
            if record is not None:
                self._registry.put(record)
                self._note_start(record)
            elif came_back:
                self._registry.expect_again(row.sort)
            else:
                self._registry.drop(row.sort)

    def _on_readmitted(self, name: str) -> None:
        record = self._registry.get(name)
        if record is not None:
            self._limits.paces.begin(record.identity, record.slots, "readmitted")

    def _note_start(self, record: BackendRecord) -> None:
        """Take what a record says of a start, unless the registry knows a newer one."""
        if self._registry.get(record.name) is record:
            self._quarantine.note_start(record.identity)
            self._limits.paces.note_listed(
                record.identity, record.slots, is_first=not self._backends_known
            )
            self._limits.cold.note_entry(
                record.identity,
                record.service,
                record.report_number,
                record.cold_seconds,
            )

    def _on_evacuation_ended(self, data_centre: str) -> None:
        """Let the backend servers of a data centre take up work like cold ones."""
        self._limits.note_returned(
            data_centre,
            [
                ReturnedServer(record.identity, record.service, record.slots)
                for record in self._registry.records()
                if record.data_centre == data_centre
            ],
        )

    def _is_older_report(self, before: RowChange, row: RowChange) -> bool:
        """Return whether a backend server has reported more recently than in a row."""
        if row.body is None:
            return False
        known = self._decode_backend(before.sort, before.body)
        record = self._decode_backend(row.sort, row.body)
        if known is None or record is None:
            return False
        newest = known.incarnation, known.report_number
        return newest > (record.incarnation, record.report_number)

    def _is_older_configuration(self, before: RowChange, row: RowChange) -> bool:
        """Return whether the operator has written a later version than in a row."""
        if row.sort != self._deployment.configuration_row.sort:
            return False
        known = self._decode_configuration(before.body)
        found = self._decode_configuration(row.body)
        return known is not None and (found is None or found.version < known.version)

    def _has_new_backend_state(self, before: RowChange | None, row: RowChange) -> bool:
        """Return whether a row differs in more than its report number.

        The time for which a backend server is cold counts down in each row.
        """
        record = self._decode_backend(row.sort, row.body)
        is_cold_news = record is not None and self._cold_news.is_news(
            record.identity, record.cold_seconds
        )
        if before is None:
            return True
        known = self._decode_backend(before.sort, before.body)
        if known is None or record is None:
            return known is not record
        return is_cold_news or known != record._replace(
            report_number=known.report_number, cold_seconds=known.cold_seconds
        )

    def _decode_new_backend(
        self, name: str, body: bytes | None
    ) -> BackendRecord | None:
        if body is None:
            return None
        try:
            return self._deployment.decode_backend(name, body)
        except DocumentInvalid as exc:
            gateway_events.DOCUMENT_REFUSED.log(reason=exc.message)
            return None

    async def _run_links(self) -> None:
        keys = await obtain_keys(self._store, self._clock)
        parts = FleetLinkParts(
            gateway=self._gateway,
            queue=self._queue,
            registry=self._registry,
            loads=self._loads,
            demand=self._demand,
            rate_limits=self._rate_limits,
            streams=self._streams,
            limits=self._limits,
            places=self._places,
            paths=self._tunnels.watch,
            roster=self._roster,
            feed=self._feed,
            table=self._store,
            clock=self._clock,
        )
        links = FleetLinks(
            self._me,
            self._settings,
            self._tuning,
            keys,
            self._deployment,
            parts,
            self._own_member,
        )
        links.leader.stopping = self._stopping_since is not None
        for partition, rows in self._rows_by_partition.items():
            links.relay.offer_partition(partition, rows, self._watchers[partition].age)
        self._store_roster.on_read = links.set_listed
        self._store_roster.is_joined = lambda: links.relay.source_peer() is not None
        self._store_roster.is_store_failing = lambda: self._store.is_failing
        self._store_roster.live_names = lambda: [
            peer.name for peer in self._roster.peers()
        ]
        links.exchange_crash_reports(self._quarantine_links)
        self._brittle_rows.answers_for = links.answers_for
        self._stream_rows.answers_for = links.answers_for
        if self._store_roster.listed:
            links.set_listed(self._store_roster.listed)
        self._links = links
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(links.run())
            tasks.create_task(self._tunnels.run(keys))
            tasks.create_task(self._keep_keys(keys))

    async def _keep_keys(self, keys: FleetKeys) -> None:
        """Keep the fleet's keys in the store; ends the links if others replace them."""
        while True:
            await self._era_began.wait()
            self._era_began.clear()
            await keep_keys(self._store, self._clock, keys)

    def _publish_to_followers(self, partition: str, changes: Changes) -> None:
        notice = self._rows_by_partition[partition].take(changes)
        if notice is not None and self._links is not None:
            self._links.relay.publish(notice)

    def _max_read_wait_seconds(self) -> float:
        """Return the maximum wait of one read of the change feed, in seconds."""
        has_receivers = self._links is not None and self._links.relay.row_receivers()
        return (
            self.HUB_READ_WAIT_SECONDS
            if has_receivers
            else PartitionWatcher.MAX_WAIT_SECONDS
        )

    def _backends_batch_seconds(self) -> float:
        """Return the time for which changes of backend servers are batched, in seconds.

        The time is shorter on the order leader, whose orders depend on the changes.
        """
        if self._links is None or not self._links.leader.is_leader:
            return self._tuning.timing.backends_rest
        has_many_backends = (
            len(list(self._registry.records())) > self.MAX_UNBATCHED_BACKENDS
        )
        return self.LEADER_BATCH_SECONDS if has_many_backends else 0.0

    def _own_member(self, follows: str = "", rows_from: str = "") -> Member:
        routes = self._gateway.routes
        return Member(
            front=str(self._settings.front),
            data_centre=self._settings.data_centre,
            ready=self._ready(),
            sees_store=self._store.is_reachable,
            follows=follows,
            configuration=routes.catalogue.version if routes else 0,
            rows_from=rows_from,
        )

    async def _maintain(self) -> None:
        while True:
            self._tunnels.watch.check()
            self._roster.expire()
            self._registry.expire()
            self._registry.evacuations.expire(self._configuration.read_at)
            self._loads.keep_only(self._roster.peers())
            self._queue.backlog.keep_only(self._roster.peers())
            serving = self._roster.serving
            self._rate_limits.limit_to_share(self._roster.share, serving - 1)
            self._gateway.instances = serving
            self._limits.keep_only({r.identity for r in self._registry.records()})
            self._queue.speeds.keep_only(self._registry.records())
            self._queue.speeds.factors.keep_peers(self._roster.peers())
            self._places.refresh(self._registry.records())
            self._places.instances = serving
            if self._gateway.routes is None:
                self._activate_offered()
            await self._clock.sleep(self.MAINTENANCE_INTERVAL_SECONDS)

    def _listener_parts(self) -> ListenerParts:
        return ListenerParts(
            gateway=self._gateway,
            addresses=self._addresses,
            ttl_seconds=lambda: min(
                self._tuning.directory.ttl, self._settings.directory_ttl_seconds
            ),
            ready=self._ready,
            closing=lambda: self._stopping_since is not None,
            metrics=self.metrics,
        )

    def _addresses(self, query: DirectoryQuery) -> list[str]:
        members = [member for _, member in self._roster.reaching()]
        if not self._tunnels.watch.is_cut:
            members.append(self._own_member())
        known = [*self._roster.members(), self._own_member()]
        if not any(member.ready for member in members):
            members = known
        return choose_fronts(
            self._in_regions(query, members, known),
            query.data_centre,
            near_enough=self._tuning.directory.near_enough,
            rng=self._rng,
        )

    def _in_regions(
        self, query: DirectoryQuery, members: list[Member], known: list[Member]
    ) -> list[Member]:
        """Return the instances to which callers of a host may be directed.

        Args:
            query: The caller's query.
            members: Instances that reach backend servers.
            known: All instances; one in the regions of the host that is cut serves
                through others.
        """
        routes = self._gateway.routes
        homes = routes.homes_of_host(query.host) if routes else None
        if homes is None:
            return members
        regions = self._queue.regions
        own = query.region or regions.region_of(query.data_centre)
        near = homes | {own} if own else homes
        for some in (members, known):
            chosen = [
                member
                for member in some
                if member.ready and regions.are_home(member.data_centre, near)
            ]
            if chosen:
                return chosen
        return members

    def _ready(self) -> bool:
        return (
            self._stopping_since is None
            and self._gateway.routes is not None
            and self._backends_known
            and self._crashes_known
        )

    async def _drain_requests(self, connections: CallerConnections) -> None:
        """Wait for the minimum stop time, the end of all requests, and slow readers.

        At the stop deadline, the requests that are left end with an error.
        """
        assert self._stopping_since is not None
        min_end = self._stopping_since + self.MIN_STOP_SECONDS
        max_end = self._stop_deadline(self._stopping_since)
        while (now := self._clock.monotonic()) < max_end:
            in_use = self._gateway.in_flight + self._tunnels.open
            if now >= min_end and not in_use:
                break
            await self._clock.sleep(self.DRAIN_POLL_SECONDS)
        # Later requests are refused: the process may end before their answers.
        self._gateway.end_requests()
        if self._gateway.in_flight:
            await self._clock.sleep(self.LAST_RESPONSES_SECONDS)
        while connections.unread and self._clock.monotonic() < max_end:
            await self._clock.sleep(self.DRAIN_POLL_SECONDS)

    def _stop_deadline(self, started: float) -> float:
        return started + self._settings.grace_seconds - self.STOP_MARGIN_SECONDS

    def _own_entry(self) -> InstanceEntry:
        settings = self._settings
        return InstanceEntry(
            incarnation=self._me.incarnation,
            data_centre=settings.data_centre,
            address=settings.address,
            front_port=settings.front.port,
            peer_port=settings.peer_port,
            strong=settings.capacity.strong,
        )


def _has_new_body(before: RowChange | None, row: RowChange) -> bool:
    return before is None or before.body != row.body
