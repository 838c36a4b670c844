"""Section bodies in the object store: encoded sections, named by SHA-256 digest."""

from __future__ import annotations

import hashlib
import random
from collections.abc import Callable

import msgspec

from guavajunction.clock import Clock
from guavajunction.errors import ObjectCorrupt, PlatformError, StoreUnavailable
from guavajunction.storage import ObjectStore

from ._head import SectionRef
from ._tables import Section, Sections, empty_sections

READ_ATTEMPTS = 5
"""Maximum number of reads of one body."""
WRITE_ATTEMPTS = 3
"""Maximum number of writes of one body."""
_MIN_RETRY_DELAY_SECONDS = 0.05


def encode_section(section: Section) -> bytes:
    """Encode a section deterministically: equal sections have equal bodies."""
    return msgspec.json.encode(section, order="deterministic")


def body_digest(body: bytes) -> str:
    """Return the SHA-256 digest of a body in hexadecimal."""
    return hashlib.sha256(body).hexdigest()


class SectionBodies:
    """Reads and writes section bodies and caches the latest body of each section."""

    def __init__(
        self,
        objects: ObjectStore,
        clock: Clock,
        *,
        jitter: Callable[[], float] = random.random,
    ) -> None:
        self._objects = objects
        self._clock = clock
        self._jitter = jitter
        self._latest: dict[str, tuple[str, Section]] = {}

    async def write(self, section: str, body: bytes) -> None:
        """Store a body under its digest.

        Raises:
            StoreUnavailable: None of `WRITE_ATTEMPTS` writes was confirmed.
        """
        name = f"configuration/{section}/{body_digest(body)}"
        for attempt in range(WRITE_ATTEMPTS):
            try:
                return await self._objects.put(name, body)
            except PlatformError as exc:
                failure = exc
                await self._wait_before_retry(attempt)
        raise StoreUnavailable(f"not accepted: {failure.message}") from failure

    async def read_all(self, refs: dict[str, SectionRef]) -> Sections:
        """Read the sections to which the references of a head point.

        Raises:
            PlatformError: A body could not be read intact in `READ_ATTEMPTS` reads.
        """
        sections = empty_sections()
        for name, ref in refs.items():
            sections[name] = await self.read(name, ref)
        return sections

    async def read(self, section: str, ref: SectionRef) -> Section:
        """Read one section, from the cache if the cached body has the same digest.

        Raises:
            PlatformError: The body could not be read intact in `READ_ATTEMPTS` reads.
        """
        digest, decoded = self._latest.get(section, ("", {}))
        if digest == ref.digest:
            return decoded
        body = await self._fetch(ref.object_name(section), ref.digest)
        return self.cache_body(section, ref.digest, body)

    def cache_body(self, section: str, digest: str, body: bytes) -> Section:
        """Check a body against its digest, then decode and cache it.

        Raises:
            ObjectCorrupt: The body does not have the digest.
        """
        if body_digest(body) != digest:
            raise ObjectCorrupt(f"section {section} does not have its digest")
        decoded = msgspec.json.decode(body)
        self._latest[section] = (digest, decoded)
        return decoded

    async def _fetch(self, name: str, digest: str) -> bytes:
        """Read an object until its content matches the digest in its name.

        The object store may miss a new object or return a damaged one, so a
        mismatch is retried like a failed read.
        """
        for attempt in range(READ_ATTEMPTS):
            try:
                body = await self._objects.get(name)
            except PlatformError:
                if attempt == READ_ATTEMPTS - 1:
                    raise
            else:
                if body_digest(body) == digest:
                    return body
            await self._wait_before_retry(attempt)
        raise ObjectCorrupt(f"{name} does not have its digest")

    async def _wait_before_retry(self, attempt: int) -> None:
        delay = _MIN_RETRY_DELAY_SECONDS * 2**attempt
        await self._clock.sleep(delay * (0.5 + self._jitter()))
