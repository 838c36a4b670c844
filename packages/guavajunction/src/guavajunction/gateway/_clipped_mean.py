"""A mean of the latest samples that single outliers hardly move."""

from __future__ import annotations


class ClippedMean:
    """Exponentially weighted mean whose samples are clipped around it.

    The mean deviation is tracked as in RFC 6298, and a sample counts at most
    `DEVIATIONS` of it away from the mean: the winsorised residuals of Huber, "Robust
    Statistics" (1981), 7.8.

    >>> mean = ClippedMean(1.5)
    >>> for _ in range(100):
    ...     mean.note(3.0)
    >>> mean.note(1000.0)
    >>> round(mean.value, 1)
    3.1
    """

    NEWEST_WEIGHT = 0.05
    """Weight of the newest sample, once there are enough of them."""
    NEWEST_DEVIATION_WEIGHT = 0.25
    """Weight of its difference from the mean, as in RFC 6298."""
    DEVIATIONS = 4.0
    """Mean deviations beyond which a difference is clipped, as in RFC 6298."""
    MIN_DEVIATION = 0.25
    """Least deviation, relative to the mean, so that a mean of equal samples can
    still follow a change."""

    def __init__(self, prior: float) -> None:
        """Start with a prior, which counts as one sample."""
        self.value = prior
        self.samples = 0
        self._deviation = prior / 2

    def note(self, sample: float) -> None:
        """Add a sample."""
        self.samples += 1
        difference = sample - self.value
        reach = self.DEVIATIONS * max(
            self._deviation, self.MIN_DEVIATION * abs(self.value)
        )
        clipped = max(-reach, min(reach, difference))
        weight = max(self.NEWEST_WEIGHT, 1 / (self.samples + 1))
        self.value += weight * clipped
        spread = abs(clipped) - self._deviation
        self._deviation += self.NEWEST_DEVIATION_WEIGHT * spread
