"""Specification of views: majorities while members join and stop.

Describes `guavajunction.membership`: `update_view` and `stopped_voters` of
`_upkeep.Upkeep`, `_announcer.Announcer` (its rule `_acks_suffice` is executed
unchanged), `_pending_notes.PendingNotes` and the majority of `_standing.StandingRule`.

The view goes through a fixed sequence. Announcements of views and one of a
configuration may overlap, from any node and in any view that the node has read. There
is no time in this model: outage_spec covers it. A node keeps a note until its write has
landed or never will; the product waits for `settle_bound` instead. A node that crashes
loses its notes and counts in no majority. It counts as stopped after `settle_bound`,
which means that the writes whose notes it had have landed or never will. Once all
voters of a view count as stopped, a node may send the next view without notes.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

from guavajunction.membership._announcer import _acks_suffice
from guavajunction.membership._model import View
from guavajunction.peers import PeerId

FREE = 0
"""The node has no note."""

CONFIGURATION = 1
"""Number of the announcement of the configuration."""


class Rules(NamedTuple):
    """Rules and sizes. Tests disable one rule at a time to show that it is needed."""

    views: tuple[tuple[int, ...], ...] = ((0,), (0, 1, 2), (1,))
    """Voters of each view."""
    view_changes: tuple[int, ...] = (2, 3)
    """Numbers of the announcements of views."""
    same_view: bool = True
    """Whether a majority counts only peers that have read the same view."""
    ack_same_view: bool = True
    """Whether a voter acknowledges only announcements in the view that it has read."""
    one_note: bool = True
    """Whether a voter that has a note refuses another."""
    crashes: int = 0
    """Number of nodes that may crash."""
    stopped_waits_for_notes: bool = True
    """Whether a crashed voter counts as stopped only after its notes are settled."""
    views_announced: bool = True
    """Whether a change of the view needs acknowledgements of a majority."""
    ended_view_replaced: bool = True
    """Whether a view whose voters have all stopped is replaced without notes."""
    ended_view_accepts: bool = False
    """Whether the configuration is changed without notes in such a view, too."""

    @property
    def nodes(self) -> range:
        """Return the numbers of all nodes."""
        return range(1 + max(max(voters) for voters in self.views))

    def view(self, number: int) -> View:
        """Return a view by its number."""
        names = (PeerId(str(node), "1") for node in self.views[number])
        return View(number, tuple(names))


DEFAULT_RULES = Rules()


class Node(NamedTuple):
    """One member."""

    view: int
    """View that it has read."""
    version: int
    """Version of its configuration."""
    notes: frozenset[int]
    """Numbers of the announcements whose notes it has; at most one with `one_note`."""
    crashed: bool = False


class Announcement(NamedTuple):
    """One announced change."""

    phase: str
    view: int
    """The view in which it was announced."""


class State(NamedTuple):
    """State of the store, the nodes and the announcements."""

    view: int
    """View in the store."""
    head: int
    """Version of the configuration in the store."""
    nodes: tuple[Node, ...]
    announcements: tuple[Announcement, ...]
    """Announcements by number from 1: the configuration, then changes of the view."""


def view_model(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model under the given rules."""
    nodes = tuple(Node(0, 0, frozenset()) for _ in rules.nodes)
    idle = Announcement("idle", 0)
    announcements = (idle,) * (1 + len(rules.view_changes))
    return Protocol(
        name="views",
        candidate=False,
        fields=State._fields,
        initial=State(0, 0, nodes, announcements),
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={
            "no majority trusts the old configuration": lambda state: (
                not state["head"]
                or not any(
                    _has_majority(node, state["nodes"], rules) for node in rules.nodes
                )
            )
        },
    )


def _has_majority(me: int, nodes: tuple[Node, ...], rules: Rules) -> bool:
    """Return whether a node with the old configuration has a majority and so serves."""
    own = nodes[me]
    voters = rules.views[own.view]
    if own.crashed or own.version or own.notes or me not in voters:
        return False
    votes = sum(_votes(nodes[voter], own, rules) for voter in voters)
    return votes >= rules.view(own.view).majority


def _votes(peer: Node, own: Node, rules: Rules) -> bool:
    same_view = peer.view == own.view or not rules.same_view
    if peer.crashed:
        return False
    return same_view and not peer.notes and peer.version <= own.version


def _transitions(s: State, rules: Rules) -> list[tuple[str, State]]:
    steps = []
    for node in _running(s):
        steps.append((f"{node} reads the store", _read(s, node)))
        if len(s.nodes) - len(_running(s)) < rules.crashes:
            crashed = s.nodes[node]._replace(crashed=True)
            steps.append((f"{node} crashes", _set_node(s, node, crashed)))
    for number in (CONFIGURATION, *rules.view_changes):
        steps += _announcement_steps(s, number, rules)
    return steps


def _read(s: State, node: int) -> State:
    kept = {n for n in s.nodes[node].notes if _phase(s, n) in ("announced", "sent")}
    return _set_node(s, node, Node(s.view, s.head, frozenset(kept)))


