"""Specification of a lease with two contenders.

Describes `guavajunction.membership._lease.Lease`: `try_acquire`, `renew`, `held`.

Replies may be lost after the write took effect, and a write whose reply was lost may
land at any later time. A contender may be paused at any point, as time may pass before
its next step. A contender's clock may miss one tick in any interval as long as the
duration plus the margin. The model has no version numbers: a conditional write only
needs to know whether the row still has the version that was read.

The store may come back from an older copy, in which the row may show any holder. The
row is then of an earlier era until an acquisition takes effect.
"""

from __future__ import annotations

from typing import Literal, NamedTuple

from minicheck import Protocol

NAMES = ("a", "b")


class Rules(NamedTuple):
    """Rules and times in ticks. Tests change one at a time; the lease then fails."""

    duration: int = 2
    """Ticks that a lease lasts."""
    margin: int = 1
    """Ticks that another contender waits beyond the duration."""
    counts_from_send: bool = True
    """Whether a lease lasts from the sending of its write, not from the reply."""
    conditional: bool = True
    """Whether a write requires the version that was read."""
    own_row_is_proof: bool = False
    """Whether a contender that reads its own name in the row acts as holder."""
    waits_in_new_era: bool = True
    """Whether a contender waits although the row of an earlier era is free or its
    own."""
    era_in_reply: bool = True
    """Whether a contender ignores the success of a write that the store compared with
    versions of a later era."""
    returns: int = 0
    """Number of times that the store comes back from an older copy."""
    exact_clocks: bool = False
    """Whether clocks miss no ticks, which leaves fewer states; `margin` may then be
    0."""


DEFAULT_RULES = Rules()


class Write(NamedTuple):
    """A write in flight."""

    left: int
    """Ticks that remain of the lease if the write takes effect."""
    current: bool
    """Whether the row still has the version that the write requires."""
    acquires: bool
    """Whether the write acquires the lease; otherwise it renews it."""
    outcome: Literal["open", "done", "refused"]
    crosses: bool = False
    """Whether the store came back while the write was open. Its condition may then be
    met by chance, as versions are given out again."""


class Contender(NamedTuple):
    """One contender for the lease."""

    held: int = 0
    """Ticks for which the contender still considers itself the holder."""
    knows_version: bool = False
    """Whether the contender knows the version of the row that it wrote."""
    write: Write | None = None
    late_write: bool = False
    """Whether a write with a lost reply may still land."""
    late_crosses: bool = False
    """Whether the store came back since that write was sent."""
    seen: bool = False
    """Whether the contender has read the current version of the row."""
    waited: int = 0
    """Ticks since the contender first read the current version of the row."""
    steady: int = 0
    """Ticks until the contender's clock may miss another tick."""


class State(NamedTuple):
    """State of the row and the contenders."""

    holder: str
    """Name in the row, empty without a holder."""
    a: Contender
    b: Contender
    void: bool = False
    """Whether the row's lease was acquired in an earlier era."""
    returns: int = 0
    """Number of returns of the store that are left."""


