"""The key pair that every instance of a fleet shares."""

from __future__ import annotations

from typing import NamedTuple


class FleetKeys(NamedTuple):
    """A CURVE key pair in Z85, 40 characters each."""

    public: str
    """Public key."""
    secret: str
    """Secret key; only instances of the fleet hold it."""
