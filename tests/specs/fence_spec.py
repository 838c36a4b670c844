"""Specification of the fencing numbers of a lease in a store that may come back.

Describes `guavajunction.membership._lease`: `_next_fence`, and the check of the era in
`_write_holder`. Who may acquire when is specified in `lease_spec`; here any contender
may try at any time.

The store counts the writes of its one row. It may come back from a copy of any earlier
state of the present era, and then counts on from there. A write that was open at that
time lands if the row has the number that it requires, although another write has given
the number out again. A contender uses a fencing number once its acquisition succeeds.
"""

from __future__ import annotations

from typing import NamedTuple

from minicheck import Protocol

NAMES = ("a", "b")
MAX_VERSION = 4
"""Number of writes in an era after which the model ends."""


class Rules(NamedTuple):
    """Rules of the numbers. Tests change one at a time; the numbers then fail."""

    era_in_number: bool = True
    """Whether the first number of an era is above all numbers of earlier eras."""
    from_position: bool = True
    """Whether the first number of an era depends on the version that it replaces."""
    checks_era: bool = True
    """Whether a number is not used if the era has changed during the acquisition."""
    returns: int = 2
    """Number of times that the store comes back."""


class Number(NamedTuple):
    """A fencing number, or a position of the store; both are compared in order."""

    era: int
    count: int


class Write(NamedTuple):
    """An acquisition in flight."""

    fence: Number
    expected: Number
    """Position of the row that was read."""


class State(NamedTuple):
    """State of the row, of its copies and of the contenders."""

    era: int
    version: int
    fence: Number
    """Number in the row."""
    copies: tuple[tuple[int, Number], ...]
    """Versions of the present era from which the store may come back."""
    a: Write | None
    b: Write | None
    highest: Number
    """Highest number that was used so far."""
    rises: bool
    """Whether each used number was above all earlier ones."""


def fence_model(rules: Rules = Rules()) -> Protocol:  # noqa: B008
    """Return the model under the given rules."""
    first = Number(0, 0)
    return Protocol(
        name="fencing numbers",
        candidate=False,
        fields=State._fields,
        initial=State(0, 1, first, ((1, first),), None, None, first, True),
        transitions=lambda state: _transitions(State(*state), rules),
        invariants={"each number is above all earlier ones": lambda s: s["rises"]},
    )


def _transitions(s: State, rules: Rules):
    for name in NAMES:
        write: Write | None = getattr(s, name)
        if write is None:
            read = Write(_next(s, rules), Number(s.era, s.version))
            yield f"{name} reads the row", s._replace(**{name: read})
            continue
        yield f"{name} gives up", s._replace(**{name: None})
        if write.expected.count == s.version and s.version < MAX_VERSION:
            landed = _land(s, name, write)
            yield f"write of {name} lands without a reply", landed
            if write.expected.era == s.era or not rules.checks_era:
                yield f"{name} uses its number", _use(landed, write.fence)
    if s.era < rules.returns:
        for version, fence in s.copies:
            back = s._replace(
                era=s.era + 1,
                version=version,
                fence=fence,
                copies=((version, fence),),
            )
            yield f"the store comes back with version {version}", back


def _next(s: State, rules: Rules) -> Number:
    """Return the number of the next holder, as `_next_fence` does."""
    if s.fence.era == s.era or not rules.era_in_number:
        return s.fence._replace(count=s.fence.count + 1)
    return Number(s.era, s.version if rules.from_position else 1)


def _land(s: State, name: str, write: Write) -> State:
    version = s.version + 1
    return s._replace(
        version=version,
        fence=write.fence,
        copies=(*s.copies, (version, write.fence)),
        **{name: None},
    )


def _use(s: State, fence: Number) -> State:
    return s._replace(
        highest=max(s.highest, fence), rises=s.rises and fence > s.highest
    )
