"""Tests of the fleet launcher and of the command line of `guavafakes`."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
import tomllib
from collections import Counter

import psutil
import pytest

from guavajunction.configuration import parse_document
from guavajunction.settings import read_settings
from guavajunction_fakes import FakesError
from guavajunction_fakes.fleet import PROFILES, Fleet, Roster, read_roster
from guavajunction_fakes.fleet._document import BackendAddress, render_document
from guavajunction_fakes.fleet._process import FleetProcess
from guavajunction_fakes.main import EXIT_USAGE, run

SLEEPING_COMMAND = [sys.executable, "-c", "import time; time.sleep(60)"]
SIGTERM_IGNORING_COMMAND = [
    sys.executable,
    "-c",
    "import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);"
    "print('ready', flush=True); time.sleep(60)",
]


def children():
    return psutil.Process().children(recursive=True)


class TestProfiles:
    """The product accepts the configuration document of every profile."""

    @pytest.mark.parametrize("profile", PROFILES.values(), ids=PROFILES)
    def test_the_document_is_valid(self, profile):
        engines = [
            BackendAddress(f"e{n}", f"127.0.0.1:{9000 + n}", profile.data_centres[0])
            for n in range(profile.engines)
        ]
        services = [BackendAddress("s", "127.0.0.1:8000", profile.data_centres[0])]
        text = render_document(profile, engines, services)
        doc = parse_document(text, {})
        assert set(doc.given) == set(tomllib.loads(text))
        assert len(doc.given["backends"]) == profile.engines + 1

    def test_sizes_of_the_large_profiles(self):
        sizes = {
            name: (
                len(profile.models),
                sum(len(model.adapters) for model in profile.models),
                profile.engines,
                profile.service.servers,
                len(profile.data_centres),
                len(profile.customers),
            )
            for name, profile in PROFILES.items()
        }
        assert sizes["kaupunkikuva"] == (30, 100, 9, 4, 4, 5)
        assert sizes["association"] == (15, 75, 6, 3, 3, 5)

    @pytest.mark.parametrize("profile", PROFILES.values(), ids=PROFILES)
    def test_names_are_unique(self, profile):
        assert max(Counter(profile.model_names).values()) == 1


class TestProcess:
    """Processes are ended from any state, so that no fleet leaves some behind."""

    async def test_a_frozen_process_is_stopped(self, tmp_path):
        process = FleetProcess("p", SLEEPING_COMMAND, tmp_path / "log")
        process.start()
        process.freeze()
        assert await process.stop(within=5.0) == -signal.SIGTERM

    async def test_a_process_that_ignores_the_signal_is_killed(self, tmp_path):
        process = FleetProcess("p", SIGTERM_IGNORING_COMMAND, tmp_path / "log")
        process.start()
        for _ in iter(process.tail, "ready\n"):
            await asyncio.sleep(0.01)
        assert await process.stop(within=0.2) == -signal.SIGKILL

    def test_children_end_with_a_killed_launcher(self, tmp_path):
        script = (
            "import sys, time; from pathlib import Path;"
            "from guavajunction_fakes.fleet._process import FleetProcess;"
            f"p = FleetProcess('p', {SLEEPING_COMMAND!r}, Path(sys.argv[1]));"
            "p.start();"
            "print(p.pid, flush=True); time.sleep(60)"
        )
        argv = [sys.executable, "-c", script, str(tmp_path / "log")]
        with subprocess.Popen(argv, stdout=subprocess.PIPE) as launcher:
            child = psutil.Process(int(launcher.stdout.readline()))
            launcher.kill()
        psutil.wait_procs([child], timeout=5.0)
        assert not child.is_running() or child.status() == psutil.STATUS_ZOMBIE


class TestFleet:
    """Processes and files of a launcher."""

    async def test_a_failed_start_leaves_no_process(self, tmp_path):
        before = children()
        overrides = {"timing": {"lease": "never"}}
        fleet = Fleet(PROFILES["demo"], tmp_path, entries=1, overrides=overrides)
        with pytest.raises(FakesError):
            async with fleet:
                pass
        assert children() == before
        assert len(fleet.fakes) == 6

    async def test_settings_are_read_by_the_product(self, tmp_path):
        fleet = Fleet(
            PROFILES["demo"],
            tmp_path,
            entries=2,
            overrides={"timing": {"lease": "4"}},
        )
        fleet._plan_processes()
        settings = [read_settings(f"{tmp_path}/{e.name}.ini") for e in fleet.entries]
        ports = {(s.instance.http_port, s.instance.peer_port) for s in settings}
        assert len(ports) == 2
        assert settings[0].timing.lease == 4.0
        assert settings[0].secrets == settings[1].secrets
        mode = os.stat(tmp_path / "operator_token").st_mode
        assert mode & 0o077 == 0

    async def test_a_roster_is_read_as_written(self, tmp_path):
        fleet = Fleet(PROFILES["demo"], tmp_path, entries=2)
        fleet._plan_processes()
        roster = fleet.roster()
        roster.write(tmp_path / "fleet.json")
        read = read_roster(tmp_path / "fleet.json")
        assert isinstance(read, Roster)
        assert read == roster


class TestCommandLine:
    """Wrong arguments print a message and exit with the usage status."""

    @pytest.mark.parametrize(
        "arguments", [[], ["nothing"], ["table", "--port=x"], ["table", "more"]]
    )
    def test_wrong_arguments_exit_with_usage_status(self, arguments, capsys):
        assert run(["guavafakes", *arguments]) == EXIT_USAGE
        assert capsys.readouterr().err
