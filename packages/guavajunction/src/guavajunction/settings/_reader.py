"""Reads a settings file and reports all its faults in one error."""

from __future__ import annotations

import configparser
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, get_type_hints

from guavajunction.errors import SettingsInvalid

from ._faults import SettingsFault, ValueFault
from ._model import Settings

S = TypeVar("S", bound=tuple)
"""A `NamedTuple` whose fields are the sections of a file."""


def read_settings(path: str) -> Settings:
    """Read and check the settings file of an entry instance.

    Args:
        path: Name of an INI file.

    Raises:
        SettingsInvalid: The file has faults; the message has one line for each.
    """
    return read_sections(path, Settings)


def read_sections(path: str, model: type[S]) -> S:
    """Read and check an INI file.

    Args:
        path: Name of the file.
        model: A `NamedTuple` with a field for each section, itself a `NamedTuple`
            whose annotations name the parsers of its values.

    Returns:
        The settings; the content of each secret file replaces its name.

    Raises:
        SettingsInvalid: The file has faults; the message has one line for each.
    """
    parser = configparser.ConfigParser(interpolation=None, default_section="")
    faults: list[SettingsFault] = []
    try:
        parser.read_string(Path(path).read_text(encoding="utf-8"), source=path)
    except OSError as exc:
        faults.append(SettingsFault(path, "", "", exc.strerror or "", "a file"))
    except (configparser.Error, UnicodeDecodeError) as exc:
        found = " ".join(str(exc).split())
        faults.append(SettingsFault(path, "", "", found, "an INI file"))
    if faults:
        raise _invalid(faults)
    return _read_parsed(path, parser, model)


def _read_parsed(path: str, parser: configparser.ConfigParser, model: type[S]) -> S:
    section_types = get_type_hints(model)
    faults = [
        SettingsFault(
            path, name, "", "an unknown section", f"one of {sorted(section_types)}"
        )
        for name in parser.sections()
        if name not in section_types
    ]
    sections: dict[str, Any] = {}
    for name, section_type in section_types.items():
        items = dict(parser.items(name)) if parser.has_section(name) else {}
        reader = _SectionReader(path, name, section_type, items)
        sections[name] = reader.read()
        faults.extend(reader.faults)
    if faults:
        raise _invalid(faults)
    return model(**sections)


def _invalid(faults: list[SettingsFault]) -> SettingsInvalid:
    return SettingsInvalid("\n".join(str(fault) for fault in faults))


class _SectionReader:
    """Reads one section into its `NamedTuple` and collects the faults."""

    def __init__(
        self,
        path: str,
        name: str,
        section_type: type[NamedTuple],
        items: dict[str, str],
    ) -> None:
        self.faults: list[SettingsFault] = []
        self._path = path
        self._name = name
        self._section_type = section_type
        self._items = items

    def read(self) -> Any:
        """Return the section, or None if it has faults."""
        hints = get_type_hints(self._section_type, include_extras=True)
        self._check_unknown_keys(set(hints))
        values = {key: self._value(key, hint) for key, hint in hints.items()}
        return None if self.faults else self._section_type(**values)

    def _check_unknown_keys(self, known: set[str]) -> None:
        for key in self._items:
            if key not in known:
                self._add_fault(key, "an unknown key", f"one of {sorted(known)}")

    def _value(self, key: str, hint: Any) -> Any:
        defaults = self._section_type._field_defaults
        if key not in self._items:
            if key not in defaults:
                self._add_fault(key, "nothing", "a value")
            return defaults.get(key)
        parse = hint.__metadata__[0]
        try:
            return parse(self._items[key].strip())
        except ValueFault as exc:
            self._add_fault(key, exc.found, exc.expected)
            return None

    def _add_fault(self, key: str, found: str, expected: str) -> None:
        fault = SettingsFault(self._path, self._name, key, found, expected)
        self.faults.append(fault)