def lease_model(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model under the given rules."""
    return Protocol(
        name="lease",
        candidate=False,
        fields=State._fields,
        initial=State("", Contender(), Contender(), returns=rules.returns),
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={
            "at most one holder": lambda state: (
                not (state["a"].held > 0 and state["b"].held > 0)
            )
        },
    )


def _transitions(s: State, rules: Rules) -> list[tuple[str, State]]:
    steps = []
    for name in NAMES:
        steps += _client_steps(s, name, rules) + _store_steps(s, name, rules)
    if s.returns:
        steps += [_return(s, holder) for holder in ("", *NAMES)]
    return steps + _ticks(s, rules)


def _return(s: State, holder: str) -> tuple[str, State]:
    """Return the state after the store came back from a copy with a holder."""
    after = s._replace(holder=holder, void=True, returns=s.returns - 1)
    for name in NAMES:
        me: Contender = getattr(s, name)
        write = me.write
        if write is not None and write.outcome == "open":
            write = write._replace(current=False, crosses=True)
        after = _set(
            after,
            name,
            me._replace(
                write=write,
                late_crosses=me.late_write,
                knows_version=False,
                seen=False,
                waited=0,
            ),
        )
    return f"the store comes back with holder {holder!r}", after


def _client_steps(s: State, name: str, rules: Rules) -> list[tuple[str, State]]:
    me: Contender = getattr(s, name)
    if me.write is not None:
        return _reply_steps(s, name, me, me.write, rules)
    if me.held > 0:
        return [_renew(s, name, me, rules)]
    return [_observe(s, name, me, rules)]


def _renew(s: State, name: str, me: Contender, rules: Rules) -> tuple[str, State]:
    if me.knows_version:
        return f"{name} renews", _send(s, name, me, rules)
    # The condition failed. As `_reread_row` does, distinguish an own write whose reply
    # was lost from a takeover.
    if s.holder == name:
        return f"{name} finds its own write", _set(
            s, name, me._replace(knows_version=True)
        )
    return f"{name} finds another holder", _set(s, name, me._replace(held=0))


def _observe(s: State, name: str, me: Contender, rules: Rules) -> tuple[str, State]:
    if s.holder == name and rules.own_row_is_proof:
        return f"{name} trusts the row", _set(s, name, me._replace(held=rules.duration))
    waited = me.seen and me.waited >= rules.duration + rules.margin
    trusted = not s.void or not rules.waits_in_new_era
    if (trusted and s.holder in ("", name)) or waited:
        return f"{name} tries to acquire", _send(s, name, me, rules)
    if me.seen:
        return f"{name} waits", s
    return f"{name} reads the row", _set(s, name, me._replace(seen=True, waited=0))


def _send(s: State, name: str, me: Contender, rules: Rules) -> State:
    write = Write(rules.duration, True, me.held == 0, "open")
    return _set(s, name, me._replace(write=write))


def _reply_steps(
    s: State, name: str, me: Contender, write: Write, rules: Rules
) -> list[tuple[str, State]]:
    may_land = write.outcome == "open" and (
        write.current or write.crosses or not rules.conditional
    )
    late_write = me.late_write or may_land
    lost = me._replace(
        write=None,
        knows_version=False,
        late_write=late_write,
        late_crosses=write.crosses if may_land else me.late_crosses,
    )
    steps = [(f"reply to {name} is lost", _set(s, name, lost))]
    if write.outcome == "done" and not (write.crosses and rules.era_in_reply):
        left = write.left if rules.counts_from_send else rules.duration
        held = me._replace(
            write=None, held=max(me.held, left), knows_version=write.current
        )
        steps.append((f"{name} learns that it is the holder", _set(s, name, held)))
    if write.outcome == "refused":
        refused = me._replace(write=None, knows_version=False)
        steps.append((f"{name} learns of the refusal", _set(s, name, refused)))
    return steps


def _store_steps(s: State, name: str, rules: Rules) -> list[tuple[str, State]]:
    me: Contender = getattr(s, name)
    steps = []
    if me.write is not None and me.write.outcome == "open":
        if me.write.current or me.write.crosses or not rules.conditional:
            done = me._replace(write=me.write._replace(current=True, outcome="done"))
            landed = _apply_write(s, name, done)
            acquired = me.write.acquires and not me.write.crosses
            landed = landed._replace(void=(s.void and not acquired) or me.write.crosses)
            steps.append((f"write of {name} lands", landed))
        if not me.write.current and rules.conditional:
            refused = me._replace(write=me.write._replace(outcome="refused"))
            steps.append((f"write of {name} is refused", _set(s, name, refused)))
    if me.late_write:
        landed = _apply_write(s, name, me._replace(late_write=False))
        landed = landed._replace(void=me.late_crosses)
        steps.append((f"late write of {name} lands", landed))
    return steps


def _apply_write(s: State, name: str, me: Contender) -> State:
    """Return the state after a write took effect; older versions are now stale."""
    other: Contender = getattr(s, _other(name))
    write = other.write._replace(current=False) if other.write else None
    other = other._replace(
        write=write,
        late_write=other.late_write and other.late_crosses,
        knows_version=False,
        seen=False,
        waited=0,
    )
    written = me._replace(late_write=False, late_crosses=False, seen=False, waited=0)
    if me.write is not None and me.write.outcome == "open":
        written = written._replace(write=me.write._replace(current=False))
    return _set(_set(s, name, written), _other(name), other)._replace(holder=name)


def _ticks(s: State, rules: Rules) -> list[tuple[str, State]]:
    steps = [("tick", s._replace(a=_advance(s.a, rules), b=_advance(s.b, rules)))]
    for name in NAMES:
        me: Contender = getattr(s, name)
        other: Contender = getattr(s, _other(name))
        if me.steady == 0 and not rules.exact_clocks:
            steady = rules.duration + rules.margin
            after = _set(s, name, me._replace(steady=steady))
            after = _set(after, _other(name), _advance(other, rules))
            steps.append((f"tick that the clock of {name} misses", after))
    return steps


def _advance(me: Contender, rules: Rules) -> Contender:
    write = me.write
    if write is not None:
        write = write._replace(left=max(write.left - 1, 0))
    limit = rules.duration + rules.margin
    waited = min(me.waited + 1, limit) if me.seen else 0
    return me._replace(
        held=max(me.held - 1, 0),
        write=write,
        waited=waited,
        steady=max(me.steady - 1, 0),
    )


def _set(s: State, name: str, me: Contender) -> State:
    return s._replace(**{name: me})


def _other(name: str) -> str:
    return "b" if name == "a" else "a"
