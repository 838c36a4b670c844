"""Decides whether instances that are not heard have ended, by their rows in the store.

The load that this answers: a cut between instances, each of which still serves the
callers that reach it. Heartbeats alone cannot tell it from the end of the others. If
each side took itself for the whole fleet, both would use every shared rate limit in
full.

An instance that misses another renews its own row in the store, and has ended only if
nobody renewed its row, nor that of the silent hub that it follows. Only an instance
that hears most of the others decides so soon. One that hears fewer, and cannot renew
its row, stops using its part of the rate limits before the others may take it.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from typing import NamedTuple

ABSENT = 0
"""Version of a row that does not exist."""


class SilentInstance(NamedTuple):
    """An instance that may be serving and is not heard."""

    heard_at: float
    """When it was last heard, on the monotonic clock."""
    hub: str = ""
    """Name of the hub that it follows; empty for none, and for one that is heard."""


class FleetView(NamedTuple):
    """What an instance hears of the others that may be serving."""

    me: str
    heard: Collection[str]
    """Names of the other instances that are heard."""
    silent: Mapping[str, SilentInstance]

    @property
    def has_most(self) -> bool:
        """Return whether this side of a cut, if it is one, is the larger one.

        With equal sides, it is the one with the first name of all.
        """
        own = {self.me, *self.heard}
        if len(own) != len(self.silent):
            return len(own) > len(self.silent)
        return min(own) < min(self.silent)


class _SeenVersion(NamedTuple):
    version: int
    since: float
    """When a read that found it for the first time had ended."""


class SilentInstances:
    """Rows of silent instances, and the renewals of this instance's own row."""

    ENDED_SECONDS = 8.0
    """Silence and age of an unrenewed row after which an instance has ended, for one
    that hears most of the others."""
    ENDED_SECONDS_OF_MOST = 30.0
    """The same for an instance that hears fewer: most of the others may be unable to
    renew their rows for a while, and use their parts without."""
    RENEW_AFTER_SECONDS = 3.0
    """Silence of another instance after which the own row is renewed. Most instances
    that are killed are back by then."""
    RENEW_SECONDS = 3.0
    """Interval of the renewals."""
    RENEW_SECONDS_OF_MOST = 10.0
    """Both for an instance that hears most of the others: those that it does not hear
    need `ENDED_SECONDS_OF_MOST` to judge it."""
    RETRY_SECONDS = 0.5
    """Interval after a failed renewal."""
    MAX_RENEWAL_SECONDS = 2.0
    """A renewal whose answer takes longer does not count: others may have read the row
    before it."""
    CLAIM_SECONDS = 5.5
    """Time after the last renewal in which a part may be used. With the longest renewal
    it is less than `ENDED_SECONDS`."""
    REJOIN_SECONDS = 45.0
    """Time of renewals after which a part is used again that others may have taken: by
    then they have read the list of instances."""

    def __init__(self) -> None:
        self._seen: dict[str, _SeenVersion] = {}
        self._read_began_at = float("-inf")
        self._ended: set[str] = set()
        self._renewed_at = float("-inf")
        self._attempted_at = float("-inf")
        self._judged_from = float("-inf")
        self._rejoins_at: float | None = None

    @property
    def has_lapsed(self) -> bool:
        """Return whether the others may have taken this instance's part."""
        return self._rejoins_at is not None

    def has_ended(self, name: str) -> bool:
        """Return whether an instance that is not heard has ended."""
        return name in self._ended

    def note_heard(self, name: str) -> None:
        """Record that an instance is heard, so that it serves."""
        self._ended.discard(name)

    def note_rows(
        self, versions: Mapping[str, int], began_at: float, ended_at: float
    ) -> None:
        """Take the versions of the rows of all instances.

        Args:
            versions: Version of the row of each listed instance.
            began_at: When the read began, on the monotonic clock.
            ended_at: When it ended.
        """
        self._read_began_at = began_at
        for name in {*self._seen, *versions}:
            version = versions.get(name, ABSENT)
            before = self._seen.get(name)
            if before is None or before.version != version:
                self._seen[name] = _SeenVersion(version, ended_at)
                # Its row was written since it was taken to have ended.
                self._ended.discard(name)

    def judge(self, view: FleetView) -> list[str]:
        """Return the silent instances that have ended, by the rows read last."""
        if self.has_lapsed:
            return []
        found = [
            name
            for name, silent in view.silent.items()
            if self._read_began_at >= self._due_at(name, silent, view)
        ]
        self._ended.update(found)
        return found

    def must_read(self, view: FleetView, now: float) -> bool:
        """Return whether the rows must be read to judge a silent instance."""
        return not self.has_lapsed and any(
            self._read_began_at < self._due_at(name, silent, view) <= now
            for name, silent in view.silent.items()
        )

    def must_renew(self, view: FleetView, now: float) -> bool:
        """Return whether this instance's row must be renewed now."""
        if not view.silent:
            return False
        after, interval = self.RENEW_AFTER_SECONDS, self.RENEW_SECONDS
        if view.has_most:
            after = interval = self.RENEW_SECONDS_OF_MOST
        return now >= max(
            self._silent_since(view) + after,
            self._renewed_at + interval,
            self._attempted_at + self.RETRY_SECONDS,
        )

    def note_attempt(self, now: float) -> None:
        """Record that a renewal begins."""
        self._attempted_at = now

    def note_renewed(self, began_at: float, now: float) -> None:
        """Record that the store has confirmed a renewal."""
        if now - began_at > self.MAX_RENEWAL_SECONDS:
            return
        if now >= self._renewed_at + self.CLAIM_SECONDS and self.has_lapsed:
            self._rejoins_at = now + self.REJOIN_SECONDS
        self._renewed_at = began_at

    def may_use_part(self, view: FleetView, now: float) -> bool:
        """Return whether this instance may use its part of what the fleet shares."""
        if not view.silent or view.has_most:
            self._rejoins_at = None
            return True
        until = max(self._silent_since(view), self._renewed_at) + self.CLAIM_SECONDS
        if now >= until:
            self._rejoins_at = float("inf")
        elif self._rejoins_at is not None and now >= self._rejoins_at:
            # The others see the renewals from now on, so they renew their rows, too.
            self._rejoins_at = None
            self._judged_from = now
        return self._rejoins_at is None

    def _silent_since(self, view: FleetView) -> float:
        return min(silent.heard_at for silent in view.silent.values())

    def _due_at(self, name: str, silent: SilentInstance, view: FleetView) -> float:
        """Return when a read shows that an instance has ended, if no row changes."""
        seconds = self.ENDED_SECONDS if view.has_most else self.ENDED_SECONDS_OF_MOST
        since = max(silent.heard_at, self._judged_from, self._since(name))
        if silent.hub:
            since = max(since, self._since(silent.hub))
        return since + seconds

    def _since(self, name: str) -> float:
        seen = self._seen.get(name)
        return seen.since if seen is not None else float("-inf")
