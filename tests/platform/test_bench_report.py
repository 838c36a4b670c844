"""Tests of the breakdown of a bench run's worth."""

from __future__ import annotations

import json

from guavajunction_platform.bench_report import break_down, main

REPORT = {
    "classes": [
        {
            "name": "draft",
            "n": 110,
            "in_aim": 50,
            "late": 20,
            "refused": 20,
            "failed": 10,
            "not_owed": 10,
            "worth": 0.56,
            "p50_ms": 1.0,
        }
    ],
    "prices": [["orders", 3.0, 0.01], ["loads", 9.0, 0.05], ["none", 0.0, 0.0]],
}


def line(kind, type_, reason):
    record = {"type": type_, "reason": reason, "message_type": f"gateway:{kind}"}
    return f"  1.0 front-1 {json.dumps(record)}"


LOG = [
    line("refused", "no_replica", "service 'x' expects a model in 1.5 s"),
    line("refused", "no_replica", "service 'x' expects an adapter in 0.1 s"),
    line("refused", "rate_limited", "customer 'a' is over its rate of 1"),
    line("refused", "rate_limited", "customer 'b' is over its rate of 1"),
    line("failed", "something_new", "?"),
    line("answered", "", ""),
    "no log line",
]


class TestBreakdown:
    """Shares refer to owed requests; prices are sorted by size, causes by count."""

    def test_shares_are_of_owed_requests(self):
        found = break_down(json.dumps(REPORT).encode(), LOG)
        assert found.classes == [("draft", 0.5, 0.2, 0.2, 0.1, 0.56)]

    def test_prices_are_sorted_and_small_ones_omitted(self):
        found = break_down(json.dumps(REPORT).encode(), LOG)
        assert found.prices == [("loads", 0.05), ("orders", 0.01)]

    def test_causes(self):
        found = break_down(json.dumps(REPORT).encode(), LOG)
        assert dict(found.causes) == {
            "rate of the customer": 2,
            "model not loaded": 1,
            "adapter not loaded": 1,
            "something_new": 1,
        }


class TestCommand:
    """The command prints Markdown; invalid input files end it with status 2."""

    def test_prints_the_breakdown(self, tmp_path, capsys):
        report, log = tmp_path / "r.json", tmp_path / "l.log"
        report.write_text(json.dumps(REPORT))
        log.write_text("\n".join(LOG))
        assert main(["bench_report", str(report), str(log)]) == 0
        assert "| draft | 50% | 20% | 20% | 10% | 0.560 |" in capsys.readouterr().out

    def test_malformed_report(self, tmp_path, capsys):
        report = tmp_path / "r.json"
        report.write_text("[]")
        assert main(["bench_report", str(report), str(report)]) == 2
        assert "r.json" in capsys.readouterr().err
