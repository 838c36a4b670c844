"""Where a caller connects."""

from __future__ import annotations

import random
import time

import aiohttp

from guavajunction_fakes._errors import NoInstance


class DirectoryCache:
    """Asks any instance which ones to use and keeps the answer for its lifetime."""

    ASK_TIMEOUT_SECONDS = 3.0
    AVOID_SECONDS = 2.0
    """How long an instance that failed is used last."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        entries: list[str],
        key: str,
        data_centre: str,
        seed: str,
    ) -> None:
        self._session = session
        self._known = list(entries)
        self._headers = {"Authorization": f"Bearer {key}"}
        self._data_centre = data_centre
        self._random = random.Random(seed)
        self._ranked: list[str] = []
        self._keep_until = 0.0
        self._failed: dict[str, float] = {}
        self.asked = 0
        """Questions that were sent."""

    async def best(self) -> str:
        """Return the URL of the instance to use now.

        Raises:
            NoInstance: None answered and none is known.
        """
        if time.monotonic() >= self._keep_until:
            await self._ask()
        if not self._ranked:
            raise NoInstance("no instance answered the directory's question")
        now = time.monotonic()
        return min(self._ranked, key=lambda url: self._failed.get(url, 0.0) > now)

    def failed(self, url: str) -> None:
        """Note that an instance did not answer or cannot serve."""
        self._failed[url] = time.monotonic() + self.AVOID_SECONDS
        self._keep_until = 0.0

    async def _ask(self) -> None:
        asked = self._ranked + self._random.sample(self._known, len(self._known))
        now = time.monotonic()
        asked.sort(key=lambda url: self._failed.get(url, 0.0) > now)
        for url in dict.fromkeys(asked):
            if await self._ask_one(url):
                return

    async def _ask_one(self, url: str) -> bool:
        self.asked += 1
        timeout = aiohttp.ClientTimeout(total=self.ASK_TIMEOUT_SECONDS)
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
        found = [f"http://{e['address']}:{e['port']}" for e in body["instances"]]
        if not found:
            return False
        self._ranked = found
        self._keep_until = time.monotonic() + float(body["ttl_seconds"])
        return True
