"""Log events of the memory budget, 2000 to 2099."""

from __future__ import annotations

from guavajunction.events import LogEvent

BUDGET_NEARLY_USED = LogEvent(
    2000, "memory:nearly_used", "Most of the memory for callers' requests is reserved."
)
REQUEST_SHED = LogEvent(
    2001,
    "memory:shed",
    "Requests that had not been sent were shed because memory is short; at most one "
    "line a second, with the number of requests and their bytes.",
)
CONNECTION_REFUSED = LogEvent(
    2002,
    "memory:connection_refused",
    "Connections were refused or closed because too many are open; at most one line a "
    "second, with their number.",
)
UNPARSED_REFUSED = LogEvent(
    2003,
    "memory:unparsed_refused",
    "Incomplete heads, or requests sent ahead, were refused because connections hold "
    "too many bytes of them; at most one line a second, with their number.",
)
