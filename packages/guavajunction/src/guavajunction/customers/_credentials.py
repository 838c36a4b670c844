"""Removes the caller's credentials before a request is forwarded."""

from __future__ import annotations

from collections.abc import Iterable

from ._keys import KEY_PATTERN

CREDENTIAL_HEADERS = frozenset(
    {"authorization", "proxy-authorization", "cookie", "x-api-key", "api-key"}
)
"""Lower-case names of headers that are not forwarded to backend servers."""


def strip_credentials(
    pairs: Iterable[tuple[str, str]], key: str = ""
) -> list[tuple[str, str]]:
    """Return headers or query parameters without credentials.

    Removes the headers in `CREDENTIAL_HEADERS`, and every pair whose name or value
    contains the caller's key or any text in the format of a key.

    Args:
        pairs: Names and values, names in any case.
        key: The caller's bearer token; empty if the request has none.

    >>> strip_credentials([("Cookie", "a=b"), ("Accept", "*/*")])
    [('Accept', '*/*')]
    >>> strip_credentials([("token", "s3cret"), ("day", "2")], key="s3cret")
    [('day', '2')]
    """
    return [
        (name, value)
        for name, value in pairs
        if name.lower() not in CREDENTIAL_HEADERS
        and not _contains_key(name, key)
        and not _contains_key(value, key)
    ]


def _contains_key(text: str, key: str) -> bool:
    return bool(key and key in text) or KEY_PATTERN.search(text) is not None
