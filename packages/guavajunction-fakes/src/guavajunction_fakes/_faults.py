"""Faults that a stand-in shows on request."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Literal, NamedTuple

import msgspec
from aiohttp import web

from ._errors import FaultsInvalid

Outage = Literal["refuse", "drop", "error", "hang"]


class Faults(NamedTuple):
    """What a stand-in does wrong; the defaults are none of it.

    Counts run down to 0 as they are used; -1 stands for every time.
    """

    outage: Outage | None = None
    """`refuse` closes the listening socket, `drop` cuts connections before any
    effect, `error` answers 503, `hang` keeps callers waiting and then drops them."""
    outage_seconds: float = 0.0
    """How long the outage lasts; 0 until it is cleared (not for `refuse`)."""
    only: tuple[str, ...] = ()
    """Kinds of operation that outage, slowness and lost answers touch; empty for
    all."""
    slow_seconds: float = 0.0
    """Added before each operation."""
    late_seconds: float = 0.0
    """Added after each operation has taken effect, before its answer."""
    lose_answers: int = 0
    """Operations with an effect that are done and then not answered."""
    stale_seconds: float = 0.0
    """Age of what reads return that need not be consistent."""
    cut_streams: int = 0
    """Answers of an engine that are cut."""
    cut_after_events: int = 3
    """Events that a cut stream still sends."""
    cross_answers: int = 0
    """Answers of an engine that carry another request's id and text."""
    cross_events: int = 0
    """Streams that carry an event of another request among their own."""
    lose_orders: int = 0
    """Orders that are acknowledged and never applied."""
    delay_orders: int = 0
    """Orders that reach the engine late."""
    delay_orders_seconds: float = 1.0
    """How late they are."""
    answer_delayed_orders: bool = True
    """Whether a late order is acknowledged at once; otherwise its connection is
    cut."""
    duplicate_orders: int = 0
    """Orders that reach the engine a second time, a moment later."""


NO_FAULTS = Faults()
"""No fault."""


class FaultBoard:
    """The faults that one stand-in shows now."""

    CONTROL_PATHS = frozenset({"/faults", "/stats", "/runs"})
    """Paths that faults never touch."""

    def __init__(self) -> None:
        self.active = NO_FAULTS
        """The faults in force."""
        self.changed = asyncio.Event()
        """Set once at the next change, then replaced by a new event."""
        self._clear_task: asyncio.Task[None] | None = None

    def set(self, **changes: Any) -> None:
        """Change some of the faults; `clear=True` first drops all.

        Raises:
            FaultsInvalid: An unknown name or a value of the wrong type.
        """
        base = NO_FAULTS if changes.pop("clear", False) else self.active
        merged = {**base._asdict(), **changes}
        unknown = merged.keys() - set(Faults._fields)
        if unknown:
            raise FaultsInvalid(f"unknown faults: {sorted(unknown)}")
        try:
            faults = msgspec.convert([merged[f] for f in Faults._fields], Faults)
        except msgspec.ValidationError as exc:
            raise FaultsInvalid(str(exc)) from exc
        if faults.outage == "refuse" and not faults.outage_seconds:
            raise FaultsInvalid("outage `refuse` needs outage_seconds")
        self._activate(faults)
        if changes.get("outage") and faults.outage_seconds:
            self._clear_task = asyncio.ensure_future(self._end_outage(faults))

    def consume(self, name: str) -> bool:
        """Use up one of a counted fault; return whether there was one."""
        left = getattr(self.active, name)
        if left > 0:
            self.active = self.active._replace(**{name: left - 1})
        return left != 0

    def applies_to(self, kind: str) -> bool:
        """Return whether an operation of this kind meets the faults."""
        return not self.active.only or kind in self.active.only

    async def apply_before(self, req: web.Request, kind: str) -> web.Response | None:
        """Meet an operation before it takes effect.

        Returns:
            The answer that ends the operation, or None to let it go on.
        """
        if not self.applies_to(kind):
            return None
        if self.active.slow_seconds:
            await asyncio.sleep(self.active.slow_seconds)
        if self.active.outage == "error":
            return web.json_response({"error": "unavailable"}, status=503)
        if self.active.outage == "hang":
            await self._until_outage_ends()
            return abort_connection(req)
        if self.active.outage in ("drop", "refuse"):
            return abort_connection(req)
        return None

    async def apply_after(
        self, req: web.Request, kind: str, resp: web.StreamResponse, effect: bool
    ) -> web.StreamResponse:
        """Meet an operation after it took effect and before it is answered."""
        if not self.applies_to(kind):
            return resp
        if self.active.late_seconds and not resp.prepared:
            await asyncio.sleep(self.active.late_seconds)
        if effect and self.consume("lose_answers"):
            return abort_connection(req)
        return resp

    async def handle_post(self, req: web.Request) -> web.Response:
        """Serve `POST /faults`."""
        try:
            self.set(**await req.json())
        except (FaultsInvalid, TypeError, json.JSONDecodeError) as exc:
            return web.json_response({"error": str(exc)}, status=400)
        return web.json_response(self.active._asdict())

    def close(self) -> None:
        """Stop the timer that ends an outage."""
        if self._clear_task is not None:
            self._clear_task.cancel()

    def _activate(self, faults: Faults) -> None:
        self.close()
        self.active = faults
        event, self.changed = self.changed, asyncio.Event()
        event.set()

    async def _end_outage(self, faults: Faults) -> None:
        await asyncio.sleep(faults.outage_seconds)
        self._clear_task = None
        self._activate(self.active._replace(outage=None, outage_seconds=0.0))

    async def _until_outage_ends(self) -> None:
        while self.active.outage == "hang":
            await self.changed.wait()


def abort_connection(req: web.Request) -> web.Response:
    """Abort the connection of a request; the returned answer reaches nobody."""
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=503)
