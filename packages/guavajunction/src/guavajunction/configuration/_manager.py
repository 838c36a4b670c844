"""Keeps the accepted configuration in force on this instance."""

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
    STORE_READ_AGAIN,
    STORE_READ_FAILED,
    WENT_BACK,
)
from ._head import NO_HEAD, Head, encode_head, head_from
from ._messages import HeadAnswer, HeadQuestion, InForce, VersionAccepted
from ._model import EMPTY, Configuration
from ._protocols import Confirmations
from ._store import ConfigurationStore
from ._tables import Sections, empty_sections

POLL_SECONDS = 1.0
"""Mean time between reads of the head row, unless the settings say otherwise."""

POLL_JITTER = 0.25
"""Largest part by which the time between two reads differs from its mean."""

STORE_READ_SECONDS = 2.0
"""Time after which a read of the store counts as failed."""

PEER_ANSWER_SECONDS = 1.0
"""Time that a peer has to hand over its configuration."""

HEARD_SECONDS = 10.0
"""Age at which a peer's report of its version no longer counts."""

TOPIC = "configuration"

OnChange = Callable[[Configuration], None]


class InstanceInForce(NamedTuple):
    """What is in force on one instance."""

    name: str
    incarnation: str | None
    """Its run, or None if it was not heard from lately."""
    version: int | None
    """Version in force, or None if it was not heard from lately."""


class _Report(NamedTuple):
    incarnation: str
    version: int
    heard_at: float


