"""Finds the requests and the parts of prompts that crash backend servers.

The load that this answers: one request that is repeated crashes each backend server
that begins to run it, or one part crashes each that begins to answer a prompt with it,
while backend servers also crash for other reasons. A crash ends all requests on a
backend server, so sound requests and their parts are seen in crashes too.

A request is blamed if it is present in `MIN_CRASHES`, and not only in crashes of a
request with more of them. Its crashes do not count against other parts of its prompt,
which sound requests share: a part to blame crashes backend servers in many requests.

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
from ._fingerprint import common_start, is_request_key

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
    """A request, or parts that were present in the same crashes, usually one.

    Only a request with all parts is known to crash backend servers.
    """

    parts: frozenset[str]
    """Keys of the request, if it is blamed, and of the parts."""
    crashes: frozenset[BackendId]
    newest_at: float
    """Unix time of the newest report of these crashes, in seconds."""

    @property
    def is_request(self) -> bool:
        """Return whether a request is blamed, rather than parts of prompts."""
        return any(map(is_request_key, self.parts))

    @property
    def trial_part(self) -> str | None:
        """Return the key of the one attempt with these parts.

        Returns:
            None if several parts of prompts might be the cause.
        """
        requests = sorted(filter(is_request_key, self.parts))
        if requests:
            return requests[0]
        return next(iter(self.parts)) if len(self.parts) == 1 else None


class JoinedEvidence:
    """Crashes by request and by part, from the reports of all instances."""

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
        """Crashes that count against each request and part."""
        self.has_requests = any(map(is_request_key, self.crashes))
        """Whether any crash counts against a request."""


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


class _Candidate(NamedTuple):
    """What may be to blame for some crashes."""

    crashes: frozenset[BackendId]
    keys: frozenset[str]


def find_blamed(joined: JoinedEvidence) -> list[BlamedParts]:
    """Return what to blame: requests first, then those with the most crashes."""
    by_crashes: defaultdict[frozenset[BackendId], set[str]] = defaultdict(set)
    for key, crashes in joined.crashes.items():
        if len(crashes) >= MIN_CRASHES:
            by_crashes[crashes].add(key)
    requests: list[_Candidate] = []
    parts: list[_Candidate] = []
    for crashes, keys in by_crashes.items():
        if any(map(is_request_key, keys)):
            requests += _request_candidates(crashes, keys)
        elif _is_cause(crashes, joined.crashed_at):
            parts.append(_Candidate(crashes, frozenset(keys)))
    explained: set[BackendId] = set()
    blamed = _blame_largest(requests, explained) + _blame_largest(parts, explained)
    return [
        BlamedParts(
            candidate.keys,
            candidate.crashes,
            max(map(joined.newest_at.__getitem__, candidate.crashes)),
        )
        for candidate in blamed
    ]


def _request_candidates(
    crashes: frozenset[BackendId], keys: set[str]
) -> list[_Candidate]:
    """Return the requests that were present in exactly these crashes.

    Args:
        crashes: The crashes.
        keys: Keys of all requests and parts that were present in all of them and in no
            other one. The parts belong to the request if there is one only.
    """
    requests: defaultdict[str, set[str]] = defaultdict(set)
    for key in filter(is_request_key, keys):
        requests[common_start(key)].add(key)
    if len(requests) == 1:
        return [_Candidate(crashes, frozenset(keys))]
    return [_Candidate(crashes, frozenset(own)) for own in requests.values()]


def _blame_largest(
    candidates: list[_Candidate], explained: set[BackendId]
) -> list[_Candidate]:
    """Return the candidates that no larger one explains, and add their crashes.

    Args:
        candidates: Requests, or groups of parts.
        explained: Crashes that are explained already; extended in place.
    """
    blamed: list[_Candidate] = []
    for count in sorted({len(c.crashes) for c in candidates}, reverse=True):
        causes = [
            candidate
            for candidate in candidates
            if len(candidate.crashes) == count
            and _is_unexplained(candidate.crashes, explained)
        ]
        for candidate in causes:
            explained |= candidate.crashes
        blamed += causes
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
