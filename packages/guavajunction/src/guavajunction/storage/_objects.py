"""Client of an object store with S3's REST protocol."""

from __future__ import annotations

from urllib.parse import quote

import aiohttp

from guavajunction.connections import read_body
from guavajunction.errors import ObjectNotFound, StoreAnswerLost, StoreUnavailable


class ObjectClient:
    """Client of one bucket; implements `ObjectStore`.

    aiohttp may repeat a `PUT` if the service closed the connection. That is harmless
    here: an object's name is the hash of its content, so both requests store the same
    bytes.
    """

    MAX_TRANSFER_FACTOR = 5
    """Longest duration of a read, as a multiple of the timeout. The size of an object
    and the bandwidth decide how long its bytes take to arrive."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, bucket: str, *, timeout: float
    ) -> None:
        """Create a client.

        Args:
            session: HTTP session; the caller closes it.
            url: Base address of the service.
            bucket: Name of the bucket.
            timeout: Timeout of connecting, of a write, and of each silence while an
                object is read, in seconds.
        """
        self._session = session
        self._base = f"{url.rstrip('/')}/{quote(bucket, safe='')}/"
        self._write_timeout = aiohttp.ClientTimeout(total=timeout)
        self._read_timeout = aiohttp.ClientTimeout(
            total=timeout * self.MAX_TRANSFER_FACTOR,
            sock_connect=timeout,
            sock_read=timeout,
        )

    async def put(self, name: str, body: bytes) -> None:
        """Store an object.

        Raises:
            StoreUnavailable: The object has certainly not been stored.
            StoreAnswerLost: The object may have been stored.
        """
        try:
            status, _ = await self._call("PUT", name, body)
        except aiohttp.ClientConnectorError as exc:
            raise StoreUnavailable("PUT: not connected") from exc
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise StoreAnswerLost(f"PUT: {type(exc).__name__}") from exc
        if 400 <= status < 500:
            raise StoreUnavailable(f"PUT: {status}")
        if not 200 <= status < 300:
            raise StoreAnswerLost(f"PUT: {status}")

    async def get(self, name: str) -> bytes:
        """Read an object.

        Raises:
            ObjectNotFound: There is no object of that name.
            StoreUnavailable: The store did not answer.
        """
        try:
            status, body = await self._call("GET", name, None)
        except (aiohttp.ClientError, TimeoutError, OSError) as exc:
            raise StoreUnavailable(f"GET: {type(exc).__name__}") from exc
        if status == 404:
            raise ObjectNotFound(f"the object store has no {name}")
        if status != 200:
            raise StoreUnavailable(f"GET: {status}")
        return body

    async def _call(
        self, method: str, name: str, body: bytes | None
    ) -> tuple[int, bytes]:
        async with self._session.request(
            method,
            self._base + quote(name, safe="/"),
            data=body,
            timeout=self._read_timeout if method == "GET" else self._write_timeout,
            allow_redirects=False,
        ) as resp:
            return resp.status, await read_body(resp)
