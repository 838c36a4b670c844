"""Reads the body of a response."""

from __future__ import annotations

from collections.abc import AsyncIterator

import aiohttp

from ._second_head import SecondHeadDetector

MAX_BODY_BYTES = 16_777_216
"""Default limit, well above the largest body of any service that the product calls."""


class BodyTooLarge(aiohttp.ClientPayloadError):
    """A body is larger than its reader accepts."""


async def iter_body(
    resp: aiohttp.ClientResponse, id_header: str
) -> AsyncIterator[bytes]:
    """Yield the chunks of a body as they arrive.

    Args:
        resp: The response.
        id_header: Header by which a response names its request.

    Raises:
        WrongResponse: Another response follows in a body that has neither a length nor
            chunks. What precedes it may be the whole body or not.
        aiohttp.ClientError: The body could not be read completely.
    """
    if not _ends_with_connection(resp):
        async for chunk in resp.content.iter_any():
            yield chunk
        return
    detector = SecondHeadDetector(id_header)
    async for chunk in resp.content.iter_any():
        if body := detector.feed(chunk):
            yield body
    if body := detector.flush():
        yield body


async def read_body(
    resp: aiohttp.ClientResponse,
    max_bytes: int = MAX_BODY_BYTES,
    *,
    id_header: str | None = None,
) -> bytes:
    """Return the body of a response.

    Args:
        resp: The response.
        max_bytes: Maximum size of the body.
        id_header: Header by which a response names its request; None if responses do
            not name their requests.

    Raises:
        BodyTooLarge: The body has more than `max_bytes`; the connection is closed.
        WrongResponse: Another response follows in the body; see `iter_body`.
        aiohttp.ClientError: The body could not be read completely.
    """
    body = bytearray()
    chunks = iter_body(resp, id_header) if id_header else resp.content.iter_any()
    async for chunk in chunks:
        body += chunk
        if len(body) > max_bytes:
            resp.close()
            raise BodyTooLarge(f"the body has over {max_bytes} bytes")
    return bytes(body)


def is_chunked(resp: aiohttp.ClientResponse) -> bool:
    """Return whether chunks mark the end of a body: they are its last coding."""
    codings = resp.headers.get("Transfer-Encoding", "").lower().split(",")
    return codings[-1].strip() == "chunked"


def _ends_with_connection(resp: aiohttp.ClientResponse) -> bool:
    return resp.content_length is None and not is_chunked(resp)
