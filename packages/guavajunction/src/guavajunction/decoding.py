"""Decodes bytes from outside, of which any may be malformed."""

from __future__ import annotations

from typing import Protocol, TypeVar

import msgspec

T = TypeVar("T", covariant=True)


class Decoder(Protocol[T]):
    """Decoder of one type, such as those of `msgspec`."""

    def decode(self, body: bytes) -> T:
        """Return the decoded value."""
        ...


def decode(decoder: Decoder[T], body: bytes) -> T:
    """Decode bytes from outside.

    Raises:
        msgspec.DecodeError: The bytes are malformed, in whatever way: nested too deeply
            or not in UTF-8, for example.

    >>> decode(msgspec.json.Decoder(list[int]), b"[1, 2]")
    [1, 2]
    >>> decode(msgspec.json.Decoder(), b"[" * 100_000)
    Traceback (most recent call last):
    msgspec.DecodeError: the content is nested too deeply
    """
    try:
        return decoder.decode(body)
    except RecursionError as exc:
        raise msgspec.DecodeError("the content is nested too deeply") from exc
    except UnicodeDecodeError as exc:
        raise msgspec.DecodeError(f"the content is not in UTF-8: {exc}") from exc
