"""Rules for values of the document, beyond their types."""

from __future__ import annotations

import ipaddress
import re
from collections.abc import Callable
from typing import NamedTuple

_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}")
_PREFIX = re.compile(r"/|(/[A-Za-z0-9._~-]+)+")
_DIGEST = re.compile(r"[0-9a-f]{64}")
_MAX_PORT = 65535


def is_name(text: str) -> bool:
    """Return whether a text is a valid name of an entry.

    >>> is_name("garment-7b"), is_name("a@b"), is_name("")
    (True, False, False)
    """
    return _NAME.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Return whether a text is an IP address and a port.

    >>> is_address("10.0.0.1:8000"), is_address("[::1]:80"), is_address("host:80")
    (True, True, False)
    """
    host, _, port = text.rpartition(":")
    if not port.isascii() or not port.isdigit():
        return False
    return 0 < int(port) <= _MAX_PORT and _is_ip(host)


def _is_ip(host: str) -> bool:
    bracketed = host.startswith("[") and host.endswith("]")
    try:
        ip = ipaddress.ip_address(host[1:-1] if bracketed else host)
    except ValueError:
        return False
    return bracketed == (ip.version == 6)


def is_prefix(text: str) -> bool:
    """Return whether a text is a path prefix without a trailing slash.

    >>> is_prefix("/bookings"), is_prefix("/"), is_prefix("/bookings/")
    (True, True, False)
    """
    segments = text.split("/")
    return _PREFIX.fullmatch(text) is not None and not {".", ".."} & set(segments)


def is_digest(text: str) -> bool:
    """Return whether a text is a SHA-256 digest in lowercase hexadecimal."""
    return _DIGEST.fullmatch(text) is not None


class TextFormat(NamedTuple):
    """A format that a text must have."""

    description: str
    """The format as text for messages about faults."""
    matches: Callable[[str], bool]


NAME = TextFormat("letters, digits, `.`, `_` or `-`, at most 64", is_name)
ADDRESS = TextFormat("an IP number and a port, `10.0.0.1:8000`", is_address)
PREFIX = TextFormat("a path that starts with `/` and does not end with one", is_prefix)
DIGEST = TextFormat("64 hexadecimal digits", is_digest)


class Rule(NamedTuple):
    """Meaning and limits of one value of the document."""

    meaning: str
    """Meaning of the value, for the reference page."""
    above: float | None = None
    """Exclusive lower bound of a number."""
    at_least: float | None = None
    """Inclusive lower bound of a number or of the length of a list."""
    text_format: TextFormat | None = None
    """Format of a text, or of each text in a list."""

    def limits(self) -> str:
        """Return the limits as text for messages, empty if there are none.

        >>> Rule("", above=0).limits()
        'more than 0'
        """
        if self.above is not None:
            return f"more than {self.above:g}"
        if self.at_least is not None:
            return f"at least {self.at_least:g}"
        return self.text_format.description if self.text_format else ""
