"""HTTP client of the platform's instance list."""

from __future__ import annotations

import aiohttp
import msgspec

from guavajunction.connections import read_body
from guavajunction.errors import StoreUnavailable

from ._protocols import InstanceRecord


class _Record(msgspec.Struct):
    name: str
    data_centre: str
    address: str
    http_port: int
    peer_port: int
    state: str


class _ListResponse(msgspec.Struct):
    instances: list[_Record]


class InstanceListClient:
    """Reads the instance list; implements `InstanceList`."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, *, timeout: float
    ) -> None:
        """Create a client.

        Args:
            session: HTTP session; the caller closes it.
            url: Base address of the service.
            timeout: Timeout of one call in seconds, connecting included.
        """
        self._session = session
        self._url = url.rstrip("/") + "/instances"
        self._timeout = aiohttp.ClientTimeout(total=timeout)
        self._decoder = msgspec.json.Decoder(_ListResponse)

    async def instances(self) -> list[InstanceRecord]:
        """Return the listed instances; the list may be out of date.

        Raises:
            StoreUnavailable: The list did not answer, or the answer is malformed.
        """
        try:
            async with self._session.get(self._url, timeout=self._timeout) as resp:
                status, body = resp.status, await read_body(resp)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise StoreUnavailable(f"instance list: {type(exc).__name__}") from exc
        if status != 200:
            raise StoreUnavailable(f"instance list: {status}")
        try:
            answer = self._decoder.decode(body)
        except msgspec.DecodeError as exc:
            raise StoreUnavailable("instance list: the answer is malformed") from exc
        return [InstanceRecord(*msgspec.structs.astuple(r)) for r in answer.instances]
