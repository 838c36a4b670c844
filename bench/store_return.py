"""Measures what a return of the store from an older copy costs a fleet.

Starts instances on the stand-ins of the users' platform and counts the calls to the
store in calm and around one return.

Run `python bench/store_return.py --instances=8`, and with `--hubs` for a large fleet.
"""

from __future__ import annotations

import asyncio
import sys
import tempfile
from collections import Counter
from pathlib import Path
from typing import NamedTuple

import uvloop
from absl import flags

from guavajunction_fakes.deployment import LocalDeployment

_INSTANCES = flags.DEFINE_integer("instances", 8, "Number of instances.")
_HUBS = flags.DEFINE_bool("hubs", False, "Whether instances follow hubs.")
_PORT = flags.DEFINE_integer("port", 20100, "First of four consecutive ports.")

SETTLE_SECONDS = 12.0
"""Time after the start in which instances find each other and choose hubs."""
WINDOW_SECONDS = 5.0
AGE_SECONDS = 3.0
"""Age of the copy."""
AWAY_SECONDS = 1.0


class Window(NamedTuple):
    """Calls to the store in `WINDOW_SECONDS`."""

    name: str
    reads: Counter[str]
    """Reads by table."""
    writes: int

    def __str__(self) -> str:
        tables = ", ".join(f"{table} {n}" for table, n in sorted(self.reads.items()))
        return (
            f"{self.name}: {self.reads.total()} reads ({tables}), {self.writes} writes"
        )


async def measure(folder: Path, instances: int, port: int, *, hubs: bool) -> None:
    """Print the calls in calm, during a return and after it."""
    settings = folder / "gateway.ini"
    settings.write_text(f"[fleet]\nfull_mesh = {1 if hubs else instances}\n")
    async with LocalDeployment(
        folder,
        instances=instances,
        ports=[port, port + 1, port + 2, port + 3],
        gateway_settings=settings,
    ) as deployment:
        await asyncio.sleep(SETTLE_SECONDS)
        for name, returns in (("calm", False), ("return", True), ("after", False)):
            print(await _watch(deployment, name, returns=returns), flush=True)


async def _watch(deployment: LocalDeployment, name: str, *, returns: bool) -> Window:
    store = deployment.store
    reads, writes = store.reads.copy(), store.counts["POST /rows-tx"]
    away = 0.0
    if returns:
        await deployment.restore_store(AGE_SECONDS, outage_seconds=AWAY_SECONDS)
        away = AWAY_SECONDS
    await asyncio.sleep(WINDOW_SECONDS - away)
    return Window(name, store.reads - reads, store.counts["POST /rows-tx"] - writes)


def main() -> None:
    """Run the measurement with the flags of the command line."""
    flags.FLAGS(sys.argv)
    with tempfile.TemporaryDirectory() as folder:
        run = measure(Path(folder), _INSTANCES.value, _PORT.value, hubs=_HUBS.value)
        uvloop.run(run)


if __name__ == "__main__":
    main()
