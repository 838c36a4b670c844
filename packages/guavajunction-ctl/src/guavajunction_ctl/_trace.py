"""Finds in the logs of all instances what led to the outcome of a request."""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

LOOKBACK_SECONDS = 10.0
"""How long before a request what led to its outcome is looked for: the longest load of
a model and the window of a rate are shorter."""
LOOKAHEAD_SECONDS = 2.0
RATE_WINDOW_SECONDS = 8.0
"""Span over which a customer's units are added up."""
HIDDEN_FIELDS = frozenset(
    ("event", "timestamp", "task_uuid", "task_level", "message_type", "request_id")
)
"""Fields that are not printed."""
CUSTOMER_PATTERN = re.compile(r"customer '([^']+)'")


class LogRecord(NamedTuple):
    """One line of a log."""

    source: str
    """Where it was found."""
    at: float
    """Unix time in seconds, of the instance that wrote it."""
    kind: str
    """Message type."""
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = (f"{k}={v}" for k, v in self.fields.items() if k not in HIDDEN_FIELDS)
        return " ".join([self.kind, *shown])


class Trace(NamedTuple):
    """A request's own lines and those that explain them."""

    own: list[LogRecord]
    related: list[LogRecord]
    notes: list[str]
    """What was counted over several lines."""


def read_records(source: str, lines: Iterable[str]) -> Iterator[LogRecord]:
    """Read log lines; what is not one is left out, also words before it."""
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(fields, dict) and "event" in fields and "timestamp" in fields:
            kind = str(fields.get("message_type", fields["event"]))
            yield LogRecord(source, float(fields["timestamp"]), kind, fields)


def trace(records: list[LogRecord], request_id: str) -> Trace:
    """Find a request's lines and what explains them.

    Args:
        records: Of all instances, in any order.
        request_id: Id of the caller's attempt.

    Returns:
        Lines by time; all empty if no instance wrote of the request.
    """
    own = sorted(
        (r for r in records if r.fields.get("request_id") == request_id),
        key=lambda record: record.at,
    )
    if not own:
        return Trace([], [], [])
    since, until = own[0].at - LOOKBACK_SECONDS, own[-1].at + LOOKAHEAD_SECONDS
    near = [record for record in records if since <= record.at <= until]
    subjects = _RequestContext.of(own)
    related = sorted(
        (record for record in near if subjects.may_explain(record)),
        key=lambda record: record.at,
    )
    return Trace(own, related, _rate_limit_notes(records, own))


class _RequestContext(NamedTuple):
    """What a request had to do with."""

    models: frozenset[str]
    backends: frozenset[str]
    sources: frozenset[str]
    limited: bool

    @classmethod
    def of(cls, own: list[LogRecord]) -> _RequestContext:
        artifacts = {str(r.fields["artifact"]) for r in own if r.fields.get("artifact")}
        backends = {str(r.fields["backend"]) for r in own if r.fields.get("backend")}
        return cls(
            frozenset(artifact.partition("/")[0] for artifact in artifacts),
            frozenset(backends),
            frozenset(record.source for record in own),
            any(record.fields.get("type") == "rate_limited" for record in own),
        )

    def may_explain(self, record: LogRecord) -> bool:
        """Return whether a line may explain the outcome."""
        aggregate, _, what = record.kind.partition(":")
        fields = record.fields
        if "request_id" in fields:
            return False
        if aggregate == "swapping":
            term = what in ("author_began", "author_ended")
            moved = {str(fields.get("model")), *map(str, fields.get("evict") or ())}
            return term or bool(moved & self.models)
        if aggregate == "storage":
            return record.source in self.sources
        if aggregate == "fleet":
            return self.limited and what in ("member_silent", "member_heard")
        if what == "configured":
            return record.source in self.sources
        return fields.get("backend") in self.backends


def _rate_limit_notes(records: list[LogRecord], own: list[LogRecord]) -> list[str]:
    notes = []
    for refusal in own:
        found = CUSTOMER_PATTERN.search(str(refusal.fields.get("reason", "")))
        if refusal.fields.get("type") != "rate_limited" or found is None:
            continue
        customer, since = found.group(1), refusal.at - RATE_WINDOW_SECONDS
        sent = [
            record
            for record in records
            if record.kind == "gateway:sent"
            and record.fields.get("customer") == customer
            and record.fields.get("attempt") == 1
            and since <= record.at <= refusal.at
        ]
        tokens = sum(
            (record.fields.get("prompt_tokens") or 0)
            + (record.fields.get("max_output_tokens") or 0)
            for record in sent
        )
        instances = len({record.source for record in sent})
        notes.append(
            f"customer {customer!r}: {len(sent)} requests of {tokens} tokens were let "
            f"through by {instances} instances in the {RATE_WINDOW_SECONDS:g} s before"
        )
    return notes


def render(found: Trace) -> str:
    """Return a trace for people; times count from the request's first line."""
    zero = found.own[0].at
    marked = [(r, ">") for r in found.own] + [(r, " ") for r in found.related]
    lines = [
        f"{mark} {record.at - zero:+8.3f} s  {record.source}  {record}"
        for record, mark in sorted(marked, key=lambda pair: pair[0].at)
    ]
    return "\n".join([*lines, *found.notes])
