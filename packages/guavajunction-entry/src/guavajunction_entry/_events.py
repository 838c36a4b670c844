"""Log events of the HTTP front and the process, 100 to 199."""

from __future__ import annotations

import eliot

from guavajunction.events import LogEvent

STARTED = LogEvent(100, "process:started", "The instance listens for callers.")
STOPPING = LogEvent(
    101, "process:stopping", "A planned stop began; the directory leaves this out."
)
STOPPED = LogEvent(102, "process:stopped", "The instance stopped.")
SECOND_SIGNAL = LogEvent(
    103, "process:second_signal", "A signal came during a stop and changes nothing."
)
FAILED = LogEvent(104, "process:failed", "The instance could not go on and ended.")
STOP_STEP_FAILED = LogEvent(
    105, "process:stop_step_failed", "The store did not take a step of a planned stop."
)
INTERNAL_FAULT = LogEvent(
    110, "front:internal_fault", "A handler failed in a way that has no type."
)
ACCEPTED = LogEvent(111, "front:accepted", "A request passed key and limit.")
REFUSED_IN_STREAM = LogEvent(
    112, "front:refused_in_stream", "A failure was told as the last event of a stream."
)


def log_traceback() -> None:
    """Write the traceback of the exception that is being handled."""
    eliot.write_traceback()
