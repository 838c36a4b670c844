"""How demand spreads over the engines that hold the artifacts."""

from __future__ import annotations

from collections.abc import Iterable, Mapping


class Spread:
    """An estimate of each engine's load under balanced routing.

    Every name's need is poured over its holders so that their utilisation evens
    out; a few passes over all names come close to the common balance.
    """

    PASSES = 3

    def __init__(
        self,
        need: Mapping[str, float],
        holders: Mapping[str, set[str]],
        slots: Mapping[str, float],
    ) -> None:
        """Spread the need.

        Args:
            need: Busy slots, by name.
            holders: Engines with a ready replica, by name.
            slots: Slots that may be filled, by engine.
        """
        self._slots = slots
        self.need = dict(need)
        """Busy slots by name."""
        self.load = dict.fromkeys(slots, 0.0)
        """Estimated busy slots by engine."""
        self.share: dict[str, dict[str, float]] = {}
        """Busy slots by name and engine."""
        self._on: dict[str, set[str]] = {server: set() for server in slots}
        by_choice = sorted(need, key=lambda n: (len(holders.get(n, ())), n))
        for _ in range(self.PASSES):
            for name in by_choice:
                self.pour(name, holders.get(name, ()))

    def pour(self, name: str, holders: Iterable[str]) -> None:
        """Spread one name's need anew over its holders."""
        for server, amount in self.share.pop(name, {}).items():
            self.load[server] -= amount
            self._on[server].discard(name)
        amounts = self._fill(self.need.get(name, 0.0), list(holders))
        for server, amount in amounts.items():
            self.load[server] += amount
            self._on[server].add(name)
        self.share[name] = amounts

    def spare(self, server: str) -> float:
        """Return the slots that are left on an engine, not below 0."""
        return max(0.0, self._slots[server] - self.load[server])

    def unmet(self, name: str) -> float:
        """Return the part of a name's need that finds no free slot."""
        need = self.need.get(name, 0.0)
        shares = self.share.get(name)
        if not shares:
            return need
        return sum(amount * self._overload(s) for s, amount in shares.items())

    def loss(self, name: str, server: str) -> float:
        """Return the need that goes unmet if an engine gives up a name."""
        shares = self.share.get(name, {})
        moved = shares.get(server, 0.0)
        room = sum(self.spare(other) for other in shares if other != server)
        return max(0.0, moved - room)

    def gain(self, name: str, server: str) -> float:
        """Return the need that is met if an engine takes up a name."""
        return min(self.unmet(name) + self._relief(name), self.spare(server))

    def _relief(self, name: str) -> float:
        """Return the other names' unmet need on this name's engines.

        A new replica takes load off engines that others compete for.
        """
        return sum(
            min(amount, self._others_unmet(name, server))
            for server, amount in self.share.get(name, {}).items()
        )

    def _others_unmet(self, name: str, server: str) -> float:
        over = max(0.0, self.load[server] - self._slots[server])
        own = self.share[name][server]
        return over * (1.0 - own / self.load[server]) if over else 0.0

    def _overload(self, server: str) -> float:
        load = self.load[server]
        over = load - self._slots[server]
        return over / load if over > 0 else 0.0

    def _fill(self, need: float, holders: list[str]) -> dict[str, float]:
        if not holders or need <= 0:
            return {}
        level = self._level(need, holders)
        amounts = {s: max(0.0, level * self._slots[s] - self.load[s]) for s in holders}
        poured = sum(amounts.values())
        if poured <= 0:
            return {s: need / len(holders) for s in holders}
        return {s: a * need / poured for s, a in amounts.items() if a > 0}

    def _level(self, need: float, holders: list[str]) -> float:
        """Return the utilisation at which the holders have taken up the need."""
        by_level = sorted(holders, key=lambda s: self.load[s] / self._slots[s])
        load = slots = 0.0
        level = 0.0
        for i, server in enumerate(by_level):
            load += self.load[server]
            slots += self._slots[server]
            level = (need + load) / slots
            if i + 1 < len(by_level):
                following = by_level[i + 1]
                if level <= self.load[following] / self._slots[following]:
                    break
        return level
