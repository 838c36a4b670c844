"""Sums up the demand that all instances see."""

from __future__ import annotations

from collections import defaultdict
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.peers import Links, PeerId

from ._messages import ArtifactDemand, DemandDigest
from ._model import name_of
from ._protocols import DemandSource


class NameDemand(NamedTuple):
    """The fleet's demand for one name, its versions together."""

    tokens_per_s: float
    waiting: int


class DemandTally:
    """The demand of this instance and of its peers, from their heartbeats."""

    TOPIC = "placement.demand"
    PEER_SECONDS = 5.0
    """Time after which the demand of a peer that fell silent is dropped."""

    def __init__(self, source: DemandSource, links: Links, clock: Clock) -> None:
        """Add the demand to this instance's heartbeats.

        Args:
            source: This instance's demand.
            links: Links to the peers.
            clock: Time source.
        """
        self._source = source
        self._clock = clock
        self._peers: dict[PeerId, tuple[float, DemandDigest]] = {}
        links.share(self.TOPIC, self.own, self._accept, DemandDigest)

    def own(self) -> DemandDigest:
        """Return this instance's demand, rounded to what a planner can use."""
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
        """Return the demand by name, summed over the fleet."""
        oldest = self._clock.monotonic() - self.PEER_SECONDS
        self._peers = {p: v for p, v in self._peers.items() if v[0] >= oldest}
        digests = [self.own(), *(digest for _, digest in self._peers.values())]
        tokens: defaultdict[str, float] = defaultdict(float)
        waiting: defaultdict[str, int] = defaultdict(int)
        for demand in (d for digest in digests for d in digest.artifacts):
            tokens[name_of(demand.artifact)] += demand.tokens_per_s
            waiting[name_of(demand.artifact)] += demand.waiting
        return {name: NameDemand(tokens[name], waiting[name]) for name in tokens}

    def _accept(self, sender: PeerId, digest: DemandDigest) -> None:
        self._peers[sender] = (self._clock.monotonic(), digest)
