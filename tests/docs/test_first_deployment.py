"""Runs the steps of the first deployment guide that need only one machine."""

from __future__ import annotations

import re
import subprocess
import sys
from pathlib import Path

import pytest

GUIDE = Path(__file__).resolve().parents[2] / "docs" / "guide" / "first-deployment.md"
SECRETS_FOLDER = "/run/secrets"
DAEMON = Path(sys.executable).parent / "guavajunction"


def check(settings: Path) -> subprocess.CompletedProcess[str]:
    """Check a settings file with the daemon's `--check` flag."""
    command = [DAEMON, "--settings", settings.name, "--check"]
    return subprocess.run(command, cwd=settings.parent, capture_output=True, text=True)


@pytest.fixture
def settings(tmp_path):
    """Create the secrets and settings of the guide; return the path of the settings."""
    text = GUIDE.read_text(encoding="utf-8")
    lines = re.findall(r"^ {4}(python -c .*)$", text, re.MULTILINE)
    assert len(lines) == 3
    for line in lines:
        command = line.replace("python", sys.executable, 1)
        subprocess.run(command, shell=True, cwd=tmp_path, check=True)
    (block,) = re.findall(r"^ {4}\[instance\]\n(?:(?: {4}.*)?\n)+", text, re.MULTILINE)
    path = tmp_path / "entry-1.ini"
    path.write_text(block.replace("    ", "").replace(SECRETS_FOLDER, str(tmp_path)))
    return path


class TestSettings:
    """The daemon accepts the settings and secrets of the guide."""

    def test_settings_are_accepted(self, settings):
        process = check(settings)
        assert (process.returncode, process.stderr) == (0, "")
        assert process.stdout in GUIDE.read_text().replace("    ", "")

    def test_faults_are_listed_as_shown(self, settings):
        text = settings.read_text()
        bad = settings.with_name("bad.ini")
        bad.write_text(text.replace("8081", "90000").replace("name =", "nmae =", 1))
        process = check(bad)
        assert process.returncode == 2
        assert process.stderr in GUIDE.read_text().replace("    ", "")

    @pytest.mark.parametrize("secret", ["peer_keys", "pepper", "operator_token"])
    def test_every_secret_is_needed(self, settings, secret):
        settings.with_name(secret).unlink()
        process = check(settings)
        assert process.returncode == 2
        assert f"{secret}_file" in process.stderr
