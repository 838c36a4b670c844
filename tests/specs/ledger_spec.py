"""Specification of the memory ledger of one engine.

Two leaders, one after the other, want to load two artifacts that do not fit into memory
together. The engine ignores fencing tokens and executes each order id once. The network
loses, delays and duplicates orders. An order may arrive at any time until its bound on
arrival, and a leader that lost its lease may still send the orders whose intents it
wrote before.

Each artifact has one load order id and one unload order id per leader. A report shows
the memory at the time it was made, and may be processed after a newer order was sent.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

ARTIFACTS = ("x", "y")
CAPACITY = 1
"""Memory of the engine in units; each artifact takes one."""

Order = tuple[str, str, int]
"""Action, artifact and number of the leader; this is also the order's id."""


class State(NamedTuple):
    """State of the engine, the network, the ledger row and the current leader."""

    memory: frozenset[Order]
    """Load orders whose artifacts are in memory."""
    executed: frozenset[Order]
    """Orders that the engine executed."""
    in_transit: frozenset[Order]
    """Orders of which a copy may still arrive."""
    row: frozenset[Order]
    """Intents in the ledger row."""
    row_residents: frozenset[Order]
    """Residents in the ledger row."""
    leader: int
    """Number of the current leader."""
    intents: frozenset[Order]
    """Intents in the memory of the current leader."""
    residents: frozenset[Order]
    """Residents in the memory of the current leader."""
    unsent: frozenset[Order]
    """Intents that either leader wrote and has not sent yet."""
    report: tuple[frozenset[Order], frozenset[Order]] | None
    """Report in flight: the memory and the executed orders when it was made."""


class Rules(NamedTuple):
    """Rules of the ledger. The defaults are the product's rules."""

    free_on_unload: bool = False
    """Whether memory counts as free as soon as an unload is ordered."""
    forget_on_takeover: bool = False
    """Whether a leader starts without the intents of the previous leader."""
    drop_unanswered: bool = False
    """Whether an intent is removed when its order is sent, before any report."""
    write_after_send: bool = False
    """Whether an order is sent before its intent is in the row."""


DEFAULT_RULES = Rules()


def ledger_spec(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model with the given rules."""
    return Protocol(
        name="ledger",
        candidate=False,
        fields=State._fields,
        initial=_initial(),
        transitions=lambda state: _steps(state, rules),
        invariants={
            "memory_within_capacity": lambda d: len(d["memory"]) <= CAPACITY,
            "never_swapped": lambda d: d["memory"] != {("load", "y", 2)},
        },
    )


def _initial() -> State:
    none: frozenset[Order] = frozenset()
    return State(none, none, none, none, none, 1, none, none, none, None)


def _steps(s: State, rules: Rules) -> list[tuple[str, State]]:
    if len(s.memory) > CAPACITY:
        return []
    return [
        *_loads(s, rules),
        *_unloads(s),
        *_sends(s, rules),
        *_arrivals(s),
        *_expiries(s),
        *_reports(s),
        *_takeover(s, rules),
    ]


def _committed_units(s: State, rules: Rules) -> int:
    loads = {order for order in s.intents if order[0] == "load"}
    counted = s.residents | loads
    if rules.free_on_unload:
        unloading = {
            artifact for action, artifact, _ in s.intents if action == "unload"
        }
        counted = {order for order in counted if order[1] not in unloading}
    return len(counted)


def _has_intent(s: State, artifact: str) -> bool:
    return any(order[1] == artifact for order in s.intents)


def _loads(s: State, rules: Rules) -> list[tuple[str, State]]:
    steps = []
    for artifact in ARTIFACTS:
        order = ("load", artifact, s.leader)
        resident = any(load[1] == artifact for load in s.residents)
        fits = _committed_units(s, rules) < CAPACITY
        used = order in s.executed | s.in_transit | s.row | s.unsent
        if fits and not resident and not used and not _has_intent(s, artifact):
            steps.append((f"intend load {artifact}", _write(s, order, rules)))
    return steps


def _unloads(s: State) -> list[tuple[str, State]]:
    steps = []
    for _, artifact, _ in s.residents:
        order = ("unload", artifact, s.leader)
        used = order in s.executed | s.in_transit | s.row | s.unsent
        if not used and not _has_intent(s, artifact):
            steps.append((f"intend unload {artifact}", _write(s, order, DEFAULT_RULES)))
    return steps


def _write(s: State, order: Order, rules: Rules) -> State:
    intents = s.intents | {order}
    after = s._replace(intents=intents, unsent=s.unsent | {order})
    if rules.write_after_send:
        return after
    return after._replace(row=intents, row_residents=s.residents)


def _sends(s: State, rules: Rules) -> list[tuple[str, State]]:
    """Return the steps that send orders, also those of a leader that was replaced."""
    steps = []
    for order in s.unsent:
        sent = s._replace(unsent=s.unsent - {order}, in_transit=s.in_transit | {order})
        if rules.drop_unanswered and order[2] == s.leader:
            sent = sent._replace(intents=s.intents - {order}, row=s.row - {order})
        steps.append((f"send {order}", sent))
    return steps


def _arrivals(s: State) -> list[tuple[str, State]]:
    """Return the steps in which an order arrives, as the last copy or not."""
    steps = []
    for order in s.in_transit:
        memory = s.memory
        if order not in s.executed:
            present = any(load[1] == order[1] for load in memory)
            if order[0] == "unload":
                memory = frozenset(load for load in memory if load[1] != order[1])
            elif not present:
                memory = memory | {order}
        arrived = s._replace(memory=memory, executed=s.executed | {order})
        steps.append((f"arrive {order}, duplicated", arrived))
        last = arrived._replace(in_transit=s.in_transit - {order})
        steps.append((f"arrive {order}", last))
    return steps


def _expiries(s: State) -> list[tuple[str, State]]:
    """Return the steps in which an order's bound on arrival passes.

    No copy of the order arrives after that. The leader closes the intent only with a
    report from after the bound, which the model applies in the same step. An order that
    was not sent within its bound is never sent, because the lease has expired.
    """
    steps = []
    for order in s.intents:
        expired = s._replace(
            in_transit=s.in_transit - {order},
            unsent=s.unsent - {order},
            intents=s.intents - {order},
            residents=s.memory,
            report=None,
        )
        steps.append((f"bound on arrival of {order} passes", expired))
    return steps


def _reports(s: State) -> list[tuple[str, State]]:
    if s.report is None:
        if s.memory == s.residents and not s.intents & s.executed:
            return []
        return [("engine reports", s._replace(report=(s.memory, s.executed)))]
    memory, executed = s.report
    open_intents = frozenset(
        order
        for order in s.intents
        if order not in executed
        or (order[0] == "unload" and _is_resident(memory, order[1]))
    )
    processed = s._replace(residents=memory, intents=open_intents, report=None)
    return [("leader processes report", processed)]


def _is_resident(memory: frozenset[Order], artifact: str) -> bool:
    return any(load[1] == artifact for load in memory)


def _takeover(s: State, rules: Rules) -> list[tuple[str, State]]:
    if s.leader == 2:
        return []
    intents = frozenset() if rules.forget_on_takeover else s.row
    after = s._replace(
        leader=2, intents=intents, residents=s.row_residents, report=None
    )
    return [("second leader takes over", after)]
