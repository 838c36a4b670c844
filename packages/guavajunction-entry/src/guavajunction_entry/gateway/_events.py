"""Log events of the gateway process, 120 to 129 and 190 to 199."""

from __future__ import annotations

from guavajunction.events import LogEvent

JOB_FAILED = LogEvent(
    120, "process:duty_failed", "A background job failed and is restarted."
)
DOCUMENT_REFUSED = LogEvent(
    121, "process:document_refused", "A row of the store could not be decoded."
)
RELOADED = LogEvent(122, "process:reloaded", "Changed settings were applied.")
SETTINGS_REFUSED = LogEvent(
    123,
    "process:settings_refused",
    "Changed settings are invalid; the previous settings stay in force.",
)
STREAM_UNKNOWN = LogEvent(
    125, "process:stream_unknown", "No instance that replied knows a resumed stream."
)
STREAM_QUESTION_FAILED = LogEvent(
    126,
    "process:stream_not_answered",
    "An instance did not answer which version began a stream.",
)
CRASH_ROW_FAILED = LogEvent(
    127,
    "process:crash_row_failed",
    "A row of crash reports could not be written, removed or claimed in the store.",
)
PERMIT_NOT_ANSWERED = LogEvent(
    128,
    "process:permit_not_answered",
    "An instance did not answer whether a limited backend server takes a request.",
)
BRITTLE_ROW_FAILED = LogEvent(
    190,
    "process:brittle_row_failed",
    "The rows of brittle services could not be read, or one could not be written.",
)
STREAM_ROW_FAILED = LogEvent(
    191,
    "process:stream_row_failed",
    "The rows of streams could not be read, or one could not be written.",
)
DOCUMENT_READ = LogEvent(
    124,
    "process:document_read",
    "The configuration was read; its size, the store's version and what was read.",
)
TUNNEL_PORT_FAILED = LogEvent(
    129,
    "process:tunnel_port_failed",
    "The port for tunnels can't be listened on, so no other instance is served.",
)
