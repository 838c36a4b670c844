"""What claims need to know of the fleet's members."""

from __future__ import annotations

from typing import Protocol

from guavajunction.peers import PeerId


class Members(Protocol):
    """The members as this instance knows them."""

    def standing(self) -> bool:
        """Return whether this instance may act now; False once it is revoked."""
        ...

    def author(self, key: str) -> PeerId:
        """Return the live member that a key falls to by rendezvous hashing."""
        ...

    async def unrevoked_members(self) -> list[PeerId]:
        """Read from the store every member that may still act.

        Raises:
            PlatformError: The store did not answer.
        """
        ...
