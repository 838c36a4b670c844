"""Reads a complete body of limited size."""

from __future__ import annotations

import aiohttp

MAX_BODY_BYTES = 16_777_216
"""Default limit, well above the largest body of any service that the product calls."""


class BodyTooLarge(aiohttp.ClientPayloadError):
    """A body is larger than its reader accepts."""


async def read_body(
    resp: aiohttp.ClientResponse, max_bytes: int = MAX_BODY_BYTES
) -> bytes:
    """Return the body of a response.

    Raises:
        BodyTooLarge: The body has more than `max_bytes`; the connection is closed.
        aiohttp.ClientError: The body could not be read completely.
    """
    body = bytearray()
    async for chunk in resp.content.iter_any():
        body += chunk
        if len(body) > max_bytes:
            resp.close()
            raise BodyTooLarge(f"the body has over {max_bytes} bytes")
    return bytes(body)
