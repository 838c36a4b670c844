"""Specification of standing while the store or instances are unreachable.

Describes `guavajunction.membership`: `_standing.StandingRule` (executed unchanged),
`_pending_notes.PendingNotes` and `_announcer.Announcer` (restated as transitions).

There are three voters. `y` announces and writes one change, either a new configuration
or a revocation. The invariant is about `x`, which must not serve with the old
configuration for too long. `z` receives messages from both and sends heartbeats to `x`.
Any read, message or reply may fail, so the states cover store outages, an instance that
is cut off, and both at once. A write may land late, within a bound on its arrival. Time
passes in ticks, and no clock is faster than another by more than the drift margin.
"""

from __future__ import annotations

from functools import cache
from typing import NamedTuple

from minicheck import Protocol

from guavajunction.membership._config import MembershipConfig
from guavajunction.membership._messages import Status
from guavajunction.membership._model import View
from guavajunction.membership._standing import StandingRule
from guavajunction.peers import PeerId

X, Y, Z = (PeerId(name, f"{name}-1") for name in "xyz")

NO_NOTE = -1
"""Age of the note of a node without a note of a pending change."""


class Rules(NamedTuple):
    """Rules and bounds in ticks. Tests weaken one at a time; the check then fails."""

    staleness: int = 2
    """Ticks for which a read of the store confirms the configuration."""
    heartbeat_max_age: int = 2
    """Ticks for which a received heartbeat counts."""
    validity: int = 1
    """Ticks after its announcement within which a change may be sent."""
    arrival: int = 1
    """Ticks after sending within which a write may land."""
    drift: int = 1
    """Margin in ticks for the drift between clocks."""
    acks_needed: int = 1
    """Acknowledgements required in addition to the announcer's own."""
    any_read_ends_note: bool = False
    """Whether any read of the store removes a note, even before the change settled."""
    counts_from_send: bool = True
    """Whether a heartbeat's age is counted from its sending, not from its arrival."""
    compares_versions: bool = True
    """Whether peers with a newer configuration are excluded from the majority."""

    @property
    def settled_after(self) -> int:
        """Age of a note in ticks at which its change has landed or never will."""
        return self.validity + self.arrival + self.drift

    @property
    def bound(self) -> int:
        """Ticks after its effect within which a change is in force everywhere."""
        return max(self.staleness, self.heartbeat_max_age)


DEFAULT_RULES = Rules()


class Node(NamedTuple):
    """State of `x` or `z`."""

    version: int
    """Version of the node's configuration."""
    confirmed: int
    """Ticks since the start of the node's latest read of the store."""
    note: int
    """Age of the node's note in ticks, `NO_NOTE` without a note. Above `settled_after`
    once the node knows that the change took effect."""


class Heartbeat(NamedTuple):
    """A heartbeat of `z`, in flight or received."""

    eligible: bool
    """Whether `z` has no note, and so may be counted."""
    version: int
    confirmed: int
    """Ticks since the start of the latest read by `z` before the heartbeat."""
    sent: int
    """Ticks since the heartbeat was sent."""


class State(NamedTuple):
    """State of the store, the announcer, the nodes and the heartbeats."""

    head: int
    """Version in the store."""
    phase: str
    """Phase of the announcer."""
    age: int
    """Ticks since the announcement or, in phase `sent`, since the write was sent."""
    since: int
    """Ticks since the change took effect."""
    acks: int
    x: Node
    z: Node
    received: Heartbeat | None
    """Last heartbeat that `x` received."""
    in_flight: Heartbeat | None


INITIAL = State(
    0, "idle", 0, 0, 0, Node(0, 0, NO_NOTE), Node(0, 0, NO_NOTE), None, None
)


