"""Creates the aggregates of an incarnation and wires their dependencies."""

from __future__ import annotations

import random
import secrets
from contextlib import AsyncExitStack

import aiohttp

from guavajunction.backends import (
    HttpBackendClient,
    Inventory,
    Retirement,
    backend_session,
)
from guavajunction.clock import Clock
from guavajunction.configuration import (
    Configuration,
    ConfigurationEditor,
    ConfigurationManager,
    ConfigurationStore,
)
from guavajunction.connections import StrictConnector
from guavajunction.customers import (
    EqualSplitLimits,
    KeyAuthenticator,
    RateLimitPolicy,
    RateLimits,
)
from guavajunction.directory import Directory
from guavajunction.idempotency import IdempotencyRegistry
from guavajunction.membership import Lease, Membership, MembershipConfig
from guavajunction.metrics import MetricsRegistry
from guavajunction.peers import FleetKeys, PeerId, PeerMesh
from guavajunction.placement import DemandSource, PlacementService
from guavajunction.routing import (
    AffinitySelector,
    ContentionShare,
    DecisionLog,
    DemandMeter,
    Dispatcher,
    FairQueue,
    FifoQueue,
    InferenceRouter,
    LoadTracker,
    RetryBudget,
    Selector,
    ServiceRouter,
    engine_session,
    least_loaded_selector,
    random_selector,
    single_send_session,
)
from guavajunction.settings import Settings
from guavajunction.storage import (
    InstanceListClient,
    InstanceRecord,
    ObjectClient,
    TableClient,
)

from ._no_demand import NoDemand

INCARNATION_BYTES = 8
"""Length of the random identifier of an incarnation."""
MAX_ENGINE_CONNECTIONS = 2_048
"""Limit on concurrent connections to model engines."""
MAX_POLL_CONNECTIONS = 100
"""Limit on concurrent connections that read the state of backend servers."""


