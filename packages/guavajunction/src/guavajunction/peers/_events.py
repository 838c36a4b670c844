"""Log events of the links between instances."""

from __future__ import annotations

from guavajunction.events import LogEvent

PEER_DISCOVERED = LogEvent(
    350, "peers:heard", "The first heartbeat of an incarnation was received."
)
PEER_REMOVED = LogEvent(
    351,
    "peers:silent",
    "A peer sent no heartbeat for a minute and was removed.",
)
CONNECTION_REFUSED = LogEvent(
    352, "peers:stranger_refused", "A connection without the fleet's key was refused."
)
MESSAGE_MALFORMED = LogEvent(
    353, "peers:message_malformed", "A message could not be decoded and was dropped."
)
TOPIC_FAILED = LogEvent(
    355,
    "peers:topic_failed",
    "Providing or accepting a heartbeat topic's value raised an error.",
)
HANDLER_FAILED = LogEvent(
    354, "peers:handler_failed", "Handling a peer's message raised an error."
)
