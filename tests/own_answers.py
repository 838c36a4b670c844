"""Requests to real instances whose answers show which request they belong to."""

from __future__ import annotations

import itertools
from typing import NamedTuple

import aiohttp

from guavajunction_fakes.deployment import HEADERS
from platform_calls import open_call

GENERATIONS = ("/draft/1", "/long/1")
"""Paths whose answers are streams."""
EVENTS = 3
"""Number of events in a stream."""

_numbers = itertools.count(1)


class Answer(NamedTuple):
    """What a caller received for one request."""

    request_id: str
    whole_body: bytes
    """Body of the right answer."""
    status: int = 0
    """0 if no head arrived."""
    headers: dict[str, str] = {}
    body: bytes = b""
    is_complete: bool = False
    """Whether the body ended without an error of its connection."""

    def is_own(self):
        """Return whether it is the answer to its request, whole or visibly cut."""
        if not self.status:
            return True
        if self.headers.get(HEADERS.request_id) != self.request_id:
            return False
        if self.status != 200:
            return HEADERS.seal not in self.headers
        if self.is_complete:
            return self.body == self.whole_body
        return self.whole_body.startswith(self.body)


def events_of(request_id, first):
    events = [
        f"id: {n}\ndata: token {n} of {request_id}\n\n"
        for n in range(first, EVENTS + 1)
    ]
    return "".join(events).encode()


async def ask(deployment, name, path, **headers):
    """Send a request; return what arrived of its answer."""
    request_id = f"asked-{next(_numbers)}"
    sent = {HEADERS.request_id: request_id, HEADERS.deadline: "1500", **headers}
    answer = Answer(request_id, b"done by " + request_id.encode())
    model = None
    if path in GENERATIONS:
        model = "m1"
        first = int(headers.get(HEADERS.last_event, 0)) + 1
        answer = Answer(request_id, events_of(request_id, first))
    try:
        async with open_call(deployment, path, name=name, model=model, **sent) as resp:
            answer = answer._replace(status=resp.status, headers=dict(resp.headers))
            async for chunk in resp.content.iter_any():
                answer = answer._replace(body=answer.body + chunk)
    except aiohttp.ClientError:
        return answer
    return answer._replace(is_complete=True)
