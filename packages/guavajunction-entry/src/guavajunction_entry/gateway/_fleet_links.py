"""Joins one gateway instance to the others: what it tells them and hears of them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Collection
from typing import Any, NamedTuple

from guavajunction.clock import Clock
from guavajunction.fleet import (
    Candidate,
    FleetShape,
    HubWord,
    ListedInstance,
    Member,
    Relay,
    RelayedFeed,
    Roster,
)
from guavajunction.gateway import (
    Allowances,
    BackendBook,
    Demand,
    Gateway,
    HoldingNotice,
    Load,
    LoadView,
    ModelDemand,
    RetireNotice,
    WaitingRoom,
)
from guavajunction.membership import Lease
from guavajunction.peers import FleetKeys, PeerId, PeerMesh
from guavajunction.swapping import (
    LEASE_NAME,
    AuthorBeat,
    LoadCeiling,
    OrderAuthor,
    TermParts,
)

from ._deployment import Deployment
from ._settings import GatewaySettings
from ._tuning import Tuning

MEMBER = "member"
"""The one topic that a hub's followers get like everybody else."""


class LinkedParts(NamedTuple):
    """What is told to other instances, and changed by what they tell."""

    gateway: Gateway
    room: WaitingRoom
    book: BackendBook
    loads: LoadView
    demand: ModelDemand
    allowances: Allowances
    roster: Roster
    feed: RelayedFeed
    clock: Clock


