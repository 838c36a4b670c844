"""Measures the planner: time of a round, and its decisions against simpler policies.

A discrete-event simulation produces the demand. The request rate of each model has
bursts of ten times the normal rate. A request chooses the less busy of two random
replicas and waits for one of the engine's slots. It attains its objective if it starts
within `FIRST_TOKEN_SECONDS`. Loads take time, and their rate and number are bounded.

Run it with `python bench/placement.py`; `--help` lists the flags.
"""

from __future__ import annotations

import heapq
import math
import random
import statistics
import time
from collections import defaultdict, deque
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from absl import app, flags

from guavajunction.placement import (
    Budget,
    Deployment,
    Holding,
    Planner,
    PoolView,
    ServerView,
)
from guavajunction.placement._fleet_demand import NameDemand
from guavajunction.placement._need_estimate import NeedEstimate

FLAGS = flags.FLAGS
flags.DEFINE_integer("seeds", 5, "Seeds of the simulated comparison.", lower_bound=1)
flags.DEFINE_integer("minutes", 30, "Simulated minutes for each seed.", lower_bound=1)
flags.DEFINE_integer("rounds", 20, "Planning rounds that are timed.", lower_bound=1)

FIRST_TOKEN_SECONDS = 1.1
SERVICE_SECONDS = 2.0
TOKENS_PER_REQUEST = 80.0
LOAD_SECONDS = 4.0
UNLOAD_SECONDS = 1.5
LOADS_PER_SECOND = 2.0
MAX_CONCURRENT_LOADS = 15


class Fleet(NamedTuple):
    """Size of a simulated pool."""

    servers: int
    slots: int
    memory_mib: int
    models: int
    utilisation: float
    """Mean fraction of all slots that the demand keeps busy."""


FLEETS = {
    "9 engines, 30 models": Fleet(9, 8, 120_000, 30, 0.55),
    "40 engines, 110 models": Fleet(40, 8, 120_000, 110, 0.55),
}


class Burst(NamedTuple):
    """Interval in which a model's rate is multiplied by a factor."""

    start: float
    end: float
    factor: float


class Traffic:
    """Arrival rates of each model, with bursts of ten times the normal rate."""

    BURST_FACTOR = 10.0
    BURSTS_PER_HOUR = 1.0
    BURST_SECONDS = (180.0, 900.0)
    RAMP_SECONDS = 60.0

    def __init__(self, fleet: Fleet, seconds: float, rng: random.Random) -> None:
        weights = [1.0 / (rank + 3) for rank in range(fleet.models)]
        rng.shuffle(weights)
        self._bursts = [self._draw_bursts(seconds, rng) for _ in weights]
        mean = [
            w * (1 + sum((b.end - b.start) / seconds * (b.factor - 1) for b in bursts))
            for w, bursts in zip(weights, self._bursts, strict=True)
        ]
        total = fleet.servers * fleet.slots * fleet.utilisation / SERVICE_SECONDS
        self._rates = [w * total / sum(mean) for w in weights]

    def _draw_bursts(self, seconds: float, rng: random.Random) -> list[Burst]:
        bursts = []
        at = rng.expovariate(self.BURSTS_PER_HOUR / 3600)
        while at < seconds:
            end = at + rng.uniform(*self.BURST_SECONDS)
            bursts.append(Burst(at, min(end, seconds), self.BURST_FACTOR))
            at = end + rng.expovariate(self.BURSTS_PER_HOUR / 3600)
        return bursts

    def rate(self, model: int, now: float) -> float:
        """Return a model's arrivals a second."""
        factor = 1.0
        for burst in self._bursts[model]:
            if burst.start <= now < burst.end:
                ramp_progress = (now - burst.start) / self.RAMP_SECONDS
                factor = 1.0 + (burst.factor - 1.0) * min(1.0, ramp_progress)
        return self._rates[model] * factor


class Move(NamedTuple):
    """A load or an unload that a policy requests."""

    action: str
    server: int
    model: int


class Policy(Protocol):
    """Placement policy; decides on moves once a second."""

    def decide(self, sim: Simulation) -> list[Move]:
        """Return the moves to start now."""
        ...


