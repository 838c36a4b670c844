"""Pool of HTTP client connections of the type `StrictConnection`."""

from __future__ import annotations

from functools import partial
from typing import Any

import aiohttp

from ._strict_connection import StrictConnection


class StrictConnector(aiohttp.TCPConnector):
    """Opens the connections of an `aiohttp.ClientSession`."""

    def __init__(self, **kwargs: Any) -> None:
        super().__init__(**kwargs)
        # aiohttp has no public way to choose the type of a connection's protocol.
        self._factory = partial(StrictConnection, loop=self._loop)
