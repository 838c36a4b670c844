"""Tests of the desk that hands out sends to a backend server."""

from __future__ import annotations

from guavajunction.intake import PermitDesk
from guavajunction.quarantine import BackendId


class TestFirstShare:
    """A desk that begins at once with a part of the rate."""

    def test_rare_questions_do_not_exceed_a_rate_below_one_a_second(self):
        desk, engine = PermitDesk(), BackendId("e1", 1)
        times = [n * 1.05 for n in range(57)]
        granted = [
            at
            for at in times
            if desk.take(engine, rate=0.3, now=at, first_share=0.38) == 0.0
        ]
        assert len(granted) <= 0.3 * 60 + 2
