"""Specification of the shares of a customer's rate limit.

Three instances share two units. Any of them may raise the epoch, collect the units that
the others report and grant the rest to itself. Messages may be lost, duplicated or
arrive at any later time. An instance may be paused forever or continue after it was
revoked. The units that may be spent never exceed the total: `spendable_within_total`.

Abstractions: a paused instance never regains its standing. An instance may learn of any
epoch that the row has had, at any time, which covers every message with an epoch.
Reports are fixed when an epoch is entered, so a late report equals a prompt one.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from minicheck import Protocol, check_safety

TOTAL = 2
"""Units of the customer's whole rate limit."""


class Bounds(NamedTuple):
    """Bounds of the states that the checker explores."""

    epochs: int
    """Highest epoch."""
    transfers: int
    """Number of transfers that may be sent."""
    joins: bool
    """Whether the third instance may join."""
    owners: frozenset[int]
    """Instances that may raise the epoch."""
    failing: frozenset[int]
    """Instances that may be paused and revoked."""


CLOCK_MARGIN = "clock_margin"
COUNT_BEFORE_GIVING = "count_before_giving"
DEDUCT_BEFORE_SENDING = "deduct_before_sending"
DEDUPE = "dedupe"
GIVE_IN_STANDING = "give_in_standing"
JOIN_FROM_STORE = "join_from_store"
LIST_AFTER_WRITE = "list_after_write"
SAME_EPOCH = "same_epoch"
WAIT_FOR_REVOCATION = "wait_for_revocation"
RULES = frozenset(
    {
        CLOCK_MARGIN,
        COUNT_BEFORE_GIVING,
        DEDUCT_BEFORE_SENDING,
        DEDUPE,
        GIVE_IN_STANDING,
        JOIN_FROM_STORE,
        LIST_AFTER_WRITE,
        SAME_EPOCH,
        WAIT_FOR_REVOCATION,
    }
)
"""Rules of the protocol. Tests leave out one at a time to show that it is needed."""


class Count(NamedTuple):
    """Reports of units that an instance collects for the epoch that it raised."""

    listed: frozenset[int] | None
    """Unrevoked members as read from the store, None before the read."""
    reports: tuple[int | None, ...]
    """Units that each instance reported, None without a report."""
    granted: bool


class Node(NamedTuple):
    """One instance."""

    member: bool
    """Whether it is an unrevoked member."""
    standing: bool
    """Whether it may act."""
    epoch: int
    units: int
    """Units that it may spend."""
    reported: int
    """Units that it had when it entered the epoch."""
    counted: bool
    """Whether its report was counted in the epoch."""
    received: frozenset[int]
    """Numbers of the transfers that it received in the epoch."""
    count: Count | None
    """The instance's count if it raised the epoch."""


class Transfer(NamedTuple):
    """Message that transfers one unit; it may arrive any number of times."""

    number: int
    epoch: int
    to: int


class State(NamedTuple):
    """State of the share row, the instances and the messages."""

    epoch: int
    """Epoch in the share row."""
    nodes: tuple[Node, ...]
    sent: tuple[Transfer, ...]
    undeducted: tuple[int, ...]
    """Instances that sent a unit and have not deducted it yet. Empty unless
    `DEDUCT_BEFORE_SENDING` is left out."""


Step = tuple[str, State]

NON_MEMBER = Node(False, False, 0, 0, 0, True, frozenset(), None)
NEW_MEMBER = Node(True, True, 1, 0, 0, True, frozenset(), None)
INITIAL = State(1, (NEW_MEMBER._replace(units=TOTAL), NEW_MEMBER, NON_MEMBER), (), ())


def _with_node(state: State, index: int, node: Node) -> State:
    nodes = (*state.nodes[:index], node, *state.nodes[index + 1 :])
    return state._replace(nodes=nodes)


def _enter_epoch(node: Node, epoch: int) -> Node:
    if epoch <= node.epoch:
        return node
    return node._replace(
        epoch=epoch,
        reported=node.units,
        counted=False,
        received=frozenset(),
        count=None,
    )


