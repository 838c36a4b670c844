"""Interface that the rate limits require of the fleet's membership."""

from __future__ import annotations

from typing import Protocol

from guavajunction.peers import PeerId


class Members(Protocol):
    """The fleet's members as known to this instance."""

    def standing(self) -> bool:
        """Return whether this instance may charge its shares now; False if revoked."""
        ...

    def live_members(self) -> list[PeerId]:
        """Return the members that appear to be live, including this instance."""
        ...

    def owner_of(self, key: str) -> PeerId:
        """Return the live member responsible for a key, by rendezvous hashing."""
        ...

    async def unrevoked_members(self) -> list[PeerId]:
        """Read from the store all members that may still charge their shares.

        Raises:
            PlatformError: The store is unavailable.
        """
        ...
