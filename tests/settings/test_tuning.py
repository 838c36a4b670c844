"""Tests of the settings file of the gateway."""

from __future__ import annotations

import configparser
import subprocess
import sys
from pathlib import Path

import pytest

from guavajunction.errors import SettingsInvalid
from guavajunction_entry.gateway import Tuning, read_tuning

ROOT = Path(__file__).resolve().parents[2]
DEPLOYED = ROOT / "deploy" / "gateway.ini"


def check(*args: str) -> subprocess.CompletedProcess[str]:
    argv = [sys.executable, str(ROOT / "platform" / "serve.py"), *args]
    return subprocess.run(argv, capture_output=True, text=True, timeout=30, check=False)


class TestTuning:
    """Omitted keys have defaults; each invalid or unknown key is reported."""

    def test_empty_file_gives_the_defaults(self, tmp_path):
        path = tmp_path / "g.ini"
        path.write_text("")
        assert read_tuning(str(path)) == Tuning()

    def test_deployed_file_is_valid_and_names_known_keys(self):
        parser = configparser.ConfigParser()
        parser.read(DEPLOYED)
        tuning = read_tuning(str(DEPLOYED))
        for section in parser.sections():
            assert set(parser[section]) == set(getattr(tuning, section)._fields)

    def test_every_fault_is_named(self, tmp_path):
        path = tmp_path / "g.ini"
        path.write_text("[timing]\nheartbeat = soon\n[fleet]\nhubs = 3\n")
        with pytest.raises(SettingsInvalid) as caught:
            read_tuning(str(path))
        lines = str(caught.value).splitlines()
        assert len(lines) == 2
        assert "[timing] heartbeat: found 'soon'" in lines[0]
        assert "[fleet] hubs: found an unknown key" in lines[1]


class TestProgram:
    """The deployed program checks its settings before it starts."""

    def test_check_accepts_the_deployed_file(self):
        done = check(f"--settings={DEPLOYED}", "--check")
        assert (done.returncode, done.stderr) == (0, "")
        assert "settings are valid" in done.stdout

    def test_wrong_setting_ends_with_status_2(self, tmp_path):
        path = tmp_path / "g.ini"
        path.write_text("[directory]\nttl = 0\n")
        done = check(f"--settings={path}")
        assert done.returncode == 2
        assert done.stderr.count("\n") == 1
        assert "[directory] ttl: found '0'" in done.stderr

    def test_unknown_flag_ends_with_status_2(self):
        done = check("--nonsense")
        assert done.returncode == 2
        assert "nonsense" in done.stderr
