"""Submits operators' changes to the store and distributes accepted versions."""

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

from ._bodies import body_digest, encode_section
from ._events import ACCEPTANCE_UNKNOWN, ACCEPTED, NOT_ACCEPTED
from ._head import Head
from ._manager import ConfigurationManager
from ._protocols import ChangeAnnouncer
from ._store import Accepted, Change, ConfigurationStore
from ._tables import Section, Sections

EDIT_ATTEMPTS = 5
"""Maximum number of attempts for an edit that conflicts with concurrent changes."""

PENDING_KIND = "configuration"

_ROLLBACK_SECTIONS = ("customers", "models", "backends", "services", "objectives")
_MAX_SEARCHED_VERSIONS = 32
"""Number of past versions searched for the version on which a change is based."""


class ConfigurationEditor:
    """Announces a change, submits it to the store and broadcasts the new version."""

    def __init__(
        self,
        store: ConfigurationStore,
        manager: ConfigurationManager,
        announcer: ChangeAnnouncer,
    ) -> None:
        self._store = store
        self._manager = manager
        self._announcer = announcer

    async def apply(self, change: Change) -> Accepted:
        """Submit the sections that the author of a change has edited.

        Sections whose content equals the accepted content, or the content on which
        they are based, are not submitted.

        Returns:
            The version that the change created, or the accepted version if no section
            was edited.

        Raises:
            SectionConflict: Another author changed one of the sections meanwhile.
            DocumentInvalid: The change is invalid together with the other sections.
            AcceptanceUnknown: The change may or may not have been accepted.
            GuavaError: The change was not accepted, because a majority of members or
                the store failed.
        """
        head = await self._store.read_head()
        version = head.accepted_version(change.attempt_id)
        if version is not None:
            return Accepted(version, head)
        edited = await self._select_edited(change, head)
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
        """Change entries of a section and retry on conflicts with other changes.

        Args:
            section: Name of the section.
            edit: Modifies a copy of the section; called again after a conflict.
            author: Name of the operator who makes the change.
            attempt_id: Unique id of the attempt.

        Raises:
            GuavaError: Any error of `apply` or of the edit function.
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
        """Accept the sections of an earlier version as a new version.

        The keys are not rolled back: a withdrawn key must not become valid again.

        Raises:
            EntryUnknown: The version was never accepted.
            GuavaError: Any error of `apply`.
        """
        head = await self._store.read_head()
        if version == head.version:
            return Accepted(head.version, head)
        if version > head.version:
            raise EntryUnknown(f"Version {version} was never accepted.")
        past = await self._store.read_past_head(version)
        sections = await self._store.load_sections(past)
        restored = {name: sections[name] for name in _ROLLBACK_SECTIONS}
        based_on = {name: head.section_version(name) for name in restored}
        return await self.apply(Change(restored, based_on, author, attempt_id))

    async def _accept(self, change: Change) -> Accepted:
        try:
            # The bodies are written first, so that the announcement is open only while
            # the head row is written.
            await self._store.write_bodies(change.sections)
            async with self._announcer.pending(PENDING_KIND) as announcement:
                accepted = await self._store.accept(change, check=announcement.check)
        except (AcceptanceUnknown, PendingExpired) as exc:
            ACCEPTANCE_UNKNOWN.log(attempt=change.attempt_id, author=change.author)
            self._manager.request_refresh()
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
        await self._manager.broadcast_and_install(accepted.head)
        return accepted

    async def _select_edited(self, change: Change, head: Head) -> Sections:
        """Return the sections that the author has edited.

        A section is skipped if it equals the accepted section or the version on which
        it is based.
        """
        edited: Sections = {}
        for name, section in change.sections.items():
            digest = body_digest(encode_section(section))
            ref = head.sections.get(name)
            if ref is not None and ref.digest == digest:
                continue
            base = await self._base_digest(head, name, change.based_on.get(name, 0))
            if base != digest:
                edited[name] = section
        return edited

    async def _base_digest(self, head: Head, section: str, version: int) -> str | None:
        """Return the digest of an earlier version of a section.

        Only the latest `_MAX_SEARCHED_VERSIONS` versions are searched; None if the
        section version is not among them.
        """
        if not 0 < version < head.section_version(section):
            return None
        oldest = max(0, head.version - 1 - _MAX_SEARCHED_VERSIONS)
        for earlier in range(head.version - 1, oldest, -1):
            past = await self._store.read_past_head(earlier)
            if past.section_version(section) == version:
                return past.sections[section].digest
        return None


def _log_refusal(change: Change, exc: GuavaError) -> None:
    NOT_ACCEPTED.log(
        attempt=change.attempt_id, author=change.author, failure=type(exc).__name__
    )
