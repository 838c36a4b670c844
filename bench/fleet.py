"""Compares the product's policies with baselines on a fleet of processes with faults.

A fleet of processes is started for each profile, policy and seed. Its callers send
bursty traffic: one customer exceeds its rate several times, and the demand shifts
between models. Meanwhile a backend server refuses connections, an instance is killed
and restarted, another is frozen, and the table service is unavailable.

Run it with `python bench/fleet.py`; `--help` lists the flags.
"""

from __future__ import annotations

import asyncio
import json
import statistics
import sys
import tempfile
import time
from collections.abc import Sequence
from pathlib import Path
from typing import Any, NamedTuple

import uvloop
from absl import app, flags

from guavajunction_fakes.fleet import PROFILES, Fleet
from guavajunction_fakes.load import LoadPlan, run_load

FLAGS = flags.FLAGS
flags.DEFINE_multi_enum(
    "profile", ["kaupunkikuva", "association"], sorted(PROFILES), "Profiles to run."
)
flags.DEFINE_integer("seeds", 3, "Seeds of each policy.", lower_bound=1)
flags.DEFINE_float(
    "seconds", 24.0, "Seconds for which callers send requests.", lower_bound=8.0
)
flags.DEFINE_float("scale", 1.6, "Factor on the request rates of all customers.")
flags.DEFINE_float(
    "over", 4.0, "Further factor on the request rate of the largest customer."
)
flags.DEFINE_multi_string("policy", [], "Policies to run; all by default.")
flags.DEFINE_bool("faults", True, "Inject faults during the run.")
flags.DEFINE_string("out", "", "File to write the figures to as JSON.")

READY_TIMEOUT_SECONDS = 120.0

POLICIES: dict[str, dict[str, str]] = {
    "guavajunction": {},
    "random routing": {"routing": "random"},
    "least-loaded routing": {"routing": "least_loaded"},
    "no fair queueing": {"queue": "fifo"},
    "equal split of rates": {"shares": "equal"},
    "static placement": {"placement": "static"},
}
"""Settings of the section `[policy]`, by name of the policy."""

COLUMNS = (
    ("attainment", "attained"),
    ("attained_per_accelerator_second", "per acc. s"),
    ("worst_customer_attainment", "worst cust."),
    ("wrongful", "wrongful"),
    ("moves", "moves"),
    ("reads", "reads/s"),
    ("writes", "writes/s"),
    ("overspent", "overspent"),
    ("broken", "broken"),
)
"""Keys of the figures and their column headings."""


class Run(NamedTuple):
    """Figures of one policy with one seed."""

    policy: str
    seed: int
    figures: dict[str, float]
    promises: dict[str, float]
    """Number of violations of each guarantee that was violated."""
    wrongful: dict[str, int]
    """Refusals of requests within the rate limit, by type."""


class Faults:
    """Injects one fault after another while the callers send requests."""

    def __init__(self, fleet: Fleet, seconds: float) -> None:
        self._fleet = fleet
        self._step_seconds = seconds / 8

    async def run(self) -> None:
        """Inject the faults in turn; each ends before the next begins."""
        await asyncio.sleep(self._step_seconds)
        await self._backend_server_outage()
        await self._instance_killed()
        await self._instance_frozen()
        await self._store_outage()

    async def _backend_server_outage(self) -> None:
        url = self._fleet.engine_urls[0]
        await self._fleet.set_faults(
            url, outage="refuse", outage_seconds=self._step_seconds
        )
        await asyncio.sleep(1.5 * self._step_seconds)

    async def _instance_killed(self) -> None:
        await self._fleet.kill(0)
        await asyncio.sleep(self._step_seconds)
        await self._fleet.start(0)

    async def _instance_frozen(self) -> None:
        self._fleet.freeze(1)
        await asyncio.sleep(self._step_seconds)
        self._fleet.resume(1)

    async def _store_outage(self) -> None:
        table = self._fleet.platform.table
        await self._fleet.set_faults(table, outage="drop")
        await asyncio.sleep(self._step_seconds)
        await self._fleet.set_faults(table, clear=True)


