"""What the daemon needs of a policy that enforces rates."""

from __future__ import annotations

from typing import Protocol

from guavajunction.configuration import Customer


class Settleable(Protocol):
    """Tokens charged for one request."""

    def settle(self, used: float) -> None:
        """Refund what was not used."""
        ...


class Limits(Protocol):
    """Admits requests within the customers' rates."""

    async def admit(self, customer: Customer, cost: float) -> Settleable:
        """Charge a request to its customer.

        Raises:
            RequestError: The request may not run now.
        """
        ...

    async def refresh(self) -> None:
        """Take up a change of configuration."""
        ...

    async def run(self) -> None:
        """Keep the limits until cancelled."""
        ...

    async def hand_over(self) -> None:
        """Give what this instance holds to its peers."""
        ...
