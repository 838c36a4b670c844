"""HTTP calls that are sent once, whatever the method."""

from __future__ import annotations

import aiohttp

CONNECTION_LIMIT = 256


class SendFailed(aiohttp.ClientError):
    """The connection failed after the call may have been sent."""


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keep aiohttp from sending a call a second time.

    aiohttp repeats GET, HEAD, OPTIONS, TRACE, PUT and DELETE by itself when the
    server closes the connection before it answers, on new connections too. It does
    so for two exception types only; a failure of another type ends the call.

    Args:
        req: The call.
        handler: Sends it.

    Raises:
        SendFailed: The call may have been sent and was not answered.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise SendFailed(type(exc).__name__) from exc


def single_send_session() -> aiohttp.ClientSession:
    """Return a session that sends each call once.

    Each call has a connection of its own: one that is used again may have been closed
    by the server, and the call's outcome would be unknown for no reason.
    """
    connector = aiohttp.TCPConnector(limit=CONNECTION_LIMIT, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(send_once,),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
