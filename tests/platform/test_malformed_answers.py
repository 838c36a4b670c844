"""Tests of real instances with a backend server whose bytes are no answer.

Guards against callers that get malformed heads, or bodies that are not the server's.
"""

from __future__ import annotations

import asyncio

import pytest

from guavajunction_fakes.deployment import HEADERS
from message_forms import MALFORMED_CHUNKS, MALFORMED_HEADS
from platform_calls import call, runs

ROUNDS = 4
SEAL_LINE = f"{HEADERS.seal}: sealed\r\n".encode()
CHOSEN = [
    "status 000",
    "blank after a name",
    "control byte in a name",
    "length and chunks",
    "blank after a size",
]


def raw_answer(name):
    data = (MALFORMED_HEADS | MALFORMED_CHUNKS)[name]
    return data.replace(b"{id}", b"{id}" + SEAL_LINE)


@pytest.fixture(params=CHOSEN)
def faulty(request, deployment):
    """Let one plain backend server answer in a malformed way; return it."""
    plain = [r for r in deployment.runners.values() if not r.spec.engine]
    plain[0].raw_answer = raw_answer(request.param)
    return plain[0]


async def ask_all(deployment, path):
    """Send requests through every instance; return the answers."""
    return await asyncio.gather(
        *(
            call(deployment, path, name=name)
            for name in deployment.instances
            for _ in range(ROUNDS)
        )
    )


class TestCallers:
    """A caller gets an answer of the protocol, and whole, or a failure."""

    async def test_safe_request_is_answered_by_another_server(self, deployment, faulty):
        replies = await ask_all(deployment, "/look/1")
        assert {reply.status for reply in replies} == {200}
        assert {reply.body[:8] for reply in replies} == {b"done by "}
        assert faulty.runs

    async def test_unsafe_request_fails_without_a_promise_and_runs_once(
        self, deployment, faulty
    ):
        replies = await ask_all(deployment, "/book/1")
        failed = [reply for reply in replies if reply.status != 200]
        assert len(failed) == len(faulty.runs) > 0
        assert {reply.status for reply in failed} <= {502, 504}
        assert not any(HEADERS.seal in reply.headers for reply in failed)
        ids = [run.request_id for run in runs(deployment)]
        assert len(ids) == len(set(ids)) == len(replies)
