"""Finds the parts of prompts that crash backend servers.

The load that this answers: one part crashes each backend server that begins to answer
a prompt with it, while backend servers also crash for other reasons. A crash ends all
requests on a backend server, so the parts of sound requests are seen in crashes too.

A part is blamed if it is present in `MIN_CRASHES`, and in more while many backend
servers crash without it. The parts with the most crashes come first; a part is not
blamed if the ones before it explain most of its crashes. A part that was answered is
not blamed for the crashes around that time: a crashing part is never answered.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from ._evidence import BackendId, CrashReport, Evidence

MIN_CRASHES = 3
"""Number of backend servers that must have ended on a part. Two sound requests of one
session are lost in crashes for other reasons now and then."""

MIN_CRASHES_AMONG_OTHERS = 4
"""This number, if the part was present in fewer than `MAIN_CAUSE_FRACTION` of the
crashes of that time."""
MAIN_CAUSE_FRACTION = 0.5

MIN_UNEXPLAINED = 2
MIN_UNEXPLAINED_FRACTION = 0.5
"""A part is blamed only if this number and this fraction of its crashes are not
explained by parts with more crashes."""

SOUND_SECONDS = 60.0
"""Time after an answer for which a part is not blamed. A part that was sound may crash
backend servers of a later software version."""


class BlamedParts(NamedTuple):
    """Parts that were present in the same crashes, usually one.

    Only a request with all of them is known to crash backend servers.
    """

    parts: frozenset[str]
    crashes: frozenset[BackendId]
    newest_at: float
    """Unix time of the newest report of these crashes, in seconds."""


class JoinedEvidence:
    """Crashes by part, from the reports of all instances."""

    def __init__(self, evidence: Iterable[Evidence], *, since: float) -> None:
        """Join the reports of all instances.

        Args:
            evidence: Reports of each instance.
            since: Unix time in seconds before which reports have expired.
        """
        sound_at: dict[str, float] = {}
        reports: list[CrashReport] = []
        for one in evidence:
            for part, at in one.sound:
                sound_at[part] = max(at, sound_at.get(part, at))
            reports += [report for report in one.crashes if report.at >= since]
        self.newest_at: dict[BackendId, float] = {}
        """Unix time of the newest report of each crash, in seconds."""
        self.crashed_at: dict[BackendId, float] = {}
        """Unix time of each crash, in seconds."""
        for report in reports:
            crashed = self.crashed_at.get(report.backend, report.at)
            self.crashed_at[report.backend] = min(crashed, report.at)
            newest = self.newest_at.get(report.backend, report.at)
            self.newest_at[report.backend] = max(newest, report.at)
        self.crashes: dict[str, frozenset[BackendId]] = _crashes_by_part(
            reports, self.newest_at, sound_at
        )
        """Crashes that count against each part."""


def _crashes_by_part(
    reports: list[CrashReport],
    newest_at: dict[BackendId, float],
    sound_at: dict[str, float],
) -> dict[str, frozenset[BackendId]]:
    by_part: defaultdict[str, set[BackendId]] = defaultdict(set)
    for report in reports:
        for part in report.parts:
            sound = sound_at.get(part)
            if sound is None or newest_at[report.backend] > sound + SOUND_SECONDS:
                by_part[part].add(report.backend)
    return {part: frozenset(crashes) for part, crashes in by_part.items()}


def find_blamed(joined: JoinedEvidence) -> list[BlamedParts]:
    """Return the parts to blame, those with the most crashes first."""
    by_crashes: defaultdict[frozenset[BackendId], set[str]] = defaultdict(set)
    for part, crashes in joined.crashes.items():
        if _is_cause(crashes, joined.crashed_at):
            by_crashes[crashes].add(part)
    blamed: list[BlamedParts] = []
    explained: set[BackendId] = set()
    for count in sorted({len(crashes) for crashes in by_crashes}, reverse=True):
        causes = [
            crashes
            for crashes in by_crashes
            if len(crashes) == count and _is_unexplained(crashes, explained)
        ]
        for crashes in causes:
            explained |= crashes
            newest = max(map(joined.newest_at.__getitem__, crashes))
            blamed.append(BlamedParts(frozenset(by_crashes[crashes]), crashes, newest))
    return blamed


def _is_unexplained(crashes: frozenset[BackendId], explained: set[BackendId]) -> bool:
    left = len(crashes - explained)
    return left >= max(MIN_UNEXPLAINED, MIN_UNEXPLAINED_FRACTION * len(crashes))


def _is_cause(
    crashes: frozenset[BackendId], crashed_at: dict[BackendId, float]
) -> bool:
    """Return whether a part that is present in crashes is likely to cause them.

    Args:
        crashes: Crashes with the part.
        crashed_at: Times of all crashes.
    """
    if len(crashes) < MIN_CRASHES or len(crashes) >= MIN_CRASHES_AMONG_OTHERS:
        return len(crashes) >= MIN_CRASHES
    own = [crashed_at[crash] for crash in crashes]
    meanwhile = sum(min(own) <= at <= max(own) for at in crashed_at.values())
    return len(crashes) >= MAIN_CAUSE_FRACTION * meanwhile
