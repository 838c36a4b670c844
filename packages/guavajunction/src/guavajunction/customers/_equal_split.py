"""Baseline policy: an equal, fixed part of every rate limit for each instance."""

from __future__ import annotations

import math
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.configuration import Customer
from guavajunction.errors import ExceedsBurst, InstanceNotReady, RateLimited

from ._bucket import MICROTOKENS_PER_TOKEN, Charge, TokenBucket
from ._members import Members


class EqualSplitReservation(NamedTuple):
    """Tokens that were charged to this instance's part of a rate limit."""

    bucket: TokenBucket
    charge: Charge
    clock: Clock

    def settle(self, used: float) -> None:
        """Refund the tokens that were not used.

        Args:
            used: Tokens that the request used.
        """
        microtokens = math.ceil(max(0.0, used) * MICROTOKENS_PER_TOKEN)
        self.bucket.settle(self.charge, microtokens, self.clock.monotonic())


class EqualSplitLimits:
    """Divides rate and burst by the number of live members; no units are moved.

    Baseline for comparisons with `RateLimits`. It rejects requests while other
    instances have unused tokens, and a customer may exceed its rate while the
    members change.
    """

    MIN_RETRY_AFTER_SECONDS = 0.05
    """Lower limit of `Retry-After`."""

    STEP_SECONDS = 0.5
    """Interval of the idle loop in `run`."""

    def __init__(self, members: Members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._buckets: dict[str, tuple[Customer, int, TokenBucket]] = {}

    async def admit(self, customer: Customer, cost: float) -> EqualSplitReservation:
        """Charge a request to this instance's part of the customer's rate limit.

        Args:
            customer: The customer to charge.
            cost: Tokens.

        Raises:
            ExceedsBurst: The request alone costs more than the burst.
            RateLimited: This instance's part is exhausted.
            InstanceNotReady: This instance may not admit requests now.
        """
        if cost > customer.burst:
            raise ExceedsBurst(f"the request costs more than {customer.burst:g} tokens")
        if not self._members.standing():
            raise InstanceNotReady("the instance may not spend now", retry_after=1.0)
        now = self._clock.monotonic()
        bucket = self._bucket(customer, now)
        microtokens = math.ceil(cost * MICROTOKENS_PER_TOKEN)
        charge = bucket.charge(microtokens, now)
        if charge is None:
            raise RateLimited(
                f"customer {customer.name} is over its rate",
                retry_after=self._wait_seconds(customer, bucket, microtokens, now),
            )
        return EqualSplitReservation(bucket, charge, self._clock)

    async def refresh(self) -> None:
        """Do nothing: `admit` reads rate and burst at each request."""

    async def run(self) -> None:
        """Wait until cancelled; this policy has no background work."""
        while True:
            await self._clock.sleep(self.STEP_SECONDS)

    async def hand_over(self) -> None:
        """Do nothing: fixed parts are not transferred to peers."""

    def _bucket(self, customer: Customer, now: float) -> TokenBucket:
        members = len(self._members.live_members())
        rate = customer.rate * MICROTOKENS_PER_TOKEN / members
        capacity = int(customer.burst * MICROTOKENS_PER_TOKEN / members)
        known = self._buckets.get(customer.name)
        if known is None:
            bucket = TokenBucket(rate, capacity, now)
            bucket.adjust(rate, capacity, capacity, now)
        else:
            bucket = known[2]
            if known[:2] != (customer, members):
                bucket.adjust(rate, capacity, 0, now)
        self._buckets[customer.name] = (customer, members, bucket)
        return bucket

    def _wait_seconds(
        self, customer: Customer, bucket: TokenBucket, cost: int, now: float
    ) -> float:
        rate = customer.rate * MICROTOKENS_PER_TOKEN / len(self._members.live_members())
        missing = cost - bucket.level(now)
        return max(self.MIN_RETRY_AFTER_SECONDS, missing / rate)
