"""The key pair that every instance of a fleet shares."""

from __future__ import annotations

from typing import NamedTuple


class FleetKeys(NamedTuple):
    """A CURVE key pair, each key as 40 characters of Z85."""

    public: str
    secret: str
    """Secret key; only instances of the fleet hold it."""
