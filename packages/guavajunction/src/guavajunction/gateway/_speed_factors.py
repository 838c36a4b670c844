"""Estimates how much slower each backend server is than its service.

Designed for 600 backend servers and 300 instances, each of which sees about a 300th of
6 answers a second of a server. Evidence of slow servers is therefore summed over the
instances.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.peers import PeerId
from guavajunction.quarantine import BackendId


class SlowServer(NamedTuple):
    """Evidence that a backend server is slower than its service, in a heartbeat."""

    backend: BackendId
    factor: float
    """Time of its answers relative to its service."""
    weight: float
    """Number of the answers, fewer the older they are."""


class _Evidence(NamedTuple):
    logs: float
    """Sum of the logarithms of the ratios of answers to their expected time."""
    weight: float
    at: float


NO_EVIDENCE = _Evidence(0.0, 0.0, 0.0)


class SpeedFactors:
    """Means of the logarithms of clipped ratios, decaying to 1 without evidence.

    Peers are told only the times between output tokens. Times of first events vary
    several times, as the load is known late: a sum of those that happen to be slow
    made healthy servers look twice slower in a fleet of 90.
    """

    DECAY_SECONDS = 3.0
    """Time constant with which evidence is forgotten; servers are often slow for a few
    seconds only."""
    PRIOR_WEIGHT = 4.0
    """Answers that the assumption of a usual speed weighs as much as."""
    FIRST_EVENT_WEIGHT = 0.5
    """Weight of a first event; its time varies more than that between tokens."""
    MAX_FIRST_EVENT_RATIO = 3.0
    """Ratio beyond which a first event is clipped, in both directions."""
    MIN_RATIO = 0.5
    MAX_RATIO = 8.0
    """Ratios beyond these are clipped: single outliers weigh little, and a server can't
    attract requests by answers that are too fast to be whole."""
    SLOW_FACTOR = 1.5
    """Servers slower than this are reported to peers."""
    MIN_REPORTED_WEIGHT = 0.05
    """Older evidence is not reported: three time constants after one answer."""
    MAX_REPORTED = 32
    """Number of servers in one report."""
    MAX_PEER_WEIGHT = 1000.0
    """Largest weight of a report; a hub's sum for a busy server is about 100."""
    SUM_SECONDS = 0.1
    """Age up to which a sum over the peers is used; a hub has hundreds of peers."""
    MAX_SERVERS = 1024
    """Number of servers with evidence that are kept."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._own: dict[BackendId, _Evidence] = {}
        self._own_output: dict[BackendId, _Evidence] = {}
        self._peers: dict[PeerId, dict[BackendId, _Evidence]] = {}
        self._peer_sums: dict[BackendId, _Evidence] = {}
        self._sums_stale = False
        self._summed_at = self._slowest_at = float("-inf")
        self._slowest: dict[BackendId, _Evidence] = {}

    def note_first_event(self, backend: BackendId, ratio: float) -> None:
        """Count the ratio of the time of a first event to the expected one."""
        clip = self.MAX_FIRST_EVENT_RATIO
        log = math.log(min(max(ratio, 1 / clip), clip))
        self._count(self._own, backend, log, self.FIRST_EVENT_WEIGHT)

    def note_output(self, backend: BackendId, ratio: float) -> None:
        """Count the ratio of the time between tokens to the expected one."""
        log = math.log(min(max(ratio, self.MIN_RATIO), self.MAX_RATIO))
        self._count(self._own, backend, log, 1.0)
        self._count(self._own_output, backend, log, 1.0)

    def of(self, backend: BackendId, common_log: float = 0.0) -> float:
        """Return the factor of a backend server.

        Args:
            backend: The backend server.
            common_log: Logarithm of the factor to assume without evidence.
        """
        logs, weight, _ = self._evidence(backend)
        prior = self.PRIOR_WEIGHT * common_log
        return math.exp((logs + prior) / (weight + self.PRIOR_WEIGHT))

    def common_log(self, backends: Collection[BackendId]) -> float:
        """Return the mean logarithm of the factors of a service's servers.

        If all are slow at once, one without evidence must not look fast.
        """
        total = 0.0
        for backend in backends:
            logs, weight, _ = self._evidence(backend)
            total += logs / (weight + self.PRIOR_WEIGHT)
        return total / len(backends) if backends else 0.0

    def _evidence(self, backend: BackendId) -> _Evidence:
        """Return what this instance and its peers know of a backend server."""
        now = self._clock.monotonic()
        own = self._own.get(backend)
        peers = self._sums(now).get(backend)
        if own is None and peers is None:
            return NO_EVIDENCE
        logs, weight, _ = self._aged(own or NO_EVIDENCE, now)
        if peers is not None:
            peer_logs, peer_weight, _ = self._aged(peers, now)
            logs, weight = logs + peer_logs, weight + peer_weight
        return _Evidence(logs, weight, now)

    def slowest(self) -> float:
        """Return the largest factor, 1 at least."""
        known = self._own.keys() | self._sums(self._clock.monotonic()).keys()
        return max((self.of(backend) for backend in known), default=1.0)

    def own_slow(self) -> list[SlowServer]:
        """Return this instance's evidence of slow servers, to send to peers."""
        return self._report(self._own_output)

    def slow_without(self, peer: PeerId) -> list[SlowServer]:
        """Return the evidence of all instances but one, to send to that peer."""
        now = self._clock.monotonic()
        sums = dict(self._slowest_sums(now))
        for backend, evidence in self._peers.get(peer, {}).items():
            if backend in sums:
                logs, weight, _ = self._aged(sums[backend], now)
                its_logs, its_weight, _ = self._aged(evidence, now)
                sums[backend] = _Evidence(logs - its_logs, weight - its_weight, now)
        return self._report(sums)

    def update_peer(self, peer: PeerId, slow: list[SlowServer]) -> None:
        """Replace the evidence reported by a peer."""
        if not slow and peer not in self._peers:
            return
        now = self._clock.monotonic()
        self._peers[peer] = {
            server.backend: self._reported(server, now)
            for server in slow[: self.MAX_REPORTED]
            if math.isfinite(server.factor) and math.isfinite(server.weight)
        }
        if not self._peers[peer]:
            del self._peers[peer]
        self._sums_stale = True

    def keep_peers(self, peers: list[PeerId]) -> None:
        """Discard the evidence of all peers that are not listed."""
        for peer in self._peers.keys() - set(peers):
            del self._peers[peer]
            self._sums_stale = True

    def keep_only(self, backends: set[BackendId]) -> None:
        """Discard the evidence of incarnations that are not listed."""
        for evidence in (self._own, self._own_output):
            for backend in evidence.keys() - backends:
                del evidence[backend]

    def _count(
        self,
        evidence: dict[BackendId, _Evidence],
        backend: BackendId,
        log: float,
        weight: float,
    ) -> None:
        now = self._clock.monotonic()
        before = self._aged(evidence.pop(backend, NO_EVIDENCE), now)
        evidence[backend] = _Evidence(
            before.logs + weight * log, before.weight + weight, now
        )
        drop_oldest(evidence, self.MAX_SERVERS)

    def _reported(self, server: SlowServer, now: float) -> _Evidence:
        factor = min(max(server.factor, self.MIN_RATIO), self.MAX_RATIO)
        weight = min(max(server.weight, 0.0), self.MAX_PEER_WEIGHT)
        return _Evidence(math.log(factor) * weight, weight, now)

    def _report(self, evidence: dict[BackendId, _Evidence]) -> list[SlowServer]:
        now = self._clock.monotonic()
        slow = [
            SlowServer(backend, round(self._mean_ratio(e), 2), weight)
            for backend, e in evidence.items()
            if self._is_slow(e)
            and (weight := round(self._aged(e, now).weight, 2))
            >= self.MIN_REPORTED_WEIGHT
        ]
        slow.sort(key=lambda server: server.factor * server.weight, reverse=True)
        return slow[: self.MAX_REPORTED]

    def _slowest_sums(self, now: float) -> dict[BackendId, _Evidence]:
        """Return the evidence of all instances for the slowest servers.

        It is kept for `SUM_SECONDS`, as a hub needs it for each of its followers.
        """
        if now - self._slowest_at < self.SUM_SECONDS:
            return self._slowest
        sums = dict(self._sums(now))
        own = {b: e for b, e in self._own_output.items() if self._is_slow(e)}
        self._add(sums, own, now)
        slowest = sorted(sums, key=lambda backend: sums[backend].logs, reverse=True)
        self._slowest = {b: sums[b] for b in slowest[: self.MAX_REPORTED]}
        self._slowest_at = now
        return self._slowest

    def _mean_ratio(self, evidence: _Evidence) -> float:
        return math.exp(min(evidence.logs / evidence.weight, math.log(self.MAX_RATIO)))

    def _is_slow(self, evidence: _Evidence) -> bool:
        # A sum without a peer may be slightly older than what that peer reported.
        return evidence.weight > 0 and (
            evidence.logs > evidence.weight * math.log(self.SLOW_FACTOR)
        )

    def _sums(self, now: float) -> dict[BackendId, _Evidence]:
        """Return the evidence of all peers."""
        if self._sums_stale and now - self._summed_at >= self.SUM_SECONDS:
            self._peer_sums = {}
            for reported in self._peers.values():
                self._add(self._peer_sums, reported, now)
            self._sums_stale = False
            self._summed_at = now
        return self._peer_sums

    def _add(
        self,
        sums: dict[BackendId, _Evidence],
        reported: dict[BackendId, _Evidence],
        now: float,
    ) -> None:
        for backend, evidence in reported.items():
            logs, weight, _ = self._aged(evidence, now)
            before = self._aged(sums.get(backend, NO_EVIDENCE), now)
            sums[backend] = _Evidence(before.logs + logs, before.weight + weight, now)

    def _aged(self, evidence: _Evidence, now: float) -> _Evidence:
        if evidence.at == now:
            return evidence
        left = math.exp((evidence.at - now) / self.DECAY_SECONDS)
        return _Evidence(evidence.logs * left, evidence.weight * left, now)
