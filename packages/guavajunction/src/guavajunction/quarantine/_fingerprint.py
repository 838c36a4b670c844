"""Identifies the repeats of a request, whatever the ids of their attempts."""

from __future__ import annotations

import hashlib
from functools import cached_property

from ._part_key import DIGEST_BYTES

REQUEST_MARK = "="
"""Begins the key of a request. No key of a part that begins with it is as long."""
LENGTH_BYTES = 8
"""Size of the length that precedes each hashed field."""


class RequestFingerprint:
    """The path, caller and body of a request, which its repeats share.

    The key is computed when it is first needed, as bodies may be large.
    """

    def __init__(
        self,
        *,
        caller: str | None,
        method: str,
        host: str,
        target: str,
        body: bytes,
    ) -> None:
        """Describe a request.

        Args:
            caller: Name of the customer, None for an anonymous request.
            method: HTTP method.
            host: Value of the `Host` header; its case does not matter.
            target: Path and query.
            body: Complete body.
        """
        self._fields = (
            b"" if caller is None else b"=" + _encode(caller),
            _encode(method),
            _encode(host.lower()),
            _encode(target),
            body,
        )

    @cached_property
    def key(self) -> str:
        """Return the key, which has 25 characters.

        >>> first, second = (
        ...     RequestFingerprint(
        ...         caller="a", method="GET", host="h", target=target, body=b""
        ...     )
        ...     for target in ("/1", "/2")
        ... )
        >>> len(first.key), first.key == second.key
        (25, False)
        """
        digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
        for field in self._fields:
            digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
            digest.update(field)
        return REQUEST_MARK + digest.hexdigest()


def is_request_key(key: str) -> bool:
    """Return whether a key belongs to a request and not to a part of a prompt."""
    return key.startswith(REQUEST_MARK) and len(key) == 1 + 2 * DIGEST_BYTES


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogatepass")
