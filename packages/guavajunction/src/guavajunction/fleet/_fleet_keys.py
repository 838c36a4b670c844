"""The CURVE key pair of the links between instances, stored in the table service."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
import zmq

from guavajunction.clock import Clock
from guavajunction.errors import ConditionFailed, FleetKeysReplaced, PlatformError
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
    return await _read_or_write(table, clock, _generate_keys)


async def keep_keys(table: TableService, clock: Clock, keys: FleetKeys) -> None:
    """Write the fleet's keys again if the store has lost them.

    Retries without limit while the store is unavailable.

    Raises:
        FleetKeysReplaced: The store has other keys, which an instance wrote that
            started after the store came back from a copy without keys.
    """
    stored = await _read_or_write(table, clock, lambda: keys)
    if stored != keys:
        raise FleetKeysReplaced(f"row {PARTITION}/{SORT_KEY} has other keys")


async def _read_or_write(
    table: TableService, clock: Clock, new_keys: Callable[[], FleetKeys]
) -> FleetKeys:
    """Return the stored keys; write new ones if there are none."""
    while True:
        try:
            row = await table.get(PARTITION, SORT_KEY)
            if row is not None:
                return msgspec.msgpack.decode(row.body, type=FleetKeys)
            body = msgspec.msgpack.encode(new_keys())
            await table.put(PARTITION, SORT_KEY, body, expected=0)
        except ConditionFailed:
            continue
        except PlatformError as exc:
            events.STORE_REFUSED.log(
                row=f"{PARTITION}/{SORT_KEY}",
                reason=type(exc).__name__,
                detail=exc.message,
            )
            await clock.sleep(RETRY_SECONDS)


def _generate_keys() -> FleetKeys:
    public, secret = zmq.curve_keypair()
    return FleetKeys(public.decode("ascii"), secret.decode("ascii"))
