"""The walks of docs/OPERATIONS.md: from the id of a failed request to its cause."""

from __future__ import annotations

import io

import pytest

from guavajunction_ctl.main import execute
from guavajunction_fakes.deployment import HEADERS
from platform_calls import call, until


async def walk(deployment, request_id):
    """Return what `guavactl trace` prints for a request."""
    logs = [f"--log={p.log_path}" for p in deployment.instances.values()]
    out, err = io.StringIO(), io.StringIO()
    status = await execute(["guavactl", *logs, "trace", request_id], out, err)
    return status, out.getvalue() + err.getvalue()


async def logged(deployment, request_id):
    """Wait until a request's line has been written."""
    await until(
        lambda: any(
            request_id in process.log_path.read_text()
            for process in deployment.instances.values()
        )
    )


async def fail(deployment, path, **kwargs):
    """Send a request that fails; return its id and status."""
    request_id = f"walk-{path.strip('/').replace('/', '-')}"
    headers = {HEADERS.request_id: request_id}
    reply = await call(deployment, path, **headers, **kwargs)
    await logged(deployment, request_id)
    return request_id, reply.status


class TestWalks:
    """Three kinds of failure, each explained by one command."""

    async def test_model_that_was_not_there(self, deployment):
        for runner in deployment.runners.values():
            runner.spec = runner.spec._replace(load_seconds=6.0)
        deployment.operator.load_seconds = 6.0
        deployment.operator.write()
        request_id, status = await fail(deployment, "/draft/rare", model="m3")
        assert status == 503
        _, text = await walk(deployment, request_id)
        assert "type=no_replica" in text
        assert "swapping:author_began" in text
        await until(lambda: _planned(deployment))
        _, text = await walk(deployment, request_id)
        assert "swapping:move_planned" in text
        assert "model=m3" in text

    async def test_rate_that_was_exceeded(self, deployment):
        deployment.operator.add_customer("small", ["small-key"], rate=10, burst=20)
        deployment.operator.write()
        await until(
            lambda: all(
                p.log_path.read_text().count("gateway:configured") >= 2
                for p in deployment.instances.values()
            )
        )
        statuses = []
        for number in range(40):
            request_id, status = await fail(
                deployment, f"/book/rate/{number}", key="small-key"
            )
            statuses.append(status)
            if status == 429:
                break
        assert statuses[-1] == 429
        _, text = await walk(deployment, request_id)
        assert "type=rate_limited" in text
        assert "customer 'small': " in text
        assert "were let through by" in text

    async def test_request_that_may_have_run(self, deployment):
        for runner in deployment.runners.values():
            runner.wrong_request_ids = True
        request_id, status = await fail(deployment, "/book/crossed")
        assert status in (502, 504)
        _, text = await walk(deployment, request_id)
        assert "gateway:sent backend=booking" in text
        assert "gateway:failed type=outcome_unknown" in text
        assert "gateway:backend_seen" in text

    async def test_request_that_nobody_knows(self, deployment):
        status, text = await walk(deployment, "nothing")
        assert status == 1
        assert "None of 2 logs knows request nothing." in text

    @pytest.mark.parametrize(
        ("arguments", "message"),
        [
            (["trace", "x"], "No log is named"),
            (["--log=/nowhere/x.log", "trace", "x"], "The log '/nowhere/x.log' cannot"),
        ],
    )
    async def test_wrong_command_lines(self, arguments, message):
        out, err = io.StringIO(), io.StringIO()
        status = await execute(["guavactl", *arguments], out, err)
        assert (status, out.getvalue()) == (2, "")
        assert message in err.getvalue()


def _planned(deployment):
    return any(
        "move_planned" in process.log_path.read_text()
        for process in deployment.instances.values()
    )
