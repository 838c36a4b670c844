"""The CURVE key pair of the links between instances, stored in the table service."""

from __future__ import annotations

import msgspec
import zmq

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, PlatformError
from guavajunction.peers import FleetKeys
from guavajunction.storage import TableService

from . import _events as events

PARTITION = "fleet"
SORT_KEY = "keys"
RETRY_SECONDS = 0.3
"""Pause between attempts while the store is unavailable."""


async def obtain_keys(table: TableService, clock: Clock) -> FleetKeys:
    """Return the fleet's keys, and generate them if the store has none.

    Retries without limit while the store is unavailable.
    """
    while True:
        try:
            row = await table.get(PARTITION, SORT_KEY)
            if row is not None:
                return msgspec.msgpack.decode(row.body, type=FleetKeys)
            await table.put(PARTITION, SORT_KEY, _generate_keys(), expected=0)
        except ConditionFailed:
            continue
        except PlatformError as exc:
            events.STORE_REFUSED.log(
                row=f"{PARTITION}/{SORT_KEY}",
                reason=type(exc).__name__,
                detail=exc.message,
            )
            await clock.sleep(RETRY_SECONDS)


def _generate_keys() -> bytes:
    public, secret = zmq.curve_keypair()
    return msgspec.msgpack.encode(
        FleetKeys(public.decode("ascii"), secret.decode("ascii"))
    )
