"""Index of the backend servers that can serve each artifact."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from guavajunction.configuration import Configuration

from ._model import READY, BackendState


class ReadyIndex:
    """Artifacts that are ready on backend servers that are healthy and not leaving."""

    def __init__(self, cfg: Configuration, states: Iterable[BackendState]) -> None:
        """Build the index.

        Args:
            cfg: The configuration in force.
            states: The state of each configured backend server.
        """
        self.version = cfg.version
        """Version of the configuration that the index was built from."""
        self._bases = {adapter.name: adapter.model for adapter in cfg.adapters.values()}
        self._holders: defaultdict[str, list[str]] = defaultdict(list)
        self._versions: defaultdict[str, list[str]] = defaultdict(list)
        for state in states:
            if state.healthy and not state.leaving:
                self._add(state)

    def holders(self, artifact: str) -> list[str]:
        """Return the names of the backend servers that can serve an artifact."""
        return self._holders.get(artifact, [])

    def versions(self, name: str) -> list[str]:
        """Return the artifacts of a model or adapter that some server can serve."""
        return self._versions.get(name, [])

    def _add(self, state: BackendState) -> None:
        ready = [r.artifact for r in state.resident if r.state == READY]
        names = {artifact.partition("@")[0] for artifact in ready}
        for artifact in ready:
            name = artifact.partition("@")[0]
            # An adapter can serve requests only if its base model is ready too.
            if self._bases.get(name, name) not in names:
                continue
            if artifact not in self._holders:
                self._versions[name].append(artifact)
            self._holders[artifact].append(state.name)
