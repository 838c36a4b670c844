"""How the end of an HTTP body is marked."""

from __future__ import annotations

from enum import StrEnum


class Framing(StrEnum):
    """The mark by which a receiver knows that a body is complete."""

    LENGTH = "length"
    """The announced number of bytes has arrived."""
    CHUNKS = "chunks"
    """The last chunk has arrived."""
    CONNECTION = "connection"
    """The sender has closed the connection, which it also does when it fails."""
