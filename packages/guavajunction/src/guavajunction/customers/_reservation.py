"""The charge of one request to the local share."""

from __future__ import annotations

import math

from guavajunction.clock import Clock

from ._bucket import MICROTOKENS_PER_TOKEN, Charge
from ._local_share import LocalShare


class Reservation:
    """A charge of the maximum that a request may use, settled when it ends."""

    def __init__(self, share: LocalShare, charge: Charge, clock: Clock) -> None:
        self._local_share = share
        self._charge: Charge | None = charge
        self._clock = clock

    def settle(self, used: float) -> None:
        """Refund the unused tokens to the share that was charged.

        Only the first call has an effect.

        Args:
            used: Tokens that the request used.
        """
        charge, self._charge = self._charge, None
        if charge is not None:
            microtokens = math.ceil(max(0.0, used) * MICROTOKENS_PER_TOKEN)
            self._local_share.settle(charge, microtokens, self._clock.monotonic())
