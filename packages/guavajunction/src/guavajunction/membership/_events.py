"""Log events of membership and leases."""

from __future__ import annotations

from guavajunction.events import LogEvent

REGISTERED = LogEvent(
    300, "membership:registered", "This incarnation's member row was written."
)
LOST = LogEvent(
    301, "membership:lost", "This incarnation was revoked and must restart."
)
STANDING_CHANGED = LogEvent(
    302,
    "membership:standing_changed",
    "This instance gained or lost standing, its permission to serve.",
)
STORE_JOB_FAILED = LogEvent(
    303,
    "membership:store_job_failed",
    "Reading or writing the members, the view or the instance list began to fail.",
)
MEMBERS_CHANGED = LogEvent(
    304, "membership:members_changed", "The set of live members has changed."
)
MEMBER_REVOKED = LogEvent(
    305,
    "membership:member_revoked",
    "A member's row was marked as revoked or left.",
)
VIEW_CHANGED = LogEvent(
    306, "membership:view_changed", "This instance changed the set of voters."
)
VIEW_NOT_CHANGED = LogEvent(
    307, "membership:view_not_changed", "Changing the set of voters failed."
)
NOTE_HELD = LogEvent(
    308,
    "membership:note_held",
    "A pending change, this instance's or a peer's, was acknowledged.",
)
NOTE_CLEARED = LogEvent(
    309, "membership:note_cleared", "The outcome of a pending change is known."
)
CALLBACK_FAILED = LogEvent(
    310, "membership:callback_failed", "A callback for changed members raised an error."
)
LEASE_TAKEN = LogEvent(320, "lease:taken", "This instance took a lease.")
LEASE_LOST = LogEvent(321, "lease:lost", "This instance lost a lease.")
LEASE_RELEASED = LogEvent(322, "lease:released", "This instance released a lease.")
