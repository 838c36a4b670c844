"""Tests that the reference pages for operators match the code."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

from fakes_operator import ServedFleet
from guavajunction.configuration._operator_guard import _STATUS_AND_TYPE
from guavajunction.errors import OperatorError
from guavajunction_ctl._flags import new_flags
from guavajunction_ctl.main import COMMANDS

PAGES = Path(__file__).parents[2] / "docs/reference"


def first_column(page: str) -> set[str]:
    """Return the code spans in the first column of a page's tables."""
    return set(re.findall(r"^\| `([^`]+)`", (PAGES / page).read_text(), re.MULTILINE))


class TestPages:
    """The pages list every command, flag and route, and every operator error."""

    def test_commands_and_flags(self):
        commands = {command.usage for command in COMMANDS}
        flags = {f"--{name}" for name in new_flags()} - {"--help"}
        assert first_column("guavactl.md") == commands | flags

    def test_routes(self):
        (served,) = ServedFleet("a").served
        routes = {
            f"{route.method} {route.resource.canonical.removeprefix('/operator/')}"
            for route in served.server.app.router.routes()
            if route.method != "HEAD"
        }
        text = (PAGES / "operator-api.md").read_text()
        named = re.findall(r"`((?:GET|POST|DELETE) [^`]+)`", text)
        upper = [re.sub(r"\{(\w+)\}", lambda m: m[1].upper(), r) for r in routes]
        assert set(named) == set(upper)

    @pytest.mark.parametrize("kind", [*OperatorError.__subclasses__(), OperatorError])
    def test_failures_of_operators(self, kind):
        text = (PAGES / "operator-api.md").read_text()
        assert f"| {kind.STATUS} | `{kind.TYPE}` |" in text

    def test_other_failures(self):
        text = (PAGES / "operator-api.md").read_text()
        for status, kind in _STATUS_AND_TYPE.values():
            assert f"| {status} | `{kind}` |" in text
