"""Installs each accepted version of the configuration on this instance."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import GuavaError, PlatformError
from guavajunction.peers import Links, PeerId

from ._bodies import encode_section
from ._build import build
from ._events import (
    CALLBACK_FAILED,
    FETCHED_FROM_PEER,
    INSTALLED,
    LOWER_VERSION_READ,
    STORE_READ_FAILED,
    STORE_READ_RECOVERED,
)
from ._head import NO_HEAD, Head, decode_head_content, encode_head
from ._messages import HeadAnswer, HeadQuestion, InForce, VersionAccepted
from ._model import EMPTY_CONFIGURATION, Configuration
from ._protocols import StoreReadObserver
from ._store import ConfigurationStore
from ._tables import Sections, empty_sections

POLL_SECONDS = 1.0
"""Default mean time between two reads of the head row."""

POLL_JITTER_FRACTION = 0.25
"""Maximum deviation of the time between two reads, as a fraction of the mean."""

STORE_READ_TIMEOUT_SECONDS = 2.0
"""Timeout of a refresh from the store."""

PEER_FETCH_TIMEOUT_SECONDS = 1.0
"""Timeout of fetching the configuration from a peer."""

MAX_REPORT_AGE_SECONDS = 10.0
"""Age at which a peer's report of its version is discarded."""

TOPIC = "configuration"

OnChange = Callable[[Configuration], None]


class InstanceVersion(NamedTuple):
    """Version of the configuration in force on one instance."""

    name: str
    incarnation: str | None
    """Incarnation of the instance, None without a recent report."""
    version: int | None
    """Version in force, None without a recent report."""


class _Report(NamedTuple):
    incarnation: str
    version: int
    received_at: float


