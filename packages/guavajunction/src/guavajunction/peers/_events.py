"""Log events of the links between instances."""

from __future__ import annotations

from guavajunction.events import LogEvent

PEER_DISCOVERED = LogEvent(
    350, "peers:heard", "The first heartbeat of an incarnation has arrived."
)
PEER_REMOVED = LogEvent(
    351, "peers:silent", "An incarnation has not been heard for long and is forgotten."
)
CONNECTION_REFUSED = LogEvent(
    352, "peers:stranger_refused", "A connection without the fleet's key was refused."
)
MESSAGE_MALFORMED = LogEvent(
    353, "peers:message_malformed", "A message could not be decoded and was dropped."
)
TOPIC_FAILED = LogEvent(
    355, "peers:topic_failed", "Giving or taking a heartbeat's value raised an error."
)
HANDLER_FAILED = LogEvent(
    354, "peers:handler_failed", "Handling a peer's message raised an error."
)
