"""Parsers of single values, one for each type of setting."""

from __future__ import annotations

import ipaddress
from collections.abc import Callable
from pathlib import Path
from urllib.parse import urlsplit

from ._faults import ValueFault

MAX_PORT = 65_535
MIN_SECRET_BYTES = 16
CURVE_KEY_CHARACTERS = 40
"""Length of a CURVE key in its Z85 form."""


def parse_text(text: str) -> str:
    """Return a text, which must not be empty."""
    if not text:
        raise ValueFault("nothing", "a text")
    return text


def parse_address(text: str) -> str:
    """Return an IP address in its normal form."""
    try:
        return str(ipaddress.ip_address(text))
    except ValueError:
        raise ValueFault(repr(text), "an IP number") from None


def parse_port(text: str) -> int:
    """Return a TCP port.

    >>> parse_port("8080")
    8080
    """
    if not text.isdigit() or not 0 < int(text) <= MAX_PORT:
        raise ValueFault(repr(text), f"a port from 1 to {MAX_PORT}")
    return int(text)


def parse_count(text: str) -> int:
    """Return a whole number above zero."""
    if not text.isdigit() or int(text) == 0:
        raise ValueFault(repr(text), "a whole number above 0")
    return int(text)


def parse_seconds(text: str) -> float:
    """Return a duration in seconds, above zero.

    >>> parse_seconds("2.5")
    2.5
    """
    try:
        seconds = float(text)
    except ValueError:
        seconds = 0.0
    if not 0 < seconds < float("inf"):
        raise ValueFault(repr(text), "a number of seconds above 0")
    return seconds


def parse_choice(*choices: str) -> Callable[[str], str]:
    """Return a parser that accepts only the given words.

    >>> parse_choice("fair", "fifo")("fifo")
    'fifo'
    """

    def parse(text: str) -> str:
        if text not in choices:
            raise ValueFault(repr(text), f"one of {list(choices)}")
        return text

    return parse


def parse_url(text: str) -> str:
    """Return an HTTP URL without a trailing slash."""
    parts = urlsplit(text)
    if parts.scheme not in {"http", "https"} or not parts.hostname:
        raise ValueFault(repr(text), "an http or https URL")
    return text.rstrip("/")


def parse_secret_file(text: str) -> bytes:
    """Return the content of a secret file, without surrounding whitespace."""
    secret = _read_file(text)
    if len(secret) < MIN_SECRET_BYTES:
        raise ValueFault(
            f"{len(secret)} bytes in {text!r}", f"at least {MIN_SECRET_BYTES} bytes"
        )
    return secret


def parse_key_pair_file(text: str) -> tuple[bytes, bytes]:
    """Return the public and the secret CURVE key from a two-line file."""
    keys = _read_file(text).split()
    if [len(key) for key in keys] != [CURVE_KEY_CHARACTERS] * 2:
        raise ValueFault(
            f"{len(keys)} words in {text!r}",
            f"a public and a secret key of {CURVE_KEY_CHARACTERS} characters each",
        )
    return keys[0], keys[1]


def _read_file(text: str) -> bytes:
    try:
        return Path(text).read_bytes().strip()
    except OSError as exc:
        raise ValueFault(f"{text!r} ({exc.strerror})", "a readable file") from None