class ConfigurationKeeper:
    """Installs each accepted version, and never a lower one.

    It reads the head row before the instance serves, polls it, and is told of new
    versions by peers. When the store cannot be read, a peer that has a higher
    version hands it over.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        links: Links,
        confirmations: Confirmations,
        clock: Clock,
        *,
        poll_seconds: float = POLL_SECONDS,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._store = store
        self._poll_seconds = poll_seconds
        self._links = links
        self._confirmations = confirmations
        self._clock = clock
        self._jitter = jitter
        self._callbacks: list[OnChange] = []
        self._reports: dict[str, _Report] = {}
        self._wake = asyncio.Event()
        self._reading = True
        self.highest_heard = 0
        """Highest version that the store or a peer has named."""
        self.ready = asyncio.Event()
        """Set once the accepted version was read and is in force here."""
        self.current: Configuration = EMPTY
        """The configuration in force on this instance."""
        self.head: Head = NO_HEAD
        """The accepted version in force, by reference."""
        self.sections: Sections = empty_sections()
        """The document in force, in its wire form; not to be changed."""
        links.handle(VersionAccepted, self._on_version_accepted)
        links.handle(HeadQuestion, self._on_head_question)
        links.share(TOPIC, self._provide, self._on_report, InForce)

    @property
    def me(self) -> PeerId:
        """Identity of this instance."""
        return self._links.me

    @property
    def up_to_date(self) -> bool:
        """Whether no higher version than the one in force was heard of."""
        return self.highest_heard <= self.current.version

    def on_change(self, callback: OnChange) -> None:
        """Call a function with each configuration that is installed."""
        self._callbacks.append(callback)

    async def run(self) -> None:
        """Read the head row and install what it names, forever."""
        while True:
            self._wake.clear()
            await self.refresh()
            await self._pause()

    async def refresh(self) -> None:
        """Read the head row once and install the version that it names."""
        started_at = self._clock.monotonic()
        before = self.current.version
        try:
            async with asyncio.timeout(STORE_READ_SECONDS):
                head = await self._read_and_install()
        except (PlatformError, TimeoutError) as exc:
            self._note_failure(exc)
            await self._catch_up_from_peers()
            return
        self._note_success()
        if head.version < before:
            WENT_BACK.log(found=head.version, in_force=before)
            return
        self._confirmations.on_store_read(started_at)
        self.ready.set()

    async def adopt(self, head: Head) -> None:
        """Tell every peer of a version that was accepted, and install it here."""
        self._hear(head.version)
        self._links.tell_all(VersionAccepted(head.version))
        try:
            await self._install(head)
        except PlatformError as exc:
            self._note_failure(exc)
            self.wake()

    def wake(self) -> None:
        """Read the head row as soon as possible."""
        self._wake.set()

    def in_force(self, expected: Iterable[str]) -> list[InstanceInForce]:
        """Report which version is in force on each instance.

        Args:
            expected: Names of the instances that should be there.

        Returns:
            One entry for each expected instance and each that was heard from
            lately, by name; this instance included.
        """
        self._forget_old_reports()
        me = self._links.me
        names = {me.name, *expected, *self._reports}
        return [self._in_force_on(name, me) for name in sorted(names)]

    def _in_force_on(self, name: str, me: PeerId) -> InstanceInForce:
        if name == me.name:
            return InstanceInForce(name, me.incarnation, self.current.version)
        report = self._reports.get(name)
        if report is None:
            return InstanceInForce(name, None, None)
        return InstanceInForce(name, report.incarnation, report.version)

    async def _read_and_install(self) -> Head:
        head = await self._store.read_head()
        self._hear(head.version)
        await self._install(head)
        return head

    async def _install(self, head: Head) -> None:
        if head.version <= self.current.version:
            return
        sections = await self._store.load_sections(head)
        # Another install may have gone further while the bodies were read.
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
            self._call(callback)

    def _call(self, callback: OnChange) -> None:
        try:
            callback(self.current)
        except Exception as exc:
            # The other readers must learn of the version all the same.
            name = getattr(callback, "__qualname__", repr(callback))
            CALLBACK_FAILED.log(callback=name, failure=repr(exc))

    def _hear(self, version: int) -> None:
        if version > self.highest_heard:
            self.highest_heard = version
            self.wake()

    async def _on_version_accepted(
        self, sender: PeerId, message: VersionAccepted
    ) -> None:
        self._hear(message.version)

    def _provide(self) -> InForce:
        return InForce(self.current.version)

    def _on_report(self, sender: PeerId, report: InForce) -> None:
        heard_at = self._clock.monotonic()
        self._reports[sender.name] = _Report(
            sender.incarnation, report.version, heard_at
        )
        self._hear(report.version)

    def _forget_old_reports(self) -> None:
        oldest = self._clock.monotonic() - HEARD_SECONDS
        old = [
            name for name, report in self._reports.items() if report.heard_at < oldest
        ]
        for name in old:
            del self._reports[name]

    async def _on_head_question(
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
        """Take a higher version from the peers that have it, one after another."""
        for peer in self._peers_ahead():
            try:
                await self._fetch_from(peer)
            except GuavaError as exc:
                self._note_failure(exc)
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
        answer = await self._links.ask(
            peer, question, HeadAnswer, timeout=PEER_ANSWER_SECONDS
        )
        if answer.version <= self.current.version:
            return
        head = head_from(answer.version, answer.content)
        for name, ref in head.sections.items():
            if name in answer.bodies:
                self._store.bodies.learn(name, ref.digest, answer.bodies[name])
        await self._install(head)
        FETCHED_FROM_PEER.log(peer=peer.name, version=head.version)

    def _note_failure(self, exc: Exception) -> None:
        if self._reading:
            STORE_READ_FAILED.log(failure=repr(exc), in_force=self.current.version)
        self._reading = False

    def _note_success(self) -> None:
        if not self._reading:
            STORE_READ_AGAIN.log(in_force=self.current.version)
        self._reading = True

    async def _pause(self) -> None:
        seconds = self._poll_seconds * (1 + POLL_JITTER * (2 * self._jitter() - 1))
        sleeping = asyncio.ensure_future(self._clock.sleep(seconds))
        waking = asyncio.ensure_future(self._wake.wait())
        try:
            await asyncio.wait({sleeping, waking}, return_when=asyncio.FIRST_COMPLETED)
        finally:
            sleeping.cancel()
            waking.cancel()


def _changed_sections(before: Head, after: Head) -> set[str]:
    """Return the sections whose content differs between two heads."""
    digests = {name: ref.digest for name, ref in before.sections.items()}
    return {n for n, ref in after.sections.items() if digests.get(n) != ref.digest}
