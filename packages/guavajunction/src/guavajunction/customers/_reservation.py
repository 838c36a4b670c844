"""Tokens that were charged for one request."""

from __future__ import annotations

import math

from guavajunction.clock import Clock

from ._bucket import MICRO, Charge
from ._local_share import Holding


class Reservation:
    """Charged for the most that a request may use, and settled when it ends."""

    def __init__(self, holding: Holding, charge: Charge, clock: Clock) -> None:
        self._holding = holding
        self._charge: Charge | None = charge
        self._clock = clock

    def settle(self, used: float) -> None:
        """Refund what was not used to the share that it came from.

        Only the first call counts.

        Args:
            used: Tokens that the request took in the end.
        """
        charge, self._charge = self._charge, None
        if charge is not None:
            micro = math.ceil(max(0.0, used) * MICRO)
            self._holding.settle(charge, micro, self._clock.monotonic())
