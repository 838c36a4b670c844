"""Requests as a caller writes them to a connection, and a check of what comes back."""

from __future__ import annotations

import http.client
import io
import itertools
from typing import NamedTuple

from guavajunction_fakes.deployment import HEADERS, HOST
from platform_calls import KEY

STREAM = b"".join(b"id: %d\ndata: token %d\n\n" % (n, n) for n in (1, 2, 3))
"""Body of a stream."""
FAILURES = {502, 503, 504}

# Ids of one length make the bytes of each case equally long.
_numbers = itertools.count(100_001)


class Sent(NamedTuple):
    """A request as its caller sends it."""

    request_id: str
    method: str
    data: bytes
    status: int
    """Status of the answer, unless the request fails."""


def ask(
    path="/book/1",
    *,
    method="POST",
    version="1.1",
    body=b"x",
    chunked=False,
    key=KEY,
    status=200,
    **fields,
):
    """Return a request."""
    request_id = f"caller-{next(_numbers)}"
    own = {
        "Host": HOST,
        HEADERS.request_id: request_id,
        HEADERS.deadline: 6000,
        HEADERS.key: f"Token {key}",
    }
    if path.startswith("/draft"):
        own |= {HEADERS.model: "m1", HEADERS.tokens: "100,20", HEADERS.parts: "a:100"}
    if chunked:
        own["Transfer-Encoding"] = "chunked"
        body = b"1\r\nx\r\n%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
    else:
        own["Content-Length"] = len(body)
    head = [f"{method} {path} HTTP/{version}"]
    head += [f"{name}: {value}" for name, value in (own | fields).items() if value]
    return Sent(
        request_id, method, "\r\n".join([*head, "", ""]).encode() + body, status
    )


def stream(**options):
    return ask("/draft/1", **options)


def last(**options):
    return ask(Connection="close", **options)


class Received(io.BytesIO):
    """The bytes of a connection, from which `http.client` takes responses."""

    def makefile(self, _):
        return self

    def close(self):
        """Stay open for the next response."""


def whole_answers(requests, received, in_order):
    """Check the answers to requests; return the statuses of the whole ones.

    Only the last answer may be incomplete, and only if that can be seen.
    """
    left = Received(received)
    statuses = []
    for sent in requests:
        rest = received[left.tell() :]
        if b"\r\n\r\n" not in rest:
            assert rest[:7] == b"HTTP/1."[: len(rest)]
            return statuses
        resp = http.client.HTTPResponse(left, method=sent.method)
        resp.begin()
        assert resp.status in {sent.status, *FAILURES}, (sent.data[:200], rest[:400])
        request_id = resp.headers.get(HEADERS.request_id)
        assert request_id == sent.request_id or (not request_id and resp.status != 200)
        assert (HEADERS.seal in resp.headers) == (resp.status == 200)
        ends_with_connection = resp.length is None and not resp.chunked
        try:
            body = resp.read()
        except http.client.IncompleteRead:
            return statuses
        if ends_with_connection and not in_order:
            return statuses
        if resp.status == 200 and sent.method != "HEAD":
            if resp.headers["Content-Type"] == "text/event-stream":
                assert body == STREAM
            else:
                assert body == b"done by " + sent.request_id.encode()
        statuses.append(resp.status)
    assert left.read() == b""
    return statuses
