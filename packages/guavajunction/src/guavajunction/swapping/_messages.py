"""Messages about orders between instances."""

from __future__ import annotations

from typing import NamedTuple


class AdapterWanted(NamedTuple):
    """Asks the author for an adapter that requests wait for."""

    service: str
    model: str
    adapter: str
    refused_by: tuple[str, ...] = ()
    """Backend servers that refused it though they were to hold it."""
    forwarded: bool = False
    """Whether a hub sent it on; it is then not sent on again."""


class AdapterReady(NamedTuple):
    """Answers when the adapter is loaded, or can't be."""

    backend: str
    """Empty if no backend server can take it now."""


class LeaderStatus(NamedTuple):
    """What the author says in each heartbeat; others say the defaults."""

    fence: int = 0
    """Its fencing number; 0 from an instance that is not the author."""
    released_fence: int = 0
    """Fencing number that this instance promises never to use again."""
    seconds_since_order: dict[str, float] = {}
    """Time since the latest order to each backend server, under that number."""
    store_loads: tuple[float, ...] = ()
    """Seconds since the loads from the weight store that still count began."""
    loads_due: dict[str, float] = {}
    """Seconds until the models that are being loaded are expected."""
