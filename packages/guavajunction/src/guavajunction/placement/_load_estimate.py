"""Estimates the load of engines from the demand and the replicas."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

MIN_LOAD_SLOTS = 1e-6
"""Load below which an engine counts as idle."""
SQRT_2 = math.sqrt(2.0)
SQRT_2_PI = math.sqrt(2.0 * math.pi)


def expected_excess(load: float, slots: float) -> float:
    """Return the mean number of requests that find no free slot on an engine.

    The number of running requests is assumed to be normally distributed with the
    variance of a Poisson distribution, so that some requests find no free slot well
    below full load.

    Args:
        load: Mean busy slots that the demand needs.
        slots: Slots of the engine.

    >>> [round(expected_excess(load, 8), 2) for load in (4.0, 8.0, 24.0)]
    [0.02, 1.13, 16.0]
    """
    if load < MIN_LOAD_SLOTS:
        return 0.0
    deviation = math.sqrt(load)
    z = (slots - load) / deviation
    density = math.exp(-0.5 * z * z) / SQRT_2_PI
    above = 0.5 * (1.0 - math.erf(z / SQRT_2))
    return deviation * density + (load - slots) * above


class LoadEstimate:
    """An estimate of the load of each engine under balanced routing.

    The need of each model or adapter is distributed over the engines with a replica
    so that their utilisation is as equal as possible. A few passes over all names
    come close to a balanced load of the whole pool.
    """

    PASSES = 2
    """Number of times that the need of each name is distributed."""

    def __init__(
        self,
        need: Mapping[str, float],
        holders: Mapping[str, Iterable[str]],
        slots: Mapping[str, float],
    ) -> None:
        """Distribute the need over the engines.

        Args:
            need: Busy slots by model or adapter name.
            holders: Engines with a replica, by model or adapter name.
            slots: Number of slots, above 0, by engine.
        """
        self._slots = slots
        self._need = need
        self._holders = {name: set(held) for name, held in holders.items()}
        self._share: dict[str, dict[str, float]] = {}
        self.load = dict.fromkeys(slots, 0.0)
        """Estimated busy slots, by engine."""
        fewest_replicas_first = sorted(
            need, key=lambda n: (len(self._holders_of(n)), n)
        )
        for _ in range(self.PASSES):
            for name in fewest_replicas_first:
                self._distribute(name)

    def add(self, name: str, server: str) -> None:
        """Add a replica of a model or adapter on an engine."""
        self._holders.setdefault(name, set()).add(server)
        self._distribute(name)

    def remove(self, name: str, server: str) -> None:
        """Remove the replica of a model or adapter on an engine."""
        self._holders_of(name).discard(server)
        self._distribute(name)

    def free_slots(self, server: str) -> float:
        """Return the slots that are free on an engine, at least 0."""
        return max(0.0, self._slots[server] - self.load[server])

    def unmet(self, name: str) -> float:
        """Return the part of a name's need, in slots, for which no slot is free."""
        shares = self._share.get(name)
        if not shares:
            return self._need.get(name, 0.0)
        return sum(amount * self._excess_fraction(s) for s, amount in shares.items())

    def loss(self, name: str, server: str) -> float:
        """Estimate the increase in unmet slots if a replica is removed.

        The other engines with a replica are assumed to be evenly loaded. `benefit`
        distributes the need again, which is more accurate and slower.
        """
        moved_slots = self._share.get(name, {}).get(server, 0.0)
        if moved_slots == 0.0:
            return 0.0
        others = [s for s in self._holders_of(name) if s != server]
        relief = expected_excess(self.load[server], self._slots[server])
        relief -= expected_excess(self.load[server] - moved_slots, self._slots[server])
        if not others:
            return max(0.0, moved_slots - relief)
        count = len(others)
        load = sum(self.load[s] for s in others) / count
        slots = sum(self._slots[s] for s in others) / count
        added = expected_excess(load + moved_slots / count, slots) - expected_excess(
            load, slots
        )
        return max(0.0, count * added - relief)

    def benefit(self, name: str, server: str, displaced: Collection[str] = ()) -> float:
        """Return the decrease in unmet slots if a replica is added to an engine.

        Args:
            name: Model or adapter that gets the replica.
            server: The engine.
            displaced: Models and adapters whose replicas on the engine are removed.
        """
        changed_names = [*displaced, name]
        saved = [
            (n, set(self._holders_of(n)), self._share.get(n, {})) for n in changed_names
        ]
        affected = {server}.union(*(holders for _, holders, _ in saved))
        load = {s: self.load[s] for s in affected}
        before = self._unmet_on(affected, changed_names)
        for other in displaced:
            self.remove(other, server)
        self.add(name, server)
        after = self._unmet_on(affected, changed_names)
        for changed_name, holders, share in saved:
            self._holders[changed_name] = holders
            self._share[changed_name] = share
        self.load.update(load)
        return before - after

    def _holders_of(self, name: str) -> set[str]:
        return self._holders.setdefault(name, set())

    def _unmet_on(self, servers: Iterable[str], names: Iterable[str]) -> float:
        excess = sum(expected_excess(self.load[s], self._slots[s]) for s in servers)
        without_replica = (n for n in names if not self._holders_of(n))
        return excess + sum(self._need.get(n, 0.0) for n in without_replica)

    def _distribute(self, name: str) -> None:
        """Replace the distribution of one name's need over its engines."""
        for server, amount in self._share.get(name, {}).items():
            self.load[server] -= amount
        self._share[name] = self._water_fill(
            self._need.get(name, 0.0), self._holders_of(name)
        )
        for server, amount in self._share[name].items():
            self.load[server] += amount

    def _excess_fraction(self, server: str) -> float:
        """Return the fraction of an engine's requests that find no free slot."""
        load = max(MIN_LOAD_SLOTS, self.load[server])
        return expected_excess(load, self._slots[server]) / load

    def _water_fill(self, need: float, holders: Collection[str]) -> dict[str, float]:
        if not holders or need <= 0:
            return {}
        level = self._water_level(need, holders)
        amounts = {s: level * self._slots[s] - self.load[s] for s in holders}
        return {s: amount for s, amount in amounts.items() if amount > 0}

    def _water_level(self, need: float, holders: Collection[str]) -> float:
        """Return the utilisation that the engines reach when the need is added.

        Engines with a higher utilisation already get no share of the need.
        """
        filled = sorted((self.load[s] / self._slots[s], s) for s in holders)
        load = slots = level = 0.0
        for i, (_, server) in enumerate(filled):
            load += self.load[server]
            slots += self._slots[server]
            level = (need + load) / slots
            if i + 1 < len(filled) and level <= filled[i + 1][0]:
                break
        return level
