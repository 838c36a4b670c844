"""The head row, which defines the accepted configuration, and the history rows."""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from guavajunction.errors import ObjectCorrupt
from guavajunction.storage import Row

HEAD_PARTITION = "configuration"
HEAD_SORT = "head"
HISTORY_PARTITION = "configuration-history"
RECENT_ATTEMPTS = 16
"""Number of the latest accepted attempts that the head row contains."""

_VERSION_DIGITS = 12


class SectionRef(NamedTuple):
    """Reference to the accepted body of a section."""

    version: int
    """Number of accepted changes of the section, from 1."""
    digest: str
    """SHA-256 digest of the body in hexadecimal."""
    author: str
    """Operator who changed the section last."""
    changed_at: float
    """Time of the last change, in seconds since 1970."""

    def object_name(self, section: str) -> str:
        """Return the name of the object that holds the body."""
        return f"configuration/{section}/{self.digest}"


class Attempt(NamedTuple):
    """An attempt to change the configuration that was accepted."""

    attempt_id: str
    """Unique id, chosen by the author of the change."""
    version: int
    """Version of the configuration that the attempt created."""


class _HeadContent(NamedTuple):
    """Body of the head row and of the history rows."""

    author: str
    changed_at: float
    changed: tuple[str, ...]
    sections: dict[str, SectionRef]
    attempts: tuple[Attempt, ...]


class Head(NamedTuple):
    """One accepted version of the configuration, as references to its bodies."""

    version: int
    """Version of the configuration and the head row, from 1; 0 if none is accepted."""
    author: str = ""
    """Operator who created this version."""
    changed_at: float = 0.0
    """Creation time, in seconds since 1970."""
    changed: tuple[str, ...] = ()
    """Names of the sections that this version changed."""
    sections: dict[str, SectionRef] = {}
    """Reference of each section, by name; sections never accepted are absent."""
    attempts: tuple[Attempt, ...] = ()
    """The latest accepted attempts; the last one created this version."""

    def accepted_version(self, attempt_id: str) -> int | None:
        """Return the version that a recent attempt created, None if not found."""
        for attempt in self.attempts:
            if attempt.attempt_id == attempt_id:
                return attempt.version
        return None

    def section_version(self, section: str) -> int:
        """Return the version of a section, 0 if it was never accepted."""
        ref = self.sections.get(section)
        return ref.version if ref else 0

    def successor(
        self, digests: dict[str, str], author: str, changed_at: float, attempt_id: str
    ) -> Head:
        """Return the head of the next version, with changed sections.

        Args:
            digests: SHA-256 digest of the new body of each changed section.
            author: Operator who makes the change.
            changed_at: Time of the change, in seconds since 1970.
            attempt_id: Unique id of the attempt.
        """
        version = self.version + 1
        sections = dict(self.sections)
        for name, digest in digests.items():
            ref = SectionRef(self.section_version(name) + 1, digest, author, changed_at)
            sections[name] = ref
        attempts = (*self.attempts, Attempt(attempt_id, version))[-RECENT_ATTEMPTS:]
        changed = tuple(digests)
        return Head(version, author, changed_at, changed, sections, attempts)


NO_HEAD = Head(0)
"""Head before the first document is accepted."""


def encode_head(head: Head) -> bytes:
    """Encode a head without its version, which is the version of the row."""
    return msgspec.msgpack.encode(_HeadContent(*head[1:]))


def decode_head(row: Row) -> Head:
    """Decode the head row."""
    return decode_head_content(row.version, row.body)


def decode_head_content(version: int, content: bytes) -> Head:
    """Decode a head from its version and its encoded content.

    Raises:
        ObjectCorrupt: The content cannot be decoded as a head.
    """
    try:
        return Head(version, *msgspec.msgpack.decode(content, type=_HeadContent))
    except msgspec.DecodeError as exc:
        raise ObjectCorrupt(f"head row of version {version}: {exc}") from exc


def history_sort(version: int) -> str:
    """Return the sort key of a version's history row.

    >>> history_sort(7)
    '000000000007'
    """
    return f"{version:0{_VERSION_DIGITS}}"


def encode_history(head: Head) -> bytes:
    """Encode a replaced head for its history row, with its own attempt only."""
    return encode_head(head._replace(attempts=head.attempts[-1:]))


def decode_history(row: Row) -> Head:
    """Decode a history row."""
    return decode_head_content(int(row.sort), row.body)
