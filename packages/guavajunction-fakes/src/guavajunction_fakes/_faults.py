"""Fault injection for the stand-ins, controlled by `POST /faults`."""

from __future__ import annotations

import asyncio
import json
from typing import Any, Literal, NamedTuple

import msgspec
from aiohttp import web

from ._errors import FaultsInvalid

Outage = Literal["refuse", "drop", "error", "hang"]


class Faults(NamedTuple):
    """Faults of one stand-in; the defaults inject no fault.

    An integer count is decremented each time its fault occurs, until it is 0; -1
    injects the fault without limit.
    """

    outage: Outage | None = None
    """`refuse` closes the listening socket, `drop` aborts connections before the
    operation is executed, `error` responds with status 503, `hang` sends no
    response and aborts the connections when the outage ends."""
    outage_seconds: float = 0.0
    """Duration of the outage; 0 lasts until cleared and is invalid for `refuse`."""
    only: tuple[str, ...] = ()
    """Kinds of operation to which outage, `slow_seconds`, `late_seconds` and
    `lose_answers` apply; empty for all kinds."""
    slow_seconds: float = 0.0
    """Delay before each operation is executed."""
    late_seconds: float = 0.0
    """Delay between the execution of each operation and its response."""
    lose_answers: int = 0
    """Number of writing operations that are executed but get no response."""
    stale_seconds: float = 0.0
    """Age of the data that reads without strong consistency return."""
    cut_streams: int = 0
    """Number of an engine's streamed responses that are aborted."""
    cut_after_events: int = 3
    """Number of events that an aborted stream sends first."""
    cross_answers: int = 0
    """Number of an engine's responses that have another request's id and text."""
    cross_events: int = 0
    """Number of streams that contain one event of another request."""
    lose_orders: int = 0
    """Number of orders that are acknowledged and never applied."""
    delay_orders: int = 0
    """Number of orders that are applied after `delay_orders_seconds`."""
    delay_orders_seconds: float = 1.0
    """Delay of delayed orders and of the repetition of duplicated orders."""
    answer_delayed_orders: bool = True
    """Whether a delayed order is acknowledged at once; otherwise its connection is
    aborted."""
    duplicate_orders: int = 0
    """Number of orders that are applied again after `delay_orders_seconds`."""


NO_FAULTS = Faults()
"""Faults of a stand-in that works normally."""


class FaultController:
    """Holds the active faults of one stand-in and applies them to operations."""

    CONTROL_PATHS = frozenset({"/faults", "/stats", "/runs"})
    """Paths of the control routes, which no fault applies to."""

    def __init__(self) -> None:
        self.active = NO_FAULTS
        """The active faults."""
        self.changed = asyncio.Event()
        """Event for the next change, which sets it and replaces it by a new event."""
        self._clear_task: asyncio.Task[None] | None = None

    def set(self, **changes: Any) -> None:
        """Change some of the faults.

        Args:
            changes: New values by fault name; `clear=True` first resets all faults.

        Raises:
            FaultsInvalid: A fault name is unknown, a value has the wrong type, or
                outage `refuse` has no duration.
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
        """Decrement the count of a fault; return whether the fault occurs."""
        left = getattr(self.active, name)
        if left > 0:
            self.active = self.active._replace(**{name: left - 1})
        return left != 0

    def applies_to(self, kind: str) -> bool:
        """Return whether the faults apply to operations of this kind."""
        return not self.active.only or kind in self.active.only

    async def apply_before(self, req: web.Request, kind: str) -> web.Response | None:
        """Apply faults to an operation before it is executed.

        Returns:
            A response that replaces the operation, or None to execute it.
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
        self, req: web.Request, kind: str, resp: web.StreamResponse, is_write: bool
    ) -> web.StreamResponse:
        """Apply faults to an executed operation before its response is sent.

        Args:
            req: The operation's request.
            kind: Kind of the operation.
            resp: The operation's response.
            is_write: Whether the operation writes.

        Returns:
            The response to send.
        """
        if not self.applies_to(kind):
            return resp
        if self.active.late_seconds and not resp.prepared:
            await asyncio.sleep(self.active.late_seconds)
        if is_write and self.consume("lose_answers"):
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
    """Abort the connection of a request.

    Returns:
        A response for the handler to return; the caller does not receive it.
    """
    if req.transport is not None:
        req.transport.abort()
    return web.Response(status=503)