def outage_model(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model under the given rules."""
    return Protocol(
        name="outage rule",
        candidate=False,
        fields=State._fields,
        initial=INITIAL,
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={
            "old configuration is not trusted beyond the bound": lambda state: (
                not (
                    state["head"] == 1
                    and state["since"] >= rules.bound
                    and state["x"].version == 0
                    and _has_standing(state["x"], state["received"], rules)
                )
            )
        },
    )


def has_standing(state: State, rules: Rules = DEFAULT_RULES) -> bool:
    """Return whether `x` is in standing."""
    return _has_standing(state.x, state.received, rules)


@cache
def _has_standing(x: Node, received: Heartbeat | None, rules: Rules) -> bool:
    """Evaluate the product's `StandingRule`."""
    cfg = MembershipConfig(
        staleness=rules.staleness, heartbeat_max_age=rules.heartbeat_max_age
    )
    version = x.version if rules.compares_versions else 1
    rule = StandingRule(X, lambda: version, cfg)
    rule.view = View(1, (X, Y, Z))
    rule.confirmed_at = -float(x.confirmed)
    rule.renewed_at = 0.0
    if received is not None:
        age = float(received.confirmed - received.sent)
        status = Status(age, received.version, 1, received.eligible, ())
        rule.on_status(Z, status, -float(received.sent))
    blocked = x.note != NO_NOTE
    return rule.confirmed(0.0) or rule.majority(0.0, blocked=blocked)


def _transitions(s: State, rules: Rules) -> list[tuple[str, State]]:
    steps = _announcer_steps(s, rules) + _tick(s, rules)
    for name in ("x", "z"):
        steps += _node_steps(s, name, rules)
    heartbeat = Heartbeat(s.z.note == NO_NOTE, s.z.version, s.z.confirmed, 0)
    steps.append(("z sends a heartbeat", s._replace(in_flight=heartbeat)))
    if s.in_flight is not None:
        heartbeat = s.in_flight
        if not rules.counts_from_send:
            heartbeat = heartbeat._replace(
                confirmed=heartbeat.confirmed - heartbeat.sent, sent=0
            )
        steps.append(
            ("heartbeat arrives", s._replace(received=heartbeat, in_flight=None))
        )
    return steps


def _announcer_steps(s: State, rules: Rules) -> list[tuple[str, State]]:
    if s.phase == "idle":
        return [("announce", s._replace(phase="announced"))]
    if s.phase == "announced":
        steps = [("cancel", s._replace(phase="cancelled", acks=0))]
        if s.acks >= rules.acks_needed and s.age < rules.validity:
            steps.append(("send", s._replace(phase="sent", age=0, acks=0)))
        return steps
    if s.phase == "sent":
        return [
            ("write lands", s._replace(head=1, phase="landed", age=0)),
            ("write is dropped", s._replace(phase="lost", age=0)),
        ]
    if s.phase == "landed":
        return [("reply arrives", s._replace(phase="settled"))]
    if s.phase == "lost":
        return [("refusal arrives", s._replace(phase="cancelled"))]
    return []


def _node_steps(s: State, name: str, rules: Rules) -> list[tuple[str, State]]:
    node: Node = getattr(s, name)
    settled = rules.settled_after + 1
    steps = []
    if s.phase == "announced" and node.note == NO_NOTE and s.acks < 2:
        held = s._replace(**{name: node._replace(note=0)}, acks=s.acks + 1)
        steps.append((f"{name} acknowledges", held))
    if s.phase == "settled" and 0 <= node.note < settled:
        known = s._replace(**{name: node._replace(note=settled)})
        steps.append((f"{name} learns of the effect", known))
    if s.phase == "cancelled" and node.note != NO_NOTE:
        free = s._replace(**{name: node._replace(note=NO_NOTE)})
        steps.append((f"{name} learns that nothing took effect", free))
    clears = rules.any_read_ends_note or node.note >= rules.settled_after
    note = NO_NOTE if clears else node.note
    read = s._replace(**{name: Node(s.head, 0, note)})
    steps.append((f"{name} reads the store", read))
    return steps


def _tick(s: State, rules: Rules) -> list[tuple[str, State]]:
    if s.phase == "sent" and s.age >= rules.arrival:
        return []
    older = State(
        s.head,
        s.phase,
        min(s.age + 1, rules.validity) if s.phase in ("announced", "sent") else 0,
        min(s.since + s.head, rules.bound),
        s.acks,
        _older_node(s.x, rules),
        _older_node(s.z, rules),
        _older_heartbeat(s.received, rules),
        _older_heartbeat(s.in_flight, rules),
    )
    return [("tick", older)]


def _older_node(node: Node, rules: Rules) -> Node:
    note = node.note
    if 0 <= note < rules.settled_after:
        note += 1
    return Node(node.version, min(node.confirmed + 1, rules.staleness), note)


def _older_heartbeat(heartbeat: Heartbeat | None, rules: Rules) -> Heartbeat | None:
    if heartbeat is None:
        return None
    older = heartbeat._replace(
        confirmed=min(heartbeat.confirmed + 1, rules.bound),
        sent=min(heartbeat.sent + 1, rules.bound),
    )
    expired = (
        older.sent >= rules.heartbeat_max_age and older.confirmed >= rules.staleness
    )
    return None if expired and rules.counts_from_send else older
