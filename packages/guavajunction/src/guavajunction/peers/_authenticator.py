"""Admits only holders of the fleet's key."""

from __future__ import annotations

import hmac

import zmq.asyncio
from zmq.auth.asyncio import AsyncioAuthenticator

from . import _events as events

ZAP_DOMAIN = "fleet"
"""Name under which the router asks for authentication."""


class FleetAuthenticator:
    """Answers the ZAP requests of a context's sockets while it is entered."""

    def __init__(self, context: zmq.asyncio.Context, public_key: str) -> None:
        self._public_key = public_key.encode("ascii")
        self._zap = AsyncioAuthenticator(context)
        self.refused = 0
        """Connections that were refused."""

    def __enter__(self) -> FleetAuthenticator:
        self._zap.configure_curve_callback(ZAP_DOMAIN, self)
        self._zap.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._zap.stop()

    def callback(self, domain: str, key: bytes) -> bool:
        """Return whether a client's public key is the fleet's.

        CURVE has already made the client prove that it holds the secret key.
        """
        if hmac.compare_digest(key, self._public_key):
            return True
        self.refused += 1
        events.CONNECTION_REFUSED.log(domain=domain)
        return False
