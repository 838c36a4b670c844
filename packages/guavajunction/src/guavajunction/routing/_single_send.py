"""HTTP sessions that send each request at most once, whatever the method."""

from __future__ import annotations

import aiohttp

from guavajunction.connections import StrictConnector

MAX_CONNECTIONS = 256


class SendFailed(aiohttp.ClientError):
    """The connection failed; the server may have received the request."""


async def send_once(
    req: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Client middleware that prevents aiohttp's automatic retries.

    aiohttp sends GET, HEAD, OPTIONS, TRACE, PUT and DELETE a second time if the server
    closes the connection before it responds, on new connections too. It retries on two
    exception types only. This middleware converts both to `SendFailed`, on which
    aiohttp does not retry.

    Args:
        req: The request.
        handler: Next handler of the chain, which sends the request.

    Raises:
        SendFailed: The request may have been sent and got no response.
    """
    try:
        return await handler(req)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as exc:
        raise SendFailed(type(exc).__name__) from exc


def single_send_session() -> aiohttp.ClientSession:
    """Return a session that sends each request at most once.

    Connections are not reused. The server may close an idle connection while a request
    is being sent on it, which would leave the outcome of the request unknown.
    """
    connector = StrictConnector(limit=MAX_CONNECTIONS, force_close=True)
    return aiohttp.ClientSession(
        connector=connector,
        middlewares=(send_once,),
        cookie_jar=aiohttp.DummyCookieJar(),
        auto_decompress=False,
    )
