"""Tests of `guavactl trace`: it explains a failed request by its id."""

from __future__ import annotations

import io

import pytest

from guavajunction_ctl.main import execute
from guavajunction_fakes.deployment import HEADERS
from platform_calls import call, wait_until


async def run_trace(deployment, request_id):
    """Return exit status and output of `guavactl trace` for a request."""
    logs = [f"--log={p.log_path}" for p in deployment.instances.values()]
    out, err = io.StringIO(), io.StringIO()
    status = await execute(["guavactl", *logs, "trace", request_id], out, err)
    return status, out.getvalue() + err.getvalue()


async def wait_until_logged(deployment, request_id):
    """Wait until a log contains the request id."""
    await wait_until(
        lambda: any(
            request_id in process.log_path.read_text()
            for process in deployment.instances.values()
        )
    )


async def send(deployment, path, **kwargs):
    """Send a request and return its id and the status of the response."""
    request_id = f"walk-{path.strip('/').replace('/', '-')}"
    headers = {HEADERS.request_id: request_id}
    reply = await call(deployment, path, **headers, **kwargs)
    await wait_until_logged(deployment, request_id)
    return request_id, reply.status


class TestTraceCommand:
    """One command explains each kind of failure described in docs/OPERATIONS.md."""

    async def test_request_for_an_unloaded_model(self, deployment):
        for runner in deployment.runners.values():
            runner.spec = runner.spec._replace(load_seconds=6.0)
        deployment.operator.load_seconds = 6.0
        deployment.operator.write()
        request_id, status = await send(deployment, "/draft/rare", model="m3")
        assert status == 503
        _, text = await run_trace(deployment, request_id)
        assert "type=no_replica" in text
        assert "swapping:author_began" in text
        await wait_until(lambda: _planned(deployment))
        _, text = await run_trace(deployment, request_id)
        assert "swapping:move_planned" in text
        assert "model=m3" in text

    async def test_request_over_the_rate_limit(self, deployment):
        deployment.operator.add_customer("small", ["small-key"], rate=10, burst=20)
        deployment.operator.write()
        await wait_until(
            lambda: all(
                p.log_path.read_text().count("gateway:configured") >= 2
                for p in deployment.instances.values()
            )
        )
        statuses = []
        for number in range(40):
            request_id, status = await send(
                deployment, f"/book/rate/{number}", key="small-key"
            )
            statuses.append(status)
            if status == 429:
                break
        assert statuses[-1] == 429
        _, text = await run_trace(deployment, request_id)
        assert "type=rate_limited" in text
        assert "customer 'small': " in text
        assert "were let through by" in text

    async def test_request_with_unknown_outcome(self, deployment):
        for runner in deployment.runners.values():
            runner.wrong_request_ids = True
        request_id, status = await send(deployment, "/book/crossed")
        assert status in (502, 504)
        _, text = await run_trace(deployment, request_id)
        assert "gateway:sent backend=booking" in text
        assert "gateway:failed type=outcome_unknown" in text
        assert "gateway:backend_seen" in text

    async def test_request_missing_from_all_logs(self, deployment):
        status, text = await run_trace(deployment, "nothing")
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
