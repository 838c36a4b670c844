"""Continuous batching, emulated by sleeping for the time of each step."""

from __future__ import annotations

import asyncio
import itertools
import time

from ._config import EngineConfig
from ._memory import Artifact
from ._prefix_cache import PrefixCache


class GenerationJob:
    """One request that waits for a slot of the batch or occupies one."""

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
        generated: int = 0,
    ) -> None:
        self.request_id = request_id
        self.artifact = artifact
        self.prefix = prefix
        self.tokens = tokens
        """All tokens of the answer."""
        self.prompt_tokens = prompt_tokens
        self.priority = priority
        """Scheduling priority; 0 is the highest."""
        self.generated = generated
        """Number of tokens generated so far, including those before a resumption."""
        self.prefill_tokens_left: float = 0.0
        self.prefilled = False
        self.token_queue: asyncio.Queue[str | None] = asyncio.Queue()
        """Generated tokens to send; None marks the end of the answer."""
        self.cancelled = False
        self.number = next(self._numbers)

    @property
    def admission_key(self) -> tuple[int, int]:
        """Sort key for admission: priority, then order of creation."""
        return self.priority, self.number

    @property
    def kv_tokens(self) -> int:
        """Tokens that the job has in the KV cache now."""
        return self.prompt_tokens + self.generated

    @property
    def max_kv_tokens(self) -> int:
        """Tokens that the job has in the KV cache when its answer is complete."""
        return self.prompt_tokens + len(self.tokens)


class Batch:
    """Runs jobs in steps; a step takes longer the more jobs it includes."""

    def __init__(self, cfg: EngineConfig, cache: PrefixCache) -> None:
        self._cfg = cfg
        self._cache = cache
        self.waiting: list[GenerationJob] = []
        self.running: list[GenerationJob] = []
        self.preemptions = 0
        self.tokens_generated = 0
        self.busy_seconds = 0.0
        self._job_submitted = asyncio.Event()

    @property
    def kv_used_mib(self) -> float:
        """KV cache memory used by running jobs and cached prefixes."""
        tokens = sum(job.kv_tokens for job in self.running)
        return tokens * self._cfg.kv_mib_per_token + self._cache.mib

    @property
    def cache_capacity_mib(self) -> float:
        """KV cache memory that running jobs leave to the prefix cache.

        For each running job the memory of its complete answer is reserved.
        """
        tokens = sum(job.max_kv_tokens for job in self.running)
        return self._cfg.kv_reserve_mib - tokens * self._cfg.kv_mib_per_token

    def submit(self, job: GenerationJob) -> None:
        """Queue a job for admission to the batch."""
        job.artifact.acquire()
        self.waiting.append(job)
        self._job_submitted.set()

    def cancel(self, job: GenerationJob) -> None:
        """Remove a job and end its answer; a job that has ended is ignored."""
        if job.cancelled or not self._is_active(job):
            return
        job.cancelled = True
        self._end_job(job)

    async def run(self) -> None:
        """Run steps until cancelled; waits while there are no jobs."""
        while True:
            if not self.waiting and not self.running:
                self._job_submitted.clear()
                await self._job_submitted.wait()
            self._admit()
            began = time.monotonic()
            await asyncio.sleep(self._plan_step())
            self.busy_seconds += time.monotonic() - began
            self._emit_tokens()

    def _is_active(self, job: GenerationJob) -> bool:
        return job in self.running or job in self.waiting

    def _admit(self) -> None:
        self.waiting.sort(key=lambda job: job.admission_key)
        while self.waiting and self._preempt_for(self.waiting[0]):
            job = self.waiting.pop(0)
            self._begin(job)

    def _preempt_for(self, job: GenerationJob) -> bool:
        """Preempt jobs of lower priority until a job fits into the batch.

        Returns:
            Whether to admit the job. An empty batch admits a job even if it exceeds
            the capacity.
        """
        while not self._has_capacity(job):
            if not self._cfg.preemption or not self.running:
                return not self.running
            lowest = max(self.running, key=lambda other: other.admission_key)
            if lowest.priority <= job.priority:
                return False
            self._preempt(lowest)
        return True

    def _has_capacity(self, job: GenerationJob) -> bool:
        needed_mib = job.max_kv_tokens * self._cfg.kv_mib_per_token
        has_slot = len(self.running) < self._cfg.slots
        return has_slot and needed_mib <= self.cache_capacity_mib

    def _preempt(self, job: GenerationJob) -> None:
        self.preemptions += 1
        self.running.remove(job)
        self.waiting.append(job)

    def _begin(self, job: GenerationJob) -> None:
        cached = min(
            self._cache.lookup(job.artifact.name, job.prefix), job.prompt_tokens
        )
        job.prefill_tokens_left = job.kv_tokens - cached * self._cfg.cached_share
        job.prefilled = False
        self.running.append(job)
        self._cache.shrink(self.cache_capacity_mib)

    def _plan_step(self) -> float:
        """Allocate the step's prefill tokens to jobs by admission order.

        Returns:
            Duration of the step in seconds.
        """
        budget = float(self._cfg.prefill_chunk_tokens)
        for job in sorted(self.running, key=lambda job: job.admission_key):
            allocated = min(budget, job.prefill_tokens_left)
            job.prefill_tokens_left -= allocated
            budget -= allocated
        computed = self._cfg.prefill_chunk_tokens - budget
        return (
            self._cfg.step_seconds
            + len(self.running) * self._cfg.step_seconds_per_request
            + computed / self._cfg.prefill_tokens_per_second
        )

    def _emit_tokens(self) -> None:
        for job in list(self.running):
            if job.prefill_tokens_left > 0:
                continue
            job.prefilled = True
            if job.generated < len(job.tokens):
                job.token_queue.put_nowait(job.tokens[job.generated])
                job.generated += 1
                self.tokens_generated += 1
            if job.generated >= len(job.tokens):
                self._end_job(job)

    def _end_job(self, job: GenerationJob) -> None:
        for jobs in (self.running, self.waiting):
            if job in jobs:
                jobs.remove(job)
        job.artifact.release()
        if job.prefilled:
            self._cache.store(
                job.artifact.name,
                job.prefix,
                job.prompt_tokens,
                self.cache_capacity_mib,
            )
        job.token_queue.put_nowait(None)
