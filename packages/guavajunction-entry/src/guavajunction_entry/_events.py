"""Log events of the HTTP front and the process, 100 to 199."""

from __future__ import annotations

import eliot

from guavajunction.events import LogEvent

STARTED = LogEvent(100, "process:started", "The instance accepts requests.")
STOPPING = LogEvent(
    101, "process:stopping", "A planned stop began; the instance leaves the directory."
)
STOPPED = LogEvent(102, "process:stopped", "The instance has stopped.")
SECOND_SIGNAL = LogEvent(
    103,
    "process:second_signal",
    "A stop signal was ignored because a stop is in progress.",
)
FAILED = LogEvent(
    104, "process:failed", "The instance ended because of an unrecoverable failure."
)
STOP_STEP_FAILED = LogEvent(
    105, "process:stop_step_failed", "A store operation of a planned stop failed."
)
INTERNAL_FAULT = LogEvent(
    110, "front:internal_fault", "A request handler raised an unexpected exception."
)
ACCEPTED = LogEvent(
    111, "front:accepted", "A request passed the checks of API key and rate limit."
)
REFUSED_IN_STREAM = LogEvent(
    112, "front:refused_in_stream", "A stream was ended with an error event."
)


def log_traceback() -> None:
    """Log the traceback of the exception that is being handled."""
    eliot.write_traceback()
