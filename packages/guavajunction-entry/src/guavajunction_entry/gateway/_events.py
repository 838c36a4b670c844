"""Log events of the gateway's process, 120 to 129."""

from __future__ import annotations

from guavajunction.events import LogEvent

JOB_FAILED = LogEvent(
    120, "process:duty_failed", "A duty of the process failed and begins again."
)
DOCUMENT_REFUSED = LogEvent(
    121, "process:document_refused", "A row of the store could not be decoded."
)
RELOADED = LogEvent(122, "process:reloaded", "Changed settings are in force.")
SETTINGS_REFUSED = LogEvent(
    123, "process:settings_refused", "Changed settings are wrong; the old ones stay."
)
