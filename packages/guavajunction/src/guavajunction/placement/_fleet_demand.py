"""Sums the demand of all instances."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.peers import Links, PeerId

from ._messages import ArtifactDemand, DemandDigest
from ._model import name_of
from ._protocols import DemandSource


class NameDemand(NamedTuple):
    """The demand of the fleet for all versions of a model or adapter."""

    tokens_per_s: float
    waiting: int
    """Requests that wait for a slot."""


class FleetDemand:
    """The demand of this instance and of its peers, received with heartbeats."""

    TOPIC = "placement.demand"
    PEER_TIMEOUT_SECONDS = 5.0
    """Time without a heartbeat after which the demand of a peer is dropped."""

    def __init__(self, source: DemandSource, links: Links, clock: Clock) -> None:
        """Add the demand to the heartbeats of this instance.

        Args:
            source: Demand of this instance.
            links: Links to the peers.
            clock: Time source.
        """
        self._source = source
        self._clock = clock
        self._received_digests: dict[PeerId, tuple[float, DemandDigest]] = {}
        """Last digest of each peer, with the local monotonic time of its arrival."""
        links.add_topic(self.TOPIC, self.own, self._on_digest, DemandDigest)

    def own(self) -> DemandDigest:
        """Return the demand of this instance, rounded to the precision a planner needs.

        Artifacts without waiting requests and with less than 0.05 tokens per second are
        left out.
        """
        rates = self._source.demand().items()
        return DemandDigest(
            tuple(
                ArtifactDemand(
                    artifact,
                    round(rate.requests_per_s, 2),
                    round(rate.tokens_per_s, 1),
                    rate.waiting,
                )
                for artifact, rate in rates
                if rate.tokens_per_s >= 0.05 or rate.waiting
            )
        )

    def total(self) -> dict[str, NameDemand]:
        """Return the demand of the fleet by model or adapter name."""
        oldest = self._clock.monotonic() - self.PEER_TIMEOUT_SECONDS
        self._received_digests = {
            peer: received
            for peer, received in self._received_digests.items()
            if received[0] >= oldest
        }
        digests = [
            self.own(),
            *(digest for _, digest in self._received_digests.values()),
        ]
        tokens: defaultdict[str, float] = defaultdict(float)
        waiting: defaultdict[str, int] = defaultdict(int)
        for demand in (d for digest in digests for d in digest.artifacts):
            tokens[name_of(demand.artifact)] += demand.tokens_per_s
            waiting[name_of(demand.artifact)] += demand.waiting
        return {name: NameDemand(tokens[name], waiting[name]) for name in tokens}

    def _on_digest(self, sender: PeerId, digest: DemandDigest) -> None:
        self._received_digests[sender] = (self._clock.monotonic(), digest)