class Aggregates:
    """All aggregates of one incarnation.

    Each incarnation creates new aggregates; only the settings are reused.
    """

    def __init__(self, settings: Settings, stack: AsyncExitStack, clock: Clock) -> None:
        """Create the aggregates without starting their tasks.

        Args:
            settings: The instance's settings.
            stack: Closes the HTTP sessions that are opened here.
            clock: Source of time.
        """
        self._settings = settings
        self._stack = stack
        self._clock = clock
        self._rng = random.Random(secrets.randbits(64))
        self.metrics = MetricsRegistry()
        self.decisions = DecisionLog()
        self.draining = False
        """Whether a planned stop has begun."""
        self._build_platform_clients()
        self._build_fleet()
        self._build_configuration()
        self._build_customers()
        self._build_backends()
        self._build_routing()
        self._build_directory()
        self._register_gauges()

    @property
    def own_record(self) -> InstanceRecord:
        """Return this instance's entry in the instance list."""
        own = self._settings.instance
        return InstanceRecord(
            own.name, own.data_centre, own.address, own.http_port, own.peer_port, "live"
        )

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force."""
        return self.manager.current

    def ready(self) -> bool:
        """Return whether the directory may send callers to this instance."""
        return (
            not self.draining and self.may_serve() and self.inventory.initial_scan_done
        )

    def may_serve(self) -> bool:
        """Return whether this instance may run requests that need an API key."""
        return self.manager.ready.is_set() and self.membership.standing()

    def _build_platform_clients(self) -> None:
        cfg = self._settings.platform
        session = self._open_session(limit=0)
        self.table = TableClient(
            session, cfg.table_url, cfg.table_name, timeout=cfg.timeout
        )
        self.objects = ObjectClient(
            session, cfg.object_url, cfg.bucket, timeout=cfg.timeout
        )
        self.instance_list = InstanceListClient(
            session, cfg.instances_url, timeout=cfg.timeout
        )

    def _build_fleet(self) -> None:
        own = self._settings.instance
        keys = (key.decode() for key in self._settings.secrets.peer_keys_file)
        me = PeerId(own.name, secrets.token_hex(INCARNATION_BYTES))
        self.mesh = PeerMesh(
            me,
            own.address,
            own.peer_port,
            FleetKeys(*keys),
            self._clock,
            heartbeat_seconds=self._settings.timing.heartbeat,
        )
        self.membership = Membership(
            self.table,
            self.instance_list,
            self.mesh,
            self._clock,
            self._membership_config(),
            self.own_record,
            version=lambda: self.manager.current.version,
        )

    def _membership_config(self) -> MembershipConfig:
        timing = self._settings.timing
        return MembershipConfig(
            lease=timing.lease,
            drift_margin=timing.drift_margin,
            staleness=timing.staleness,
            poll=timing.configuration_poll,
        )

    def _build_configuration(self) -> None:
        self.store = ConfigurationStore(self.table, self.objects, self._clock)
        self.manager = ConfigurationManager(
            self.store,
            self.mesh,
            self.membership,
            self._clock,
            poll_seconds=self._settings.timing.configuration_poll,
        )
        self.editor = ConfigurationEditor(self.store, self.manager, self.membership)

    def _build_customers(self) -> None:
        pepper = self._settings.secrets.pepper_file
        self.key_authenticator = KeyAuthenticator(self._current_configuration, pepper)
        self.limits = self._create_rate_limits()
        self.idempotency = IdempotencyRegistry(
            self.table, self.objects, self.mesh.me, self._clock, self.membership
        )

    def _create_rate_limits(self) -> RateLimitPolicy:
        if self._settings.policy.shares == "equal":
            return EqualSplitLimits(self.membership, self._clock)
        return RateLimits(
            self._current_configuration,
            self.mesh,
            self.table,
            self.membership,
            self._clock,
        )

    def _build_backends(self) -> None:
        self.load_tracker = LoadTracker(self._clock)
        session = backend_session(limit=MAX_POLL_CONNECTIONS)
        self._stack.push_async_callback(session.close)
        self._backend_client = HttpBackendClient(session)
        self._retirement = Retirement(
            self.mesh, self.load_tracker.in_flight, self._clock
        )
        self.inventory = Inventory(
            self._backend_client,
            self.mesh,
            self.membership,
            self._current_configuration,
            self._retirement,
            self._clock,
            poll=self._settings.timing.load_poll,
        )

    def _build_routing(self) -> None:
        self.demand = DemandMeter(self._clock)
        self.dispatcher = Dispatcher(
            self.inventory,
            self._create_selector(),
            self.load_tracker,
            self.demand,
            self.decisions,
            self._clock,
            FifoQueue() if self._settings.policy.queue == "fifo" else FairQueue(),
            max_queue=self._settings.serving.max_queue,
        )
        self.placement = PlacementService(
            self.inventory,
            self._retirement,
            self._backend_client,
            self.table,
            self.mesh,
            self.membership,
            self._create_lease,
            self._current_configuration,
            NoDemand()
            if self._settings.policy.placement == "static"
            else self.dispatcher,
            self._settings.placement,
            self._clock,
        )
        contention = ContentionShare(self.mesh, self._clock, self.dispatcher.activity)
        self.dispatcher.connect(contention.fraction, self.placement.request_artifact)
        self._build_routers(RetryBudget(self._rng))

    def _placement_demand(self) -> DemandSource:
        if self._settings.policy.placement == "static":
            return NoDemand()
        return self.dispatcher

    def _create_selector(self) -> Selector:
        policy = self._settings.policy.routing
        if policy == "random":
            return random_selector(self.inventory, self.load_tracker, self._rng)
        if policy == "least_loaded":
            return least_loaded_selector(self.inventory, self.load_tracker)
        return AffinitySelector(self.inventory, self.load_tracker, self._rng)

    def _build_routers(self, budget: RetryBudget) -> None:
        engines = engine_session(limit=MAX_ENGINE_CONNECTIONS)
        self._stack.push_async_callback(engines.close)
        self.inference = InferenceRouter(
            engines,
            self.dispatcher,
            self.inventory,
            budget,
            self.decisions,
            self._current_configuration,
            self._clock,
        )
        single_send = single_send_session()
        self._stack.push_async_callback(single_send.close)
        self.services = ServiceRouter(
            single_send,
            self.inventory,
            budget,
            self.decisions,
            self._clock,
            self._rng,
            self._current_configuration,
            timeout=self._settings.serving.service_timeout,
        )

    def _build_directory(self) -> None:
        self.directory = Directory(
            self.mesh,
            self._clock,
            self.own_record,
            self.membership.records,
            self.ready,
            lambda: self.load_tracker.total + self.dispatcher.waiting,
        )

    def _register_gauges(self) -> None:
        counts = self.table.counts
        gauges = {
            "in_flight": lambda: self.load_tracker.total,
            "waiting": lambda: self.dispatcher.waiting,
            "configuration_version": lambda: self.manager.current.version,
            "standing": lambda: int(self.membership.standing()),
            "store_reads_total": lambda: counts["get"] + counts["query"],
            "store_writes_total": lambda: counts["put"] + counts["delete"],
            "peer_sent_bytes_total": self._peer_bytes,
        }
        for name, read in gauges.items():
            self.metrics.gauge(name, read)

    def _peer_bytes(self) -> int:
        return sum(link.sent_bytes for link in self.mesh.traffic().values())

    def _open_session(self, *, limit: int) -> aiohttp.ClientSession:
        """Open a session without cookies; the stack closes it.

        Args:
            limit: Maximum number of connections; 0 for no limit.
        """
        session = aiohttp.ClientSession(
            connector=StrictConnector(limit=limit),
            cookie_jar=aiohttp.DummyCookieJar(),
        )
        self._stack.push_async_callback(session.close)
        return session

    def _current_configuration(self) -> Configuration:
        return self.manager.current

    def _create_lease(self, name: str) -> Lease:
        timing = self._settings.timing
        return Lease(
            self.table,
            name,
            self.mesh.me,
            self._clock,
            duration=timing.lease,
            drift_margin=timing.drift_margin,
        )
