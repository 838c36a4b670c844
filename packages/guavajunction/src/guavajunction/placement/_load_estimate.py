"""How demand spreads over the engines that hold the artifacts."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping

LEAST_LOAD_SLOTS = 1e-6
SQRT_2 = math.sqrt(2.0)
SQRT_2_PI = math.sqrt(2.0 * math.pi)


def excess(load: float, slots: float) -> float:
    """Return how many requests, on average, find no free slot.

    The requests under way are taken as normally distributed with the variance of a
    Poisson distribution, so that an engine misses some well below full load.

    Args:
        load: Mean busy slots that the demand asks for.
        slots: Slots of the engine.

    >>> round(excess(4.0, 8), 2), round(excess(8.0, 8), 2), round(excess(24.0, 8), 2)
    (0.02, 1.13, 16.0)
    """
    if load < LEAST_LOAD_SLOTS:
        return 0.0
    deviation = math.sqrt(load)
    z = (slots - load) / deviation
    density = math.exp(-0.5 * z * z) / SQRT_2_PI
    above = 0.5 * (1.0 - math.erf(z / SQRT_2))
    return deviation * density + (load - slots) * above


class Spread:
    """An estimate of each engine's load under balanced routing.

    Every name's need is poured over its holders so that their utilisation evens
    out; a few passes over all names come close to the common balance.
    """

    PASSES = 2

    def __init__(
        self,
        need: Mapping[str, float],
        holders: Mapping[str, Iterable[str]],
        slots: Mapping[str, float],
    ) -> None:
        """Spread the need.

        Args:
            need: Busy slots, by name.
            holders: Engines with a replica, by name.
            slots: Slots that may be filled, above 0, by engine.
        """
        self._slots = slots
        self._need = need
        self._holders = {name: set(held) for name, held in holders.items()}
        self._share: dict[str, dict[str, float]] = {}
        self.load = dict.fromkeys(slots, 0.0)
        """Estimated busy slots by engine."""
        narrow_first = sorted(need, key=lambda n: (len(self._held_by(n)), n))
        for _ in range(self.PASSES):
            for name in narrow_first:
                self._pour(name)

    def add(self, name: str, server: str) -> None:
        """Let an engine take up a name."""
        self._holders.setdefault(name, set()).add(server)
        self._pour(name)

    def remove(self, name: str, server: str) -> None:
        """Let an engine give up a name."""
        self._held_by(name).discard(server)
        self._pour(name)

    def spare(self, server: str) -> float:
        """Return the slots that are left on an engine, not below 0."""
        return max(0.0, self._slots[server] - self.load[server])

    def unmet(self, name: str) -> float:
        """Return the part of a name's need that finds no free slot."""
        shares = self._share.get(name)
        if not shares:
            return self._need.get(name, 0.0)
        return sum(amount * self._miss_rate(s) for s, amount in shares.items())

    def loss(self, name: str, server: str) -> float:
        """Estimate the need that goes unmet if an engine gives up a name.

        The other holders are taken as evenly loaded; `benefit` is exact and slower.
        """
        moved = self._share.get(name, {}).get(server, 0.0)
        if moved == 0.0:
            return 0.0
        others = [s for s in self._held_by(name) if s != server]
        relief = excess(self.load[server], self._slots[server])
        relief -= excess(self.load[server] - moved, self._slots[server])
        if not others:
            return max(0.0, moved - relief)
        count = len(others)
        load = sum(self.load[s] for s in others) / count
        slots = sum(self._slots[s] for s in others) / count
        added = excess(load + moved / count, slots) - excess(load, slots)
        return max(0.0, count * added - relief)

    def benefit(self, name: str, server: str, displaced: Collection[str] = ()) -> float:
        """Return the need that is met in addition if an engine changes names.

        Args:
            name: What it takes up.
            server: The engine.
            displaced: What it gives up.
        """
        touched = [*displaced, name]
        saved = [(n, set(self._held_by(n)), self._share.get(n, {})) for n in touched]
        affected = {server}.union(*(holders for _, holders, _ in saved))
        load = {s: self.load[s] for s in affected}
        before = self._unmet_on(affected, touched)
        for other in displaced:
            self.remove(other, server)
        self.add(name, server)
        after = self._unmet_on(affected, touched)
        for touched_name, holders, share in saved:
            self._holders[touched_name] = holders
            self._share[touched_name] = share
        self.load.update(load)
        return before - after

    def _held_by(self, name: str) -> set[str]:
        return self._holders.setdefault(name, set())

    def _unmet_on(self, servers: Iterable[str], names: Iterable[str]) -> float:
        missed = sum(excess(self.load[s], self._slots[s]) for s in servers)
        homeless = (n for n in names if not self._held_by(n))
        return missed + sum(self._need.get(n, 0.0) for n in homeless)

    def _pour(self, name: str) -> None:
        """Spread one name's need anew over its holders."""
        for server, amount in self._share.get(name, {}).items():
            self.load[server] -= amount
        self._share[name] = self._fill(self._need.get(name, 0.0), self._held_by(name))
        for server, amount in self._share[name].items():
            self.load[server] += amount

    def _miss_rate(self, server: str) -> float:
        load = max(LEAST_LOAD_SLOTS, self.load[server])
        return excess(load, self._slots[server]) / load

    def _fill(self, need: float, holders: Collection[str]) -> dict[str, float]:
        if not holders or need <= 0:
            return {}
        level = self._level(need, holders)
        amounts = {s: level * self._slots[s] - self.load[s] for s in holders}
        return {s: amount for s, amount in amounts.items() if amount > 0}

    def _level(self, need: float, holders: Collection[str]) -> float:
        """Return the utilisation at which the holders have taken up the need."""
        filled = sorted((self.load[s] / self._slots[s], s) for s in holders)
        load = slots = level = 0.0
        for i, (_, server) in enumerate(filled):
            load += self.load[server]
            slots += self._slots[server]
            level = (need + load) / slots
            if i + 1 < len(filled) and level <= filled[i + 1][0]:
                break
        return level
