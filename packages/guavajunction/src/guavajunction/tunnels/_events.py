"""Log events of paths to backend servers and of tunnels, 1600 to 1699."""

from __future__ import annotations

from guavajunction.events import LogEvent

PATHS_LOST = LogEvent(
    1600, "tunnels:paths_lost", "This instance reaches no backend server any more."
)
PATHS_FOUND = LogEvent(
    1601, "tunnels:paths_found", "This instance reaches backend servers again."
)
PATHS_PROBED = LogEvent(
    1602,
    "tunnels:paths_probed",
    "Connections to backend servers failed, so some were tried.",
)
TUNNEL_OPENED = LogEvent(
    1610, "tunnels:opened", "A connection leads through another instance."
)
TUNNEL_FAILED = LogEvent(
    1611, "tunnels:failed", "Another instance could not provide a connection."
)
TUNNEL_REFUSED = LogEvent(
    1612, "tunnels:refused", "A request of another instance for a tunnel was refused."
)
TUNNEL_CARRIED = LogEvent(
    1613,
    "tunnels:carried",
    "Another instance has a connection to a backend server through this instance.",
)
