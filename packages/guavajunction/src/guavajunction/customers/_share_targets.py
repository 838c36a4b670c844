"""Computes how many of a customer's units each instance should have."""

from __future__ import annotations

from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.membership import owner
from guavajunction.peers import Links, PeerId

from ._bucket import MICROTOKENS_PER_TOKEN
from ._local_share import LocalShare
from ._peer_shares import PeerShares


class InstanceDemand(NamedTuple):
    """One instance's units and its demand."""

    units: int
    demand: float
    """Requested tokens per second."""
    largest: float
    """Size of the largest recent request in tokens."""


class ShareTargets:
    """Splits a customer's units by demand into shares of several requests each.

    A share of only one or two requests would reject the next request although peers
    have enough units. The number of instances with a share is limited accordingly.
    Instances that already have units are preferred, so that units move rarely.

    Units beyond the demand go to a standby instance. While the units of a failed
    instance are unavailable, until its lease expires, the standby serves the customer.
    """

    MIN_REQUESTS_PER_SHARE = 4
    """Smallest capacity of a share, in requests of the largest recent size."""

    DEMAND_HEADROOM = 1.25
    """Multiple of the demand that the instances with demand keep units for.

    The standby gets the other units.
    """

    STANDBY_DEMAND_FRACTION = 0.5
    """Fraction of the demand at one instance above which a standby is used."""

    UNITS_WEIGHT = 0.5
    """Weight of an instance's fraction of all units in its score.

    The fraction of the demand has the weight 1.
    """

    def __init__(self, peers: PeerShares, links: Links, clock: Clock) -> None:
        self._peers = peers
        self._links = links
        self._clock = clock

    def demands(self, share: LocalShare) -> dict[PeerId, InstanceDemand]:
        """Return units and demand of this instance and its reachable peers.

        Peers in another epoch are left out.
        """
        now, demand = self._clock.monotonic(), share.demand
        own = InstanceDemand(share.units, demand.rate(now), demand.largest(now))
        demands = {self._links.me: own}
        reachable = set(self._links.peers())
        for peer, peer_share in self._peers.by_customer(
            share.customer.name, reachable
        ).items():
            if peer_share.epoch == share.epoch:
                demands[peer] = InstanceDemand(
                    peer_share.units, peer_share.demand, peer_share.largest
                )
        return demands

    def deficits(
        self,
        share: LocalShare,
        demands: dict[PeerId, InstanceDemand],
        *,
        with_standby: bool,
    ) -> dict[PeerId, int]:
        """Return the number of units by which each instance is below its target.

        Args:
            share: This instance's share.
            demands: Units and demand of each instance.
            with_standby: Whether to reserve units for the standby. False for replies
                to an instance that requests units, as that may need all of them.

        Returns:
            Units by instance, negative for a surplus; empty without demand.
        """
        total = sum(instance.units for instance in demands.values())
        chosen = self._select_instances(share, demands, total)
        demand = sum(demands[peer].demand for peer in chosen)
        if demand <= 0:
            return {}
        targets: dict[PeerId, int] = {}
        if with_standby:
            targets = self._standby_target(share, demands, chosen, total)
        remaining = total - sum(targets.values())
        for peer in chosen:
            targets[peer] = int(remaining * demands[peer].demand / demand)
        return {
            peer: targets.get(peer, 0) - (demands[peer].units if peer in demands else 0)
            for peer in demands.keys() | targets.keys()
        }

    def _standby_target(
        self,
        share: LocalShare,
        demands: dict[PeerId, InstanceDemand],
        chosen: list[PeerId],
        total: int,
    ) -> dict[PeerId, int]:
        """Return the target of the standby; empty if no standby is needed or useful."""
        others = {*self._links.peers(), self._links.me} - set(chosen)
        busiest = max(demands[peer].demand for peer in chosen)
        chosen_demand = sum(demands[peer].demand for peer in chosen)
        if not others or busiest <= self.STANDBY_DEMAND_FRACTION * chosen_demand:
            return {}
        demand = sum(instance.demand for instance in demands.values())
        spare = 1.0 - self.DEMAND_HEADROOM * demand / share.customer.rate
        min_units = self._min_share_units(share, demands)
        units = min(int(total * spare), total - min_units * len(chosen))
        if units < min_units:
            return {}
        return {owner(f"standby/{share.customer.name}", sorted(others)): units}

    def _min_share_units(
        self, share: LocalShare, demands: dict[PeerId, InstanceDemand]
    ) -> int:
        """Return the units whose capacity is `MIN_REQUESTS_PER_SHARE` requests."""
        largest = max(instance.largest for instance in demands.values())
        return share.units_for(
            int(self.MIN_REQUESTS_PER_SHARE * largest * MICROTOKENS_PER_TOKEN)
        )

    def _select_instances(
        self, share: LocalShare, demands: dict[PeerId, InstanceDemand], total: int
    ) -> list[PeerId]:
        min_units = self._min_share_units(share, demands)
        demand = sum(instance.demand for instance in demands.values()) or 1.0

        def score(peer: PeerId) -> tuple[float, PeerId]:
            instance = demands[peer]
            units_score = self.UNITS_WEIGHT * instance.units / max(1, total)
            return instance.demand / demand + units_score, peer

        ranked = sorted(demands, key=score, reverse=True)
        ranked = [peer for peer in ranked if demands[peer].demand > 0]
        for count in range(len(ranked), 1, -1):
            chosen = ranked[:count]
            chosen_demand = sum(demands[peer].demand for peer in chosen)
            least = min(demands[peer].demand for peer in chosen)
            if total * least / chosen_demand >= min_units:
                return chosen
        return ranked[:1]