class Server:
    """Simulated engine with slots, a queue and models in memory."""

    def __init__(self, slots: int, memory_mib: int) -> None:
        self.slots = slots
        self.memory_mib = memory_mib
        self.busy = 0
        self.queue: deque[tuple[float, int]] = deque()
        self.state: dict[int, str] = {}
        self.ready_at: dict[int, float] = {}
        self.free_mib = memory_mib

    @property
    def load(self) -> int:
        """Return the number of running and waiting requests."""
        return self.busy + len(self.queue)


class Result(NamedTuple):
    """Outcome of one simulation."""

    attained: int
    requests: int
    loads: int
    accelerator_seconds: float


class Simulation:
    """Simulation of one pool with one policy and one seed of the traffic."""

    def __init__(self, fleet: Fleet, policy: Policy, seconds: float, seed: int) -> None:
        rng = random.Random(seed)
        self.fleet = fleet
        self.sizes = [rng.choice([14_000, 20_000, 28_000]) for _ in range(fleet.models)]
        self.traffic = Traffic(fleet, seconds, rng)
        self.servers = [
            Server(fleet.slots, fleet.memory_mib) for _ in range(fleet.servers)
        ]
        self.now = 0.0
        self.rates: defaultdict[int, float] = defaultdict(float)
        """Arrivals a second, smoothed over a few seconds."""
        self._policy = policy
        self._seconds = seconds
        self._rng = rng
        self._events: list[tuple[float, int, str, int, int]] = []
        self._event_count = 0
        self._arrived: defaultdict[int, int] = defaultdict(int)
        self._attained = self._requests = self._loads = 0
        self._load_tokens = LOADS_PER_SECOND
        self._fill_evenly()

    def _fill_evenly(self) -> None:
        """Give every model the same number of replicas until memory is full."""
        while True:
            placed = [self._place_next(model) for model in range(self.fleet.models)]
            if not any(placed):
                return

    def _place_next(self, model: int) -> bool:
        size = self.sizes[model]
        fitting = [
            s for s in self.servers if model not in s.state and s.free_mib >= size
        ]
        if not fitting:
            return False
        best = max(fitting, key=lambda s: s.free_mib)
        best.free_mib -= size
        best.state[model] = "ready"
        best.ready_at[model] = -math.inf
        return True

    def run(self) -> Result:
        """Run the simulation and return its outcome."""
        for model in range(self.fleet.models):
            self._schedule_arrival(model)
        self._push(1.0, "round", 0, 0)
        while self._events:
            self.now, _, kind, a, b = heapq.heappop(self._events)
            if self.now >= self._seconds:
                break
            getattr(self, f"_on_{kind}")(a, b)
        accelerators = self._seconds * self.fleet.servers
        return Result(self._attained, self._requests, self._loads, accelerators)

    def replicas(self, model: int) -> list[int]:
        """Return the engines on which a model is ready."""
        servers = enumerate(self.servers)
        return [i for i, server in servers if server.state.get(model) == "ready"]

    def budget(self) -> int:
        """Return the number of loads that may start now."""
        states = (state for s in self.servers for state in s.state.values())
        loading = sum(state == "loading" for state in states)
        return max(0, min(int(self._load_tokens), MAX_CONCURRENT_LOADS - loading))

    def _push(self, at: float, kind: str, a: int, b: int) -> None:
        self._event_count += 1
        heapq.heappush(self._events, (at, self._event_count, kind, a, b))

    def _schedule_arrival(self, model: int) -> None:
        rate = max(1e-6, self.traffic.rate(model, self.now))
        gap = self._rng.expovariate(rate)
        # The rate may change during a long gap, so the gap is drawn again after 5 s.
        kind = "arrival" if gap <= 5.0 else "rate_check"
        self._push(self.now + min(gap, 5.0), kind, model, 0)

    def _on_rate_check(self, model: int, _: int) -> None:
        self._schedule_arrival(model)

    def _on_arrival(self, model: int, _: int) -> None:
        self._schedule_arrival(model)
        self._requests += 1
        self._arrived[model] += 1
        replicas = self.replicas(model)
        if not replicas:
            return
        pair = self._rng.sample(replicas, min(2, len(replicas)))
        chosen = min(pair, key=lambda i: self.servers[i].load)
        server = self.servers[chosen]
        server.queue.append((self.now, model))
        self._serve(chosen)

    def _serve(self, index: int) -> None:
        server = self.servers[index]
        while server.queue and server.busy < server.slots:
            arrived, _ = server.queue.popleft()
            if self.now - arrived > FIRST_TOKEN_SECONDS:
                continue
            self._attained += 1
            server.busy += 1
            service_seconds = self._rng.expovariate(1 / SERVICE_SECONDS)
            self._push(self.now + service_seconds, "done", index, 0)

    def _on_done(self, index: int, _: int) -> None:
        self.servers[index].busy -= 1
        self._serve(index)

    def _on_round(self, _a: int, _b: int) -> None:
        self._push(self.now + 1.0, "round", 0, 0)
        self._load_tokens = min(LOADS_PER_SECOND, self._load_tokens + LOADS_PER_SECOND)
        for model in range(self.fleet.models):
            count = self._arrived.pop(model, 0)
            self.rates[model] += 0.2 * (count - self.rates[model])
        for move in self._policy.decide(self):
            self._start_move(move)

    def _start_move(self, move: Move) -> None:
        server = self.servers[move.server]
        if move.action == "unload":
            server.state[move.model] = "going"
            self._push(self.now + UNLOAD_SECONDS, "unloaded", move.server, move.model)
            return
        assert server.free_mib >= self.sizes[move.model]
        self._loads += 1
        self._load_tokens -= 1
        server.free_mib -= self.sizes[move.model]
        server.state[move.model] = "loading"
        self._push(self.now + LOAD_SECONDS, "loaded", move.server, move.model)

    def _on_loaded(self, server: int, model: int) -> None:
        self.servers[server].state[model] = "ready"
        self.servers[server].ready_at[model] = self.now

    def _on_unloaded(self, server: int, model: int) -> None:
        del self.servers[server].state[model]
        self.servers[server].free_mib += self.sizes[model]


