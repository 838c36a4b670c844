"""Tests of reading and checking the settings file."""

from __future__ import annotations

from pathlib import Path

import pytest

from guavajunction.errors import SettingsInvalid
from guavajunction.settings import read_settings

GOOD = """
[instance]
name = e0
data_centre = dc1
address = 127.0.0.1
http_port = 8000
peer_port = 9000
[platform]
table_url = http://127.0.0.1:1/
object_url = http://127.0.0.1:2
instances_url = http://127.0.0.1:3
[secrets]
peer_keys_file = {keys}
pepper_file = {pepper}
operator_token_file = {token}
"""


@pytest.fixture
def write(tmp_path: Path):
    def write(text: str) -> str:
        for name, content in (
            ("keys", "a" * 40 + "\n" + "b" * 40),
            ("pepper", "p" * 32),
            ("token", "t" * 32),
        ):
            (tmp_path / name).write_text(content)
            text = text.replace("{" + name + "}", str(tmp_path / name))
        path = tmp_path / "e0.ini"
        path.write_text(text)
        return str(path)

    return write


def faults(path: str) -> list[str]:
    with pytest.raises(SettingsInvalid) as caught:
        read_settings(path)
    return [line.removeprefix(f"{path}: ") for line in str(caught.value).splitlines()]


class TestReadSettings:
    """All faults are reported in one error, one line each."""

    def test_good_file_is_read_with_defaults(self, write):
        settings = read_settings(write(GOOD))
        assert settings.instance.http_port == 8000
        assert settings.platform.table_url == "http://127.0.0.1:1"
        assert settings.secrets.pepper_file == b"p" * 32
        assert settings.timing.heartbeat == 0.5

    def test_all_faults_are_reported_at_once(self, write):
        text = GOOD.replace("127.0.0.1\n", "localhost\n").replace("= 8000", "= 99999")
        text = text.replace("peer_port = 9000\n", "")
        text += "[timing]\nlease = -1\nheart = 2\n[extras]\nx = 1\n"
        assert faults(write(text)) == [
            "[extras]: found an unknown section, expected one of ['instance',"
            " 'logging', 'machine', 'placement', 'platform', 'policy', 'secrets',"
            " 'serving', 'timing']",
            "[instance] address: found 'localhost', expected an IP number",
            "[instance] http_port: found '99999', expected a port from 1 to 65535",
            "[instance] peer_port: found nothing, expected a value",
            "[timing] heart: found an unknown key, expected one of"
            " ['configuration_poll', 'directory_ttl', 'drain', 'drift_margin',"
            " 'heartbeat', 'lease', 'load_poll', 'staleness']",
            "[timing] lease: found '-1', expected a number of seconds above 0",
        ]

    def test_unreadable_or_short_secret_is_a_fault(self, write, tmp_path):
        path = write(GOOD.replace("{pepper}", "/nowhere/pepper"))
        (tmp_path / "token").write_text("short")
        assert faults(path) == [
            "[secrets] pepper_file: found '/nowhere/pepper' (No such file or"
            " directory), expected a readable file",
            "[secrets] operator_token_file: found 5 bytes in"
            f" '{tmp_path / 'token'}', expected at least 16 bytes",
        ]

    def test_missing_file_and_broken_syntax(self, write):
        assert faults("/nowhere/e0.ini") == [
            "found No such file or directory, expected a file"
        ]
        (line,) = faults(write("[instance\n"))
        assert line.endswith("expected an INI file")
