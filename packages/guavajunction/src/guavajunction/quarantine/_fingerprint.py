"""Identifies the repeats of a request, whatever the ids of their attempts."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable
from functools import cached_property

from ._part_key import DIGEST_BYTES

REQUEST_MARK = "="
"""Begins the key of a request. No key of a part that begins with it is as long."""
KEY_LENGTH = len(REQUEST_MARK) + 2 * DIGEST_BYTES
COMMON_LENGTH = len(REQUEST_MARK) + DIGEST_BYTES
"""Number of characters that the keys of a request have in common: 48 bits."""
LENGTH_BYTES = 8
"""Size of the length that precedes each hashed field."""


class RequestFingerprint:
    """The path, caller, body and prompt of a request, which its repeats share.

    The keys are computed when they are first needed, as bodies may be large.
    """

    def __init__(
        self,
        *,
        caller: str | None,
        method: str,
        host: str,
        target: str,
        body: bytes,
        prompt: Iterable[str] | None = None,
    ) -> None:
        """Describe a request.

        Args:
            caller: Name of the customer, None for an anonymous request.
            method: HTTP method.
            host: Value of the `Host` header; its case does not matter.
            target: Path and query.
            body: Complete body.
            prompt: Model and ids of all parts of the prompt; None for a plain request.
        """
        self._fields = (
            b"" if caller is None else b"=" + _encode(caller),
            _encode(method),
            _encode(host.lower()),
            _encode(target),
            body,
        )
        self._prompt = None if prompt is None else tuple(prompt)

    @cached_property
    def key(self) -> str:
        """Return the key of the path, caller and body, which has 25 characters.

        >>> first, second = (
        ...     RequestFingerprint(
        ...         caller="a", method="GET", host="h", target=target, body=b""
        ...     )
        ...     for target in ("/1", "/2")
        ... )
        >>> len(first.key), first.key == second.key
        (25, False)
        """
        return _request_key(self._fields)

    @cached_property
    def keys(self) -> tuple[str, ...]:
        """Return `key` and, for a generation, the key that covers its prompt as well.

        Different generations may have the same body. Both keys begin alike.
        """
        if self._prompt is None:
            return (self.key,)
        with_prompt = _request_key((self.key.encode(), *map(_encode, self._prompt)))
        return self.key, self.key[:COMMON_LENGTH] + with_prompt[COMMON_LENGTH:]


def is_request_key(key: str) -> bool:
    """Return whether a key belongs to a request and not to a part of a prompt."""
    return key.startswith(REQUEST_MARK) and len(key) == KEY_LENGTH


def common_start(key: str) -> str:
    """Return what all keys of requests with one path, caller and body begin with."""
    return key[:COMMON_LENGTH]


def _request_key(fields: Iterable[bytes]) -> str:
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return REQUEST_MARK + digest.hexdigest()


def _encode(text: str) -> bytes:
    return text.encode("utf-8", "surrogatepass")
