"""What a value of the document must satisfy beyond its type."""

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
    """Tell whether a text can name an entry.

    >>> is_name("garment-7b"), is_name("a@b"), is_name("")
    (True, False, False)
    """
    return _NAME.fullmatch(text) is not None


def is_address(text: str) -> bool:
    """Tell whether a text is an IP number and a port.

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
    """Tell whether a text is a path prefix without a slash at its end.

    >>> is_prefix("/bookings"), is_prefix("/"), is_prefix("/bookings/")
    (True, True, False)
    """
    segments = text.split("/")
    return _PREFIX.fullmatch(text) is not None and not {".", ".."} & set(segments)


def is_digest(text: str) -> bool:
    """Tell whether a text is a SHA-256 in hexadecimal."""
    return _DIGEST.fullmatch(text) is not None


class TextFormat(NamedTuple):
    """A form that a text must have."""

    description: str
    """The form in words, for a fault."""
    matches: Callable[[str], bool]


NAME = TextFormat("letters, digits, `.`, `_` or `-`, at most 64", is_name)
ADDRESS = TextFormat("an IP number and a port, `10.0.0.1:8000`", is_address)
PREFIX = TextFormat("a path that starts with `/` and does not end with one", is_prefix)
DIGEST = TextFormat("64 hexadecimal digits", is_digest)


class Rule(NamedTuple):
    """Meaning and limits of one value of the document."""

    meaning: str
    """What the value says, for the reference page."""
    above: float | None = None
    """Limit that a number must exceed."""
    at_least: float | None = None
    """Lowest allowed number, or length of a list."""
    text_format: TextFormat | None = None
    """Form of a text or of each text of a list."""

    def limits(self) -> str:
        """Return the limits in words, empty if there are none.

        >>> Rule("", above=0).limits()
        'more than 0'
        """
        if self.above is not None:
            return f"more than {self.above:g}"
        if self.at_least is not None:
            return f"at least {self.at_least:g}"
        return self.text_format.description if self.text_format else ""
