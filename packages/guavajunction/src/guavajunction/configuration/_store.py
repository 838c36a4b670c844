"""Reads and accepts configurations in the table service and the object store."""

from __future__ import annotations

import asyncio
import random
import time
from collections.abc import Callable
from datetime import UTC, datetime
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.errors import (
    AcceptanceUnknown,
    ConditionFailed,
    EntryUnknown,
    GuavaError,
    PlatformError,
    SectionConflict,
    StoreAnswerLost,
    StoreUnavailable,
)
from guavajunction.storage import ObjectStore, TableService

from ._bodies import SectionBodies, body_digest, encode_section
from ._build import build
from ._document import check_sections
from ._head import (
    HEAD_PARTITION,
    HEAD_SORT,
    HISTORY_PARTITION,
    NO_HEAD,
    Head,
    decode_head,
    decode_history,
    encode_head,
    encode_history,
    history_sort,
)
from ._model import Configuration
from ._tables import Sections

ACCEPT_ATTEMPTS = 8
"""Maximum number of attempts to write the head row for a change."""

MAX_SEARCHED_VERSIONS = 256
"""Number of past versions searched for an attempt that is not in the head row."""

_MIN_RETRY_DELAY_SECONDS = 0.05
_MAX_RETRY_DELAY_SECONDS = 0.5


class Accepted(NamedTuple):
    """A change that was accepted."""

    version: int
    """Version of the configuration that the change created."""
    head: Head
    """Head row that showed the acceptance, of this version or a later one."""


class Change(NamedTuple):
    """Sections that an operator wants to replace."""

    sections: Sections
    """New content of each section."""
    based_on: dict[str, int]
    """Version of each section on which the change is based."""
    author: str
    attempt_id: str
    """Unique id, by which a repeated change is recognised after a lost answer."""


