"""Peer messages about the configuration."""

from __future__ import annotations

from typing import NamedTuple


class VersionAccepted(NamedTuple):
    """Broadcast of a newly accepted version."""

    version: int


class InForce(NamedTuple):
    """Heartbeat topic with the version in force on the sender."""

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

    The other fields are empty unless it is higher than the version in the request.
    """
    content: bytes
    """Encoded head."""
    bodies: dict[str, bytes]
    """Bodies that the requesting instance lacks, by section."""
