"""Messages between instances about the configuration."""

from __future__ import annotations

from typing import NamedTuple


class VersionAccepted(NamedTuple):
    """Tells every peer that a version was accepted."""

    version: int


class InForce(NamedTuple):
    """Says in each heartbeat which version the sender has in force."""

    version: int


class HeadQuestion(NamedTuple):
    """Asks a peer for its configuration when the store cannot be read."""

    version: int
    """Version that the asker has in force."""
    digests: dict[str, str]
    """SHA-256 of the bodies that the asker has, by section."""


class HeadAnswer(NamedTuple):
    """The configuration that a peer has in force."""

    version: int
    """Its version; the rest is empty if the asker has it already."""
    content: bytes
    """Encoded head."""
    bodies: dict[str, bytes]
    """Bodies that the asker lacks, by section."""
