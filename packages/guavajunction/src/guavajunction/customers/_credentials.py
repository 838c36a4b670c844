"""Removes every trace of a caller's key before a request is passed on."""

from __future__ import annotations

from collections.abc import Iterable

from ._keys import KEY_PATTERN

CREDENTIAL_HEADERS = frozenset(
    {"authorization", "proxy-authorization", "cookie", "x-api-key", "api-key"}
)
"""Lower-case names of headers that never reach a backend server."""


def strip_credentials(
    pairs: Iterable[tuple[str, str]], key: str = ""
) -> list[tuple[str, str]]:
    """Return headers or query parameters without credentials.

    Headers that carry credentials by their name are dropped, and so is any pair
    whose name or value holds the caller's key or anything of a key's format.

    Args:
        pairs: Names and values, names in any case.
        key: The caller's bearer token, empty if it sent none.

    >>> strip_credentials([("Cookie", "a=b"), ("Accept", "*/*")])
    [('Accept', '*/*')]
    >>> strip_credentials([("token", "s3cret"), ("day", "2")], key="s3cret")
    [('day', '2')]
    """
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in CREDENTIAL_HEADERS
        and not _holds_key(name, key)
        and not _holds_key(value, key)
    ]


def _holds_key(text: str, key: str) -> bool:
    return bool(key and key in text) or KEY_PATTERN.search(text) is not None
