"""Prefix cache of limited size, with delayed and partly lost events."""

from __future__ import annotations

import time
from collections import OrderedDict, deque
from typing import Any, NamedTuple

PrefixKey = tuple[str, str]
"""Artifact and prefix hash."""


class _Event(NamedTuple):
    seq: int
    at: float
    kind: str
    artifact: str
    prefix: str


class PrefixCache:
    """LRU cache of prompt prefixes; its capacity is the memory unused by requests."""

    MAX_EVENTS = 1024
    """Number of latest events that can be published."""

    def __init__(
        self, *, mib_per_token: float, lag_seconds: float, omit_every: int
    ) -> None:
        """Create an empty cache.

        Args:
            mib_per_token: Memory of one cached token.
            lag_seconds: Time between a change of the cache and the publication of its
                event.
            omit_every: Interval at which events are lost, counted in events; 0 loses
                none.
        """
        self._tokens: OrderedDict[PrefixKey, int] = OrderedDict()
        self._events: deque[_Event] = deque(maxlen=self.MAX_EVENTS)
        self._mib_per_token = mib_per_token
        self._lag_seconds = lag_seconds
        self._omit_every = omit_every
        self._seq = 0
        self.hits = 0
        self.misses = 0

    @property
    def mib(self) -> float:
        """Memory used by the cached prefixes."""
        return sum(self._tokens.values()) * self._mib_per_token

    def lookup(self, artifact: str, prefix: str) -> int:
        """Return the number of cached tokens of a prefix; count a hit or miss."""
        tokens = self._tokens.get((artifact, prefix), 0)
        if tokens:
            self.hits += 1
            self._tokens.move_to_end((artifact, prefix))
        else:
            self.misses += 1
        return tokens

    def cached_tokens_by_artifact(self, prefix: str) -> dict[str, int]:
        """Return the number of cached tokens of a prefix by artifact.

        Neither counts a hit or miss nor marks the prefix as recently used.
        """
        return {key[0]: n for key, n in self._tokens.items() if key[1] == prefix}

    def store(
        self, artifact: str, prefix: str, tokens: int, capacity_mib: float
    ) -> None:
        """Cache a prefix and evict the least recently used until the cache fits.

        Args:
            artifact: Artifact that computed the prefix.
            prefix: Hash of the prefix.
            tokens: Length of the prefix.
            capacity_mib: Memory that the whole cache may use.
        """
        key = (artifact, prefix)
        if key not in self._tokens:
            self._add_event("stored", key)
        self._tokens[key] = max(tokens, self._tokens.get(key, 0))
        self._tokens.move_to_end(key)
        self.shrink(capacity_mib)

    def shrink(self, capacity_mib: float) -> None:
        """Evict the least recently used prefixes until the cache fits."""
        while self._tokens and self.mib > capacity_mib:
            self._add_event("removed", self._tokens.popitem(last=False)[0])

    def drop(self, artifact: str) -> None:
        """Evict all prefixes that an artifact computed."""
        for key in [key for key in self._tokens if key[0] == artifact]:
            del self._tokens[key]
            self._add_event("removed", key)

    def published_events(self, after: int) -> dict[str, Any]:
        """Return the response body of `GET /admin/cache-events`.

        Args:
            after: Sequence number of the last event that the caller has.

        Returns:
            The newer published events and the range of published sequence numbers.
        """
        limit = time.monotonic() - self._lag_seconds
        visible = [event for event in self._events if event.at <= limit]
        return {
            "events": [
                {
                    "seq": event.seq,
                    "kind": event.kind,
                    "artifact": event.artifact,
                    "prefix": event.prefix,
                }
                for event in visible
                if event.seq > after
            ],
            "first": visible[0].seq if visible else 0,
            "last": visible[-1].seq if visible else 0,
        }

    def _add_event(self, kind: str, key: PrefixKey) -> None:
        self._seq += 1
        if self._omit_every and self._seq % self._omit_every == 0:
            return
        self._events.append(_Event(self._seq, time.monotonic(), kind, *key))
