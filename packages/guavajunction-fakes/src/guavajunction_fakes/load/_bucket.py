"""Token bucket and excess calculation with which callers check rate limits."""

from __future__ import annotations


class ClientTokenBucket:
    """Token bucket that a caller applies to all requests of a customer.

    A request is charged when it is sent, which is before any instance can charge it. If
    this bucket had the tokens for a request, then the request was within the customer's
    rate limit, and a refusal of it counts as wrongful.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._refilled_at = now

    def charge(self, cost: float, now: float) -> bool:
        """Charge a request that is sent now.

        The level may become negative, as the request is sent in any case.

        Args:
            cost: Tokens that the request reserves.
            now: Monotonic time in seconds.

        Returns:
            Whether the bucket had enough tokens.
        """
        self._refill(now)
        is_sufficient = self._level >= cost
        self._level -= cost
        return is_sufficient

    def refund(self, cost: float, now: float) -> None:
        """Return the tokens that a request reserved but did not use."""
        self._refill(now)
        self._level = min(self._burst, self._level + cost)

    def _refill(self, now: float) -> None:
        gained = (now - self._refilled_at) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._refilled_at = now


def excess_tokens(
    uses: list[tuple[float, float, float]], rate: float, burst: float
) -> float:
    """Return how many tokens a customer used beyond its rate limit.

    Args:
        uses: For each answered request: time at which it was sent, time at which its
            answer began, both in seconds, and the tokens that it used.
        rate: Rate limit in tokens per second.
        burst: Size of the token bucket in tokens.

    Returns:
        A lower bound, since a request may have been admitted at any moment between the
        two times; 0 if no excess can be proved.

    >>> excess_tokens([(0.0, 0.0, 100.0), (0.0, 0.5, 100.0)], rate=10.0, burst=150.0)
    45.0
    """
    # `level` is the number of tokens missing from the full bucket. A busy period
    # begins with the first use of a full bucket. Its requests may have been admitted
    # as soon as the earliest of them was sent, so the tokens refilled between then and
    # the beginning of the busy period are no excess.
    max_excess = level = slack = 0.0
    busy_since = at = 0.0
    for sent, began, tokens in sorted(uses, key=lambda use: use[1]):
        level -= (began - at) * rate
        if level <= 0.0:
            level, slack, busy_since = 0.0, 0.0, began
        at = began
        level += tokens
        slack = max(slack, (busy_since - sent) * rate)
        max_excess = max(max_excess, level - burst - slack)
    return max_excess
