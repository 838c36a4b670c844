"""Compares whole guavactl sessions with golden files.

Set GUAVACTL_WRITE_SNAPSHOTS=1 to regenerate the golden files, then review the changes.
"""

from __future__ import annotations

import io
import os
import shlex
from pathlib import Path

import pytest

from fakes_configuration import EXAMPLE, lose_head_writes
from fakes_operator import TOKEN, ServedFleet
from guavajunction_ctl import _client, _in_force
from guavajunction_ctl.main import execute

SNAPSHOTS = Path(__file__).parent / "snapshots"
EDITED = EXAMPLE.replace("rate = 1500.0", "rate = 1800.0")


class Session:
    """Runs command lines and records their output and exit statuses."""

    def __init__(self, fleet, folder):
        self.fleet = fleet
        self.folder = folder
        self.lines = []
        self.urls = [served.url for served in fleet.served]
        self.write("token", TOKEN)

    def write(self, name, text):
        """Write a file that command lines can use as an argument."""
        (self.folder / name).write_text(text)

    async def run(self, line, *flags):
        """Run a command line and record its output.

        Args:
            line: Words after `guavactl`.
            flags: Flags to use in place of `--instance` for all instances.
        """
        out, err = io.StringIO(), io.StringIO()
        words = [
            str(self.folder / word) if (self.folder / word).is_file() else word
            for word in shlex.split(line)
        ]
        common = ["--author=aino", "--wait=0.5", f"--token_file={self.folder}/token"]
        named = flags or [f"--instance={url}" for url in self.urls]
        argv = ["guavactl", *words, *common, *named]
        status = await execute(argv, out, err)
        self.lines.append(f"$ guavactl {line}")
        self.lines += [out.getvalue(), err.getvalue()]
        self.lines.append(f"[exit status {int(status)}]\n")

    def note(self, text):
        """Record a comment about what happens between two command lines."""
        self.lines.append(f"# {text}")

    def text(self):
        """Return the record with URLs and paths that are the same in every run."""
        text = "\n".join(line for line in self.lines if line)
        for index, url in enumerate(self.urls):
            text = text.replace(url, f"http://instance-{'abc'[index]}")
        return text.replace(f"{self.folder}/", "")

    def check(self, name):
        """Compare the session with its golden file."""
        path = SNAPSHOTS / f"{name}.txt"
        if os.environ.get("GUAVACTL_WRITE_SNAPSHOTS"):
            path.write_text(self.text())
        assert self.text() == path.read_text()


@pytest.fixture
async def session(tmp_path, monkeypatch):
    monkeypatch.setattr(_client, "OUTCOME_READ_INTERVAL_SECONDS", 0.01)
    monkeypatch.setattr(_in_force, "POLL_SECONDS", 0.02)
    async with ServedFleet("a", "b", "c").running() as fleet:
        session = Session(fleet, tmp_path)
        session.write("all.toml", EXAMPLE)
        session.write("edited.toml", EDITED)
        yield session


class TestSessions:
    """Sessions whose complete output is compared with a golden file."""

    async def test_document(self, session):
        session.write(
            "broken.toml", EXAMPLE.replace("2000.0", "-1").replace("GET", "G")
        )
        await session.run("validate broken.toml")
        await session.run("validate all.toml")
        await session.run("apply all.toml")
        await session.run("apply all.toml")
        await session.run("diff edited.toml")
        await session.run("apply edited.toml")
        await session.run("status")
        await session.run("history")
        await session.run("rollback 1")
        await session.run("rollback 9")
        await session.run("document")
        session.check("document")

    async def test_conflict(self, session):
        await session.fleet.accept_example()
        based = "[based_on]\ncustomers = 1\n" + EDITED
        session.write("mine.toml", based)
        session.write("theirs.toml", based.replace("1800.0", "1900.0"))
        await session.run("apply theirs.toml")
        await session.run("apply mine.toml")
        session.check("conflict")

    async def test_keys(self, session):
        await session.fleet.accept_example()
        await session.run("keys issue returns")
        await session.run("keys issue nobody")
        await session.run("keys list")
        await session.run("keys withdraw k1")
        await session.run("keys withdraw k1")
        session.check("keys")

    async def test_drain_and_explain(self, session):
        await session.fleet.accept_example()
        await session.run("drain backend booking-1")
        await session.run("drain backend runner-1")
        await session.run("drain instance b")
        await session.run("drain instance z")
        await session.run("explain r1")
        await session.run("explain r2")
        assert [s.drained for s in session.fleet.served] == [False, True, False]
        session.check("drain-and-explain")

    async def test_failures(self, session):
        await session.fleet.accept_example()
        session.note("Instance c is cut off.")
        session.fleet.network.isolate(session.fleet.nodes[2].links.me)
        session.fleet.nodes[0].manager._reports.pop("c", None)
        session.fleet.nodes[2].table.down = True
        await session.run("apply edited.toml")
        session.note("The store is down.")
        session.fleet.table.down = True
        await session.run("apply all.toml")
        await session.run("keys issue returns", "--instance=http://127.0.0.1:9")
        session.check("failures")

    async def test_unknown(self, session):
        session.note("The store answers no write.")
        await session.fleet.accept_example()
        for node in session.fleet.nodes:
            lose_head_writes(node)
        await session.run("apply edited.toml --attempt=t1")
        session.check("unknown")

    async def test_usage(self, session, monkeypatch):
        for name in ("GUAVACTL_INSTANCES", "GUAVACTL_TOKEN_FILE"):
            monkeypatch.delenv(name, raising=False)
        await session.run("--help")
        await session.run("help apply")
        await session.run("aply all.toml")
        await session.run("apply")
        await session.run("rollback one")
        await session.run("apply missing.toml")
        await session.run("status --speed=9")
        await session.run("status", "--nojson")
        session.check("usage")


class TestInstances:
    """Any live instance can serve a command, and a change takes effect once."""

    @pytest.mark.parametrize("fault", ["before", "after"])
    async def test_change_with_a_lost_answer_is_accepted_once(self, session, fault):
        session.fleet.served[0].fault = fault
        await session.run("apply all.toml")
        assert "[exit status 0]" in session.text()
        assert "Version 1 is accepted." in session.text()

    async def test_lost_answer_to_an_issue_shows_no_key(self, session):
        await session.run("apply all.toml")
        session.fleet.served[0].fault = "after"
        await session.run("keys issue returns")
        assert "but its answer was lost" in session.text()
        assert session.lines[-1].startswith("[exit status 3]")

    async def test_stopped_instance_is_skipped(self, session):
        await session.fleet.served[0].server.close()
        await session.run("apply all.toml")
        assert session.lines[-1].startswith("[exit status 0]")

    async def test_frozen_instance_is_tried_once(self, session):
        frozen = session.fleet.served[0]
        frozen.fault = "hang"
        flags = [f"--instance={url}" for url in session.urls]
        await session.run("apply all.toml", "--timeout=0.3", *flags)
        assert session.lines[-1].startswith("[exit status 0]")
        assert frozen.hanging_requests == 1

    async def test_explanation_names_unreachable_instances(self, session):
        await session.fleet.served[0].server.close()
        await session.run("explain r2")
        assert "Failed to query: http://instance-a" in session.text()

    async def test_json_for_programs(self, session):
        await session.run("apply all.toml --json")
        await session.run("keys withdraw k9 --json")
        assert '"not_reached": []' in session.lines[1]
        assert '"type": "entry_unknown"' in session.lines[6]