class SharesSpec:
    """Model of the shares under a set of rules."""

    def __init__(self, bounds: Bounds, rules: frozenset[str] = RULES) -> None:
        self._bounds = bounds
        self._rules = rules

    def check(self) -> dict[str, Any]:
        """Explore every reachable state."""
        model = Protocol(
            name="shares",
            candidate=False,
            fields=State._fields,
            initial=INITIAL,
            transitions=lambda state: list(self.steps(State(*state))),
            invariants={"spendable_within_total": self.spendable_within_total},
        )
        return check_safety(model)

    @staticmethod
    def spendable_within_total(state: dict[str, Any]) -> bool:
        """Return whether the instances in standing have at most the total units."""
        return sum(n.units for n in state["nodes"] if n.standing) <= TOTAL

    def steps(self, state: State) -> Iterator[Step]:
        """Yield every possible next step with its label."""
        for index, node in enumerate(state.nodes):
            if node == NON_MEMBER:
                yield from self._join_steps(state, index)
                continue
            yield from self._transfer_steps(state, index, node)
            yield from self._learn_steps(state, index, node)
            yield from self._failure_steps(state, index, node)
            yield from self._owner_steps(state, index, node)
        for message in state.sent:
            yield from self._arrival_steps(state, message)

    def _join_steps(self, state: State, index: int) -> Iterator[Step]:
        if not self._bounds.joins:
            return
        epochs = {state.epoch}
        if JOIN_FROM_STORE not in self._rules:
            epochs |= {n.epoch for n in state.nodes if n.member}
        for epoch in epochs:
            yield (
                f"join {index}",
                _with_node(state, index, NEW_MEMBER._replace(epoch=epoch)),
            )

    def _transfer_steps(self, state: State, index: int, node: Node) -> Iterator[Step]:
        if index in state.undeducted:
            remaining = tuple(i for i in state.undeducted if i != index)
            deducted = node._replace(units=max(0, node.units - 1))
            yield (
                f"deduct {index}",
                _with_node(state._replace(undeducted=remaining), index, deducted),
            )
            return
        uncounted = not node.counted and node.reported > 0
        if uncounted and COUNT_BEFORE_GIVING in self._rules:
            return
        if not node.standing and GIVE_IN_STANDING in self._rules:
            return
        if not node.units or len(state.sent) == self._bounds.transfers:
            return
        for to, other in enumerate(state.nodes):
            if to == index or other == NON_MEMBER:
                continue
            message = Transfer(len(state.sent), node.epoch, to)
            after = state._replace(sent=(*state.sent, message))
            if DEDUCT_BEFORE_SENDING in self._rules:
                after = _with_node(after, index, node._replace(units=node.units - 1))
            else:
                after = after._replace(undeducted=(*state.undeducted, index))
            yield f"give {index}->{to}", after

    def _arrival_steps(self, state: State, message: Transfer) -> Iterator[Step]:
        node = _enter_epoch(state.nodes[message.to], message.epoch)
        if message.epoch != node.epoch and SAME_EPOCH in self._rules:
            return
        if message.number in node.received and DEDUPE in self._rules:
            return
        units = min(node.units + 1, TOTAL + 1)
        received = node.received | {message.number}
        node = node._replace(units=units, received=received)
        yield f"arrive {message.number}", _with_node(state, message.to, node)

    def _learn_steps(self, state: State, index: int, node: Node) -> Iterator[Step]:
        for epoch in range(node.epoch + 1, state.epoch + 1):
            yield f"learn {index}", _with_node(state, index, _enter_epoch(node, epoch))

    def _failure_steps(self, state: State, index: int, node: Node) -> Iterator[Step]:
        if node.standing and index in self._bounds.failing:
            paused = node._replace(standing=False)
            yield f"pause {index}", _with_node(state, index, paused)
        if index not in self._bounds.failing:
            return
        if node.member and (not node.standing or CLOCK_MARGIN not in self._rules):
            yield (
                f"revoke {index}",
                _with_node(state, index, node._replace(member=False)),
            )

    def _owner_steps(self, state: State, index: int, node: Node) -> Iterator[Step]:
        if state.epoch < self._bounds.epochs and index in self._bounds.owners:
            raised = state._replace(epoch=state.epoch + 1)
            listed = None if LIST_AFTER_WRITE in self._rules else _members(INITIAL)
            count = Count(listed, (None,) * len(state.nodes), False)
            entered = _enter_epoch(node, raised.epoch)._replace(count=count)
            yield f"raise {index}", _with_node(raised, index, entered)
        if node.count is None or node.count.granted:
            return
        if node.count.listed is None:
            count = node.count._replace(listed=_members(state))
            yield f"list {index}", _with_node(state, index, node._replace(count=count))
            return
        yield from self._report_steps(state, index, node, node.count)
        yield from self._grant_steps(state, index, node, node.count)

    def _report_steps(
        self, state: State, index: int, node: Node, count: Count
    ) -> Iterator[Step]:
        for other, member in enumerate(state.nodes):
            if other == index or member.epoch != node.epoch:
                continue
            if count.reports[other] is None:
                reports = list(count.reports)
                reports[other] = member.reported
                updated = count._replace(reports=tuple(reports))
                after = _with_node(state, index, node._replace(count=updated))
                yield f"report {other}->{index}", after
            elif not member.counted:
                confirmed = member._replace(counted=True)
                yield f"confirm {index}->{other}", _with_node(state, other, confirmed)

    def _grant_steps(
        self, state: State, index: int, node: Node, count: Count
    ) -> Iterator[Step]:
        waiting = (count.listed or frozenset()) & _members(state) - {index}
        missing = {i for i in waiting if count.reports[i] is None}
        if missing and WAIT_FOR_REVOCATION in self._rules:
            return
        reported = node.reported + sum(r or 0 for r in count.reports)
        granted = node._replace(
            units=min(node.units + max(0, TOTAL - reported), TOTAL + 1),
            counted=True,
            count=count._replace(granted=True),
        )
        yield f"grant {index}", _with_node(state, index, granted)


def _members(state: State) -> frozenset[int]:
    return frozenset(i for i, node in enumerate(state.nodes) if node.member)
