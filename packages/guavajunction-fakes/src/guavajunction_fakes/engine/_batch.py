"""Continuous batching, emulated by time."""

from __future__ import annotations

import asyncio
import itertools
import time

from ._config import EngineConfig
from ._memory import Artifact
from ._prefix_cache import PrefixCache


class Job:
    """One request on its way through the batch."""

    _numbers = itertools.count()

    def __init__(
        self,
        request_id: str,
        artifact: Artifact,
        prefix: str,
        tokens: list[str],
        *,
        prompt_tokens: int,
        priority: int,
        first: int = 0,
    ) -> None:
        self.request_id = request_id
        self.artifact = artifact
        self.prefix = prefix
        self.tokens = tokens
        """The whole answer."""
        self.prompt_tokens = prompt_tokens
        self.priority = priority
        """0 is the most urgent."""
        self.made = first
        """Tokens generated so far, those before a resumption included."""
        self.prefill_left: float = 0.0
        self.prefilled = False
        self.out: asyncio.Queue[str | None] = asyncio.Queue()
        """Tokens as they are made; None when the answer has ended."""
        self.cancelled = False
        self.number = next(self._numbers)

    @property
    def rank(self) -> tuple[int, int]:
        """Order of admission: urgency, then arrival."""
        return self.priority, self.number

    @property
    def kv_tokens(self) -> int:
        """Tokens that it keeps in KV cache."""
        return self.prompt_tokens + self.made

    @property
    def most_kv_tokens(self) -> int:
        """Tokens that it will keep at its end."""
        return self.prompt_tokens + len(self.tokens)


class Batch:
    """Runs jobs in steps; a step's time grows with the number of jobs in it."""

    def __init__(self, cfg: EngineConfig, cache: PrefixCache) -> None:
        self._cfg = cfg
        self._cache = cache
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.preemptions = 0
        self.tokens_made = 0
        self.busy_seconds = 0.0
        self._wake = asyncio.Event()

    @property
    def kv_used_mib(self) -> float:
        """Memory of running jobs and cached prefixes."""
        tokens = sum(job.kv_tokens for job in self.running)
        return tokens * self._cfg.kv_mib_per_token + self._cache.mib

    @property
    def cache_room_mib(self) -> float:
        """Memory that running jobs leave to the prefix cache."""
        tokens = sum(job.most_kv_tokens for job in self.running)
        return self._cfg.kv_reserve_mib - tokens * self._cfg.kv_mib_per_token

    def submit(self, job: Job) -> None:
        """Queue a job."""
        job.artifact.acquire()
        self.waiting.append(job)
        self._wake.set()

    def cancel(self, job: Job) -> None:
        """Take a job out and end its answer; harmless when it has ended."""
        if job.cancelled or not self._is_here(job):
            return
        job.cancelled = True
        self._finish(job)

    async def run(self) -> None:
        """Run steps as long as there are jobs, forever."""
        while True:
            if not self.waiting and not self.running:
                self._wake.clear()
                await self._wake.wait()
            self._admit()
            began = time.monotonic()
            await asyncio.sleep(self._plan_step())
            self.busy_seconds += time.monotonic() - began
            self._emit()

    def _is_here(self, job: Job) -> bool:
        return job in self.running or job in self.waiting

    def _admit(self) -> None:
        self.waiting.sort(key=lambda job: job.rank)
        while self.waiting and self._make_room(self.waiting[0]):
            job = self.waiting.pop(0)
            self._begin(job)

    def _make_room(self, job: Job) -> bool:
        while not self._has_room(job):
            if not self._cfg.preemption or not self.running:
                return not self.running
            worst = max(self.running, key=lambda other: other.rank)
            if worst.priority <= job.priority:
                return False
            self._preempt(worst)
        return True

    def _has_room(self, job: Job) -> bool:
        need = job.most_kv_tokens * self._cfg.kv_mib_per_token
        has_slot = len(self.running) < self._cfg.slots
        return has_slot and need <= self.cache_room_mib

    def _preempt(self, job: Job) -> None:
        self.preemptions += 1
        self.running.remove(job)
        self.waiting.append(job)

    def _begin(self, job: Job) -> None:
        cached = min(
            self._cache.lookup(job.artifact.name, job.prefix), job.prompt_tokens
        )
        job.prefill_left = job.kv_tokens - cached * self._cfg.cached_share
        job.prefilled = False
        self.running.append(job)
        self._cache.shrink(self.cache_room_mib)

    def _plan_step(self) -> float:
        """Spread the step's prefill and return its time in seconds."""
        budget = float(self._cfg.prefill_chunk_tokens)
        for job in sorted(self.running, key=lambda job: job.rank):
            share = min(budget, job.prefill_left)
            job.prefill_left -= share
            budget -= share
        computed = self._cfg.prefill_chunk_tokens - budget
        return (
            self._cfg.step_seconds
            + len(self.running) * self._cfg.step_seconds_per_request
            + computed / self._cfg.prefill_tokens_per_second
        )

    def _emit(self) -> None:
        for job in list(self.running):
            if job.prefill_left > 0:
                continue
            job.prefilled = True
            if job.made < len(job.tokens):
                job.out.put_nowait(job.tokens[job.made])
                job.made += 1
                self.tokens_made += 1
            if job.made >= len(job.tokens):
                self._finish(job)

    def _finish(self, job: Job) -> None:
        for jobs in (self.running, self.waiting):
            if job in jobs:
                jobs.remove(job)
        job.artifact.release()
        if job.prefilled:
            self._cache.store(
                job.artifact.name, job.prefix, job.prompt_tokens, self.cache_room_mib
            )
        job.out.put_nowait(None)
