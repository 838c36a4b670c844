"""Server-sent events of one answer, with the faults of a stream."""

from __future__ import annotations

from aiohttp import web

from guavajunction_fakes._faults import FaultBoard, cut


class EventWriter:
    """Sends events until a fault cuts the stream."""

    def __init__(
        self, faults: FaultBoard, req: web.Request, resp: web.StreamResponse
    ) -> None:
        self._faults = faults
        self._req = req
        self._resp = resp
        self._cuts = self._faults.take("cut_streams")
        self._left = self._faults.now.cut_after_events

    async def send(self, number: int, data: str) -> None:
        """Send one event.

        Raises:
            ConnectionResetError: The stream is cut, by a fault or by the caller.
        """
        if self._cuts and self._left == 0:
            cut(self._req)
            raise ConnectionResetError("cut by a fault")
        self._left -= 1
        await self._resp.write(f"id: {number}\ndata: {data}\n\n".encode())
