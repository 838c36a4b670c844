"""Compression of large message bodies.

A document that a hub sends to all its followers is sent once for each of them, over
links of a few megabits per second, and heartbeats wait behind it.
"""

from __future__ import annotations

import zlib

import msgspec

from ._envelope import Envelope, Kind

MIN_PACKED_BYTES = 4096
"""Smallest body that is compressed."""
COMPRESSION_LEVEL = 1
"""The fastest level; the processors of small instances are as scarce as bandwidth."""

_PACKED_KINDS = {
    Kind.SEND: Kind.PACKED_SEND,
    Kind.REQUEST: Kind.PACKED_REQUEST,
    Kind.REPLY: Kind.PACKED_REPLY,
}
_PLAIN_KINDS = {packed: plain for plain, packed in _PACKED_KINDS.items()}


def pack(kind: Kind, body: bytes) -> tuple[Kind, msgspec.Raw]:
    """Compress a body if it is large.

    Args:
        kind: Kind of the message; heartbeats are never compressed.
        body: MessagePack encoding of the content.

    Returns:
        The kind and the body to send.
    """
    if kind not in _PACKED_KINDS or len(body) < MIN_PACKED_BYTES:
        return kind, msgspec.Raw(body)
    packed = msgspec.msgpack.encode(zlib.compress(body, COMPRESSION_LEVEL))
    return _PACKED_KINDS[kind], msgspec.Raw(packed)


def unpack(envelope: Envelope, max_bytes: int) -> Envelope:
    """Return an envelope with its body decompressed if it was compressed.

    Args:
        envelope: The received envelope.
        max_bytes: Largest size of a decompressed body.

    Raises:
        msgspec.DecodeError: The body is not compressed data, or larger than allowed.
    """
    plain_kind = _PLAIN_KINDS.get(envelope.kind)
    if plain_kind is None:
        return envelope
    packed = msgspec.msgpack.decode(envelope.body, type=bytes)
    decompressor = zlib.decompressobj()
    try:
        body = decompressor.decompress(packed, max_bytes)
    except zlib.error as exc:
        raise msgspec.DecodeError(f"a compressed body is malformed: {exc}") from exc
    if not decompressor.eof:
        raise msgspec.DecodeError(
            f"a compressed body is incomplete or over {max_bytes} bytes"
        )
    return envelope._replace(kind=plain_kind, body=msgspec.Raw(body))
