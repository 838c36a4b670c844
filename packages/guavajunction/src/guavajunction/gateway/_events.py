"""Log events of the gateway, 1000 to 1099, and of speeds, 2100 to 2199."""

from __future__ import annotations

from guavajunction.events import LogEvent

SENT = LogEvent(1000, "gateway:sent", "A request was sent to a backend server.")
ANSWERED = LogEvent(
    1001, "gateway:answered", "A backend server's answer was relayed completely."
)
REFUSED = LogEvent(
    1002, "gateway:refused", "A request was refused without being executed."
)
FAILED = LogEvent(
    1003, "gateway:failed", "A request failed after it may have been executed."
)
RETRIED = LogEvent(
    1004, "gateway:repeated", "A request is retried on a backend server."
)
CALLER_DISCONNECTED = LogEvent(
    1005, "gateway:caller_left", "The caller closed its connection."
)
BACKEND_SEEN = LogEvent(
    1010, "gateway:backend_seen", "A backend server was first seen or has restarted."
)
BACKEND_DRAINING = LogEvent(
    1011,
    "gateway:backend_draining",
    "A backend server is draining and gets no new work.",
)
BACKEND_REMOVED = LogEvent(
    1012, "gateway:backend_gone", "The record of a backend server was removed."
)
BACKEND_SUSPECT = LogEvent(
    1013,
    "gateway:backend_suspect",
    "A backend server is suspected after repeated failures.",
)
BACKEND_UNREACHABLE = LogEvent(
    1014, "gateway:backend_unreachable", "A connection to a backend server failed."
)
RECORD_STALE = LogEvent(
    1015,
    "gateway:record_stale",
    "An outdated record of a backend server arrived and was ignored.",
)
REQUEST_LOST = LogEvent(
    1016,
    "gateway:request_lost",
    "A connection to a backend server ended before the answer was complete.",
)
LIMIT_RECEIVED = LogEvent(
    1017,
    "gateway:limit_received",
    "A backend server named the requests a second that it takes from all instances.",
)
REJECTED = LogEvent(
    1018,
    "gateway:rejected",
    "A backend server rejected a request without running it.",
)
BACKEND_REPLACED = LogEvent(
    1019,
    "gateway:backend_replaced",
    "Another backend server answered at the address of one, which has ended.",
)
CONFIGURED = LogEvent(1020, "gateway:configured", "A newer configuration was applied.")
CONFIGURATION_REFUSED = LogEvent(
    1021, "gateway:configuration_refused", "A configuration could not be decoded."
)
SERVICE_SPEED = LogEvent(
    2100,
    "speeds:service",
    "An estimate of the speed of a service has changed by more than a quarter.",
)
SERVER_SPEED = LogEvent(
    2101,
    "speeds:server",
    "The speed of a backend server relative to its service has changed by more than a "
    "quarter.",
)
