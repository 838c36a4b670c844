"""The caller's own account of a customer's rate and burst."""

from __future__ import annotations


class ClientTokenBucket:
    """A token bucket over all of a customer's requests, seen from the caller.

    It charges each request when it is sent, which is before any instance can. A
    refusal of a request that this bucket had tokens for was therefore inside the
    customer's rate.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self._rate = rate
        self._burst = burst
        self._level = burst
        self._at = now

    def charge(self, cost: float, now: float) -> bool:
        """Charge a request that is sent now.

        Args:
            cost: Tokens that it reserves.
            now: Seconds.

        Returns:
            Whether the customer had that much left.
        """
        self._refill(now)
        inside = self._level >= cost
        self._level -= cost
        return inside

    def refund(self, cost: float, now: float) -> None:
        """Give back what a request did not use after all."""
        self._refill(now)
        self._level = min(self._burst, self._level + cost)

    def _refill(self, now: float) -> None:
        gained = (now - self._at) * self._rate
        self._level = min(self._burst, self._level + gained)
        self._at = now


def tokens_over_limit(
    uses: list[tuple[float, float, float]], rate: float, burst: float
) -> float:
    """Return how many tokens a customer got beyond its rate and burst.

    Args:
        uses: For each answered request: when it was sent, when its answer began, and
            the tokens that it used.
        rate: Tokens a second.
        burst: Tokens.

    Returns:
        A lower bound, as a request may have been admitted at any moment between
        the two times; 0 if none is proved.

    >>> tokens_over_limit([(0.0, 0.0, 100.0), (0.0, 0.5, 100.0)], rate=10.0, burst=150.0)
    45.0
    """
    most = level = slack = 0.0
    busy_since = at = 0.0
    for sent, began, tokens in sorted(uses, key=lambda use: use[1]):
        level -= (began - at) * rate
        if level <= 0.0:
            level, slack, busy_since = 0.0, 0.0, began
        at = began
        level += tokens
        slack = max(slack, (busy_since - sent) * rate)
        most = max(most, level - burst - slack)
    return most
