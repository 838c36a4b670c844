"""Parses and checks the configuration document."""

from __future__ import annotations

import tomllib
from collections.abc import Iterator
from typing import Any, NamedTuple

from guavajunction.errors import DocumentInvalid

from ._capacity import capacity_faults
from ._fault import Fault
from ._references import reference_faults
from ._shape import format_value, section_faults
from ._tables import SECTION_NAMES, Sections, empty_sections

BASED_ON = "based_on"
"""Name of the table with the section versions on which the edit is based."""


class Document(NamedTuple):
    """A parsed document, which may contain only some of the sections."""

    given: Sections
    """Sections that the text contains."""
    based_on: dict[str, int]
    """Version on which the edit of each section is based, if the text contains it."""

    def merged_over(self, base: Sections) -> Sections:
        """Return the base with its sections replaced by those of this document."""
        return {**base, **self.given}


def parse_document(text: str, base: Sections | None = None) -> Document:
    """Parse a document and check it; sections that it lacks are taken from the base.

    Args:
        text: The document in TOML.
        base: Sections to use if the text lacks them; empty by default.

    Returns:
        A document without faults.

    Raises:
        DocumentInvalid: The document has faults; the error lists all of them.
    """
    tables = _parse_toml(text)
    based_on = tables.pop(BASED_ON, {})
    faults = [*_based_on_faults(based_on), *_unknown_sections(tables)]
    given = {name: tables[name] for name in SECTION_NAMES if name in tables}
    doc = Document(given, based_on)
    faults += find_faults(doc.merged_over(base or empty_sections()))
    raise_if_faults(faults)
    return doc


def check_sections(sections: Sections) -> None:
    """Check a whole document.

    Raises:
        DocumentInvalid: The document has faults; the error lists all of them.
    """
    raise_if_faults(find_faults(sections))


def find_faults(sections: Sections) -> list[Fault]:
    """Return the faults of a whole document.

    Checks between entries run only if every entry has the right keys and types.
    """
    faults = [f for name in SECTION_NAMES for f in section_faults(name, sections[name])]
    if faults:
        return faults
    faults = list(reference_faults(sections))
    if any(fault.path.startswith("backends.") for fault in faults):
        return faults
    return [*faults, *capacity_faults(sections)]


def raise_if_faults(faults: list[Fault]) -> None:
    """Raise an error if there are faults.

    Raises:
        DocumentInvalid: There are faults; the error lists them.
    """
    if faults:
        lines = "\n".join(str(fault) for fault in faults)
        raise DocumentInvalid(f"The document has faults:\n{lines}", faults)


def _parse_toml(text: str) -> dict[str, Any]:
    try:
        return tomllib.loads(text)
    except tomllib.TOMLDecodeError as exc:
        raise_if_faults([Fault("document", str(exc), "TOML")])
        raise


def _unknown_sections(tables: dict[str, Any]) -> Iterator[Fault]:
    for name in sorted(tables.keys() - set(SECTION_NAMES)):
        expected = "one of " + ", ".join(SECTION_NAMES)
        yield Fault(name, "unknown section", expected)


def _based_on_faults(based_on: Any) -> Iterator[Fault]:
    if not isinstance(based_on, dict):
        yield Fault(
            BASED_ON, format_value(BASED_ON, based_on), "a table of whole numbers"
        )
        return
    for name, version in based_on.items():
        path = f"{BASED_ON}.{name}"
        if name not in SECTION_NAMES:
            yield Fault(path, "unknown section", "one of " + ", ".join(SECTION_NAMES))
        elif type(version) is not int or version < 0:
            yield Fault(path, format_value(path, version), "a whole number, at least 0")
