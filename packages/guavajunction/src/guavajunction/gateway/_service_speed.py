"""Estimates how fast the backend servers of one service usually are.

Designed for one instance of up to 300, which sees from 0.1 to some 100 answers a second
of a service. Each answer costs a few dozen floating-point operations, and the state is
a dozen numbers.
"""

from __future__ import annotations

from ._admission import SECONDS_PER_OUTPUT_TOKEN, TokenTimes
from ._backend_selection import (
    DELAY_PER_RUNNING_SECONDS,
    FULL_BATCH_DELAY_SECONDS,
    PREFILL_TOKENS_PER_SECOND,
)
from ._clipped_mean import ClippedMean

MEAN_RUN_SECONDS = 1.5
"""Prior of the mean time that a generation occupies a slot."""


class ServiceSpeed:
    """Prefill rate, delay per running request, seconds per output token, mean run.

    The first event of an answer is explained by the prompt tokens ahead of it and by
    the running requests. The two coefficients, relative to their priors, are fitted by
    recursive least squares with forgetting (Ljung, "System Identification", 11.2) and
    a ridge toward the priors. Samples count at most `CLIP` times more or less than
    expected, as in Huber, "Robust Statistics" (1981), 7.8.
    """

    FORGETTING = 0.98
    """Weight of the earlier samples at each new one: about 50 samples count."""
    PRIOR_SAMPLES = 2.0
    """Samples that the prior weighs as much as."""
    CLIP = 2.0
    """Ratio to the expected time beyond which a sample is clipped."""
    MAX_RATIO = 8.0
    """Largest ratio of a coefficient to its prior, in both directions."""
    OVERHEAD_SECONDS = 0.01
    """Time of a first event that is not explained by the load: a step and the network.
    Shorter times weigh little."""
    MIN_SAMPLES = 20
    """Samples from which on estimates decide about refusals."""
    MIN_COMPARED_SAMPLES = 5
    """Samples from which on answers are compared with the service's; one of 300
    instances sees about one in eight seconds."""

    def __init__(self) -> None:
        self._prompt_ratio = 1.0
        self._running_ratio = 1.0
        self._first_samples = 0
        self._prompt_square = 0.0
        self._running_square = 0.0
        self._product = 0.0
        self._prompt_target = 0.0
        self._running_target = 0.0
        self._output_token = ClippedMean(SECONDS_PER_OUTPUT_TOKEN)
        self._run = ClippedMean(MEAN_RUN_SECONDS)

    @property
    def prefill_rate(self) -> float:
        """Return the prompt tokens a second."""
        return PREFILL_TOKENS_PER_SECOND / self._prompt_ratio

    @property
    def delay_per_running(self) -> float:
        """Return the seconds that each running request adds to a first event."""
        return DELAY_PER_RUNNING_SECONDS * self._running_ratio

    @property
    def output_token_seconds(self) -> float:
        """Return the seconds between two output tokens."""
        enough = self._output_token.samples >= self.MIN_SAMPLES
        return self._output_token.value if enough else SECONDS_PER_OUTPUT_TOKEN

    @property
    def run_seconds(self) -> float:
        """Return the mean time that a generation occupies a slot."""
        enough = self._run.samples >= self.MIN_SAMPLES
        return self._run.value if enough else MEAN_RUN_SECONDS

    @property
    def full_batch_delay(self) -> float:
        """Return the delay if the requests beyond the slots fill another batch."""
        return FULL_BATCH_DELAY_SECONDS * self.run_seconds / MEAN_RUN_SECONDS

    @property
    def token_times(self) -> TokenTimes:
        """Return the figures that decide about refusals."""
        enough = self._first_samples >= self.MIN_SAMPLES
        rate = self.prefill_rate if enough else PREFILL_TOKENS_PER_SECOND
        return TokenTimes(rate, self.output_token_seconds)

    def note_first_event(self, tokens: int, running: int, seconds: float) -> float:
        """Count the time of a first event.

        Args:
            tokens: Prompt tokens of the request and of those ahead of it.
            running: Requests that were running.
            seconds: Time from the sending to the first event.

        Returns:
            The ratio of the time to the expected one.
        """
        self._first_samples += 1
        by_prompt = tokens / PREFILL_TOKENS_PER_SECOND
        by_running = running * DELAY_PER_RUNNING_SECONDS
        expected = self._prompt_ratio * by_prompt + self._running_ratio * by_running
        clipped = min(max(seconds, expected / self.CLIP), expected * self.CLIP)
        # Errors grow with the time, so samples are weighted by the inverse.
        scale = 1 / (expected + self.OVERHEAD_SECONDS)
        prompt, load, target = by_prompt * scale, by_running * scale, clipped * scale
        keep = self.FORGETTING
        self._prompt_square = keep * self._prompt_square + prompt * prompt
        self._running_square = keep * self._running_square + load * load
        self._product = keep * self._product + prompt * load
        self._prompt_target = keep * self._prompt_target + prompt * target
        self._running_target = keep * self._running_target + load * target
        self._fit()
        overhead = self.OVERHEAD_SECONDS
        return (seconds + overhead) / (expected + overhead)

    def note_complete(self, seconds: float) -> None:
        """Count the time that a whole generation took."""
        self._run.note(seconds)

    def note_output(self, token_seconds: float) -> float | None:
        """Count the time between the output tokens of one answer.

        Returns:
            The ratio to the expected time; None while too few answers were seen.
        """
        known = self._output_token.samples >= self.MIN_COMPARED_SAMPLES
        ratio = token_seconds / self._output_token.value if known else None
        self._output_token.note(token_seconds)
        return ratio

    def _fit(self) -> None:
        prompt = self._prompt_square + self.PRIOR_SAMPLES
        running = self._running_square + self.PRIOR_SAMPLES
        prompt_target = self._prompt_target + self.PRIOR_SAMPLES
        running_target = self._running_target + self.PRIOR_SAMPLES
        determinant = prompt * running - self._product * self._product
        self._running_ratio = self._bounded(
            (prompt * running_target - self._product * prompt_target) / determinant
        )
        self._prompt_ratio = self._bounded(
            (prompt_target - self._product * self._running_ratio) / prompt
        )

    def _bounded(self, ratio: float) -> float:
        return min(max(ratio, 1 / self.MAX_RATIO), self.MAX_RATIO)
