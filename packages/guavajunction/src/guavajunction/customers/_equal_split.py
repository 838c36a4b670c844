"""Baseline: each instance has the same fixed part of every customer's rate."""

from __future__ import annotations

import math
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.configuration import Customer
from guavajunction.errors import ExceedsBurst, InstanceNotReady, RateLimited

from ._bucket import MICROTOKENS_PER_TOKEN, Charge, TokenBucket
from ._members import Members


class EqualSplitReservation(NamedTuple):
    """Tokens that were charged to this instance's part."""

    bucket: TokenBucket
    charge: Charge
    clock: Clock

    def settle(self, used: float) -> None:
        """Refund what was not used."""
        micro = math.ceil(max(0.0, used) * MICROTOKENS_PER_TOKEN)
        self.bucket.settle(self.charge, micro, self.clock.monotonic())


class EqualSplitLimits:
    """Splits rate and burst by the number of live members and moves nothing.

    Kept to measure `RateLimits` against; it refuses while other instances have
    tokens to spare, and a customer may exceed its rate while the members change.
    """

    MIN_RETRY_AFTER_SECONDS = 0.05
    STEP_SECONDS = 0.5

    def __init__(self, members: Members, clock: Clock) -> None:
        self._members = members
        self._clock = clock
        self._buckets: dict[str, tuple[Customer, int, TokenBucket]] = {}

    async def admit(self, customer: Customer, cost: float) -> EqualSplitReservation:
        """Charge a request to this instance's part.

        Raises:
            ExceedsBurst: The request alone costs more than the burst.
            RateLimited: This instance's part is used up.
            InstanceNotReady: This instance may not spend now.
        """
        if cost > customer.burst:
            raise ExceedsBurst(f"the request costs more than {customer.burst:g} tokens")
        if not self._members.standing():
            raise InstanceNotReady("the instance may not spend now", retry_after=1.0)
        now = self._clock.monotonic()
        bucket = self._bucket(customer, now)
        micro = math.ceil(cost * MICROTOKENS_PER_TOKEN)
        charge = bucket.charge(micro, now)
        if charge is None:
            raise RateLimited(
                f"customer {customer.name} is over its rate",
                retry_after=self._wait_seconds(customer, bucket, micro, now),
            )
        return EqualSplitReservation(bucket, charge, self._clock)

    async def refresh(self) -> None:
        """Take up a change of configuration; each request does so by itself."""

    async def run(self) -> None:
        """Do nothing until cancelled: nothing moves."""
        while True:
            await self._clock.sleep(self.STEP_SECONDS)

    async def hand_over(self) -> None:
        """Give nothing to anybody: the parts are fixed."""

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
