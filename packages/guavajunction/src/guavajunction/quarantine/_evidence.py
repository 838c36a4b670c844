"""What instances have seen of crashed backend servers, as they tell each other."""

from __future__ import annotations

from typing import NamedTuple


class BackendId(NamedTuple):
    """One start of a backend server."""

    name: str
    incarnation: int
    """Start time in Unix milliseconds."""


class CrashReport(NamedTuple):
    """What a backend server was working on when it ended."""

    backend: BackendId
    at: float
    """Unix time of the crash in seconds, or a later one if the report was renewed."""
    parts: tuple[str, ...]
    """Keys of the requests, and of the parts of their prompts."""


class SoundPart(NamedTuple):
    """A request or part of a prompt that was answered without a crash."""

    part: str
    at: float
    """Unix time of the answer in seconds."""


class Evidence(NamedTuple):
    """All that one instance reports."""

    crashes: tuple[CrashReport, ...] = ()
    sound: tuple[SoundPart, ...] = ()
