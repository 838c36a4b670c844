"""Interface of the policies that enforce rate limits."""

from __future__ import annotations

from typing import Protocol

from guavajunction.configuration import Customer


class TokenReservation(Protocol):
    """Tokens charged for one request."""

    def settle(self, used: float) -> None:
        """Refund the tokens that were not used.

        Args:
            used: Tokens that the request used.
        """
        ...


class RateLimitPolicy(Protocol):
    """Admits requests within the customers' rate limits."""

    async def admit(self, customer: Customer, cost: float) -> TokenReservation:
        """Charge a request to its customer.

        Args:
            customer: The customer to charge.
            cost: Tokens.

        Raises:
            RequestError: The request is not admitted.
        """
        ...

    async def refresh(self) -> None:
        """Apply a changed configuration."""
        ...

    async def run(self) -> None:
        """Run the background work until cancelled."""
        ...

    async def hand_over(self) -> None:
        """Transfer this instance's shares to peers before it stops."""
        ...