class StaticEven:
    """Policy that keeps the initial even placement."""

    def decide(self, sim: Simulation) -> list[Move]:
        """Return no moves."""
        return []


class GreedyLeastLoaded:
    """Policy that follows the current demand and ignores the cost of moves.

    Each second it loads the models with the most demand per replica on the least loaded
    engines. To free memory, it unloads the replicas with the least demand.
    """

    def decide(self, sim: Simulation) -> list[Move]:
        """Return loads of the busiest models and unloads of the least busy ones."""
        replicas = [sim.replicas(model) for model in range(sim.fleet.models)]
        need = [sim.rates[m] * SERVICE_SECONDS for m in range(sim.fleet.models)]
        pressure = [n / max(1, len(r)) for n, r in zip(need, replicas, strict=True)]
        moves: list[Move] = []
        budget = sim.budget()
        for model in sorted(range(len(need)), key=lambda m: -pressure[m])[:8]:
            if budget <= 0 or pressure[model] < 2.0:
                break
            move = self._place(sim, model, pressure, replicas)
            if move is None:
                continue
            moves.append(move)
            if move.action == "load":
                budget -= 1
            else:
                replicas[move.model].remove(move.server)
        return self._first_per_server(moves)

    def _place(
        self,
        sim: Simulation,
        model: int,
        pressure: list[float],
        replicas: list[list[int]],
    ) -> Move | None:
        order = sorted(range(len(sim.servers)), key=lambda i: sim.servers[i].load)
        order = [i for i in order if model not in sim.servers[i].state]
        for index in order:
            if sim.servers[index].free_mib >= sim.sizes[model]:
                return Move("load", index, model)
        for index in order:
            idle = [
                m
                for m, state in sim.servers[index].state.items()
                if state == "ready" and index in replicas[m] and len(replicas[m]) > 1
                if pressure[m] < pressure[model] / 2
            ]
            if idle:
                return Move("unload", index, min(idle, key=lambda m: pressure[m]))
        return None

    def _first_per_server(self, moves: list[Move]) -> list[Move]:
        first = {move.server: move for move in reversed(moves)}
        return list(first.values())


