"""Connects a gateway instance to the other instances of its fleet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from guavajunction.brittle import BrittlePlaces
from guavajunction.clock import Clock
from guavajunction.fleet import (
    Candidate,
    FleetShape,
    HubStatus,
    ListedInstance,
    Member,
    Relay,
    RelayedFeed,
    Roster,
)
from guavajunction.gateway import (
    BackendRecord,
    BackendRegistry,
    Backlog,
    Demand,
    Gateway,
    HoldingNotice,
    Load,
    LoadView,
    ModelDemand,
    RateLimits,
    RequestQueue,
    RetireNotice,
    SlowServer,
    StreamOrigins,
)
from guavajunction.intake import NO_LIMIT, ServerIntake
from guavajunction.membership import Lease
from guavajunction.peers import FleetKeys, PeerId, PeerMesh
from guavajunction.quarantine import BackendId
from guavajunction.storage import TableService
from guavajunction.swapping import (
    LEASE_NAME,
    LeaderStatus,
    LoadRateLimiter,
    OrderLeader,
    TermParts,
)
from guavajunction.tunnels import PathWatch

from ._deployment import Deployment
from ._limit_links import LimitLinks, StatedCold, StatedLimit, StatedRamp
from ._place_links import PlaceLinks
from ._quarantine_links import QuarantineLinks
from ._settings import GatewaySettings
from ._stream_links import StreamLinks
from ._tuning import Tuning

MEMBER_TOPIC = "member"
"""Heartbeat topic with this instance's `Member` status.

