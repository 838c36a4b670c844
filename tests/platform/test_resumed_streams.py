"""Tests of streams that callers resume while two software versions serve."""

from __future__ import annotations

import aiohttp
import msgspec
import pytest

from guavajunction_fakes.deployment import HEADERS
from platform_calls import call, runs, wait_until


def runner_of(deployment, request_id):
    """Return the runner that ran a request, or None."""
    for runner in deployment.runners.values():
        if any(run.request_id == request_id for run in runner.runs):
            return runner
    return None


async def begin(deployment, request_id, name="front-1"):
    """Begin a stream that breaks after its first event; return its runner."""
    for runner in deployment.runners.values():
        runner.cut_after_events = 1
    with pytest.raises(aiohttp.ClientError):
        await call(
            deployment,
            "/long/1",
            model="m1",
            name=name,
            **{HEADERS.request_id: request_id},
        )
    for runner in deployment.runners.values():
        runner.cut_after_events = -1
    return runner_of(deployment, request_id)


async def resume(deployment, request_id, stream, name="front-2"):
    sent = {
        HEADERS.request_id: request_id,
        HEADERS.last_event: "1",
        HEADERS.resumes: stream,
    }
    return await call(deployment, "/long/1", model="m1", name=name, **sent)


class TestBrokenAnswers:
    """What another backend server answers never becomes a part of a stream."""

    async def test_page_of_text_never_becomes_a_part_of_a_stream(self, deployment):
        await begin(deployment, "s0")
        for runner in deployment.runners.values():
            runner.stream_type = "text/html"
        for number in range(8):
            reply = await resume(deployment, f"r{number}", "s0")
            assert reply.status >= 500
            assert b"token" not in reply.body

    @pytest.mark.parametrize("path", ["/book/1", "/look/1", "/draft/1", "/long/1"])
    async def test_head_that_stops_midway_is_no_success(self, deployment, path):
        model = "m1" if path in ("/draft/1", "/long/1") else None
        for runner in deployment.runners.values():
            runner.stops_in_head = True
        for _ in range(4):
            reply = await call(deployment, path, model=model)
            assert reply.status >= 500

    async def test_resumed_stream_goes_on_elsewhere_after_a_head_that_stops(
        self, deployment
    ):
        await begin(deployment, "s0")
        deployment.runners["engine-1"].stops_in_head = True
        for number in range(4):
            reply = await resume(deployment, f"r{number}", "s0")
            assert reply.status == 200
            assert reply.body.count(b"data: token") == 2


@pytest.fixture
async def two_versions(deployment):
    """A deployment whose engines serve with software of two versions."""
    engine = deployment.runners["engine-2"]
    engine.restart_as("v1.1")
    logs = [process.log_path for process in deployment.instances.values()]
    await wait_until(lambda: all("v1.1" in log.read_text() for log in logs))
    return deployment


class TestVersions:
    """A stream goes on only at the software version that began it."""

    async def test_resumed_stream_is_never_joined_from_two_versions(self, two_versions):
        for number in range(8):
            began = await begin(two_versions, f"s{number}")
            reply = await resume(two_versions, f"r{number}", f"s{number}")
            assert reply.status == 200
            assert b"id: 1\n" not in reply.body
            assert reply.body.count(b"data: token") == 2
            went_on = runner_of(two_versions, f"r{number}")
            assert went_on.spec.version == began.spec.version

    async def test_stream_goes_on_elsewhere_after_its_instance_was_killed(
        self, two_versions
    ):
        versions = set()
        for number in range(6):
            began = await begin(two_versions, f"s{number}")
            versions.add(began.spec.version)
        await two_versions.instances["front-1"].kill()
        for number in range(6):
            reply = await resume(two_versions, f"r{number}", f"s{number}")
            assert reply.status == 200
            began = runner_of(two_versions, f"s{number}")
            assert runner_of(two_versions, f"r{number}").spec == began.spec

    async def test_restarted_instance_learns_the_version_from_its_peers(
        self, two_versions
    ):
        began = await begin(two_versions, "s1")
        process = two_versions.instances["front-2"]
        await process.kill()
        process.start()
        await wait_until(lambda: two_versions.is_ready("front-2"))
        await wait_until(lambda: _lists_both(two_versions))
        reply = await resume(two_versions, "r1", "s1")
        assert reply.status == 200
        assert runner_of(two_versions, "r1").spec == began.spec

    async def test_streams_go_on_after_all_instances_were_killed(self, two_versions):
        for number in range(6):
            await begin(two_versions, f"s{number}")
        await wait_until(lambda: stored_streams(two_versions) == 6)
        await restart_all(two_versions)
        for number in range(6):
            reply = await resume(two_versions, f"r{number}", f"s{number}")
            assert reply.status == 200
            began = runner_of(two_versions, f"s{number}")
            assert runner_of(two_versions, f"r{number}").spec == began.spec
        reply = await resume(two_versions, "r9", "never-seen")
        assert reply.status == 503

    async def test_streams_of_the_only_version_go_on_after_all_were_killed(
        self, deployment
    ):
        await wait_until(lambda: "versions" in deployment.store.rows("guava-stream"))
        for number in range(6):
            await begin(deployment, f"s{number}")
        await restart_all(deployment)
        for number in range(6):
            reply = await resume(deployment, f"r{number}", f"s{number}")
            assert reply.status == 200
        assert stored_streams(deployment) == 0

    async def test_stream_of_an_unknown_version_is_not_resumed(self, two_versions):
        reply = await resume(two_versions, "r1", "never-seen")
        assert reply.status == 503
        assert not runs(two_versions)

    async def test_stream_whose_version_has_left_is_refused_at_once(self, two_versions):
        began = await begin(two_versions, "s1")
        began.restart_as("v2")
        log = two_versions.instances["front-2"].log_path
        await wait_until(lambda: '"v2"' in log.read_text())
        reply = await resume(two_versions, "r1", "s1")
        assert reply.status == 503
        assert "Retry-After" not in reply.headers
        assert runner_of(two_versions, "r1") is None


async def restart_all(deployment):
    for process in deployment.instances.values():
        await process.kill()
    for name in deployment.instances:
        deployment.start(name)
    for name in deployment.instances:
        await wait_until(lambda name=name: deployment.is_ready(name), 15.0)


def stored_streams(deployment):
    rows = deployment.store.rows("guava-stream").values()
    return sum(
        len(streams) for body in rows for *_, streams in msgspec.msgpack.decode(body)
    )


async def _lists_both(deployment):
    return len(await deployment.resolve("front-2")) == 2
