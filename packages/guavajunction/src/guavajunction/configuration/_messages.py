"""Peer messages about the configuration."""

from __future__ import annotations

from typing import NamedTuple


class VersionAccepted(NamedTuple):
    """Broadcast: a version was accepted."""

    version: int


class InForce(NamedTuple):
    """Topic of heartbeats: the version in force on the sender."""

    version: int


class HeadQuestion(NamedTuple):
    """Request for the configuration of a peer, when the store cannot be read."""

    version: int
    """Version in force on the requesting instance."""
    digests: dict[str, str]
    """SHA-256 digest of the bodies of the requesting instance, by section."""


class HeadAnswer(NamedTuple):
    """Response to a `HeadQuestion`: the configuration in force on the peer."""

    version: int
    """Version in force on the peer.

    The other fields are empty if it is not higher than the requested one.
    """
    content: bytes
    """Encoded head."""
    bodies: dict[str, bytes]
    """Bodies that the requesting instance lacks, by section."""