class FleetLinks:
    """The links of one instance, with the duties that need them."""

    LEASE_SLACK_SECONDS = 0.2
    """On top of the deployment's lease."""
    DRIFT_SECONDS = 0.1

    def __init__(
        self,
        me: PeerId,
        settings: GatewaySettings,
        tuning: Tuning,
        keys: FleetKeys,
        deployment: Deployment,
        parts: LinkedParts,
        member: Callable[[str], Member],
    ) -> None:
        """Create the links; nothing is opened before `run`.

        Args:
            me: This run of this instance.
            settings: What the deployment says of this instance.
            tuning: Settings of the gateway's own.
            keys: The fleet's key pair.
            deployment: What differs from one deployment to the next.
            parts: What is told and heard.
            member: Returns what this instance says of itself, given whom it follows.
        """
        self._me = me
        self._parts = parts
        self._member = member
        self._records: dict[str, ListedInstance] = {}
        self._linked: frozenset[str] = frozenset()
        self._names: dict[str, str] = {}
        self._mesh = PeerMesh(
            me,
            settings.address,
            settings.peer_port,
            keys,
            parts.clock,
            heartbeat_seconds=tuning.timing.heartbeat,
        )
        shape = FleetShape(tuning.fleet.full_mesh, tuning.fleet.followers)
        self.relay = Relay(self._mesh, parts.roster, shape, parts.clock)
        self.author = self._order_author(settings, deployment)
        self._join()

    async def run(self) -> None:
        """Keep the links and give orders when it is this instance's turn."""
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self._mesh.run())
            tasks.create_task(self.author.run())

    def set_listed(self, listed: list[ListedInstance]) -> None:
        """Take the list of all instances."""
        self._records = {one.record.name: one for one in listed}
        self._names = {
            f"{one.record.address}:{one.record.peer_port}": one.record.name
            for one in listed
        }
        self.relay.set_listed(
            Candidate(one.record.name, one.record.data_centre, one.strong)
            for one in listed
        )
        self._link_to_targets()

    def _order_author(
        self, settings: GatewaySettings, deployment: Deployment
    ) -> OrderAuthor:
        orders, clock = settings.orders, self._parts.clock
        lease = Lease(
            deployment.table,
            LEASE_NAME,
            self._me,
            clock,
            duration=orders.lease_seconds + self.LEASE_SLACK_SECONDS,
            drift_margin=self.DRIFT_SECONDS,
        )
        gateway = self._parts.gateway
        parts = TermParts(
            book=self._parts.book,
            loads=self._parts.loads,
            catalogue=lambda: gateway.routes.catalogue if gateway.routes else None,
            demand=self._fleet_demand,
            tell_all=self.relay.tell_all,
            wake=self._parts.room.wake,
            ceiling=LoadCeiling(orders.ceiling_window_seconds),
            clock=clock,
        )
        return OrderAuthor(
            self._mesh,
            lease,
            deployment.orders,
            parts,
            clock,
            candidates=self._candidates,
            turn_seconds=orders.lease_seconds + self.DRIFT_SECONDS,
        )

    def _join(self) -> None:
        parts, mesh, relay = self._parts, self._mesh, self.relay
        relay.must_lead = lambda: self.author.in_office
        relay.on_moved = self._forget_sources
        parts.feed.source = relay
        self.author.hub = relay.hub_peer
        parts.room.loads_due = self.author.loads_due
        parts.room.on_adapter_wanted = self.author.want_adapter
        mesh.choose_topics(self._topics_for)
        # The first topic begins a heartbeat; the others follow what it decides.
        mesh.share(MEMBER, self._begin_beat, self._hear_member, Member)
        mesh.share(
            "loads", parts.loads.own, self._as_hub(self._hear_loads), dict[str, Load]
        )
        mesh.share(
            "spent",
            parts.allowances.spent,
            self._as_hub(parts.allowances.hear),
            dict[str, float],
        )
        mesh.share("demand", self._own_demand, parts.demand.hear, dict[str, Demand])
        mesh.share("author", self.author.status, self.author.update_status, AuthorBeat)
        mesh.share_with("hub", relay.word_for, relay.hear_word, HubWord)
        mesh.share_with(
            "hub-loads",
            self._for_followers(parts.loads.without),
            self._of_my_hub(self._hear_loads),
            dict[str, Load],
        )
        mesh.share_with(
            "hub-spent",
            self._for_followers(parts.allowances.spent_without),
            self._of_my_hub(parts.allowances.hear),
            dict[str, float],
        )
        mesh.share_with(
            "hub-author",
            self._for_followers(lambda _: self.author.latest_status()),
            self._of_my_hub(lambda _, said: self.author.update_status(*said)),
            tuple[PeerId, AuthorBeat],
        )
        mesh.handle(HoldingNotice, self._on_holding)
        mesh.handle(RetireNotice, self._on_retired)

    def _for_followers(
        self, provide: Callable[[PeerId], Any]
    ) -> Callable[[PeerId], Any]:
        return lambda peer: provide(peer) if self.relay.leads(peer) else None

    def _as_hub(
        self, accept: Callable[[PeerId, Any], None]
    ) -> Callable[[PeerId, Any], None]:
        """Accept from everybody while no hub is followed: its sums hold it already."""

        def hear(peer: PeerId, value: Any) -> None:
            if not self.relay.follows:
                accept(peer, value)

        return hear

    def _of_my_hub(
        self, accept: Callable[[PeerId, Any], None]
    ) -> Callable[[PeerId, Any], None]:
        """Accept from the hub that is followed and from nobody else."""

        def hear(peer: PeerId, value: Any) -> None:
            if peer.name == self.relay.follows:
                accept(peer, value)

        return hear

    def _topics_for(self, peer: PeerId | None, address: str) -> Collection[str] | None:
        if peer is not None and self.relay.leads(peer):
            return (MEMBER,)
        name = peer.name if peer else self._names.get(address)
        return self._mesh.topics if name and self.relay.beats_to(name) else None

    def _begin_beat(self) -> Member:
        self.relay.begin_beat()
        self._link_to_targets()
        return self._member(self.relay.follows)

    def _link_to_targets(self) -> None:
        wanted = self.relay.targets & self._records.keys()
        if wanted != self._linked:
            self._linked = wanted
            self._mesh.set_targets([self._records[name].record for name in wanted])

    def _forget_sources(self) -> None:
        """Hear from others than before: sums of a hub hold what peers say as well."""
        self._parts.loads.keep_only([])
        self._parts.allowances.change_sources()
        self._parts.feed.leave()

    def _hear_member(self, peer: PeerId, member: Member) -> None:
        self._parts.roster.hear(peer, member)
        self.relay.on_member(peer, member)

    def _hear_loads(self, peer: PeerId, loads: dict[str, Load]) -> None:
        self._parts.loads.hear(peer, loads)
        self._parts.room.wake()

    def _own_demand(self) -> dict[str, Demand]:
        now = self._parts.clock.monotonic()
        return self._parts.demand.own(self._parts.room.models_waited_for(), now)

    def _fleet_demand(self) -> dict[str, Demand]:
        peers = self._parts.roster.peers()
        return self._parts.demand.fleet(self._own_demand(), peers)

    def _candidates(self) -> list[PeerId]:
        peers = self._parts.roster.peers_that(lambda member: member.may_give_orders)
        if self._member(self.relay.follows).may_give_orders:
            peers.append(self._me)
        return peers

    async def _on_holding(self, peer: PeerId, notice: HoldingNotice) -> None:
        self._parts.book.note_holding(notice)
        self._parts.room.wake()
        self.relay.pass_on(peer, notice)

    async def _on_retired(self, peer: PeerId, notice: RetireNotice) -> None:
        self._parts.book.note_retired(notice)
        self.relay.pass_on(peer, notice)
