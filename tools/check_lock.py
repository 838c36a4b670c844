"""Checks requirements.lock against what the packages declare.

Each pin must be a declared requirement or required by one, and each requirement must be
pinned. A pin must install without a compiler, except for those in `BUILT_FROM_SOURCE`.
The pins of `deploy/requirements.txt` must be those of the lock.

Run `python tools/check_lock.py` (part of `make check`) in the environment that
`make install` created.
"""

from __future__ import annotations

import sys
import tomllib
from collections.abc import Callable, Iterable, Iterator, Mapping
from importlib import metadata
from pathlib import Path

from packaging.requirements import Requirement
from packaging.utils import canonicalize_name

ROOT = Path(__file__).resolve().parent.parent

BUILT_FROM_SOURCE = frozenset(("hdrhistogram",))
"""Distributions without a wheel for some machines. A C compiler and the headers of
Python are enough to build them."""

RequirementsOf = Callable[[str], Iterable[str]]
"""Returns the requirements of an installed distribution."""


def read_pins(text: str) -> dict[str, str]:
    r"""Return the pinned version of each distribution, by canonical name.

    >>> read_pins("pytest-asyncio==1.5.0\nPygments==2.21.0\n")
    {'pytest-asyncio': '1.5.0', 'pygments': '2.21.0'}
    """
    pins = (line.partition("==") for line in text.splitlines() if line.strip())
    return {canonicalize_name(name): version for name, _, version in pins}


def read_declared(projects: Iterable[Mapping[str, object]]) -> set[str]:
    """Return the names that projects require to build, run and be tested.

    Args:
        projects: Contents of pyproject.toml files.
    """
    lines: list[str] = []
    for project in projects:
        lines += project.get("project", {}).get("dependencies", ())
        lines += project.get("build-system", {}).get("requires", ())
        for group in project.get("dependency-groups", {}).values():
            lines += group
    return {canonicalize_name(Requirement(line).name) for line in lines}


def expand(names: Iterable[str], requirements_of: RequirementsOf) -> set[str]:
    """Return distributions with all that they require on this machine."""
    found: set[str] = set()
    pending = list(names)
    while pending:
        name = pending.pop()
        if name in found:
            continue
        found.add(name)
        for line in requirements_of(name):
            requirement = Requirement(line)
            marker = requirement.marker
            if marker is None or marker.evaluate({"extra": ""}):
                pending.append(canonicalize_name(requirement.name))
    return found


def find_faults(
    pins: Mapping[str, str],
    deployed: Mapping[str, str],
    needed: set[str],
    compiled_here: set[str],
) -> Iterator[str]:
    """Yield a message for each fault of the lock.

    Args:
        pins: Versions in requirements.lock.
        deployed: Versions in deploy/requirements.txt.
        needed: Declared distributions, and all that they require.
        compiled_here: Distributions that were compiled on this machine.
    """
    for name in sorted(pins.keys() - needed):
        yield f"requirements.lock: nothing requires {name!r}"
    for name in sorted(needed - pins.keys()):
        yield f"requirements.lock: {name!r} is required and not pinned"
    for name in sorted(compiled_here - BUILT_FROM_SOURCE):
        yield f"requirements.lock: {name!r} has no wheel for this machine"
    for name, version in deployed.items():
        if pins.get(name) != version:
            yield (
                f"deploy/requirements.txt: {name}=={version} is not the version in "
                f"requirements.lock, {pins.get(name)}"
            )


def _installed_requirements(name: str) -> list[str]:
    try:
        return metadata.requires(name) or []
    except metadata.PackageNotFoundError:
        return []


def _compiled_here(names: Iterable[str]) -> set[str]:
    """Return the distributions that were compiled here, rather than downloaded so.

    A wheel that was compiled on a machine names its platform as `linux_MACHINE`, which
    no package index accepts.
    """
    return {name for name in names if "-linux_" in _wheel_tags(name)}


def _wheel_tags(name: str) -> str:
    try:
        return metadata.distribution(name).read_text("WHEEL") or ""
    except metadata.PackageNotFoundError:
        return ""


def main() -> int:
    """Print the faults of the lock.

    Returns:
        Exit status: 0 without faults, 1 otherwise.
    """
    files = [ROOT / "pyproject.toml", *ROOT.glob("packages/*/pyproject.toml")]
    files.append(ROOT / "platform" / "pyproject.toml")
    projects = [tomllib.loads(file.read_text()) for file in files]
    own = {canonicalize_name(project["project"]["name"]) for project in projects}
    pins = read_pins((ROOT / "requirements.lock").read_text())
    deployed = read_pins((ROOT / "deploy" / "requirements.txt").read_text())
    needed = expand(read_declared(projects) - own, _installed_requirements)
    faults = list(find_faults(pins, deployed, needed, _compiled_here(pins)))
    for fault in faults:
        print(fault, file=sys.stderr)
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
