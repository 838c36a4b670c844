"""The state of the backend servers, replicated to every instance."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from contextlib import AsyncExitStack

from guavajunction.clock import Clock
from guavajunction.configuration import Adapter, BackendServer, Configuration
from guavajunction.health import PassiveHealth
from guavajunction.peers import Links, PeerId

from ._digests import digest_of, fingerprint_of, load_digest_of, state_of
from ._errors import BackendUnreachable
from ._events import (
    BACKEND_HEALTHY,
    BACKEND_LEAVING,
    BACKEND_SUSPECTED,
    BACKEND_UNHEALTHY,
    CACHE_GAP,
)
from ._messages import CacheNews, LoadDigest, StateDigest, StateWanted
from ._model import BackendState
from ._prefix_index import PrefixIndex
from ._protocols import BackendClient, Members
from ._ready_index import ReadyIndex
from ._retirement import Retirement


class Inventory:
    """The latest state of each backend server.

    One instance, the reader, polls a backend server and sends digests to its peers. It
    sends the whole state when the result of `fingerprint_of` has changed, only the load
    when the load has changed by `slots / LOAD_STEPS` or more, and at least one digest
    per `DIGEST_INTERVAL_SECONDS`. An instance polls a backend server itself if it
    receives no digests, or a digest in which the backend server is unhealthy.
    """

    DIGEST_INTERVAL_SECONDS = 1.5
    """Longest time between two digests of a backend server."""
    DIGEST_TIMEOUT_SECONDS = 4.0
    """Time without a digest after which an instance polls a backend server itself."""
    STARTUP_WAIT_SECONDS = 1.0
    """Time that an instance waits after its start for the first digest of a backend
    server before it polls the server itself."""
    READER_CHECK_SECONDS = 2.0
    """Longest time between two updates of the set of backend servers to poll."""
    UNHEALTHY_AFTER_FAILURES = 2
    """Consecutive failed queries after which a backend server is unhealthy."""
    LOAD_STEPS = 8
    """A load digest is sent when the load has changed by `slots / LOAD_STEPS`."""
    RESTART_SECONDS = 3.0
    """A report with a lower sequence number that is newer by this time or more is taken
    as the report of a restarted backend server."""

    def __init__(
        self,
        client: BackendClient,
        links: Links,
        members: Members,
        configuration: Callable[[], Configuration],
        retirement: Retirement,
        clock: Clock,
        *,
        poll: float = 0.5,
    ) -> None:
        """Register the message handlers.

        Args:
            client: Calls the backend servers.
            links: Links to the other instances.
            members: Assigns a reader to each backend server.
            configuration: Returns the configuration in force.
            retirement: Artifacts that are being drained.
            clock: Time source.
            poll: Seconds between two queries of a backend server.
        """
        self._client = client
        self._links = links
        self._members = members
        self._configuration = configuration
        self._retirement = retirement
        self._clock = clock
        self._poll = poll
        self._states: dict[str, BackendState] = {}
        self._fingerprints: dict[str, int] = {}
        self._digest_received_at: dict[str, float] = {}
        self._own_read_at: dict[str, float] = {}
        self._last_digests: dict[str, tuple[float, int, int]] = {}
        """Time, load and fingerprint of the last digest sent, by backend server.

        The load is the number of running and waiting requests.
        """
        self._failed_queries: dict[str, int] = {}
        """Number of consecutive failed queries, by backend server."""
        self._initial_scan_done = False
        self._prefixes: defaultdict[str, PrefixIndex] = defaultdict(PrefixIndex)
        self._passive_health = PassiveHealth(clock)
        self._ready_index: ReadyIndex | None = None
        self._read_tasks: dict[str, asyncio.Task[None]] = {}
        self._known_peers: set[PeerId] = set()
        self._assigned_servers: frozenset[str] = frozenset()
        self._assignment_basis: tuple[list[PeerId], int] | None = None
        self._assigned_at = 0.0
        self._started = clock.monotonic()
        links.handle(StateDigest, self._on_state)
        links.handle(LoadDigest, self._on_load)
        links.handle(StateWanted, self._on_wanted)
        links.handle(CacheNews, self._on_cache_news)

    def state(self, name: str) -> BackendState | None:
        """Return the latest state, None without a report or without configuration."""
        state = self._states.get(name)
        server = self._configuration().backends.get(name)
        if state is None or server is None:
            return None
        healthy = state.healthy and not self._passive_health.is_suspect(name)
        leaving = state.leaving or server.leaving
        return state._replace(healthy=healthy, leaving=leaving)

    @property
    def initial_scan_done(self) -> bool:
        """Return whether each backend server has a state or has failed a query.

        Once true, the value stays true, so that adding a backend server does not
        make a serving instance unready.
        """
        if not self._initial_scan_done:
            names = self._configuration().backends
            self._initial_scan_done = all(
                n in self._states or n in self._failed_queries for n in names
            )
        return self._initial_scan_done

    def states(self) -> list[BackendState]:
        """Return the latest state of every configured backend server."""
        found = (self.state(name) for name in self._configuration().backends)
        return [state for state in found if state is not None]

    def ready(self, artifact: str) -> list[BackendState]:
        """Return the backend servers that may get requests for an artifact.

        They are healthy, not leaving, not draining the artifact and have it ready.
        For an adapter, a version of its base model is ready too.
        """
        names = self._index().holders(artifact)
        return [
            self._states[name]
            for name in names
            if not self._retirement.is_marked(name, artifact)
        ]

    def ready_in_pool(self, pool: str) -> list[BackendState]:
        """Return the plain services of a pool that may get requests."""
        servers = self._configuration().backends.values()
        names = [s.name for s in servers if s.pool == pool and s.kind == "service"]
        states = (self.state(name) for name in names)
        return [s for s in states if s is not None and s.healthy and not s.leaving]

    def serving(self, name: str) -> str | None:
        """Return the artifact that serves a model or adapter, None if unknown.

        Once enough replicas of the configured version are ready, that version serves;
        until then, the older version with the most ready replicas.
        """
        cfg = self._configuration()
        entry = cfg.models.get(name) or cfg.adapters.get(name)
        if entry is None:
            return None
        older = self._older_ready(name, entry.artifact)
        if not older:
            return entry.artifact
        fallback = max(older, key=lambda artifact: (older[artifact], artifact))
        min_replicas = 1 if isinstance(entry, Adapter) else entry.min_replicas
        enough = max(min_replicas, -(-older[fallback] // 2))
        return entry.artifact if len(self.ready(entry.artifact)) >= enough else fallback

    def cached(self, backend: str, prefix: str) -> bool:
        """Return whether a prompt prefix is probably cached on a backend server."""
        index = self._prefixes.get(backend)
        return index is not None and prefix in index

    def note_failure(self, backend: str) -> None:
        """Record that a request failed on a backend server."""
        if self._passive_health.note_failure(backend):
            BACKEND_SUSPECTED.log(backend=backend)
            self._ready_index = None

    async def run(self) -> None:
        """Poll backend servers and send their states to the peers until cancelled."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self._cancel_reads)
            while True:
                self.start_reads()
                await self._clock.sleep(self._poll)

    def start_reads(self) -> None:
        """Start a query of each backend server that this instance has to poll."""
        if self._passive_health.expire():
            self._ready_index = None
        self._refresh_assignment()
        self._send_states_to_new_peers()
        for name, server in self._configuration().backends.items():
            if name not in self._read_tasks and self._should_read(name):
                task = asyncio.ensure_future(self._read(server))
                self._read_tasks[name] = task
                task.add_done_callback(lambda _, name=name: self._read_tasks.pop(name))

    async def finish_reads(self) -> None:
        """Wait until all running queries have ended."""
        await asyncio.gather(*self._read_tasks.values())

    async def _cancel_reads(self) -> None:
        tasks = list(self._read_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def is_reader(self, name: str) -> bool:
        """Return whether this instance polls a backend server for its peers."""
        return name in self._assigned_servers

    def _refresh_assignment(self) -> None:
        """Update the set of backend servers that this instance polls for its peers.

        The set is updated when the peers or the configuration change, and at least
        every `READER_CHECK_SECONDS`.
        """
        now = self._clock.monotonic()
        basis = (self._links.peers(), self._configuration().version)
        if (
            basis != self._assignment_basis
            or now - self._assigned_at >= self.READER_CHECK_SECONDS
        ):
            self._assigned_servers = self._assignment()
            self._assignment_basis = basis
            self._assigned_at = now

    def _assignment(self) -> frozenset[str]:
        me = self._links.me
        names = self._configuration().backends
        owner_of = self._members.owner_of
        return frozenset(n for n in names if owner_of(f"backend/{n}") == me)

    def _should_read(self, name: str) -> bool:
        if self.is_reader(name):
            return True
        seconds_without_digest = self._clock.monotonic() - self._digest_received_at.get(
            name, self._started
        )
        known = name in self._states
        return seconds_without_digest >= (
            self.DIGEST_TIMEOUT_SECONDS if known else self.STARTUP_WAIT_SECONDS
        )

    async def _read(self, server: BackendServer) -> None:
        sent_at = self._clock.monotonic()
        engine = server.kind == "engine"
        query = self._client.load if engine else self._client.service_load
        try:
            report = await query(server.address)
        except BackendUnreachable as exc:
            self._record_failed_query(server.name, exc)
            return
        self._failed_queries[server.name] = 0
        self._own_read_at[server.name] = self._clock.monotonic()
        self._update_state(state_of(server.name, report, sent_at), own=True)
        self._broadcast_state(server.name)
        if engine and self.is_reader(server.name):
            await self._read_cache_events(server)

    def _record_failed_query(self, name: str, exc: BackendUnreachable) -> None:
        self._failed_queries[name] = self._failed_queries.get(name, 0) + 1
        state = self._states.get(name)
        if state is None or self._failed_queries[name] < self.UNHEALTHY_AFTER_FAILURES:
            return
        if state.healthy:
            BACKEND_UNHEALTHY.log(backend=name, reason=exc.message)
        self._update_state(state._replace(healthy=False, as_of=self._clock.monotonic()))
        self._broadcast_state(name)

    async def _read_cache_events(self, server: BackendServer) -> None:
        index = self._prefixes[server.name]
        after = index.last
        try:
            answer = await self._client.cache_events(server.address, after)
        except BackendUnreachable:
            return
        if answer.first > after + 1 or answer.last < after:
            after = max(0, answer.first - 1)
        news = CacheNews(server.name, after, answer.events, answer.last)
        self._update_prefixes(news)
        if answer.events:
            self._links.broadcast(news)

    def _update_prefixes(self, news: CacheNews) -> None:
        index = self._prefixes[news.name]
        known = index.last
        if not index.extend(news.after, news.events, news.last):
            CACHE_GAP.log(backend=news.name, known=known, last=news.last)

    def _update_state(self, state: BackendState, *, own: bool = False) -> None:
        old = self._states.get(state.name)
        if old is not None and not self._supersedes(state, old, own):
            return
        self._states[state.name] = state
        fingerprint = fingerprint_of(state)
        if self._fingerprints.get(state.name) == fingerprint:
            return
        self._fingerprints[state.name] = fingerprint
        self._ready_index = None
        if old is not None and state.leaving and not old.leaving:
            BACKEND_LEAVING.log(backend=state.name)
        if old is not None and state.healthy and not old.healthy:
            BACKEND_HEALTHY.log(backend=state.name)

    def _supersedes(self, new: BackendState, old: BackendState, own: bool) -> bool:
        if new.seq > old.seq:
            return True
        if own or new.seq == old.seq:
            return new.as_of >= old.as_of
        return new.as_of - old.as_of >= self.RESTART_SECONDS

    def _broadcast_state(self, name: str) -> None:
        if not self.is_reader(name):
            return
        state = self._states[name]
        now = self._clock.monotonic()
        load = state.running + state.waiting
        fingerprint = self._fingerprints[name]
        last_sent_at, sent_load, sent_fingerprint = self._last_digests.get(
            name, (-1e9, 0, 0)
        )
        load_changed = abs(load - sent_load) >= max(1, state.slots // self.LOAD_STEPS)
        if fingerprint != sent_fingerprint:
            self._links.broadcast(digest_of(state, now))
        elif load_changed or now - last_sent_at >= self.DIGEST_INTERVAL_SECONDS:
            self._links.broadcast(load_digest_of(state, now, fingerprint))
        else:
            return
        self._last_digests[name] = (now, load, fingerprint)

    def _send_states_to_new_peers(self) -> None:
        peers = set(self._links.peers())
        now = self._clock.monotonic()
        for peer in peers - self._known_peers:
            for name, state in self._states.items():
                if self.is_reader(name):
                    self._links.send(peer, digest_of(state, now))
        self._known_peers = peers

    async def _on_state(self, sender: PeerId, digest: StateDigest) -> None:
        now = self._clock.monotonic()
        name, age, *rest = digest
        if digest.healthy:
            self._digest_received_at[name] = now
        else:
            # The reader may be the only instance that cannot reach the backend server.
            # Without the time of a digest, this instance polls the server itself.
            self._digest_received_at.pop(name, None)
            if now - self._own_read_at.get(name, -1e9) < self.DIGEST_TIMEOUT_SECONDS:
                return
        self._update_state(BackendState(name, now - age, *rest))

    async def _on_load(self, sender: PeerId, digest: LoadDigest) -> None:
        if self._fingerprints.get(digest.name) != digest.fingerprint:
            self._links.send(sender, StateWanted(digest.name))
            return
        now = self._clock.monotonic()
        state = self._states[digest.name]
        new = state._replace(
            as_of=now - digest.age,
            running=digest.running,
            waiting=digest.waiting,
            seq=digest.seq,
        )
        self._update_state(new)
        if state.healthy:
            self._digest_received_at[digest.name] = now

    async def _on_wanted(self, sender: PeerId, wanted: StateWanted) -> None:
        state = self._states.get(wanted.name)
        if state is not None:
            self._links.send(sender, digest_of(state, self._clock.monotonic()))

    async def _on_cache_news(self, sender: PeerId, news: CacheNews) -> None:
        self._update_prefixes(news)

    def _index(self) -> ReadyIndex:
        cfg = self._configuration()
        index = self._ready_index
        if index is None or index.version != cfg.version:
            index = self._ready_index = ReadyIndex(cfg, self.states())
        return index

    def _older_ready(self, name: str, current: str) -> dict[str, int]:
        return {
            artifact: count
            for artifact in self._index().versions(name)
            if artifact != current
            if (count := len(self.ready(artifact)))
        }
