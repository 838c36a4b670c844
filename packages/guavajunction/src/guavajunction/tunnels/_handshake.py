"""Handshake at the beginning of a tunnel.

The exit sends a nonce. The entrance names a backend server and proves that it holds the
fleet's secret. The exit answers with one byte, and from then on the connection leads to
the backend server.
"""

from __future__ import annotations

import hashlib
import hmac
import secrets
from enum import IntEnum
from typing import NamedTuple

import msgspec

NONCE_BYTES = 16
LENGTH_BYTES = 2
"""Size of the length that precedes the entrance's message."""
MAX_MESSAGE_BYTES = 1024
PURPOSE = b"guavajunction tunnel 1"
"""Separates these proofs from other uses of the fleet's secret."""


class TunnelReply(IntEnum):
    """What the exit answers."""

    CONNECTED = 0
    SERVER_UNREACHABLE = 1
    """The backend server refuses connections of the exit."""
    NO_PATH = 2
    """The exit is cut itself, is stopping, is full, or knows no such server."""


class TunnelWanted(NamedTuple):
    """Asks for a connection to a backend server."""

    backend: str
    proof: bytes


def new_nonce() -> bytes:
    """Return a nonce for one handshake."""
    return secrets.token_bytes(NONCE_BYTES)


def encode_wanted(backend: str, nonce: bytes, secret: str) -> bytes:
    """Return the entrance's message with its length.

    Raises:
        OSError: The name of the backend server is too long for a message.
    """
    wanted = TunnelWanted(backend, _proof(backend, nonce, secret))
    message = msgspec.msgpack.encode(wanted)
    if len(message) > MAX_MESSAGE_BYTES:
        raise OSError(f"the name of a backend server has {len(backend)} characters")
    return len(message).to_bytes(LENGTH_BYTES, "big") + message


def decode_wanted(message: bytes, nonce: bytes, secret: str) -> str | None:
    """Return the named backend server, or None if the message is not genuine.

    >>> nonce = new_nonce()
    >>> message = encode_wanted("engine-1", nonce, "secret")[LENGTH_BYTES:]
    >>> decode_wanted(message, nonce, "secret")
    'engine-1'
    >>> decode_wanted(message, nonce, "other") is None
    True
    """
    try:
        wanted = msgspec.msgpack.decode(message, type=TunnelWanted)
    except msgspec.DecodeError:
        return None
    expected = _proof(wanted.backend, nonce, secret)
    return wanted.backend if hmac.compare_digest(expected, wanted.proof) else None


def _proof(backend: str, nonce: bytes, secret: str) -> bytes:
    content = PURPOSE + nonce + backend.encode("utf-8", "surrogatepass")
    return hmac.digest(secret.encode("ascii"), content, hashlib.sha256)
