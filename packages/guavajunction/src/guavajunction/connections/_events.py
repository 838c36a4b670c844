"""Log events of HTTP connections, 2200 to 2299."""

from __future__ import annotations

from guavajunction.events import LogEvent

STRAY_RESPONSE = LogEvent(
    2200,
    "connections:stray_response",
    "A server sent a response, or bytes, that belong to no request of the connection.",
)
