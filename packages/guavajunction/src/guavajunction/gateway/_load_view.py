"""Tracks the load that all instances put on each backend server."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import NamedTuple

from guavajunction.peers import PeerId

from ._request import GenerationSize


class Load(NamedTuple):
    """Load of one backend server."""

    running: int
    """Requests in flight."""
    pending_prompt_tokens: int
    """Prompt tokens of requests in flight whose first event has not arrived."""
    artifacts: dict[str, int] = {}
    """Requests in flight, by model or adapter."""

    def plus(self, other: Load) -> Load:
        """Return the sum of two loads."""
        artifacts = Counter(self.artifacts)
        artifacts.update(other.artifacts)
        return Load(
            self.running + other.running,
            self.pending_prompt_tokens + other.pending_prompt_tokens,
            {name: count for name, count in artifacts.items() if count},
        )

    def minus(self, other: Load) -> Load:
        """Return this load with another one subtracted."""
        artifacts = {name: -count for name, count in other.artifacts.items()}
        return self.plus(Load(-other.running, -other.pending_prompt_tokens, artifacts))

    def by_model(self) -> dict[str, int]:
        """Return the requests in flight, by model."""
        models: Counter[str] = Counter()
        for name, count in self.artifacts.items():
            models[name.partition("/")[0]] += count
        return dict(models)


NO_LOAD = Load(0, 0)


class LoadView:
    """Sums the load of this instance and the loads last reported by its peers."""

    def __init__(self) -> None:
        self._own: dict[str, Load] = defaultdict(lambda: NO_LOAD)
        self._peers: dict[PeerId, dict[str, Load]] = {}
        self._total: dict[str, Load] = defaultdict(lambda: NO_LOAD)

    def of(self, backend: str) -> Load:
        """Return the known load of a backend server."""
        return self._total[backend]

    def own(self) -> dict[str, Load]:
        """Return the load of this instance by backend server, to send to peers."""
        return {name: load for name, load in self._own.items() if load.running}

    def begin(self, backend: str, size: GenerationSize | None) -> None:
        """Count a request that this instance sends to a backend server."""
        tokens = size.prompt_tokens if size else 0
        artifacts = {size.artifact: 1} if size else {}
        self._add(backend, Load(1, tokens, artifacts))

    def on_first_event(self, backend: str, size: GenerationSize) -> None:
        """Stop counting the prompt of a request as pending."""
        self._add(backend, Load(0, -size.prompt_tokens))

    def end(
        self, backend: str, size: GenerationSize | None, *, prompt_pending: bool
    ) -> None:
        """Stop counting a request.

        Args:
            backend: Name of the backend server that it was sent to.
            size: Size of the request, None for a plain service.
            prompt_pending: Whether its first event has not arrived.
        """
        tokens = size.prompt_tokens if size and prompt_pending else 0
        artifacts = {size.artifact: -1} if size else {}
        self._add(backend, Load(-1, -tokens, artifacts))

    def _add(self, backend: str, change: Load) -> None:
        self._own[backend] = self._own[backend].plus(change)
        self._total[backend] = self._total[backend].plus(change)

    def update_peer(self, peer: PeerId, loads: dict[str, Load]) -> None:
        """Replace the load reported by a peer."""
        self._subtract(self._peers.get(peer, {}))
        self._peers[peer] = loads
        for name, load in loads.items():
            self._total[name] = self._total[name].plus(load)

    def keep_only(self, peers: list[PeerId]) -> None:
        """Discard the loads of all peers that are not listed."""
        removed = set(self._peers) - set(peers)
        for peer in removed:
            self._subtract(self._peers.pop(peer))

    def total_without(self, peer: PeerId) -> dict[str, Load]:
        """Return the load of all instances but one, to send to that peer.

        Counts by model or adapter are omitted, as only the order leader needs them.
        """
        peer_loads = self._peers.get(peer, {})
        rest: dict[str, Load] = {}
        for name, load in self._total.items():
            peer_load = peer_loads.get(name, NO_LOAD)
            running = load.running - peer_load.running
            tokens = load.pending_prompt_tokens - peer_load.pending_prompt_tokens
            if running or tokens:
                rest[name] = Load(running, tokens)
        return rest

    def _subtract(self, loads: dict[str, Load]) -> None:
        for name, load in loads.items():
            left = self._total[name].minus(load)
            if left == NO_LOAD:
                del self._total[name]
            else:
                self._total[name] = left
