"""How many units of a customer's rate each instance should have."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.membership import owner
from guavajunction.peers import Links, PeerId

from ._bucket import MICROTOKENS_PER_TOKEN
from ._local_share import LocalShare
from ._peer_shares import PeerShares


class InstanceDemand(NamedTuple):
    """What one instance has and is asked for."""

    units: int
    demand: float
    """Tokens a second."""
    largest: float
    """Tokens of its largest request of late."""


class ShareTargets:
    """Splits a customer's units by demand over as few instances as need be.

    A share that holds only a request or two refuses the next one although others
    have enough, so units are split only into shares of several requests each.
    Instances that have units already are preferred, lest the units wander.

    What the demand leaves over is kept on a standby instance: the units of an instance
    that dies are out of use until its lease has run out, and the standby serves the
    customer meanwhile.
    """

    MIN_REQUESTS_PER_SHARE = 4

    DEMAND_HEADROOM = 1.25
    """Part of the demand that its instances have units for, before the standby."""

    STANDBY_DEMAND_SHARE = 0.5
    """A standby is kept if one instance has more than this part of the demand."""

    HELD_UNITS_WEIGHT = 0.5
    """What holding all units counts for, as a part of the whole demand."""

    def __init__(self, peers: PeerShares, links: Links, clock: Clock) -> None:
        self._peers = peers
        self._links = links
        self._clock = clock

    def demands(self, local_share: LocalShare) -> dict[PeerId, InstanceDemand]:
        """Return what the instances of this epoch have and are asked for."""
        now, demand = self._clock.monotonic(), local_share.demand
        own = InstanceDemand(local_share.units, demand.rate(now), demand.largest(now))
        demands = {self._links.me: own}
        reachable = set(self._links.peers())
        for peer, share in self._peers.by_customer(
            local_share.customer.name, reachable
        ).items():
            if share.epoch == local_share.epoch:
                demands[peer] = InstanceDemand(share.units, share.demand, share.largest)
        return demands

    def deficits(
        self,
        local_share: LocalShare,
        demands: dict[PeerId, InstanceDemand],
        *,
        with_standby: bool,
    ) -> dict[PeerId, int]:
        """Return by how many units each instance is below its target.

        Args:
            holding: This instance's share.
            wants: What the instances have and are asked for.
            with_standby: Whether the standby has a part. An instance that asks because
                it is short gets all that it may need.

        Returns:
            Units by instance, negative above the target; empty without demand.
        """
        total = sum(want.units for want in demands.values())
        chosen = self._select_instances(local_share, demands, total)
        demand = sum(demands[peer].demand for peer in chosen)
        if demand <= 0:
            return {}
        targets: dict[PeerId, int] = {}
        if with_standby:
            targets = self._standby_target(local_share, demands, chosen, total)
        rest = total - sum(targets.values())
        for peer in chosen:
            targets[peer] = int(rest * demands[peer].demand / demand)
        return {
            peer: targets.get(peer, 0) - (demands[peer].units if peer in demands else 0)
            for peer in demands.keys() | targets.keys()
        }

    def _standby_target(
        self,
        local_share: LocalShare,
        demands: dict[PeerId, InstanceDemand],
        chosen: list[PeerId],
        total: int,
    ) -> dict[PeerId, int]:
        """Return the standby with its units; empty if there is none worth having."""
        others = {*self._links.peers(), self._links.me} - set(chosen)
        busiest = max(demands[peer].demand for peer in chosen)
        together = sum(demands[peer].demand for peer in chosen)
        if not others or busiest <= self.STANDBY_DEMAND_SHARE * together:
            return {}
        demand = sum(want.demand for want in demands.values())
        spare = 1.0 - self.DEMAND_HEADROOM * demand / local_share.customer.rate
        smallest = self._smallest_share(local_share, demands)
        units = min(int(total * spare), total - smallest * len(chosen))
        if units < smallest:
            return {}
        return {owner(f"standby/{local_share.customer.name}", sorted(others)): units}

    def _smallest_share(
        self, local_share: LocalShare, demands: dict[PeerId, InstanceDemand]
    ) -> int:
        largest = max(want.largest for want in demands.values())
        return local_share.units_for(
            int(self.MIN_REQUESTS_PER_SHARE * largest * MICROTOKENS_PER_TOKEN)
        )

    def _select_instances(
        self, local_share: LocalShare, demands: dict[PeerId, InstanceDemand], total: int
    ) -> list[PeerId]:
        smallest = self._smallest_share(local_share, demands)
        demand = sum(want.demand for want in demands.values()) or 1.0

        def score(peer: PeerId) -> tuple[float, PeerId]:
            want = demands[peer]
            stays = self.HELD_UNITS_WEIGHT * want.units / max(1, total)
            return want.demand / demand + stays, peer

        ranked = sorted(demands, key=score, reverse=True)
        ranked = [peer for peer in ranked if demands[peer].demand > 0]
        for count in range(len(ranked), 1, -1):
            chosen = ranked[:count]
            together = sum(demands[peer].demand for peer in chosen)
            least = min(demands[peer].demand for peer in chosen)
            if total * least / together >= smallest:
                return chosen
        return ranked[:1]
