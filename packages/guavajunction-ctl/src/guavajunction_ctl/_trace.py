"""Explains the outcome of a request from the logs of all instances.

A trace consists of the request's own log lines and of lines about the same models,
backend servers and instances from shortly before and after.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

LOOKBACK_SECONDS = 10.0
"""Time before the request's first line that the trace covers. It exceeds the longest
load time of a model and the window of a rate limit."""
LOOKAHEAD_SECONDS = 2.0
"""Time after the request's last line that the trace covers."""
RATE_WINDOW_SECONDS = 8.0
"""Window over which a customer's tokens are summed for the note on a rate limit."""
HIDDEN_FIELDS = frozenset(
    ("event", "timestamp", "task_uuid", "task_level", "message_type", "request_id")
)
"""Log fields that the rendered trace omits."""
CUSTOMER_PATTERN = re.compile(r"customer '([^']+)'")


class LogRecord(NamedTuple):
    """One line of a log."""

    source: str
    """Name of the log file without its suffix."""
    at: float
    """Unix time in seconds, by the clock of the instance that wrote the line."""
    message_type: str
    """Message type."""
    fields: dict[str, Any]

    def __str__(self) -> str:
        shown = (f"{k}={v}" for k, v in self.fields.items() if k not in HIDDEN_FIELDS)
        return " ".join([self.message_type, *shown])


class Trace(NamedTuple):
    """The log lines of a request and the lines that may explain its outcome."""

    own: list[LogRecord]
    """Lines with the request's id, by time."""
    related: list[LogRecord]
    """Other lines that may explain the outcome, by time."""
    notes: list[str]
    """Summaries over several lines, such as a customer's use of its rate limit."""


def read_records(source: str, lines: Iterable[str]) -> Iterator[LogRecord]:
    """Parse log lines, each a JSON object after an optional prefix; skip other lines.

    Args:
        source: Name of the log.
        lines: Lines of the log.
    """
    for line in lines:
        start = line.find("{")
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
        except json.JSONDecodeError:
            continue
        if isinstance(fields, dict) and "event" in fields and "timestamp" in fields:
            message_type = str(fields.get("message_type", fields["event"]))
            yield LogRecord(source, float(fields["timestamp"]), message_type, fields)


def trace(records: list[LogRecord], request_id: str) -> Trace:
    """Collect the log lines of a request and the lines that may explain its outcome.

    Args:
        records: Log lines of all instances, in any order.
        request_id: Id of the caller's attempt.

    Returns:
        The trace; all its lists are empty if no line has the request's id.
    """
    own = sorted(
        (r for r in records if r.fields.get("request_id") == request_id),
        key=lambda record: record.at,
    )
    if not own:
        return Trace([], [], [])
    since, until = own[0].at - LOOKBACK_SECONDS, own[-1].at + LOOKAHEAD_SECONDS
    in_window = [record for record in records if since <= record.at <= until]
    context = _RequestContext.of(own)
    related = sorted(
        (record for record in in_window if context.may_explain(record)),
        key=lambda record: record.at,
    )
    return Trace(own, related, _rate_limit_notes(records, own))


class _RequestContext(NamedTuple):
    """Models, backend servers and instances that a request involved."""

    models: frozenset[str]
    backends: frozenset[str]
    sources: frozenset[str]
    """Names of the logs that mention the request."""
    limited: bool
    """Whether the request was refused because of a rate limit."""

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
        """Return whether a log line may explain the outcome of the request."""
        aggregate, _, event = record.message_type.partition(":")
        fields = record.fields
        if "request_id" in fields:
            return False
        if aggregate == "swapping":
            concerns_term = event in ("author_began", "author_ended")
            moved = {str(fields.get("model")), *map(str, fields.get("evict") or ())}
            return concerns_term or bool(moved & self.models)
        if aggregate == "storage":
            return record.source in self.sources
        if aggregate == "fleet":
            return self.limited and event in ("member_silent", "member_heard")
        if event == "configured":
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
            if record.message_type == "gateway:sent"
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
    """Format a trace as text, with times relative to the request's first line."""
    started_at = found.own[0].at
    marked = [(r, ">") for r in found.own] + [(r, " ") for r in found.related]
    lines = [
        f"{mark} {record.at - started_at:+8.3f} s  {record.source}  {record}"
        for record, mark in sorted(marked, key=lambda pair: pair[0].at)
    ]
    return "\n".join([*lines, *found.notes])