def _announcement_steps(s: State, number: int, rules: Rules) -> list[tuple[str, State]]:
    phase = _phase(s, number)
    if phase == "idle":
        return _announce(s, number, rules)
    if phase == "announced":
        return _acknowledge(s, number, rules) + _send(s, number, rules)
    if phase == "sent":
        return [
            (f"write of {number} lands", _land(s, number)),
            (f"write of {number} is dropped", _set_phase(s, number, "over")),
        ]
    return _release(s, number, rules)


def _announce(s: State, number: int, rules: Rules) -> list[tuple[str, State]]:
    steps = []
    for node in _running(s):
        view = s.nodes[node].view
        if _may_skip_notes(s, number, view, rules):
            sent = _set_announcement(s, number, Announcement("sent", view))
            steps.append((f"{node} sends {number} in ended view {view}", sent))
        last = view == len(rules.views) - 1
        if (last and number != CONFIGURATION) or not _may_add_note(s, node, rules):
            continue
        announced = _add_note(s, node, number)
        announced = _set_announcement(
            announced, number, Announcement("announced", view)
        )
        steps.append((f"{node} announces {number} in view {view}", announced))
    return steps


def _may_skip_notes(s: State, number: int, view: int, rules: Rules) -> bool:
    if number == CONFIGURATION:
        allowed = rules.ended_view_accepts
    else:
        allowed = rules.ended_view_replaced and view < len(rules.views) - 1
    return allowed and all(
        _counts_as_stopped(s, voter, number, rules) for voter in rules.views[view]
    )


def _acknowledge(s: State, number: int, rules: Rules) -> list[tuple[str, State]]:
    view = s.announcements[number - 1].view
    steps = []
    for node in set(rules.views[view]) & set(_running(s)):
        same_view = s.nodes[node].view == view or not rules.ack_same_view
        has_note = number in s.nodes[node].notes
        if same_view and not has_note and _may_add_note(s, node, rules):
            steps.append((f"{node} acknowledges {number}", _add_note(s, node, number)))
    return steps


def _send(s: State, number: int, rules: Rules) -> list[tuple[str, State]]:
    steps = [(f"{number} is cancelled", _set_phase(s, number, "cancelled"))]
    view = rules.view(s.announcements[number - 1].view)
    voters = rules.views[view.number]
    acks = sum(number in s.nodes[voter].notes for voter in voters)
    stopped_voters = sum(
        _counts_as_stopped(s, voter, number, rules) for voter in voters
    )
    unannounced = number != CONFIGURATION and not rules.views_announced
    if unannounced or _acks_suffice(acks, stopped_voters, view):
        steps.append((f"write of {number} is sent", _set_phase(s, number, "sent")))
    return steps


def _counts_as_stopped(s: State, node: int, number: int, rules: Rules) -> bool:
    """Return whether a voter without the note counts as stopped."""
    notes = s.nodes[node].notes
    open_notes = any(_phase(s, n) in ("announced", "sent") for n in notes)
    waited = not open_notes or not rules.stopped_waits_for_notes
    return s.nodes[node].crashed and number not in notes and waited


def _running(s: State) -> list[int]:
    return [number for number, node in enumerate(s.nodes) if not node.crashed]


def _land(s: State, number: int) -> State:
    landed = _set_phase(s, number, "over")
    if number == CONFIGURATION:
        return landed._replace(head=1)
    expected_view = s.announcements[number - 1].view
    if s.view != expected_view:
        return landed
    return landed._replace(view=expected_view + 1)


def _release(s: State, number: int, rules: Rules) -> list[tuple[str, State]]:
    if _phase(s, number) != "cancelled":
        return []
    return [
        (
            f"{node} removes the note of {number}",
            _set_node(s, node, _without(s.nodes[node], number)),
        )
        for node in rules.nodes
        if number in s.nodes[node].notes
    ]


def _may_add_note(s: State, node: int, rules: Rules) -> bool:
    return not s.nodes[node].notes or not rules.one_note


def _add_note(s: State, node: int, number: int) -> State:
    own = s.nodes[node]
    return _set_node(s, node, own._replace(notes=own.notes | {number}))


def _without(node: Node, number: int) -> Node:
    return node._replace(notes=node.notes - {number})


def _phase(s: State, number: int) -> str:
    return s.announcements[number - 1].phase


def _set_phase(s: State, number: int, phase: str) -> State:
    return _set_announcement(
        s, number, s.announcements[number - 1]._replace(phase=phase)
    )


def _set_announcement(s: State, number: int, announcement: Announcement) -> State:
    changed = list(s.announcements)
    changed[number - 1] = announcement
    return s._replace(announcements=tuple(changed))


def _set_node(s: State, node: int, own: Node) -> State:
    nodes = (*s.nodes[:node], own, *s.nodes[node + 1 :])
    return s._replace(nodes=nodes)
