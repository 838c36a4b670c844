"""Tells which requests must not reach backend servers because they would crash them."""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock

from . import _events as events
from ._blame import MIN_CRASHES, SOUND_SECONDS, BlamedParts, JoinedEvidence, find_blamed
from ._evidence import BackendId, CrashReport, Evidence, SoundPart
from ._fingerprint import RequestFingerprint
from ._part_key import part_keys


class _Suspicion:
    """A backend server whose connections ended, with what it had begun."""

    def __init__(self, lost_at: float, unix_at: float) -> None:
        self.lost_at = lost_at
        self.unix_at = unix_at
        self.ages: dict[str, float] = {}
        """Seconds for which the answer to a request with each part had been arriving,
        the least of all requests."""
        self.reported = False
        """Whether all parts have been reported."""

    def add(self, parts: Iterable[str], age: float, limit: int) -> None:
        """Add the parts of a lost request; keep those of the newest answers.

        Args:
            parts: Keys of the parts.
            age: Seconds for which its answer had been arriving.
            limit: Number of parts to keep.
        """
        for part in parts:
            self.ages[part] = min(age, self.ages.get(part, age))
        if len(self.ages) > limit:
            by_age = sorted(self.ages.items(), key=lambda item: item[1])
            self.ages = dict(by_age[:limit])


class _UnmarkedEnd(NamedTuple):
    """A request whose answer ended with its connection, in order and without a mark.

    The system of a crashed backend server closes connections like that, too.
    """

    at: float
    shared_parts: tuple[str, ...]
    fingerprint: RequestFingerprint | None
    answer_seconds: float | None
    chunks: int


async def _claim_nothing(_: str) -> bool:
    return False


