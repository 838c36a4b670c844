"""Computes the figures of a load run."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from guavajunction_fakes.fleet import CustomerPlan, ObjectivePlan, Roster

from ._arrivals import LoadPlan
from ._backend_view import (
    BackendSnapshot,
    count_answered_without_run,
    count_false_not_run,
)
from ._bucket import excess_tokens
from ._histogram import TimeHistogram
from ._outcome import Outcome, Verdict

CHAT_KINDS = ("live", "batch")


class LoadReport(NamedTuple):
    """Outcomes of a load run and the state of the stand-ins before and after it."""

    roster: Roster
    plan: LoadPlan
    outcomes: list[Outcome]
    elapsed: float
    """Seconds from the start of the run to the last answer."""
    before: BackendSnapshot
    """Stand-ins before the first request."""
    after: BackendSnapshot
    """Stand-ins after the last answer."""

    def attainment(self, predicate: Callable[[Outcome], bool]) -> float | None:
        """Return the fraction of requests that met the objectives of their class.

        Args:
            predicate: Selects the requests. Refused requests that exceeded their
                customer's rate limit are not counted.

        Returns:
            Fraction of the counted requests whose answer was complete and correct and
            met the objectives for the time to the first token and for the average time
            between tokens; None if no request is counted.
        """
        counted = [
            o for o in self.outcomes if predicate(o) and _counts_for_attainment(o)
        ]
        if not counted:
            return None
        return sum(self._attains(outcome) for outcome in counted) / len(counted)

    def as_dict(self) -> dict[str, Any]:
        """Return all figures as values that JSON can represent."""
        return {
            "profile": self.roster.profile,
            "plan": self.plan._asdict(),
            "requests": len(self.outcomes),
            "elapsed_seconds": round(self.elapsed, 2),
            "attainment": _rounded(self.attainment(_is_chat)),
            "attained_per_accelerator_second": self._goodput(),
            "classes": {
                kind: self._class_figures(kind) for kind in (*CHAT_KINDS, "call")
            },
            "customers": self._figures_by_customer(),
            "wrongfully_refused": sum(o.wrongfully_refused for o in self.outcomes),
            "worst_customer_attainment": self._worst_attainment(),
            "refused": dict(Counter(r.type for r in self._refusals())),
            "wrongful_refusals": self._wrongful_refusals_by_type(),
            "promises": self._promise_violations(),
            "moves": self._increase("loads") + self._increase("unloads"),
            "store": self._store_rates(),
            "engines_busy_share": self._engines_busy_share(),
            "bench": self._load_tool_delays(),
        }

    def table(self) -> str:
        """Return the main figures as a text table."""
        figures = self.as_dict()
        lines = [
            f"{self.roster.profile}: {figures['requests']} requests in"
            f" {self.elapsed:.1f} s, seed {self.plan.seed}",
            f"attainment {_percent(figures['attainment'])},"
            f" worst customer {_percent(figures['worst_customer_attainment'])},"
            f" {figures['attained_per_accelerator_second']} a second per accelerator,"
            f" {figures['moves']} moves",
            f"{'class':8}{'sent':>7}{'whole':>7}{'attained':>10}"
            f"{'first p50':>11}{'p95':>9}{'between p50':>13}{'p95 (ms)':>10}",
            *(_format_class(name, row) for name, row in figures["classes"].items()),
            f"{'customer':16}{'sent':>7}{'whole':>7}{'attained':>10}"
            f"{'tokens':>9}{'wrongful':>10}{'overspent':>11}",
            *(_format_customer(n, row) for n, row in figures["customers"].items()),
            "answers: " + _format_figures(_verdict_counts(self.outcomes)),
            "refused: " + _format_figures(figures["refused"]),
            "of these within the rate limit: "
            + _format_figures(figures["wrongful_refusals"]),
            "guarantees violated: " + _format_figures(figures["promises"]),
            "store: " + _format_figures(figures["store"]),
            f"engines busy {_percent(figures['engines_busy_share'])}; delays of load"
            f" tool and stand-ins (ms): " + _format_figures(figures["bench"]),
        ]
        return "\n".join(lines)

    def _attains(self, outcome: Outcome) -> bool:
        if outcome.verdict is not Verdict.WHOLE:
            return False
        objective = self._objective(outcome)
        on_time = outcome.first_token <= objective.first_token
        return on_time and outcome.mean_gap <= objective.between_tokens

    def _objective(self, outcome: Outcome) -> ObjectivePlan:
        is_batch = outcome.arrival.kind == "batch"
        return self.roster.batch if is_batch else self.roster.live

    def _goodput(self) -> float:
        attained = sum(_is_chat(o) and self._attains(o) for o in self.outcomes)
        return round(attained / self.plan.seconds / self.roster.accelerators, 3)

    def _class_figures(self, kind: str) -> dict[str, Any]:
        def is_kind(outcome: Outcome) -> bool:
            return outcome.arrival.kind == kind

        chosen = [outcome for outcome in self.outcomes if is_kind(outcome)]
        whole = [outcome for outcome in chosen if outcome.verdict is Verdict.WHOLE]
        return {
            "sent": len(chosen),
            **_verdict_counts(chosen),
            "attainment": _rounded(self.attainment(is_kind)),
            "first_token_ms": TimeHistogram(
                o.first_token for o in whole
            ).milliseconds(),
            "between_tokens_ms": TimeHistogram(
                gap for outcome in whole for gap in outcome.gaps
            ).milliseconds(),
        }

    def _figures_by_customer(self) -> dict[str, dict[str, Any]]:
        names = [access.plan.name for access in self.roster.customers]
        return {name: self._customer_figures(name) for name in names}

    def _customer_figures(self, name: str) -> dict[str, Any]:
        chosen = [o for o in self.outcomes if o.arrival.customer == name]
        return {
            "sent": len(chosen),
            **_verdict_counts(chosen),
            "attainment": _rounded(
                self.attainment(lambda o: _is_chat(o) and o.arrival.customer == name)
            ),
            "wrongfully_refused": sum(o.wrongfully_refused for o in chosen),
            "served_share": _rounded(self._served_share(name, chosen)),
            "overspent_tokens": self._excess_tokens(name),
        }

    def _served_share(self, name: str, chosen: list[Outcome]) -> float | None:
        """Return the tokens that a customer used as a fraction of its entitlement.

        The entitlement is the tokens of the customer's requests, but no more than its
        burst plus its rate times the duration of the run.
        """
        if not chosen:
            return None
        plan = self._customer_plan(name)
        requested = sum(outcome.arrival.expected_tokens for outcome in chosen)
        entitled = min(requested, plan.burst + plan.rate * self.elapsed)
        used = sum(o.used for o in chosen if o.verdict is Verdict.WHOLE)
        return used / entitled

    def _customer_plan(self, name: str) -> CustomerPlan:
        return next(a.plan for a in self.roster.customers if a.plan.name == name)

    def _excess_tokens(self, name: str) -> float:
        plan = self._customer_plan(name)
        uses = [
            (o.sent, o.began, o.used)
            for o in self.outcomes
            if o.arrival.customer == name and o.verdict is Verdict.WHOLE
        ]
        return round(excess_tokens(uses, plan.rate, plan.burst), 1)

    def _worst_attainment(self) -> float | None:
        shares = [row["attainment"] for row in self._figures_by_customer().values()]
        return min((share for share in shares if share is not None), default=None)

    def _refusals(self) -> Iterable[Any]:
        return (refusal for o in self.outcomes for refusal in o.refusals)

    def _wrongful_refusals_by_type(self) -> dict[str, int]:
        wrongful = (r for o in self.outcomes for r in o.wrongful_refusals)
        return dict(Counter(refusal.type for refusal in wrongful))

    def _promise_violations(self) -> dict[str, float]:
        """Return the number of violations of each guarantee; each must be 0."""
        verdicts = Counter(outcome.verdict for outcome in self.outcomes)
        return {
            "cut_given_as_whole": verdicts[Verdict.CUT_AS_WHOLE],
            "wrong": verdicts[Verdict.WRONG],
            "doubled_calls": self.after.duplicate_call_runs()
            - self.before.duplicate_call_runs(),
            "answered_without_run": count_answered_without_run(
                self.outcomes, self.after
            ),
            "false_not_run": count_false_not_run(self.outcomes, self.after),
            "overcommits": self._increase("overcommits"),
            "keys_seen": self.after.credentials_received()
            - self.before.credentials_received(),
            "overspent_customers": sum(
                row["overspent_tokens"] > 0
                for row in self._figures_by_customer().values()
            ),
        }

    def _store_rates(self) -> dict[str, float]:
        seconds = self.elapsed
        return {
            "reads_per_second": round(self._increase("reads") / seconds, 1),
            "writes_per_second": round(self._increase("writes") / seconds, 1),
        }

    def _engines_busy_share(self) -> float:
        """Return the average fraction of the run in which an engine had work."""
        busy = self._increase("busy_seconds")
        return round(busy / self.elapsed / self.roster.accelerators, 3)

    def _load_tool_delays(self) -> dict[str, float]:
        """Return the delays that load tool and stand-ins add, in milliseconds.

        A measured latency is reliable only if it is well above these delays.
        """
        loop_delays = [
            s.get("loop_held_seconds", 0.0) for s in self.after.stats.values()
        ]
        send_delays = TimeHistogram(o.send_delay for o in self.outcomes).milliseconds()
        return {
            "send_delay_p99": send_delays.get("p99", 0.0),
            "fakes_held_max": round(max(loop_delays, default=0.0) * 1000, 1),
        }

    def _increase(self, name: str) -> float:
        return self.after.total(name) - self.before.total(name)


def _is_chat(outcome: Outcome) -> bool:
    return outcome.arrival.kind in CHAT_KINDS


def _counts_for_attainment(outcome: Outcome) -> bool:
    return outcome.inside_rate or outcome.verdict is not Verdict.REFUSED


def _verdict_counts(outcomes: list[Outcome]) -> dict[str, int]:
    counts = Counter(outcome.verdict for outcome in outcomes)
    return {
        verdict.name.lower(): counts[verdict] for verdict in Verdict if counts[verdict]
    }


def _rounded(share: float | None) -> float | None:
    return None if share is None else round(share, 4)


def _percent(share: float | None) -> str:
    return "-" if share is None else f"{share:.1%}"


def _format_figures(figures: dict[str, Any]) -> str:
    shown = [f"{name} {value}" for name, value in figures.items() if value]
    return ", ".join(shown) or "none"


def _format_class(name: str, row: dict[str, Any]) -> str:
    first, between = row["first_token_ms"], row["between_tokens_ms"]
    return (
        f"{name:8}{row['sent']:>7}{row.get('whole', 0):>7}"
        f"{_percent(row['attainment']):>10}"
        f"{first.get('p50', '-'):>11}{first.get('p95', '-'):>9}"
        f"{between.get('p50', '-'):>13}{between.get('p95', '-'):>10}"
    )


def _format_customer(name: str, row: dict[str, Any]) -> str:
    return (
        f"{name:16}{row['sent']:>7}{row.get('whole', 0):>7}"
        f"{_percent(row['attainment']):>10}"
        f"{_percent(row['served_share']):>9}{row['wrongfully_refused']:>10}"
        f"{row['overspent_tokens']:>11}"
    )