class ConfigurationManager:
    """Installs each accepted version; the version in force never decreases.

    The manager reads the head row before the instance serves requests and polls it
    afterwards. Peers also broadcast new versions, which triggers a read at once. When
    the store cannot be read, the manager fetches a higher version from a peer.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        links: Links,
        read_observer: StoreReadObserver,
        clock: Clock,
        *,
        poll_seconds: float = POLL_SECONDS,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._store = store
        self._poll_seconds = poll_seconds
        self._links = links
        self._read_observer = read_observer
        self._clock = clock
        self._jitter = jitter
        self._callbacks: list[OnChange] = []
        self._reports: dict[str, _Report] = {}
        self._refresh_requested = asyncio.Event()
        self._store_is_readable = True
        self.highest_known_version = 0
        """Highest version that the store or a peer has reported."""
        self.ready = asyncio.Event()
        """Set once the accepted version was read from the store and installed."""
        self.current: Configuration = EMPTY_CONFIGURATION
        """Configuration in force on this instance."""
        self.head: Head = NO_HEAD
        """Head of the version in force."""
        self.sections: Sections = empty_sections()
        """Document in force, in its wire form. Callers must not modify it."""
        links.handle(VersionAccepted, self._on_version_accepted)
        links.handle(HeadQuestion, self._on_head_request)
        links.add_topic(TOPIC, self._heartbeat_report, self._on_report, InForce)

    @property
    def me(self) -> PeerId:
        """Identity of this instance."""
        return self._links.me

    @property
    def up_to_date(self) -> bool:
        """Whether no version higher than the one in force is known."""
        return self.highest_known_version <= self.current.version

    def on_change(self, callback: OnChange) -> None:
        """Register a callback for each configuration that is installed."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Refresh the configuration from the store until cancelled."""
        while True:
            self._refresh_requested.clear()
            await self.refresh()
            await self._wait_for_poll()

    async def refresh(self) -> None:
        """Read the head row once and install its version.

        If the store cannot be read, fetch a higher version from peers.
        """
        started_at = self._clock.monotonic()
        before = self.current.version
        try:
            async with asyncio.timeout(STORE_READ_TIMEOUT_SECONDS):
                head = await self._read_and_install()
        except (PlatformError, TimeoutError) as exc:
            self._record_read_failure(exc)
            await self._catch_up_from_peers()
            return
        self._record_read_success()
        if head.version < before:
            LOWER_VERSION_READ.log(found=head.version, in_force=before)
            return
        self._read_observer.on_store_read(started_at)
        self.ready.set()

    async def broadcast_and_install(self, head: Head) -> None:
        """Broadcast an accepted version to all peers and install it locally."""
        self._note_known_version(head.version)
        self._links.broadcast(VersionAccepted(head.version))
        try:
            await self._install(head)
        except PlatformError as exc:
            self._record_read_failure(exc)
            self.request_refresh()

    def request_refresh(self) -> None:
        """Make `run` read the head row without waiting for the next poll."""
        self._refresh_requested.set()

    def versions_by_instance(self, expected: Iterable[str]) -> list[InstanceVersion]:
        """Return the version in force on each instance.

        Args:
            expected: Names of the instances that should be running.

        Returns:
            One entry for this instance, each expected instance and each instance
            with a recent report, sorted by name.
        """
        self._expire_reports()
        me = self._links.me
        names = {me.name, *expected, *self._reports}
        return [self._version_of_instance(name, me) for name in sorted(names)]

    def _version_of_instance(self, name: str, me: PeerId) -> InstanceVersion:
        if name == me.name:
            return InstanceVersion(name, me.incarnation, self.current.version)
        report = self._reports.get(name)
        if report is None:
            return InstanceVersion(name, None, None)
        return InstanceVersion(name, report.incarnation, report.version)

    async def _read_and_install(self) -> Head:
        head = await self._store.read_head()
        self._note_known_version(head.version)
        await self._install(head)
        return head

    async def _install(self, head: Head) -> None:
        if head.version <= self.current.version:
            return
        sections = await self._store.load_sections(head)
        # A concurrent call may have installed a higher version while this one
        # read the bodies.
        if head.version <= self.current.version:
            return
        changed = _changed_sections(self.head, head)
        self.current = build(
            head.version, sections, previous=self.current, changed=changed
        )
        self.head = head
        self.sections = sections
        INSTALLED.log(version=head.version, changed=list(head.changed))
        for callback in self._callbacks:
            self._run_callback(callback)

    def _run_callback(self, callback: OnChange) -> None:
        try:
            callback(self.current)
        except Exception as exc:
            # A failing callback must not prevent the remaining callbacks.
            name = getattr(callback, "__qualname__", repr(callback))
            CALLBACK_FAILED.log(callback=name, failure=repr(exc))

    def _note_known_version(self, version: int) -> None:
        if version > self.highest_known_version:
            self.highest_known_version = version
            self.request_refresh()

    async def _on_version_accepted(
        self, sender: PeerId, message: VersionAccepted
    ) -> None:
        self._note_known_version(message.version)

    def _heartbeat_report(self) -> InForce:
        return InForce(self.current.version)

    def _on_report(self, sender: PeerId, report: InForce) -> None:
        received_at = self._clock.monotonic()
        self._reports[sender.name] = _Report(
            sender.incarnation, report.version, received_at
        )
        self._note_known_version(report.version)

    def _expire_reports(self) -> None:
        oldest = self._clock.monotonic() - MAX_REPORT_AGE_SECONDS
        old = [
            name
            for name, report in self._reports.items()
            if report.received_at < oldest
        ]
        for name in old:
            del self._reports[name]

    async def _on_head_request(
        self, sender: PeerId, question: HeadQuestion
    ) -> HeadAnswer:
        if question.version >= self.current.version:
            return HeadAnswer(self.current.version, b"", {})
        bodies = {
            name: encode_section(self.sections[name])
            for name, ref in self.head.sections.items()
            if question.digests.get(name) != ref.digest
        }
        return HeadAnswer(self.current.version, encode_head(self.head), bodies)

    async def _catch_up_from_peers(self) -> None:
        """Fetch a higher version from peers, one by one, until up to date."""
        for peer in self._peers_ahead():
            try:
                await self._fetch_from(peer)
            except GuavaError as exc:
                self._record_read_failure(exc)
            if self.up_to_date:
                return

    def _peers_ahead(self) -> list[PeerId]:
        return [
            peer
            for peer in self._links.peers()
            if (report := self._reports.get(peer.name))
            and report.incarnation == peer.incarnation
            and report.version > self.current.version
        ]

    async def _fetch_from(self, peer: PeerId) -> None:
        digests = {name: ref.digest for name, ref in self.head.sections.items()}
        question = HeadQuestion(self.current.version, digests)
        answer = await self._links.request(
            peer, question, HeadAnswer, timeout=PEER_FETCH_TIMEOUT_SECONDS
        )
        if answer.version <= self.current.version:
            return
        head = decode_head_content(answer.version, answer.content)
        for name, ref in head.sections.items():
            if name in answer.bodies:
                self._store.bodies.cache_body(name, ref.digest, answer.bodies[name])
        await self._install(head)
        FETCHED_FROM_PEER.log(peer=peer.name, version=head.version)

    def _record_read_failure(self, exc: Exception) -> None:
        if self._store_is_readable:
            STORE_READ_FAILED.log(failure=repr(exc), in_force=self.current.version)
        self._store_is_readable = False

    def _record_read_success(self) -> None:
        if not self._store_is_readable:
            STORE_READ_RECOVERED.log(in_force=self.current.version)
        self._store_is_readable = True

    async def _wait_for_poll(self) -> None:
        seconds = self._poll_seconds * (
            1 + POLL_JITTER_FRACTION * (2 * self._jitter() - 1)
        )
        sleeping = asyncio.ensure_future(self._clock.sleep(seconds))
        requested = asyncio.ensure_future(self._refresh_requested.wait())
        try:
            await asyncio.wait(
                {sleeping, requested}, return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            sleeping.cancel()
            requested.cancel()


def _changed_sections(before: Head, after: Head) -> set[str]:
    """Return the names of the sections whose digest differs between two heads."""
    digests = {name: ref.digest for name, ref in before.sections.items()}
    return {n for n, ref in after.sections.items() if digests.get(n) != ref.digest}