class PartQuarantine:
    """One instance's view of what crashes backend servers.

    That is a part of a prompt, or a request with all its repeats, which counts as one
    more part that only its repeats share.

    An instance sees only its own requests, so it reports what it lost in each crash to
    all instances, and joins their reports. All instances blame the same parts.

    Blamed parts stay blamed: a crash costs all requests on a backend server, so there
    are no further attempts. Parts that few crashes speak against are given one, by one
    instance of the fleet, in case they were only present.
    """

    CONFIRM_SECONDS = 0.3
    """Time without an answer after which a backend server whose connection ended counts
    as crashed."""
    RETRACT_SECONDS = 2.0
    """Time after the loss of a connection in which an answer shows that the backend
    server has not crashed. A later one may be of a restart under the same name, whose
    record has not arrived yet."""
    SOUND_ANSWER_SECONDS = 1.0
    """An answer that had been arriving for this long did not crash its backend server;
    a crash follows within some tenths of a second after the beginning."""
    SOUND_ANSWER_CHUNKS = 4
    """Number of chunks of such an answer. A suspended instance sees one late chunk."""
    RESTART_SECONDS = 30.0
    """Time after the loss of a connection in which a new start of its backend server
    shows that the server had ended."""
    UNMARKED_SECONDS = 3.0
    """Time between an answer without a mark at its end and another sign of a crash of
    its backend server, after which they are not of the same crash."""
    MAX_UNMARKED = 64
    """Number of such answers of one backend server that are remembered."""
    KEEP_SECONDS = 3600.0
    """How long a report is kept after the crash, or after a request with a blamed part
    was last refused."""
    RENEW_SECONDS = 600.0
    """Age at which the reports of a blamed part are renewed while it is requested."""
    TRIAL_SECONDS = 20.0
    """Time from the blame until the one attempt."""
    MAX_CRASHES_FOR_TRIAL = 4
    """Number of crashes up to which there is an attempt."""
    MAX_SOUND_PARTS = 20_000
    """Number of parts that are known as sound on this instance."""
    MAX_REPORTED_SOUND = 256
    """Number of sound parts that this instance reports."""
    MAX_CRASHES = 48
    """Number of crashes that this instance reports."""
    MAX_PARTS_PER_CRASH = 160
    """Number of parts in one report, at least those of one request."""
    MAX_SUSPECTED_PARTS = 1024
    """Number of parts of lost requests that are remembered for one crash."""
    MAX_REPORTED_PARTS = 1500
    """Number of parts in all reports of this instance, which are one row of the store.
    A key has 25 bytes at most, and a row 64 KiB."""
    MAX_LOST_REQUESTS = 1024
    """Number of keys of requests lost by this instance whose answers are noticed."""
    MAX_SUSPICIONS = 1024
    """Number of backend servers whose connections ended that are remembered."""
    MAX_SOURCES = 1024
    """Number of instances whose reports are kept; several times the largest fleet."""

    def __init__(
        self, clock: Clock, unix_time: Callable[[], float] = time.time
    ) -> None:
        self._clock = clock
        self._unix_time = unix_time
        self._sound: dict[str, float] = {}
        self._lost_requests: dict[str, None] = {}
        self._suspicions: dict[BackendId, _Suspicion] = {}
        self._doubted: dict[BackendId, _Suspicion] = {}
        """Suspicions that were taken back because this instance was cut."""
        self._unmarked: dict[BackendId, deque[_UnmarkedEnd]] = {}
        self._own_crashes: dict[BackendId, CrashReport] = {}
        self._own_sound: dict[str, float] = {}
        self._sources: dict[str, Evidence] = {}
        self._joined = JoinedEvidence((), since=0.0)
        self._stale = False
        self._blamed: list[BlamedParts] = []
        self._blamed_since: dict[frozenset[str], float] = {}
        self._tried: set[str] = set()
        self._changed = False
        self.on_change: Callable[[], None] = lambda: None
        """Called when `settle` has something to do."""
        self.claim_trial: Callable[[str], Awaitable[bool]] = _claim_nothing
        """Claims the one attempt with a part for this instance, of the whole fleet."""
        self.is_on_hold: Callable[[], bool] = lambda: False
        """Returns whether lost connections may be due to this instance's own paths, so
        that no crash is confirmed."""
        self.on_blamed: Callable[[], None] = lambda: None
        """Called when parts are newly blamed."""
        self.parts_left_out = 0
        """Number of parts that reports of crashes had no room for."""

    def own(self) -> Evidence:
        """Return the reports of this instance."""
        return Evidence(
            tuple(self._own_crashes.values()),
            tuple(SoundPart(part, at) for part, at in self._own_sound.items()),
        )

    def blamed(self) -> list[BlamedParts]:
        """Return the blamed parts."""
        self._join()
        return list(self._blamed)

    def blamed_in(
        self, part_ids: Iterable[str], fingerprint: RequestFingerprint | None = None
    ) -> BlamedParts | None:
        """Return what a request is blamed for, or None if it may be sent.

        Args:
            part_ids: Ids of all parts of its prompt.
            fingerprint: Identifies its repeats.
        """
        self._join()
        if not self._blamed:
            return None
        keys = set(part_keys(part_ids))
        if fingerprint is not None and self._joined.has_requests:
            keys.update(fingerprint.keys)
        for blamed in self._blamed:
            # What was answered meanwhile is not the cause; the rest is.
            parts = {part for part in blamed.parts if not self._is_sound(part)}
            if parts and parts <= keys:
                self._renew(blamed)
                return blamed
        return None

    async def may_try(self, blamed: BlamedParts) -> bool:
        """Return whether this request is the one attempt with blamed parts."""
        since = self._blamed_since.get(blamed.parts, self._clock.monotonic())
        part = blamed.trial_part
        if (
            part is None
            or len(blamed.crashes) > self.MAX_CRASHES_FOR_TRIAL
            or self._clock.monotonic() - since < self.TRIAL_SECONDS
        ):
            return False
        if part in self._tried:
            return False
        self._tried.add(part)
        claimed = await self.claim_trial(part)
        events.TRIAL.log(part=part, claimed=claimed)
        return claimed

    def note_answered(
        self,
        shared_parts: Iterable[str],
        fingerprint: RequestFingerprint | None = None,
    ) -> None:
        """Record that a request was answered, so it crashes no backend server.

        Args:
            shared_parts: Ids of the parts of its prompt, without the last one.
            fingerprint: Identifies its repeats.
        """
        self._join()
        now = self._clock.monotonic()
        keys = list(part_keys(shared_parts))
        if fingerprint is not None:
            keys += self._suspected_keys(fingerprint)
        for part in keys:
            self._sound.pop(part, None)
            self._sound[part] = now
            if self._counts_against(part):
                self._report_sound(part)
        drop_oldest(self._sound, self.MAX_SOUND_PARTS)

    def note_lost(
        self,
        backend: BackendId,
        shared_parts: Iterable[str],
        fingerprint: RequestFingerprint | None = None,
        *,
        answer_seconds: float | None,
        chunks: int,
    ) -> None:
        """Record that the connection of a request ended before its answer.

        Args:
            backend: Where the request was.
            shared_parts: Ids of the parts of its prompt, without the last one.
            fingerprint: Identifies its repeats.
            answer_seconds: Time for which its answer had been arriving, in seconds;
                None if it had not begun.
            chunks: Number of chunks that had arrived.
        """
        long_enough = (
            answer_seconds is not None and answer_seconds >= self.SOUND_ANSWER_SECONDS
        )
        if long_enough and chunks >= self.SOUND_ANSWER_CHUNKS:
            self.note_answered(shared_parts, fingerprint)
            return
        keys = list(part_keys(shared_parts))
        if fingerprint is not None:
            keys = [*fingerprint.keys, *keys]
            self._lost_requests |= dict.fromkeys(fingerprint.keys)
            drop_oldest(self._lost_requests, self.MAX_LOST_REQUESTS)
        parts = [part for part in keys if not self._is_sound(part)]
        if not parts:
            return
        self._count_unmarked_as_lost(backend)
        suspicion = self._suspicions.get(backend)
        if suspicion is None:
            suspicion = _Suspicion(self._clock.monotonic(), self._unix_time())
            self._suspicions[backend] = suspicion
            drop_oldest(self._suspicions, self.MAX_SUSPICIONS)
        suspicion.add(parts, answer_seconds or 0.0, self.MAX_SUSPECTED_PARTS)
        suspicion.reported = False
        self.on_change()

    def note_unmarked_end(
        self,
        backend: BackendId,
        shared_parts: Iterable[str],
        fingerprint: RequestFingerprint | None = None,
        *,
        answer_seconds: float | None,
        chunks: int,
    ) -> None:
        """Record an answer that ended in order, with its connection as the only mark.

        It was whole unless its backend server crashed. By itself it is no sign of that:
        backend servers may answer all requests like this.

        Args:
            backend: Where the request was.
            shared_parts: Ids of the parts of its prompt, without the last one.
            fingerprint: Identifies its repeats.
            answer_seconds: Time for which its answer had been arriving, in seconds.
            chunks: Number of chunks that had arrived.
        """
        now = self._clock.monotonic()
        end = _UnmarkedEnd(
            now, tuple(shared_parts), fingerprint, answer_seconds, chunks
        )
        suspicion = self._suspicions.get(backend)
        if suspicion and now - suspicion.lost_at <= self.UNMARKED_SECONDS:
            self._note_lost(backend, end)
            return
        ends = self._unmarked.pop(backend, None) or deque(maxlen=self.MAX_UNMARKED)
        ends.append(end)
        self._unmarked[backend] = ends
        drop_oldest(self._unmarked, self.MAX_SUSPICIONS)

    def note_refused(self, backend: BackendId) -> None:
        """Record that a backend server refuses connections: it may have crashed."""
        self._count_unmarked_as_lost(backend)

    def _count_unmarked_as_lost(self, backend: BackendId) -> None:
        """Count recent answers without a mark as lost; there is a sign of a crash."""
        since = self._clock.monotonic() - self.UNMARKED_SECONDS
        for end in self._unmarked.pop(backend, ()):
            if end.at >= since:
                self._note_lost(backend, end)

    def _note_lost(self, backend: BackendId, end: _UnmarkedEnd) -> None:
        self.note_lost(
            backend,
            end.shared_parts,
            end.fingerprint,
            answer_seconds=end.answer_seconds,
            chunks=end.chunks,
        )

    def _note_sound_ends(self, backend: BackendId) -> None:
        """Count answers as whole whose backend server still answers.

        As for the loss of a connection, only answers that follow soon show this.
        """
        ends = self._unmarked.get(backend)
        now = self._clock.monotonic()
        while ends and now - ends[0].at >= self.CONFIRM_SECONDS:
            end = ends.popleft()
            if now - end.at <= self.RETRACT_SECONDS:
                self.note_answered(end.shared_parts, end.fingerprint)
        if ends is not None and not ends:
            del self._unmarked[backend]

    def note_alive(self, backend: BackendId) -> None:
        """Record that a backend server sends answers, so it has not crashed."""
        self._note_sound_ends(backend)
        self._doubted.pop(backend, None)
        suspicion = self._suspicions.get(backend)
        if suspicion is None:
            return
        # Bytes that were sent before a crash may be read shortly after it.
        elapsed = self._clock.monotonic() - suspicion.lost_at
        if self.CONFIRM_SECONDS <= elapsed <= self.RETRACT_SECONDS:
            self._retract(backend)

    def _retract(self, backend: BackendId) -> None:
        del self._suspicions[backend]
        if self._own_crashes.pop(backend, None) is not None:
            events.CRASH_RETRACTED.log(
                backend=backend.name, incarnation=backend.incarnation
            )
            self._change()

    def settle(self) -> Evidence | None:
        """Report the crashes that are confirmed by now.

        Returns:
            This instance's reports if they have changed since the last call.
        """
        if self.is_on_hold():
            return None
        confirmed_before = self._clock.monotonic() - self.CONFIRM_SECONDS
        expired_before = self._clock.monotonic() - self.KEEP_SECONDS
        for backend, suspicion in list(self._suspicions.items()):
            if suspicion.lost_at < expired_before:
                del self._suspicions[backend]
            elif not suspicion.reported and suspicion.lost_at <= confirmed_before:
                suspicion.reported = True
                self._report_crash(backend, suspicion)
        if not self._changed:
            return None
        self._changed = False
        self._stale = True
        self._join()
        return self.own()

    def forget_since(self, seconds: float) -> None:
        """Take back the crashes of the last seconds; this instance's paths were cut.

        It also seems to be cut while all its backend servers are down. `note_start`
        tells which of them had ended.
        """
        since = self._clock.monotonic() - seconds
        for backend, suspicion in list(self._suspicions.items()):
            if suspicion.lost_at >= since:
                self._retract(backend)
                self._doubted[backend] = suspicion
        drop_oldest(self._doubted, self.MAX_SUSPICIONS)

    def note_start(self, backend: BackendId) -> None:
        """Record a start of a backend server: its earlier starts have ended.

        Args:
            backend: The newest start that is known, also if it was known before.
        """
        now = self._clock.monotonic()
        for doubted, suspicion in list(self._doubted.items()):
            if now - suspicion.lost_at > self.RESTART_SECONDS:
                del self._doubted[doubted]
            elif (
                doubted.name == backend.name
                and doubted.incarnation < backend.incarnation
            ):
                del self._doubted[doubted]
                self._suspect_again(doubted, suspicion)

    def _suspect_again(self, backend: BackendId, suspicion: _Suspicion) -> None:
        later = self._suspicions.get(backend)
        if later is not None:
            for part, age in later.ages.items():
                suspicion.add((part,), age, self.MAX_SUSPECTED_PARTS)
        suspicion.reported = False
        self._suspicions[backend] = suspicion
        drop_oldest(self._suspicions, self.MAX_SUSPICIONS)
        self.on_change()

    @property
    def unsettled(self) -> bool:
        """Return whether crashes wait to be confirmed."""
        return any(not s.reported for s in self._suspicions.values())

    def merge(self, source: str, evidence: Evidence) -> None:
        """Replace the reports of another instance.

        Args:
            source: Name and incarnation of the instance.
            evidence: All its reports.
        """
        if self._sources.get(source) == evidence:
            return
        self._sources.pop(source, None)
        self._sources[source] = evidence
        drop_oldest(self._sources, self.MAX_SOURCES)
        self._stale = True

    def is_expired(self, evidence: Evidence) -> bool:
        """Return whether no report of an instance is of use any more."""
        since = self._unix_time() - self.KEEP_SECONDS
        return all(item.at < since for item in (*evidence.crashes, *evidence.sound))

    def adopt_missing(self, listed: Collection[str]) -> None:
        """Report the crashes of blamed parts whose own reports have been lost.

        Args:
            listed: Sources whose reports are in the store.
        """
        self._join()
        needed = {crash for blamed in self._blamed for crash in blamed.crashes}
        for source, evidence in self._sources.items():
            if source not in listed:
                for report in evidence.crashes:
                    if report.backend in needed:
                        self._add_own(report)

    def _suspected_keys(self, fingerprint: RequestFingerprint) -> list[str]:
        """Return the keys of a request that was lost before, here or elsewhere."""
        if not self._lost_requests and not self._joined.has_requests:
            return []
        return [
            key
            for key in fingerprint.keys
            if key in self._lost_requests or key in self._joined.crashes
        ]

    def _is_sound(self, part: str) -> bool:
        answered_at = self._sound.get(part)
        return (
            answered_at is not None
            and self._clock.monotonic() - answered_at <= SOUND_SECONDS
        )

    def _counts_against(self, part: str) -> bool:
        """Return whether a part is, or might soon be, blamed."""
        return len(self._joined.crashes.get(part, ())) >= MIN_CRASHES - 1

    def _report_sound(self, part: str) -> None:
        now = self._unix_time()
        if self._own_sound.get(part, 0.0) > now - SOUND_SECONDS / 2:
            return
        events.PART_SOUND.log(part=part)
        self._own_sound.pop(part, None)
        self._own_sound[part] = now
        drop_oldest(self._own_sound, self.MAX_REPORTED_SOUND)
        self._change()

    def _report_crash(self, backend: BackendId, suspicion: _Suspicion) -> None:
        parts = self._most_suspect(backend, suspicion.ages)
        report = CrashReport(backend, suspicion.unix_at, parts)
        if self._add_own(report):
            events.CRASH_REPORTED.log(
                backend=backend.name,
                incarnation=backend.incarnation,
                prompt_parts=report.parts[:16],
                part_count=len(report.parts),
            )

    def _most_suspect(
        self, backend: BackendId, ages: Mapping[str, float]
    ) -> tuple[str, ...]:
        """Return the parts to report of a crash.

        A crash follows soon after the beginning of the answer that causes it. So parts
        that other crashes speak against come first, then those of the newest answers.

        Args:
            backend: The backend server that crashed.
            ages: Seconds for which the answers with each part had been arriving.
        """

        def rank(part: str) -> tuple[int, float]:
            others = self._joined.crashes.get(part, frozenset()) - {backend}
            return -len(others), ages[part]

        if len(ages) > self.MAX_PARTS_PER_CRASH:
            left_out = len(ages) - self.MAX_PARTS_PER_CRASH
            events.PARTS_LEFT_OUT.log(backend=backend.name, part_count=left_out)
            self.parts_left_out += left_out
        ranked = sorted(ages, key=rank)
        return tuple(ranked[: self.MAX_PARTS_PER_CRASH])

    def _add_own(self, report: CrashReport) -> bool:
        """Add a report, or the parts that are new in it; return whether any are."""
        known = self._own_crashes.get(report.backend)
        if known is not None:
            parts = dict.fromkeys((*report.parts, *known.parts))
            kept = tuple(parts)[: self.MAX_PARTS_PER_CRASH]
            if report.at <= known.at and set(kept) == set(known.parts):
                return False
            report = CrashReport(report.backend, max(known.at, report.at), kept)
        self._own_crashes[report.backend] = report
        self._limit_own_crashes()
        self._change()
        return True

    def _limit_own_crashes(self) -> None:
        """Drop the oldest reports, those that support no blame first."""
        needed = {crash for blamed in self._blamed for crash in blamed.crashes}
        while (
            len(self._own_crashes) > self.MAX_CRASHES
            or sum(len(report.parts) for report in self._own_crashes.values())
            > self.MAX_REPORTED_PARTS
        ):
            spare = [b for b in self._own_crashes if b not in needed]
            del self._own_crashes[next(iter(spare or self._own_crashes))]

    def _renew(self, blamed: BlamedParts) -> None:
        """Keep the reports of blamed parts while requests with them still arrive."""
        now = self._unix_time()
        if now - blamed.newest_at > self.RENEW_SECONDS:
            for backend in blamed.crashes:
                self._add_own(CrashReport(backend, now, tuple(sorted(blamed.parts))))

    def _change(self) -> None:
        self._changed = True
        self.on_change()

    def _join(self) -> None:
        """Find the blamed parts in the reports of all instances, if any are new."""
        if not self._stale:
            return
        self._stale = False
        since = self._unix_time() - self.KEEP_SECONDS
        evidence = [self.own(), *self._sources.values()]
        self._joined = JoinedEvidence(evidence, since=since)
        before = {blamed.parts for blamed in self._blamed}
        self._blamed = find_blamed(self._joined)
        after = {blamed.parts for blamed in self._blamed}
        now = self._clock.monotonic()
        self._blamed_since = {p: self._blamed_since.get(p, now) for p in after}
        self._tried &= {part for parts in after for part in parts}
        for blamed in self._blamed:
            if blamed.parts not in before:
                events.BLAMED.log(
                    parts=sorted(blamed.parts),
                    crashes=sorted(backend.name for backend in blamed.crashes),
                )
        for parts in before - after:
            events.CLEARED.log(parts=sorted(parts))
        for part in list(self._joined.crashes):
            if self._counts_against(part) and self._is_sound(part):
                self._report_sound(part)
        if after - before:
            self.on_blamed()
