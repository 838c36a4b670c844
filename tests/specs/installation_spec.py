"""Specification of how instances put accepted versions in force.

Two versions are accepted, one after the other. Each of two instances reads the head
row and then the body, which may be stale, or receives a version from the other
instance. It may be paused between any two steps, and restarted with empty memory.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from minicheck import Protocol

LAST_VERSION = 2


class Instance(NamedTuple):
    """One instance. A restart resets it, except for `seen` and `reverted`."""

    serves: bool = False
    """Whether it serves callers."""
    version: int = 0
    """Version in force."""
    body: int = 0
    """Version whose content is in force."""
    loading: frozenset[int] = frozenset()
    """Versions that it read in the head row and whose bodies it is loading."""
    received: tuple[int, int] | None = None
    """Version and content received from the other instance."""
    seen: int = 0
    """Highest version that it ever served, including before restarts."""
    reverted: bool = False
    """Whether it ever served a lower version than before."""


class State(NamedTuple):
    """State of the head row and the instances."""

    accepted: int
    instances: tuple[Instance, Instance]


class Rules(NamedTuple):
    """Rules for installing versions. The defaults are the product's rules."""

    only_higher: bool = True
    """Whether a version is installed only if it is higher than the one in force."""
    checks_hash: bool = True
    """Whether a body is refused if its hash differs from the one in the row."""
    reads_before_serving: bool = True
    """Whether an instance serves only after it installed a version that it read."""


DEFAULT_RULES = Rules()
Step = tuple[str, State]


def installation_spec(rules: Rules = DEFAULT_RULES) -> Protocol:
    """Return the model with the given rules."""
    return Protocol(
        name="installation",
        candidate=False,
        fields=State._fields,
        initial=tuple(State(1, (Instance(), Instance()))),
        transitions=lambda state: [
            (label, tuple(after)) for label, after in _steps(State(*state), rules)
        ],
        invariants={
            "never_reverts": lambda d: not any(i.reverted for i in d["instances"]),
            "serves_what_was_accepted": _serves_what_was_accepted,
        },
    )


def _steps(s: State, rules: Rules) -> list[Step]:
    steps: list[Step] = []
    if s.accepted < LAST_VERSION:
        accepted = s._replace(accepted=s.accepted + 1)
        steps.append((f"version {accepted.accepted} is accepted", accepted))
    for index in range(len(s.instances)):
        steps += _instance_steps(s, index, rules)
    return steps


def _instance_steps(s: State, index: int, rules: Rules) -> list[Step]:
    own, other = s.instances[index], s.instances[1 - index]
    reading = own._replace(loading=own.loading | {s.accepted})
    restarted = Instance(seen=own.seen, reverted=own.reverted)
    steps = [("reads the row", reading), ("restarts", restarted)]
    for version in sorted(own.loading):
        steps += _loads(own, version, rules)
    if other.version > own.version:
        received = own._replace(received=(other.version, other.body))
        steps.append(("receives a version", received))
    if own.received is not None:
        version, body = own.received
        installed = _install(own._replace(received=None), version, body, rules)
        steps.append((f"installs version {version} of its peer", installed))
    if not rules.reads_before_serving and not own.serves:
        steps.append(("serves at once", _serve(own)))
    return [
        (f"instance {index} {label}", _replace(s, index, after))
        for label, after in steps
    ]


def _replace(s: State, index: int, instance: Instance) -> State:
    pair = (instance, s.instances[1]) if index == 0 else (s.instances[0], instance)
    return s._replace(instances=pair)


def _loads(own: Instance, version: int, rules: Rules) -> list[tuple[str, Instance]]:
    """Return the steps that finish a load, with the right body or with a stale one."""
    rest = own._replace(loading=own.loading - {version})
    correct = _serve(_install(rest, version, version, rules))
    steps = [(f"loads version {version}", correct)]
    if not rules.checks_hash:
        stale = _serve(_install(rest, version, version - 1, rules))
        steps.append((f"loads a stale body of version {version}", stale))
    return steps


def _install(own: Instance, version: int, body: int, rules: Rules) -> Instance:
    if rules.only_higher and version <= own.version:
        return own
    installed = own._replace(version=version, body=body)
    return _serve(installed) if own.serves else installed


def _serve(own: Instance) -> Instance:
    reverted = own.reverted or own.version < own.seen
    seen = max(own.seen, own.version)
    return own._replace(serves=True, seen=seen, reverted=reverted)


def _serves_what_was_accepted(d: dict[str, Any]) -> bool:
    return all(i.body == i.version <= d["accepted"] for i in d["instances"] if i.serves)
