"""Server-sent events of one answer, with injected stream faults."""

from __future__ import annotations

from aiohttp import web

from guavajunction_fakes._faults import FaultController, abort_connection


class EventWriter:
    """Sends the events of one stream, which an injected fault may abort."""

    def __init__(
        self, faults: FaultController, req: web.Request, resp: web.StreamResponse
    ) -> None:
        self._faults = faults
        self._req = req
        self._resp = resp
        self._will_abort = self._faults.consume("cut_streams")
        self._events_left = self._faults.active.cut_after_events

    async def send(self, number: int, data: str) -> None:
        """Send one event.

        Raises:
            ConnectionResetError: An injected fault or the caller closed the connection.
        """
        if self._will_abort and self._events_left == 0:
            abort_connection(self._req)
            raise ConnectionResetError("stream aborted by an injected fault")
        self._events_left -= 1
        await self._resp.write(f"id: {number}\ndata: {data}\n\n".encode())
