"""Work that all instances have given to each backend server."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import NamedTuple

from guavajunction.peers import PeerId

from ._request import GenerationSize


class Load(NamedTuple):
    """Work at one backend server."""

    running: int
    """Requests that were sent and have not ended."""
    pending_prompt_tokens: int
    """Prompt tokens of those whose first event has not come."""
    artifacts: dict[str, int] = {}
    """Those that run, by model or adapter."""

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
        """Return what is left without another load."""
        artifacts = {name: -count for name, count in other.artifacts.items()}
        return self.plus(Load(-other.running, -other.pending_prompt_tokens, artifacts))

    def by_model(self) -> dict[str, int]:
        """Return the requests that run, by model."""
        models: Counter[str] = Counter()
        for name, count in self.artifacts.items():
            models[name.partition("/")[0]] += count
        return dict(models)


NO_LOAD = Load(0, 0)


class LoadView:
    """Adds this instance's work to what its peers last said of theirs."""

    def __init__(self) -> None:
        self._own: dict[str, Load] = defaultdict(lambda: NO_LOAD)
        self._peers: dict[PeerId, dict[str, Load]] = {}
        self._total: dict[str, Load] = defaultdict(lambda: NO_LOAD)

    def of(self, backend: str) -> Load:
        """Return the work at a backend server, as far as known."""
        return self._total[backend]

    def own(self) -> dict[str, Load]:
        """Return this instance's part, to be told to peers."""
        return {name: load for name, load in self._own.items() if load.running}

    def begin(self, backend: str, size: GenerationSize | None) -> None:
        """Count a request that this instance gives to a backend server."""
        tokens = size.prompt_tokens if size else 0
        artifacts = {size.artifact: 1} if size else {}
        self._add(backend, Load(1, tokens, artifacts))

    def on_first_event(self, backend: str, size: GenerationSize) -> None:
        """Take a prompt whose first event came off the unread work."""
        self._add(backend, Load(0, -size.prompt_tokens))

    def end(
        self, backend: str, size: GenerationSize | None, *, prompt_pending: bool
    ) -> None:
        """Take a request that ended off the work."""
        tokens = size.prompt_tokens if size and prompt_pending else 0
        artifacts = {size.artifact: -1} if size else {}
        self._add(backend, Load(-1, -tokens, artifacts))

    def _add(self, backend: str, change: Load) -> None:
        self._own[backend] = self._own[backend].plus(change)
        self._total[backend] = self._total[backend].plus(change)

    def hear(self, peer: PeerId, loads: dict[str, Load]) -> None:
        """Replace what is known of a peer's work."""
        self._subtract(self._peers.get(peer, {}))
        self._peers[peer] = loads
        for name, load in loads.items():
            self._total[name] = self._total[name].plus(load)

    def keep_only(self, peers: list[PeerId]) -> None:
        """Forget the work of peers that are not heard any more."""
        gone = set(self._peers) - set(peers)
        for peer in gone:
            self._subtract(self._peers.pop(peer))

    def total_without(self, peer: PeerId) -> dict[str, Load]:
        """Return the work of all but one peer, to be told to it.

        What runs by model or adapter is left out: it only serves the author of orders.
        """
        part = self._peers.get(peer, {})
        rest: dict[str, Load] = {}
        for name, load in self._total.items():
            own = part.get(name, NO_LOAD)
            running = load.running - own.running
            prompt_pending = load.pending_prompt_tokens - own.pending_prompt_tokens
            if running or prompt_pending:
                rest[name] = Load(running, prompt_pending)
        return rest

    def _subtract(self, loads: dict[str, Load]) -> None:
        for name, load in loads.items():
            left = self._total[name].minus(load)
            if left == NO_LOAD:
                del self._total[name]
            else:
                self._total[name] = left
