"""Tests of the program that starts one instance, run as a process."""

from __future__ import annotations

import os
import subprocess
import sys
import textwrap
from pathlib import Path

import pytest

PROGRAM = Path(__file__).resolve().parents[2] / "platform" / "serve.py"
LIMIT_SECONDS = 20.0


@pytest.fixture
def run(tmp_path):
    """Return a function that runs the program with code of a test at its start."""

    def run_with(site_code, *flags):
        (tmp_path / "sitecustomize.py").write_text(textwrap.dedent(site_code))
        return subprocess.run(
            [sys.executable, PROGRAM, *flags],
            env={**os.environ, "PYTHONPATH": str(tmp_path)},
            capture_output=True,
            text=True,
            timeout=LIMIT_SECONDS,
        )

    return run_with


def signal_at_import(module, signal_name):
    """Return code by which a process sends itself a signal before an import."""
    return f"""
        import os, signal, sys

        class SignalAtImport:
            def find_spec(self, name, path=None, target=None):
                if name == {module!r}:
                    os.kill(os.getpid(), signal.{signal_name})

        sys.meta_path.insert(0, SignalAtImport())
    """


class TestStart:
    """A signal that arrives before the instance listens is a planned stop."""

    @pytest.mark.parametrize("signal_name", ["SIGTERM", "SIGINT"])
    @pytest.mark.parametrize("module", ["uvloop", "guavajunction_entry.gateway"])
    def test_signal_during_imports_ends_with_0(self, run, module, signal_name):
        result = run(signal_at_import(module, signal_name))
        assert (result.returncode, result.stderr) == (0, "")

    def test_request_to_read_the_settings_does_not_end_it(self, run):
        result = run(signal_at_import("uvloop", "SIGHUP"), "--check")
        assert result.returncode == 0
        assert result.stdout == "the defaults: settings are valid\n"


class TestEnd:
    """The process ends as soon as its work is done."""

    SLOW_CLEAN_UP = "import atexit, time; atexit.register(time.sleep, 60)"

    def test_interpreter_clean_up_does_not_delay_the_end(self, run):
        result = run(self.SLOW_CLEAN_UP, "--check")
        assert result.returncode == 0
        assert result.stdout == "the defaults: settings are valid\n"

    def test_errors_are_printed_and_keep_their_status(self, run):
        result = run(self.SLOW_CLEAN_UP, "--settings=missing.ini")
        assert result.returncode == 2
        assert "missing.ini" in result.stderr
