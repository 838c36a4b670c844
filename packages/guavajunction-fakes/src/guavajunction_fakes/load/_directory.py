"""Client of the instance directory."""

from __future__ import annotations

import random
import time

import aiohttp

from guavajunction_fakes._errors import NoInstance


class DirectoryCache:
    """Requests the ranked list of instances and caches it for its time to live."""

    REQUEST_TIMEOUT_SECONDS = 3.0
    AVOID_SECONDS = 2.0
    """Time during which a failed instance is ranked after all others."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[str],
        key: str,
        data_centre: str,
        seed: str,
    ) -> None:
        self._session = session
        self._configured_urls = list(entries)
        self._headers = {"Authorization": f"Bearer {key}"}
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._ranked: list[str] = []
        self._expires_at = 0.0
        self._avoid_until: dict[str, float] = {}
        self.requests_sent = 0
        """Number of directory requests sent."""

    async def best_url(self) -> str:
        """Return the URL of the highest-ranked instance that has not failed recently.

        If all have failed recently, the highest-ranked of them is returned.

        Raises:
            NoInstance: No instance responded and no earlier list is cached.
        """
        if time.monotonic() >= self._expires_at:
            await self._refresh()
        if not self._ranked:
            raise NoInstance("no instance responded to the directory request")
        now = time.monotonic()
        return min(self._ranked, key=lambda url: self._avoid_until.get(url, 0.0) > now)

    def mark_failed(self, url: str) -> None:
        """Avoid an instance that did not respond or is not ready.

        The next `best_url` requests a new list.
        """
        self._avoid_until[url] = time.monotonic() + self.AVOID_SECONDS
        self._expires_at = 0.0

    async def _refresh(self) -> None:
        candidates = self._ranked + self._random.sample(
            self._configured_urls, len(self._configured_urls)
        )
        now = time.monotonic()
        candidates.sort(key=lambda url: self._avoid_until.get(url, 0.0) > now)
        for url in dict.fromkeys(candidates):
            if await self._refresh_from(url):
                return

    async def _refresh_from(self, url: str) -> bool:
        self.requests_sent += 1
        timeout = aiohttp.ClientTimeout(total=self.REQUEST_TIMEOUT_SECONDS)
        params = {"data_centre": self._data_centre}
        try:
            async with self._session.get(
                f"{url}/v1/instances",
                params=params,
                headers=self._headers,
                timeout=timeout,
            ) as resp:
                if resp.status != 200:
                    return False
                body = await resp.json()
        except (aiohttp.ClientError, TimeoutError):
            return False
        urls = [f"http://{e['address']}:{e['port']}" for e in body["instances"]]
        if not urls:
            return False
        self._ranked = urls
        self._expires_at = time.monotonic() + float(body["ttl_seconds"])
        return True