class ConfigurationStore:
    """Reads, accepts and lists configurations in the services of the platform.

    A change is accepted exactly if the compare-and-set of the head row succeeds.
    """

    def __init__(
        self,
        table: TableService,
        objects: ObjectStore,
        clock: Clock,
        *,
        now: Callable[[], float] = time.time,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._table = table
        self._clock = clock
        self._now = now
        self._jitter = jitter
        self.bodies = SectionBodies(objects, clock, jitter=jitter)
        """Section bodies that heads refer to."""

    async def read_head(self) -> Head:
        """Read the head row consistently.

        Raises:
            PlatformError: The table service did not answer.
        """
        row = await self._table.get(HEAD_PARTITION, HEAD_SORT)
        return NO_HEAD if row is None else decode_head(row)

    async def load(self, head: Head) -> Configuration:
        """Load the configuration that a head refers to.

        Raises:
            PlatformError: A body could not be read intact.
        """
        return build(head.version, await self.load_sections(head))

    async def load_sections(self, head: Head) -> Sections:
        """Load the document that a head refers to, in its wire form.

        Raises:
            PlatformError: A body could not be read intact.
        """
        return await self.bodies.read_all(head.sections)

    async def accept(
        self, change: Change, *, check: Callable[[], None] = lambda: None
    ) -> Accepted:
        """Make a change the accepted configuration, unless it conflicts.

        Other sections that were changed meanwhile keep their new content. A change
        that is repeated with the same attempt id is accepted at most once. The
        caller must have written the bodies of the sections by `write_bodies`.

        Args:
            change: The sections to replace.
            check: Called immediately before each write of the head row; raises if the
                row must no longer be written.

        Returns:
            The version that the change created and the head row.

        Raises:
            SectionConflict: Another author changed one of the sections meanwhile.
            DocumentInvalid: The change is invalid together with the other sections.
            GuavaError: The change was not accepted, because the store or the check
                failed.
            AcceptanceUnknown: The change may or may not have been accepted.
        """
        bodies = _encode(change.sections)
        unanswered = _UnansweredWrite()
        for attempt in range(ACCEPT_ATTEMPTS):
            await self._wait_before_retry(attempt)
            try:
                return await self._accept_once(change, bodies, unanswered, check)
            except PlatformError as exc:
                failure = exc
            except GuavaError as exc:
                if unanswered.outcome_unknown:
                    raise AcceptanceUnknown(_unknown_message(change)) from exc
                raise
        if unanswered.outcome_unknown:
            raise AcceptanceUnknown(_unknown_message(change)) from failure
        # The failure may be a lost answer to the write of a history row. No write
        # of the head row is unanswered here, so the change is not accepted.
        raise StoreUnavailable(f"not accepted: {failure.message}") from failure

    async def write_bodies(self, sections: Sections) -> None:
        """Store the bodies of sections, before the head row refers to them.

        Raises:
            StoreUnavailable: A body could not be stored in several attempts.
        """
        for name, body in _encode(sections).items():
            await self.bodies.write(name, body)

    async def history(self, limit: int) -> list[Head]:
        """Return the latest accepted versions, newest first.

        Args:
            limit: Largest number of versions to return.

        Raises:
            PlatformError: The table service did not answer.
        """
        head = await self.read_head()
        if head.version == 0:
            return []
        oldest = max(1, head.version - limit + 1)
        older = range(head.version - 1, oldest - 1, -1)
        return [head, *[await self.read_past_head(version) for version in older]]

    async def read_past_head(self, version: int) -> Head:
        """Read the head of a version that a later one has replaced.

        Raises:
            EntryUnknown: The history has no such version.
            PlatformError: The table service did not answer.
        """
        row = await self._table.get(HISTORY_PARTITION, history_sort(version))
        if row is None:
            raise EntryUnknown(f"Version {version} was never replaced.")
        return decode_history(row)

    async def _accept_once(
        self,
        change: Change,
        bodies: dict[str, bytes],
        unanswered: _UnansweredWrite,
        check: Callable[[], None],
    ) -> Accepted:
        head = await self.read_head()
        unanswered.on_head_read(head)
        version = head.accepted_version(change.attempt_id)
        if version is None and (section := _find_stale_section(change, head)):
            version = await self._find_in_history(change, section, head)
        if version is not None:
            return Accepted(version, head)
        merged = {**await self.load_sections(head), **change.sections}
        # The check of a large document would block the event loop and delay requests,
        # so it runs in a thread.
        await asyncio.to_thread(check_sections, merged)
        await self._record_history(head)
        digests = {name: body_digest(body) for name, body in bodies.items()}
        successor = head.successor(
            digests, change.author, self._now(), change.attempt_id
        )
        check()
        await self._write_head(successor, unanswered)
        for name, body in bodies.items():
            self.bodies.cache_body(name, digests[name], body)
        return Accepted(successor.version, successor)

    async def _find_in_history(self, change: Change, section: str, head: Head) -> int:
        """Return the version of an attempt that the head row no longer contains.

        The search stops at the version on which the section is based, because an
        acceptance of the attempt would have created a later version of the section.

        Raises:
            SectionConflict: The attempt was not accepted, and another change of the
                section was.
        """
        based_on = change.based_on.get(section, 0)
        oldest = max(0, head.version - MAX_SEARCHED_VERSIONS)
        for version in range(head.version - 1, oldest, -1):
            past = await self.read_past_head(version)
            if past.accepted_version(change.attempt_id) == version:
                return version
            if past.section_version(section) <= based_on:
                break
        raise SectionConflict(_conflict_message(section, based_on, head))

    async def _write_head(self, successor: Head, unanswered: _UnansweredWrite) -> None:
        expected = successor.version - 1
        try:
            await self._table.put(
                HEAD_PARTITION, HEAD_SORT, encode_head(successor), expected=expected
            )
        except StoreAnswerLost:
            unanswered.record(expected)
            raise

    async def _record_history(self, head: Head) -> None:
        """Write the history row of a version before its successor replaces the head.

        An existing row is kept, as another writer has already recorded the version.
        """
        if head.version == 0:
            return
        try:
            await self._table.put(
                HISTORY_PARTITION,
                history_sort(head.version),
                encode_history(head),
                expected=0,
            )
        except ConditionFailed:
            return

    async def _wait_before_retry(self, attempt: int) -> None:
        if attempt == 0:
            return
        delay = min(
            _MIN_RETRY_DELAY_SECONDS * 2 ** (attempt - 1), _MAX_RETRY_DELAY_SECONDS
        )
        await self._clock.sleep(delay * (0.5 + self._jitter()))


class _UnansweredWrite:
    """Tracks a write of the head row whose outcome is unknown.

    The write may have taken effect, may still do so or may never do so.
    """

    def __init__(self) -> None:
        self._expected: int | None = None

    @property
    def outcome_unknown(self) -> bool:
        """Whether the outcome of an earlier write is unknown."""
        return self._expected is not None

    def record(self, expected: int) -> None:
        """Record a write that expected a version and got no answer."""
        self._expected = expected

    def on_head_read(self, head: Head) -> None:
        """Update the state from a read of the head row.

        If the row has a higher version than the write expected, the outcome is known.
        Either the head contains the attempt of the write, or the compare-and-set of
        the write will fail.
        """
        if self._expected is not None and head.version > self._expected:
            self._expected = None


def _encode(sections: Sections) -> dict[str, bytes]:
    return {name: encode_section(table) for name, table in sections.items()}


def _find_stale_section(change: Change, head: Head) -> str | None:
    """Return the first section of a change that is based on an outdated version.

    None if every section is based on its accepted version.
    """
    for name in change.sections:
        if change.based_on.get(name, 0) != head.section_version(name):
            return name
    return None


def _conflict_message(section: str, based_on: int, head: Head) -> str:
    ref = head.sections.get(section)
    if ref is None:
        return f"Section {section} has no version {based_on}; none was accepted yet."
    when = datetime.fromtimestamp(ref.changed_at, UTC).strftime("%Y-%m-%d %H:%M:%S UTC")
    return (
        f"Section {section} was changed by {ref.author} at {when} to version"
        f" {ref.version}; the change was made from version {based_on}."
    )


def _unknown_message(change: Change) -> str:
    return f"The store did not say whether attempt {change.attempt_id} was accepted."