It is the only common topic that a hub sends to its followers.
"""


class FleetLinkParts(NamedTuple):
    """Aggregates whose state is exchanged with other instances."""

    gateway: Gateway
    queue: RequestQueue
    registry: BackendRegistry
    loads: LoadView
    demand: ModelDemand
    rate_limits: RateLimits
    streams: StreamOrigins
    limits: ServerIntake
    places: BrittlePlaces
    paths: PathWatch
    roster: Roster
    feed: RelayedFeed
    table: TableService
    clock: Clock


class FleetLinks:
    """The links of an instance to its peers, and its role as the order leader."""

    LEASE_MARGIN_SECONDS = 0.2
    """Added to the deployment's lease duration."""
    ORDER_PATIENCE_SECONDS = 2.0
    """Longest wait of an order for its turn at a backend server that has named a
    limit."""
    CLOCK_DRIFT_SECONDS = 0.1
    """Margin for clock drift between instances while a lease is held."""

    def __init__(
        self,
        me: PeerId,
        settings: GatewaySettings,
        tuning: Tuning,
        keys: FleetKeys,
        deployment: Deployment,
        parts: FleetLinkParts,
        own_member: Callable[[str, str], Member],
    ) -> None:
        """Create the links. Connections are opened by `run`.

        Args:
            me: Name and incarnation of this instance.
            settings: Settings of this instance from the deployment.
            tuning: Settings from the gateway's own settings file.
            keys: The fleet's key pair.
            deployment: Interface to the deployment.
            parts: Aggregates whose state is exchanged.
            own_member: Returns this instance's status, given the names of its hub and
                of its source of the store's rows.
        """
        self._me = me
        self._parts = parts
        self._own_member = lambda: own_member(self.relay.follows, self.relay.rows_from)
        self._listed_by_name: dict[str, ListedInstance] = {}
        self._target_names: frozenset[str] = frozenset()
        self._names_by_address: dict[str, str] = {}
        self._mesh = PeerMesh(
            me,
            settings.address,
            settings.peer_port,
            keys,
            parts.clock,
            heartbeat_seconds=tuning.timing.heartbeat,
        )
        fleet = tuning.fleet
        self._share_capacity = tuning.admission.share_capacity
        self._full_mesh = fleet.full_mesh
        shape = FleetShape(
            fleet.full_mesh, fleet.followers, one_reader=fleet.readers == "one"
        )
        self.relay = Relay(self._mesh, parts.roster, shape, parts.clock)
        self.leader = self._create_order_leader(settings, deployment)
        self._streams = StreamLinks(
            self._mesh, self.relay, parts.roster, parts.streams, parts.clock
        )
        self._limits = LimitLinks(
            me, self._mesh, self.relay, parts.roster, parts.limits, parts.clock
        )
        self._places = PlaceLinks(
            me, self._mesh, self.relay, parts.roster, parts.places, parts.clock
        )
        self._register_topics()

    async def run(self) -> None:
        """Maintain the links, and send orders while this instance is the leader."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._mesh.run())
            tasks.create_task(self.leader.run())

    def exchange_crash_reports(self, quarantine: QuarantineLinks) -> None:
        """Exchange reports of crashes with the peers."""
        quarantine.connect(self._mesh, self.relay)

    def answers_for(self, name: str) -> bool:
        """Return whether this instance writes the rows that have a name."""
        return self._places.answers_for(name)

    def set_listed(self, listed: list[ListedInstance]) -> None:
        """Set the instances that are listed in the store."""
        self._listed_by_name = {entry.record.name: entry for entry in listed}
        self._names_by_address = {
            f"{entry.record.address}:{entry.record.peer_port}": entry.record.name
            for entry in listed
        }
        self.relay.set_listed(
            Candidate(entry.record.name, entry.record.data_centre, entry.strong)
            for entry in listed
        )
        self._link_to_targets()

    def _create_order_leader(
        self, settings: GatewaySettings, deployment: Deployment
    ) -> OrderLeader:
        orders, clock = settings.orders, self._parts.clock
        lease = Lease(
            self._parts.table,
            LEASE_NAME,
            self._me,
            clock,
            duration=orders.lease_seconds + self.LEASE_MARGIN_SECONDS,
            drift_margin=self.CLOCK_DRIFT_SECONDS,
        )
        gateway = self._parts.gateway
        parts = TermParts(
            registry=self._parts.registry,
            loads=self._parts.loads,
            catalogue=lambda: gateway.routes.catalogue if gateway.routes else None,
            demand=self._fleet_demand,
            resumes=self._fleet_resumes,
            broadcast=self.relay.broadcast,
            schedule_dispatch=self._parts.queue.schedule_dispatch,
            acquire_send=self._acquire_send,
            load_rate_limiter=LoadRateLimiter(orders.load_window_seconds),
            clock=clock,
        )
        deployment.orders.on_limit = self._note_limit
        return OrderLeader(
            self._mesh,
            lease,
            deployment.orders,
            parts,
            clock,
            candidates=self._leader_candidates,
            min_handover_seconds=orders.lease_seconds + self.CLOCK_DRIFT_SECONDS,
        )

    async def _acquire_send(self, backend: BackendRecord) -> bool:
        """Wait until an order or a report may be sent to a backend server."""
        registry = self._parts.registry
        if not registry.statements.may_send(backend.identity):
            return False
        if registry.is_evacuated(backend):
            return False
        acquired = await self._parts.limits.acquire(
            backend.identity, self.ORDER_PATIENCE_SECONDS
        )
        return acquired and not registry.is_evacuated(backend)

    def _note_limit(self, backend: BackendRecord, text: str) -> None:
        # The answers to orders and reports only lower a limit, as they overlap others.
        self._parts.limits.book.note_answer(backend.identity, text, NO_LIMIT)

    def _register_topics(self) -> None:
        parts, mesh, relay = self._parts, self._mesh, self.relay
        relay.must_be_hub = lambda: self.leader.is_leader
        relay.preferred_reader = self._leader_name
        relay.on_hub_changed = self._reset_peer_state
        relay.on_source_changed = parts.feed.reset_hub
        parts.feed.source = relay
        self.leader.hub = relay.hub_peer
        self.leader.is_cut = lambda: parts.paths.is_cut
        parts.queue.loads_due = self.leader.loads_due
        parts.queue.on_adapter_wanted = self.leader.request_adapter
        mesh.set_topic_selector(self._topics_for)
        # Heartbeats collect the topics in this order. The member topic comes first,
        # because it updates the choice of hub, on which the other topics depend.
        mesh.add_topic(MEMBER_TOPIC, self._begin_heartbeat, self._on_member, Member)
        mesh.add_topic(
            "loads",
            parts.loads.own,
            self._unless_following(self._on_loads),
            dict[str, Load],
        )
        mesh.add_topic(
            "spent",
            parts.rate_limits.spent,
            self._unless_following(parts.rate_limits.update_peer),
            dict[str, float],
        )
        mesh.add_topic(
            "demand", self._own_demand, parts.demand.update_peer, dict[str, Demand]
        )
        if self._share_capacity != "never":
            self._register_backlog()
        mesh.add_topic(
            "resumes",
            parts.queue.waiting_by_version,
            parts.demand.update_peer_resumes,
            dict[str, dict[str, int]],
        )
        mesh.add_topic(
            "author", self.leader.status, self.leader.update_status, LeaderStatus
        )
        mesh.add_topic(
            "limits",
            self._limits.statements,
            self._limits.on_statements,
            list[StatedLimit],
        )
        mesh.add_topic(
            "cold",
            self._limits.cold_entries,
            self._limits.on_cold_entries,
            list[StatedCold],
        )
        mesh.add_topic(
            "pace",
            self._limits.own_ramps,
            self._unless_following(self._limits.on_peer_ramps),
            list[StatedRamp],
        )
        mesh.add_topic(
            "brittle",
            self._places.statements,
            self._places.on_statements,
            list[StatedLimit],
        )
        factors = parts.queue.speeds.factors
        mesh.add_topic(
            "speeds",
            factors.own_slow,
            self._unless_following(factors.update_peer),
            list[SlowServer],
        )
        mesh.add_topic("cut", lambda: parts.paths.is_cut, parts.roster.on_cut, bool)
        mesh.add_topic(
            "leaving", self._leaving_backends, self._on_leaving, list[BackendId]
        )
        mesh.add_peer_topic(
            "hub-leaving",
            self._only_for_followers(lambda _: self._leaving_backends()),
            self._only_from_hub(self._on_leaving),
            list[BackendId],
        )
        mesh.add_peer_topic("hub", relay.status_for, relay.on_hub_status, HubStatus)
        mesh.add_peer_topic(
            "hub-loads",
            self._only_for_followers(parts.loads.total_without),
            self._only_from_hub(self._on_loads),
            dict[str, Load],
        )
        mesh.add_peer_topic(
            "hub-spent",
            self._only_for_followers(parts.rate_limits.spent_without),
            self._only_from_hub(parts.rate_limits.update_peer),
            dict[str, float],
        )
        mesh.add_peer_topic(
            "hub-limits",
            self._only_for_followers(lambda _: self._limits.statements()),
            self._only_from_hub(self._limits.on_statements),
            list[StatedLimit],
        )
        mesh.add_peer_topic(
            "hub-cold",
            self._only_for_followers(lambda _: self._limits.cold_entries() or None),
            self._only_from_hub(self._limits.on_cold_entries),
            list[StatedCold],
        )
        mesh.add_peer_topic(
            "hub-pace",
            self._only_for_followers(lambda peer: self._limits.hub_ramps(peer) or None),
            self._only_from_hub(self._limits.on_hub_ramps),
            list[StatedRamp],
        )
        mesh.add_peer_topic(
            "hub-brittle",
            self._only_for_followers(lambda _: self._places.statements()),
            self._only_from_hub(self._places.on_statements),
            list[StatedLimit],
        )
        mesh.add_peer_topic(
            "hub-speeds",
            self._only_for_followers(factors.slow_without),
            self._only_from_hub(factors.update_peer),
            list[SlowServer],
        )
        mesh.add_peer_topic(
            "hub-cut",
            self._only_for_followers(lambda _: self._cut_instances()),
            self._only_from_hub(lambda _, names: parts.roster.on_hub_cut(names)),
            tuple[str, ...],
        )
        mesh.add_peer_topic(
            "hub-author",
            self._only_for_followers(lambda _: self.leader.latest_status()),
            self._only_from_hub(lambda _, latest: self.leader.update_status(*latest)),
            tuple[PeerId, LeaderStatus],
        )
        mesh.handle(HoldingNotice, self._on_holding)
        mesh.handle(RetireNotice, self._on_retired)

    def _register_backlog(self) -> None:
        queue = self._parts.queue
        self._mesh.add_topic(
            "backlog",
            self._own_backlog,
            self._unless_following(queue.backlog.update_peer),
            Backlog,
        )
        self._mesh.add_peer_topic(
            "hub-backlog",
            self._only_for_followers(
                lambda peer: queue.backlog.total_without(peer, self._own_backlog())
            ),
            self._only_from_hub(queue.backlog.update_peer),
            Backlog,
        )

    def _own_backlog(self) -> Backlog:
        is_large = len(self._listed_by_name) > self._full_mesh
        if self._share_capacity == "large" and not is_large:
            return {}
        if self._parts.paths.is_cut:
            # Its requests can use no slot until it reaches backend servers again.
            return {}
        return self._parts.queue.own_backlog()

    def _only_for_followers(
        self, provide: Callable[[PeerId], Any]
    ) -> Callable[[PeerId], Any]:
        return lambda peer: provide(peer) if self.relay.has_follower(peer) else None

    def _unless_following(
        self, accept: Callable[[PeerId, Any], None]
    ) -> Callable[[PeerId, Any], None]:
        """Return a handler that ignores a topic while this instance follows a hub.

        The sums that a hub sends already include the values of the peers.
        """

        def accept_filtered(peer: PeerId, value: Any) -> None:
            if not self.relay.follows:
                accept(peer, value)

        return accept_filtered

    def _only_from_hub(
        self, accept: Callable[[PeerId, Any], None]
    ) -> Callable[[PeerId, Any], None]:
        """Return a handler that accepts a topic only from the followed hub."""

        def accept_filtered(peer: PeerId, value: Any) -> None:
            if peer.name == self.relay.follows:
                accept(peer, value)

        return accept_filtered

    def _topics_for(self, peer: PeerId | None, address: str) -> Collection[str] | None:
        if peer is not None and self.relay.has_follower(peer):
            return (MEMBER_TOPIC,)
        name = peer.name if peer else self._names_by_address.get(address)
        return (
            self._mesh.topics if name and self.relay.sends_heartbeat_to(name) else None
        )

    def _begin_heartbeat(self) -> Member:
        self.relay.begin_heartbeat()
        self._streams.on_heartbeat()
        self._link_to_targets()
        return self._own_member()

    def _link_to_targets(self) -> None:
        wanted = self.relay.targets & self._listed_by_name.keys()
        if wanted != self._target_names:
            self._target_names = wanted
            self._mesh.set_targets(
                [self._listed_by_name[name].record for name in wanted]
            )

    def _reset_peer_state(self) -> None:
        """Reset the state received from peers after a change of hub.

        Values of peers and sums of a hub must not be mixed, because the sums include
        the values of the peers.
        """
        self._parts.loads.keep_only([])
        self._parts.queue.backlog.keep_only([])
        self._parts.queue.speeds.factors.keep_peers([])
        self._parts.rate_limits.reset_peer_counts()

    def _leader_name(self) -> str | None:
        """Return the order leader, which reads the store with the least delay."""
        latest = self.leader.latest_status()
        return latest[0].name if latest is not None else None

    def _on_member(self, peer: PeerId, member: Member) -> None:
        self._parts.roster.on_heartbeat(peer, member)
        self.relay.on_member(peer, member)

    def _on_loads(self, peer: PeerId, loads: dict[str, Load]) -> None:
        self._parts.loads.update_peer(peer, loads)
        self._parts.queue.schedule_dispatch()

    def _leaving_backends(self) -> list[BackendId]:
        """Return the known backend servers that leave, to send them with heartbeats."""
        registry = self._parts.registry
        if not registry.statements.any_leaving:
            return []
        known = {record.identity for record in registry.records()}
        return registry.statements.leaving_of(known)

    def _on_leaving(self, _: PeerId, backends: list[BackendId]) -> None:
        if backends and self._parts.registry.statements.note_leaving(backends):
            self._parts.queue.schedule_dispatch()

    def _own_demand(self) -> dict[str, Demand]:
        now = self._parts.clock.monotonic()
        return self._parts.demand.own(self._parts.queue.waiting_by_model(), now)

    def _fleet_demand(self) -> dict[str, Demand]:
        peers = self._parts.roster.peers()
        return self._parts.demand.fleet(self._own_demand(), peers)

    def _fleet_resumes(self) -> dict[str, dict[str, int]]:
        return self._parts.demand.fleet_resumes(
            self._parts.queue.waiting_by_version(), self._parts.roster.peers()
        )

    def _cut_instances(self) -> tuple[str, ...]:
        """Return the names of all instances that reach no backend server."""
        own = {self._me.name} if self._parts.paths.is_cut else set()
        return tuple(sorted(self._parts.roster.cut() | own))

    def _leader_candidates(self) -> list[PeerId]:
        cut = self._cut_instances()
        peers = self._parts.roster.peers_matching(lambda member: member.may_give_orders)
        if self._own_member().may_give_orders:
            peers.append(self._me)
        return [peer for peer in peers if peer.name not in cut]

    async def _on_holding(self, peer: PeerId, notice: HoldingNotice) -> None:
        self._parts.registry.note_holding(notice)
        self._parts.queue.schedule_dispatch()
        self.relay.forward(peer, notice)

    async def _on_retired(self, peer: PeerId, notice: RetireNotice) -> None:
        self._parts.registry.note_retired(notice)
        self.relay.forward(peer, notice)
