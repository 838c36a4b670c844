"""Tests of the check of requirements.lock."""

from __future__ import annotations

import importlib.util
from pathlib import Path

import pytest

TOOL = Path(__file__).resolve().parents[2] / "tools" / "check_lock.py"


@pytest.fixture(scope="module")
def check_lock():
    spec = importlib.util.spec_from_file_location("check_lock", TOOL)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


class TestFindFaults:
    """Each kind of fault has a message that names the pin."""

    def test_unneeded_pin(self, check_lock):
        faults = check_lock.find_faults(
            {"aiohttp": "3", "z3-solver": "5"}, {}, {"aiohttp"}, set()
        )
        assert list(faults) == ["requirements.lock: nothing requires 'z3-solver'"]

    def test_missing_pin(self, check_lock):
        faults = check_lock.find_faults({}, {}, {"aiohttp"}, set())
        assert list(faults) == [
            "requirements.lock: 'aiohttp' is required and not pinned"
        ]

    def test_pin_that_is_compiled_on_this_machine(self, check_lock):
        pins = {"aiohttp": "3", "hdrhistogram": "0.10"}
        faults = check_lock.find_faults(pins, {}, set(pins), set(pins))
        assert list(faults) == [
            "requirements.lock: 'aiohttp' has no wheel for this machine"
        ]

    def test_other_version_in_the_deployment(self, check_lock):
        faults = check_lock.find_faults(
            {"aiohttp": "3"}, {"aiohttp": "2"}, {"aiohttp"}, set()
        )
        assert list(faults) == [
            "deploy/requirements.txt: aiohttp==2 is not the version in "
            "requirements.lock, 3"
        ]


class TestExpand:
    """Requirements are followed, with the markers of this machine."""

    def test_requirements_of_requirements(self, check_lock):
        of = {"a": ["B>=1"], "b": ['c; python_version < "3"', 'd; extra == "x"', "e"]}
        assert check_lock.expand(["a"], lambda name: of.get(name, [])) == {
            "a",
            "b",
            "e",
        }


class TestLock:
    """The lock holds what the packages declare."""

    def test_lock_of_this_repository(self, check_lock, capsys):
        assert check_lock.main() == 0, capsys.readouterr().err
