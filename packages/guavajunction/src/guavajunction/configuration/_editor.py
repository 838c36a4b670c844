"""Gets operators' changes accepted and put in force."""

from __future__ import annotations

import copy
from collections.abc import Callable

from guavajunction.errors import (
    AcceptanceUnknown,
    EntryUnknown,
    GuavaError,
    PendingExpired,
    SectionConflict,
)

from ._bodies import digest_of, encode_section
from ._events import ACCEPTANCE_UNKNOWN, ACCEPTED, NOT_ACCEPTED
from ._head import Head
from ._manager import ConfigurationKeeper
from ._protocols import PendingNotes
from ._store import Accepted, Change, ConfigurationStore
from ._tables import Section, Sections

EDIT_ATTEMPTS = 5
"""Times that a small edit is repeated on a section that others change too."""

PENDING_KIND = "configuration"

_ROLLED_BACK = ("customers", "models", "backends", "services", "objectives")
_SEARCHED_VERSIONS = 32


class ConfigurationEditor:
    """Warns the members, gets a change accepted and tells everybody."""

    def __init__(
        self,
        store: ConfigurationStore,
        keeper: ConfigurationKeeper,
        notes: PendingNotes,
    ) -> None:
        self._store = store
        self._keeper = keeper
        self._notes = notes

    async def apply(self, change: Change) -> Accepted:
        """Get those sections of a change accepted that its author edited.

        Returns:
            The version that the change made, or the accepted version if the change
            holds nothing new.

        Raises:
            SectionConflict: Somebody else changed one of the sections meanwhile.
            DocumentInvalid: The change does not fit the other sections.
            AcceptanceUnknown: It may or may not have been accepted.
            GuavaError: It is not accepted, as members or the store failed.
        """
        head = await self._store.read_head()
        version = head.accepted_version(change.attempt_id)
        if version is not None:
            return Accepted(version, head)
        edited = await self._edited(change, head)
        if not edited:
            return Accepted(head.version, head)
        return await self._accept(change._replace(sections=edited))

    async def edit(
        self,
        section: str,
        edit: Callable[[Section], None],
        author: str,
        attempt_id: str,
    ) -> Accepted:
        """Change entries of a section, whatever others change in it meanwhile.

        Args:
            section: Name of the section.
            edit: Changes a copy of the section; called again after a conflict.
            author: Who makes the change.
            attempt_id: Identity of the attempt.

        Raises:
            GuavaError: As by `apply` and by the edit itself.
        """
        for _ in range(EDIT_ATTEMPTS):
            head = await self._store.read_head()
            version = head.accepted_version(attempt_id)
            if version is not None:
                return Accepted(version, head)
            sections = await self._store.load_sections(head)
            content = copy.deepcopy(sections[section])
            edit(content)
            based_on = {section: head.section_version(section)}
            change = Change({section: content}, based_on, author, attempt_id)
            try:
                return await self._accept(change)
            except SectionConflict as exc:
                conflict = exc
        raise conflict

    async def roll_back(self, version: int, author: str, attempt_id: str) -> Accepted:
        """Accept the sections of an earlier version again, as a new version.

        Keys stay as they are: a withdrawn key must not come back.

        Raises:
            EntryUnknown: There is no such earlier version.
            GuavaError: As by `apply`.
        """
        head = await self._store.read_head()
        if version == head.version:
            return Accepted(head.version, head)
        if version > head.version:
            raise EntryUnknown(f"Version {version} was never accepted.")
        past = await self._store.past(version)
        sections = await self._store.load_sections(past)
        wanted = {name: sections[name] for name in _ROLLED_BACK}
        based_on = {name: head.section_version(name) for name in wanted}
        return await self.apply(Change(wanted, based_on, author, attempt_id))

    async def _accept(self, change: Change) -> Accepted:
        try:
            # Members are warned for no longer than the write of the row takes.
            await self._store.write_bodies(change.sections)
            async with self._notes.pending(PENDING_KIND) as note:
                accepted = await self._store.accept(change, check=note.check)
        except (AcceptanceUnknown, PendingExpired) as exc:
            ACCEPTANCE_UNKNOWN.log(attempt=change.attempt_id, author=change.author)
            self._keeper.wake()
            raise AcceptanceUnknown(exc.message) from exc
        except GuavaError as exc:
            _log_refusal(change, exc)
            raise
        ACCEPTED.log(
            version=accepted.version,
            attempt=change.attempt_id,
            author=change.author,
            changed=list(change.sections),
        )
        await self._keeper.adopt(accepted.head)
        return accepted

    async def _edited(self, change: Change, head: Head) -> Sections:
        """Return the sections that differ from those that the author started from."""
        edited: Sections = {}
        for name, section in change.sections.items():
            digest = digest_of(encode_section(section))
            ref = head.sections.get(name)
            if ref is not None and ref.digest == digest:
                continue
            base = await self._base_digest(head, name, change.based_on.get(name, 0))
            if base != digest:
                edited[name] = section
        return edited

    async def _base_digest(self, head: Head, section: str, version: int) -> str | None:
        """Return the digest of an earlier version of a section, if it is recent."""
        if not 0 < version < head.section_version(section):
            return None
        oldest = max(0, head.version - 1 - _SEARCHED_VERSIONS)
        for earlier in range(head.version - 1, oldest, -1):
            past = await self._store.past(earlier)
            if past.section_version(section) == version:
                return past.sections[section].digest
        return None


def _log_refusal(change: Change, exc: GuavaError) -> None:
    NOT_ACCEPTED.log(
        attempt=change.attempt_id, author=change.author, failure=type(exc).__name__
    )
