"""A fleet of instances with rate limits in one process, on a manual clock."""

from __future__ import annotations

from fakes_links import FakeLinks, FakeNetwork
from fakes_platform import FakeTable
from guavajunction.clock import ManualClock
from guavajunction.configuration import EMPTY_CONFIGURATION, Configuration, Customer
from guavajunction.customers import RateLimits, Reservation
from guavajunction.errors import RequestError, StoreUnavailable
from guavajunction.membership import owner
from guavajunction.peers import PeerId

STEP_SECONDS = 0.5


class FakeMembers:
    """One instance's view of a membership that the test controls."""

    def __init__(self, fleet: FakeFleet, links: FakeLinks) -> None:
        self._fleet = fleet
        self._links = links
        self.has_standing = True

    def standing(self) -> bool:
        """Return whether the instance may act as a member."""
        return self.has_standing and self._links.me in self._fleet.unrevoked

    def live_members(self) -> list[PeerId]:
        """Return the reachable instances, including this one."""
        return sorted([*self._links.peers(), self._links.me])

    def owner_of(self, key: str) -> PeerId:
        """Return the live member responsible for a key."""
        return owner(key, self.live_members())

    async def unrevoked_members(self) -> list[PeerId]:
        """Return the members, if the store is available."""
        if self._fleet.table.down:
            raise StoreUnavailable("the table service is down")
        return sorted(self._fleet.unrevoked)


class FakeNode:
    """One instance of the fleet."""

    def __init__(self, fleet: FakeFleet, name: str, incarnation: str) -> None:
        self.links = fleet.network.join(name, incarnation)
        self.table = fleet.table.client()
        self.members = FakeMembers(fleet, self.links)
        fleet.unrevoked.add(self.links.me)
        self.limits = RateLimits(
            fleet.configuration, self.links, self.table, self.members, fleet.clock
        )

    @property
    def me(self) -> PeerId:
        """Identity of the instance."""
        return self.links.me

    @property
    def name(self) -> str:
        """Name of the instance."""
        return self.links.me.name


class FakeFleet:
    """Instances that share a network, a table service and a configuration."""

    def __init__(self, names: str, customer: Customer) -> None:
        self.clock = ManualClock()
        self.network = FakeNetwork()
        self.table = FakeTable()
        self.customer = customer
        self.unrevoked: set[PeerId] = set()
        self.nodes: dict[str, FakeNode] = {}
        self.charged: list[tuple[float, float]] = []
        """Time and tokens of every request that was admitted."""
        for name in names:
            self.start(name)

    def configuration(self) -> Configuration:
        """Return a configuration with the only customer."""
        return EMPTY_CONFIGURATION._replace(
            customers={self.customer.name: self.customer}
        )

    def start(self, name: str, run: int = 1) -> FakeNode:
        """Start an instance, or a later incarnation of it."""
        self.nodes[name] = FakeNode(self, name, f"{name}-{run}")
        return self.nodes[name]

    def kill(self, name: str) -> FakeNode:
        """Stop an instance's process; it stays a member until it is revoked."""
        node = self.nodes.pop(name)
        self.network.leave(node.me)
        return node

    def revoke(self, node: FakeNode) -> None:
        """Revoke the membership of an incarnation."""
        self.unrevoked.discard(node.me)

    async def step(self, times: int = 1) -> None:
        """Advance the clock, exchange heartbeats and step every instance."""
        for _ in range(times):
            self.clock.advance(STEP_SECONDS)
            self.network.send_heartbeats()
            for node in list(self.nodes.values()):
                await node.limits.step()
            await self.network.settle()

    async def admit(self, name: str, cost: float) -> Reservation:
        """Admit a request at an instance and record the charge."""
        now = self.clock.monotonic()
        reservation = await self.nodes[name].limits.admit(self.customer, cost)
        self.charged.append((now, cost))
        return reservation

    async def admits(self, name: str, cost: float) -> bool:
        """Return whether a request is admitted."""
        try:
            await self.admit(name, cost)
        except RequestError:
            return False
        return True

    def units(self) -> dict[str, int]:
        """Return the number of units of each instance."""
        return {name: self.local_share(name).units for name in self.nodes}

    def local_share(self, name: str):
        """Return an instance's share of the customer's rate."""
        return self.nodes[name].limits._registry.local_share(self.customer)

    def spendable(self) -> int:
        """Return the number of units at instances that may act as members."""
        nodes = self.nodes.items()
        return sum(self.local_share(n).units for n, v in nodes if v.members.standing())

    def owner(self) -> str:
        """Return the name of the customer's owner, by rendezvous hashing."""
        return next(iter(self.nodes.values())).members.owner_of(self.customer.name).name
