"""Planned stops of real instances under load.

Guards against requests that are passed on so late in a planned stop that the process
ends before their answers.
"""

from __future__ import annotations

import signal

import pytest

from guavajunction_fakes.soak import LoyalCallers
from platform_calls import KEY, runs

CALLERS = 24


class Stop:
    """What callers saw of a planned stop, and what backend servers ran."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.callers = LoyalCallers(deployment, "front-1", KEY, "stop")

    async def play(self):
        await self.callers.run(CALLERS, signal.SIGTERM)

    def _ran(self):
        return {run.request_id for run in runs(self.deployment)}

    def lost(self):
        """Return the requests that were run and got no complete answer."""
        ran = self._ran()
        return [
            (call.request_id, round(call.sent_at - self.callers.signalled_at, 2))
            for call in self.callers.calls
            if call.status is None and call.request_id in ran
        ]

    def statuses(self, after):
        """Return the statuses of requests sent some seconds after the signal."""
        since = self.callers.signalled_at + after
        return [call.status for call in self.callers.calls if call.sent_at >= since]

    def run_though_refused(self):
        ran = self._ran()
        return [
            call.request_id
            for call in self.callers.calls
            if call.status == 503 and call.request_id in ran
        ]


class TestStopUnderLoad:
    """Each request that an instance passes on in a planned stop is answered."""

    @pytest.mark.parametrize("longest", [0.2, 0.9])
    async def test_no_request_loses_its_answer(self, deployment, longest):
        for runner in deployment.runners.values():
            runner.max_work_seconds = longest
            runner.spec = runner.spec._replace(slots=64)
        stop = Stop(deployment)
        await stop.play()
        assert stop.callers.exit_status == 0
        assert stop.lost() == []
        assert stop.run_though_refused() == []
        assert stop.statuses(after=1.0).count(200) > 0
        assert 504 not in stop.statuses(after=-10.0)

    async def test_request_that_never_ends_is_answered_before_the_process_ends(
        self, deployment
    ):
        for runner in deployment.runners.values():
            runner.max_work_seconds = 60.0
        stop = Stop(deployment)
        await stop.play()
        assert stop.callers.exit_status == 0
        assert stop.lost() == []
        assert stop.run_though_refused() == []