async def measure(profile_name: str, policy: str, seed: int) -> Run:
    """Run one policy with one seed and return its figures."""
    profile = PROFILES[profile_name]
    largest = max(profile.customers, key=lambda customer: customer.rate)
    plan = LoadPlan(
        seconds=FLAGS.seconds,
        seed=seed,
        scale=FLAGS.scale,
        over={largest.name: FLAGS.over},
        shift_seconds=FLAGS.seconds / 3,
    )
    with tempfile.TemporaryDirectory() as var:
        overrides = {"policy": POLICIES[policy]}
        async with Fleet(profile, Path(var), overrides=overrides) as fleet:
            await fleet.wait_until_ready(within=READY_TIMEOUT_SECONDS)
            faults = asyncio.create_task(_inject_faults(fleet))
            report = await run_load(fleet.roster(), plan)
            await faults
    return _run_from_report(policy, seed, report.as_dict())


async def _inject_faults(fleet: Fleet) -> None:
    if FLAGS.faults:
        await Faults(fleet, FLAGS.seconds).run()


def _run_from_report(policy: str, seed: int, report: dict[str, Any]) -> Run:
    promises = {name: value for name, value in report["promises"].items() if value}
    figures = {
        "attainment": report["attainment"] * 100,
        "attained_per_accelerator_second": report["attained_per_accelerator_second"],
        "worst_customer_attainment": report["worst_customer_attainment"] * 100,
        "wrongful": sum(report["wrongful_refusals"].values()),
        "moves": report["moves"],
        "reads": report["store"]["reads_per_second"],
        "writes": report["store"]["writes_per_second"],
        "overspent": sum(c["overspent_tokens"] for c in report["customers"].values()),
        "broken": sum(
            n for name, n in promises.items() if name != "overspent_customers"
        ),
        "requests": report["requests"],
    }
    return Run(policy, seed, figures, promises, report["wrongful_refusals"])


def table(profile: str, runs: list[Run]) -> str:
    """Return a table of the mean of each figure and its range over the seeds."""
    heads = "".join(f"{head:>18}" for _, head in COLUMNS)
    lines = [f"{profile}, {FLAGS.seeds} seeds", f"{'policy':22}{heads}"]
    for policy in dict.fromkeys(run.policy for run in runs):
        rows = [run.figures for run in runs if run.policy == policy]
        cells = (_cell([row[key] for row in rows]) for key, _ in COLUMNS)
        lines.append(f"{policy:22}" + "".join(f"{cell:>18}" for cell in cells))
    return "\n".join(lines)


def _cell(values: Sequence[float]) -> str:
    return f"{statistics.mean(values):.1f} ({min(values):.4g}..{max(values):.4g})"


def main(argv: Sequence[str]) -> None:
    """Run every policy and print the tables."""
    del argv
    runs_by_profile: dict[str, list[Run]] = {}
    policies = FLAGS.policy or list(POLICIES)
    for profile in FLAGS.profile:
        runs = runs_by_profile[profile] = []
        # Seeds are the outer loop, so that a temporary slowdown of the machine affects
        # all policies.
        for seed in range(1, FLAGS.seeds + 1):
            for policy in policies:
                started = time.monotonic()
                run = uvloop.run(measure(profile, policy, seed))
                runs.append(run)
                elapsed = time.monotonic() - started
                print(
                    f"{profile} {policy} seed {seed}: {elapsed:.0f} s,"
                    f" broken {run.promises}, wrongful {run.wrongful}",
                    file=sys.stderr,
                )
        print(table(profile, runs), flush=True)
    if FLAGS.out:
        Path(FLAGS.out).write_text(
            json.dumps(
                {p: [run._asdict() for run in r] for p, r in runs_by_profile.items()}
            )
        )


if __name__ == "__main__":
    app.run(main)