class ProductPlanner:
    """Policy of the product: its planner and its estimate of need."""

    def __init__(self) -> None:
        self._planner = Planner()
        self._estimate = NeedEstimate()
        self._estimate.slot_tokens_per_s = TOKENS_PER_REQUEST / SERVICE_SECONDS
        self.round_seconds: list[float] = []

    def decide(self, sim: Simulation) -> list[Move]:
        """Return the planner's moves."""
        demand = {
            f"m{m}": NameDemand(rate * TOKENS_PER_REQUEST, 0)
            for m, rate in sim.rates.items()
        }
        need = self._estimate.update(demand, sim.now)
        view = _view_of(sim, need)
        started = time.perf_counter()
        plan = self._planner.plan(view)
        self.round_seconds.append(time.perf_counter() - started)
        loads = [_move("load", m.server, m.artifact) for m in plan.loads]
        unloads = [_move("unload", m.server, m.artifact) for m in plan.unloads]
        return unloads + loads


def _move(action: str, server: str, artifact: str) -> Move:
    return Move(action, int(server[1:]), int(artifact.partition("@")[0][1:]))


def _view_of(sim: Simulation, need: dict[str, float]) -> PoolView:
    deployments = {
        f"m{m}@1": Deployment(f"m{m}@1", size) for m, size in enumerate(sim.sizes)
    }
    servers = {}
    for index, server in enumerate(sim.servers):
        holdings = {
            f"m{m}@1": Holding(
                state, sim.sizes[m], sim.now - server.ready_at.get(m, sim.now)
            )
            for m, state in server.state.items()
        }
        servers[f"e{index}"] = ServerView(
            f"e{index}",
            server.slots,
            server.memory_mib,
            server.free_mib,
            True,
            holdings,
        )
    budget = Budget(sim.budget(), 0)
    return PoolView(deployments, servers, need, frozenset(), budget)


def compare(seeds: int, minutes: int) -> None:
    """Print attainment and moves of each policy."""
    policies: dict[str, type[Policy]] = {
        "static even": StaticEven,
        "greedy, no hysteresis": GreedyLeastLoaded,
        "planner": ProductPlanner,
    }
    print(
        f"{'fleet':24} {'policy':22} {'attainment':>17} "
        f"{'attained/accel/s':>17} {'loads/hour':>11}"
    )
    for label, fleet in FLEETS.items():
        for name, policy in policies.items():
            results = [
                Simulation(fleet, policy(), minutes * 60.0, seed).run()
                for seed in range(seeds)
            ]
            _print_row(label, name, results, minutes)


def _print_row(label: str, name: str, results: list[Result], minutes: int) -> None:
    attainments = [r.attained / r.requests for r in results]
    per_accelerator = [r.attained / r.accelerator_seconds for r in results]
    loads = [r.loads * 60 / minutes for r in results]
    attainment_range = f"{min(attainments):.3f}-{max(attainments):.3f}"
    print(
        f"{label:24} {name:22} {statistics.mean(attainments):>5.3f} "
        f"{attainment_range:>11} "
        f"{statistics.mean(per_accelerator):>17.2f} {statistics.mean(loads):>11.0f}"
    )


def time_rounds(rounds: int) -> None:
    """Print the time of planning rounds for 600 engines and 1,600 models."""
    fleet = Fleet(600, 64, 640_000, 1_600, 0.55)
    sim = Simulation(fleet, StaticEven(), 60.0, seed=1)
    rng = random.Random(1)
    product_planner = ProductPlanner()
    for _ in range(rounds):
        sim.now += 1.0
        for model in range(fleet.models):
            burst = 10.0 if rng.random() < 0.02 else 1.0
            sim.rates[model] = sim.traffic.rate(model, 0.0) * burst
        product_planner.decide(sim)
    seconds = sorted(product_planner.round_seconds)
    replicas = sum(len(server.state) for server in sim.servers)
    print(
        f"round at 600 engines, 1600 models, {replicas} replicas: "
        f"median {seconds[len(seconds) // 2] * 1e3:.0f} ms, "
        f"longest {seconds[-1] * 1e3:.0f} ms over {rounds} rounds"
    )


def main(argv: Sequence[str]) -> None:
    """Time planning rounds and compare the policies."""
    time_rounds(FLAGS.rounds)
    compare(FLAGS.seeds, FLAGS.minutes)


if __name__ == "__main__":
    app.run(main)
