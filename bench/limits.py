"""Measures rate limits: overshoot, wrongful refusals and messages of three schemes.

Eight instances admit the requests of their customers on a simulated clock, with
message delays. `shares` is the product's scheme. `equal split` gives each instance
an eighth of rate and burst. `gossip counter` lets each instance spend the whole and
broadcasts what was spent with each heartbeat. `one bucket` is what no real fleet can
have: a bucket that every instance charges at no delay.

A refusal is wrongful if one bucket for the whole fleet, charged with just what the
scheme admitted, had enough at that moment. Overshoot is the furthest that this
bucket went below empty, as a part of the burst.

Run it with `python bench/limits.py`; `--help` lists the flags.
"""

from __future__ import annotations

import asyncio
import random
import selectors
import time
from collections import Counter
from collections.abc import Awaitable, Callable, Sequence
from typing import Any, NamedTuple, Protocol

from absl import app, flags

from guavajunction.configuration import EMPTY, Configuration, Customer
from guavajunction.customers import RateLimits
from guavajunction.customers._bucket import MICROTOKENS_PER_TOKEN, TokenBucket
from guavajunction.errors import ConditionFailed, PeerTimeout, RateLimited
from guavajunction.membership import owner
from guavajunction.peers import PeerId
from guavajunction.storage import Row

FLAGS = flags.FLAGS
flags.DEFINE_integer("seeds", 3, "Seeds of each comparison.", lower_bound=1)
flags.DEFINE_integer("seconds", 60, "Simulated seconds of each run.", lower_bound=30)

INSTANCES = 8
HEARTBEAT_SECONDS = 0.5
DELAY_SECONDS = (0.0003, 0.002)
PROMPT_TOKENS = 200.0
RESERVED_TOKENS = (200.0, 1000.0)
USED_RATIO = (0.2, 0.6)
ANSWER_SECONDS = (0.5, 3.0)
MEAN_NET_TOKENS = 440.0
MOVE_INTERVAL_SECONDS = 5.0
CRASH_AT_SECONDS = 20.0
REVOKED_AFTER_SECONDS = 10.0

CUSTOMERS = [
    Customer("small", rate=1_000.0, burst=5_000.0),
    Customer("medium", rate=4_000.0, burst=16_000.0),
    Customer("large", rate=12_000.0, burst=48_000.0),
]
SMALL_BURST_CUSTOMERS = [Customer("tight", rate=4_000.0, burst=4_000.0)]
"""A burst of one second holds but a few requests."""

SettleFunction = Callable[[float], None]


class Scenario(NamedTuple):
    """Where requests arrive and what fails."""

    name: str
    load: float
    """Offered tokens as a part of the rate."""
    instances: int
    """How many instances a customer's requests spread over."""
    moving: bool = False
    """Whether these instances change every few seconds."""
    crash: bool = False
    """Whether an instance dies on the way."""
    loss: float = 0.0
    """Part of the messages that are lost."""
    customers: list[Customer] = CUSTOMERS


SCENARIOS = [
    Scenario("spread over all", 0.8, INSTANCES),
    Scenario("on one instance", 0.8, 1),
    Scenario("on one, moving", 0.9, 1, moving=True),
    Scenario("on three, moving", 0.9, 3, moving=True),
    Scenario("three times the rate", 3.0, 3),
    Scenario("death, 2% lost", 0.8, 3, crash=True, loss=0.02),
    Scenario("burst of one second", 0.8, 3, customers=SMALL_BURST_CUSTOMERS),
]


class SimulatedTimeLoop(asyncio.SelectorEventLoop):
    """An event loop whose time jumps to the next timer when nothing is ready."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_SimulatedTimeSelector(self))

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move the time on."""
        self._now += seconds


class _SimulatedTimeSelector(selectors.DefaultSelector):
    def __init__(self, loop: SimulatedTimeLoop) -> None:
        super().__init__()
        self._loop = loop

    def select(self, timeout: float | None = None) -> list[Any]:
        if timeout:
            self._loop.advance(timeout)
        return super().select(0)


class LoopClock:
    """The simulated clock."""

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(seconds)


class SimulatedFleet:
    """What the instances of one run share."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.clock = LoopClock()
        self.live = [PeerId(f"i{n}", f"i{n}-1") for n in range(INSTANCES)]
        self.unrevoked = list(self.live)
        self.messages: Counter[str] = Counter()
        """Messages by kind, without heartbeats."""
        self.writes = 0
        self.tasks: set[asyncio.Task[Any]] = set()

    def configuration(self) -> Configuration:
        """Return the customers."""
        customers = {c.name: c for c in self.scenario.customers}
        return EMPTY._replace(customers=customers)

    async def delay_or_lose(self) -> None:
        """Wait as long as a message takes.

        Raises:
            PeerTimeout: It was lost.
        """
        await asyncio.sleep(self.rng.uniform(*DELAY_SECONDS))
        if self.rng.random() < self.scenario.loss:
            raise PeerTimeout("lost")

    def spawn(self, work: Awaitable[Any]) -> None:
        """Run something beside the caller."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def kill(self, peer: PeerId) -> None:
        """End an instance; its membership is revoked a while later."""
        self.live.remove(peer)
        revoke_after = REVOKED_AFTER_SECONDS
        loop = asyncio.get_running_loop()
        loop.call_later(revoke_after, self.unrevoked.remove, peer)


class Scheme(Protocol):
    """A way of enforcing the limits."""

    async def admit(
        self, instance: PeerId, customer: Customer, cost: float
    ) -> SettleFunction | None:
        """Admit a request and return how to settle it, None if it is refused."""
        ...

    async def start(self) -> None:
        """Begin the background work."""
        ...


class Table:
    """A table service in memory that counts its writes."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._rows: dict[tuple[str, str], Row] = {}

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read a row."""
        return self._rows.get((partition, sort))

    async def query(self, partition: str) -> list[Row]:
        """Read a partition."""
        return [row for key, row in self._rows.items() if key[0] == partition]

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row if it has the expected version."""
        found = self._rows.get((partition, sort))
        if (found.version if found else 0) != expected:
            raise ConditionFailed("another version")
        self._fleet.writes += 1
        row = self._rows[partition, sort] = Row(partition, sort, expected + 1, body)
        return row

    async def delete(self, partition: str, sort: str, *, expected: int) -> None:
        """Delete a row."""
        del self._rows[partition, sort]


class DelayedLinks:
    """Links of one instance, with delays and losses."""

    def __init__(
        self, fleet: SimulatedFleet, me: PeerId, all_links: dict[PeerId, Any]
    ) -> None:
        self._fleet = fleet
        self.me = me
        self._all = all_links
        self._handlers: dict[type[Any], Any] = {}
        self._topics: dict[str, tuple[Any, Any]] = {}
        all_links[me] = self

    def peers(self) -> list[PeerId]:
        """Return the live instances but this."""
        return [peer for peer in self._fleet.live if peer != self.me]

    def handle(self, message_type: type[Any], handler: Any) -> None:
        """Register a handler."""
        self._handlers[message_type] = handler

    def send(self, to: PeerId, message: Any) -> None:
        """Send a message that may be lost."""
        self._fleet.spawn(self._send_ignoring_loss(to, message))

    def broadcast(self, message: Any) -> None:
        """Send a message to every peer."""
        for peer in self.peers():
            self.send(peer, message)

    async def request(
        self, to: PeerId, message: Any, reply_type: type[Any], *, timeout: float
    ) -> Any:
        """Send a message and return its answer."""
        self._fleet.messages[type(message).__name__] += 1
        started = asyncio.get_running_loop().time()
        try:
            return await self._exchange(to, message)
        except PeerTimeout:
            spent = asyncio.get_running_loop().time() - started
            await asyncio.sleep(max(0.0, timeout - spent))
            raise

    def add_topic(self, topic: str, provide: Any, accept: Any, value_type: Any) -> None:
        """Add a value to every heartbeat."""
        self._topics[topic] = (provide, accept)

    async def send_heartbeats(self) -> None:
        """Send heartbeats until the instance dies."""
        while self.me in self._fleet.live:
            for name, (provide, _) in self._topics.items():
                for peer in self.peers():
                    self._fleet.spawn(self._send_heartbeat(peer, name, provide()))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_heartbeat(self, peer: PeerId, topic: str, value: Any) -> None:
        try:
            await self._fleet.delay_or_lose()
        except PeerTimeout:
            return
        self._all[peer]._topics[topic][1](self.me, value)

    async def _send_ignoring_loss(self, to: PeerId, message: Any) -> None:
        self._fleet.messages[type(message).__name__] += 1
        try:
            await self._exchange(to, message)
        except PeerTimeout:
            return

    async def _exchange(self, to: PeerId, message: Any) -> Any:
        await self._fleet.delay_or_lose()
        if to not in self._fleet.live:
            raise PeerTimeout("it is dead")
        answer = await self._all[to]._handlers[type(message)](self.me, message)
        await self._fleet.delay_or_lose()
        return answer


class LiveMembers:
    """One instance's view of the members."""

    def __init__(self, fleet: SimulatedFleet, me: PeerId) -> None:
        self._fleet = fleet
        self._me = me

    def standing(self) -> bool:
        """Return whether the instance is live."""
        return self._me in self._fleet.live

    def live_members(self) -> list[PeerId]:
        """Return the live instances."""
        return sorted(self._fleet.live)

    def author(self, key: str) -> PeerId:
        """Return the live instance that a key falls to."""
        return owner(key, self._fleet.live)

    async def unrevoked_members(self) -> list[PeerId]:
        """Return the instances that were not revoked."""
        return list(self._fleet.unrevoked)


class Shares:
    """The product's scheme."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._links: dict[PeerId, Any] = {}
        table = Table(fleet)
        self._limits = {
            peer: RateLimits(
                fleet.configuration,
                DelayedLinks(fleet, peer, self._links),
                table,
                LiveMembers(fleet, peer),
                fleet.clock,
            )
            for peer in fleet.live
        }

    async def start(self) -> None:
        """Begin the heartbeats and the background work of every instance."""
        for peer, limits in self._limits.items():
            self._fleet.spawn(self._links[peer].send_heartbeats())
            self._fleet.spawn(self._run(peer, limits))
        await asyncio.sleep(2 * HEARTBEAT_SECONDS)

    async def admit(
        self, instance: PeerId, customer: Customer, cost: float
    ) -> SettleFunction | None:
        """Admit a request at an instance."""
        try:
            return (await self._limits[instance].admit(customer, cost)).settle
        except RateLimited:
            return None

    async def _run(self, peer: PeerId, limits: RateLimits) -> None:
        while peer in self._fleet.live:
            await limits.step()
            await asyncio.sleep(limits.STEP_SECONDS)


class EqualSplit:
    """Each listed instance has the same part of rate and burst."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._buckets: dict[tuple[PeerId, str], TokenBucket] = {}
        self._members = 0

    async def start(self) -> None:
        """Begin with full buckets."""
        self._split()

    async def admit(
        self, instance: PeerId, customer: Customer, cost: float
    ) -> SettleFunction | None:
        """Charge the instance's own bucket."""
        if len(self._fleet.unrevoked) != self._members:
            self._split()
        return charge(self._buckets[instance, customer.name], self._fleet, cost)

    def _split(self) -> None:
        self._members = member_count = len(self._fleet.unrevoked)
        now = self._fleet.clock.monotonic()
        for peer in self._fleet.unrevoked:
            for c in self._fleet.scenario.customers:
                rate, burst = (
                    c.rate * MICROTOKENS_PER_TOKEN / member_count,
                    int(c.burst * MICROTOKENS_PER_TOKEN / member_count),
                )
                bucket = self._buckets.get((peer, c.name))
                if bucket is None:
                    bucket = TokenBucket(rate, burst, now)
                    bucket.adjust(rate, burst, burst, now)
                    self._buckets[peer, c.name] = bucket
                bucket.adjust(rate, burst, 0, now)


class OneBucket:
    """Asks one bucket for the whole fleet, without delay: the best there is."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        customers = fleet.scenario.customers
        self._buckets = {c.name: fleet_bucket(c, 0.0) for c in customers}

    async def start(self) -> None:
        """Begin with full buckets."""

    async def admit(
        self, instance: PeerId, customer: Customer, cost: float
    ) -> SettleFunction | None:
        """Charge the one bucket."""
        return charge(self._buckets[customer.name], self._fleet, cost)


class GossipCounter:
    """Each instance spends the whole and hears later what others spent."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        self._buckets = {
            (peer, c.name): fleet_bucket(c, 0.0)
            for peer in fleet.live
            for c in fleet.scenario.customers
        }
        self._spent: Counter[tuple[PeerId, str]] = Counter()

    async def start(self) -> None:
        """Begin the heartbeats."""
        for peer in self._fleet.live:
            self._fleet.spawn(self._gossip(peer))

    async def admit(
        self, instance: PeerId, customer: Customer, cost: float
    ) -> SettleFunction | None:
        """Charge the instance's view of the whole."""
        key = instance, customer.name
        settle = charge(self._buckets[key], self._fleet, cost)
        if settle is None:
            return None
        self._spent[key] += int(cost * MICROTOKENS_PER_TOKEN)

        def settle_and_count(used: float) -> None:
            settle(used)
            self._spent[key] += int((used - cost) * MICROTOKENS_PER_TOKEN)

        return settle_and_count

    async def _gossip(self, peer: PeerId) -> None:
        while peer in self._fleet.live:
            for c in self._fleet.scenario.customers:
                spent = self._spent.pop((peer, c.name), 0)
                for other in self._fleet.live:
                    if spent and other != peer:
                        self._fleet.spawn(self._send_spent(other, c, spent))
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _send_spent(self, to: PeerId, customer: Customer, spent: int) -> None:
        try:
            await self._fleet.delay_or_lose()
        except PeerTimeout:
            return
        now = self._fleet.clock.monotonic()
        withdraw(self._buckets[to, customer.name], customer, spent, now)


def fleet_bucket(customer: Customer, now: float) -> TokenBucket:
    """Return a full bucket of a customer's rate and burst."""
    rate, burst = (
        customer.rate * MICROTOKENS_PER_TOKEN,
        int(customer.burst * MICROTOKENS_PER_TOKEN),
    )
    bucket = TokenBucket(rate, burst, now)
    bucket.adjust(rate, burst, burst, now)
    return bucket


def withdraw(bucket: TokenBucket, customer: Customer, amount: int, now: float) -> None:
    """Take microtokens from a bucket of the whole, below empty if need be."""
    rate, burst = (
        customer.rate * MICROTOKENS_PER_TOKEN,
        int(customer.burst * MICROTOKENS_PER_TOKEN),
    )
    bucket.adjust(rate, burst, -amount, now)


def charge(
    bucket: TokenBucket, fleet: SimulatedFleet, cost: float
) -> SettleFunction | None:
    """Charge a bucket and return how to settle it, None if its level is too low."""
    charged = bucket.charge(int(cost * MICROTOKENS_PER_TOKEN), fleet.clock.monotonic())
    if charged is None:
        return None
    return lambda used: (
        bucket.settle(
            charged, int(used * MICROTOKENS_PER_TOKEN), fleet.clock.monotonic()
        )
        and None
    )


class Result(NamedTuple):
    """What one run, or several together, gave."""

    requests: int = 0
    admitted: int = 0
    wrongful: int = 0
    overshoot: float = 0.0
    """Largest debt of the fleet's bucket as a part of the burst."""
    messages: int = 0
    writes: int = 0

    def plus(self, other: Result) -> Result:
        """Add another run's counts and keep the larger overshoot."""
        sums = [a + b for a, b in zip(self, other, strict=True)]
        return Result(*sums)._replace(overshoot=max(self.overshoot, other.overshoot))


class Run:
    """One scheme under one scenario."""

    def __init__(
        self, scheme: Callable[[SimulatedFleet], Scheme], fleet: SimulatedFleet
    ) -> None:
        self._fleet = fleet
        self._scheme = scheme(fleet)
        self._customers = fleet.scenario.customers
        self._global_buckets = {c.name: fleet_bucket(c, 0.0) for c in self._customers}
        self._counts: Counter[str] = Counter()
        self._overshoot = 0.0

    async def measure(self, seconds: float) -> Result:
        """Offer the load for some seconds and return the counts."""
        fleet = self._fleet
        await self._scheme.start()
        writes = fleet.writes
        fleet.messages.clear()
        if fleet.scenario.crash:
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_AT_SECONDS, lambda: fleet.kill(fleet.live[0]))
        await asyncio.gather(*(self._offer(c, seconds) for c in self._customers))
        counts = self._counts
        return Result(
            counts["requests"],
            counts["admitted"],
            counts["wrongful"],
            self._overshoot,
            fleet.messages.total(),
            fleet.writes - writes,
        )

    async def _offer(self, customer: Customer, seconds: float) -> None:
        fleet, now = self._fleet, self._fleet.clock.monotonic
        mean_gap = MEAN_NET_TOKENS / (customer.rate * fleet.scenario.load)
        until = now() + seconds
        while now() < until:
            await asyncio.sleep(fleet.rng.expovariate(1 / mean_gap))
            fleet.spawn(self._request(customer, self._choose_instance(customer)))

    def _choose_instance(self, customer: Customer) -> PeerId:
        fleet = self._fleet
        shift = (
            int(fleet.clock.monotonic() / MOVE_INTERVAL_SECONDS)
            if fleet.scenario.moving
            else 0
        )
        first = self._customers.index(customer) + shift * 3
        place = first + fleet.rng.randrange(fleet.scenario.instances)
        return fleet.live[place % len(fleet.live)]

    async def _request(self, customer: Customer, instance: PeerId) -> None:
        fleet = self._fleet
        reserved = fleet.rng.uniform(*RESERVED_TOKENS)
        cost = PROMPT_TOKENS + reserved
        settle = await self._scheme.admit(instance, customer, cost)
        global_bucket, now = (
            self._global_buckets[customer.name],
            fleet.clock.monotonic(),
        )
        level = global_bucket.level(now) / MICROTOKENS_PER_TOKEN
        self._counts["requests"] += 1
        if settle is None:
            self._counts["wrongful"] += level >= cost
            return
        self._counts["admitted"] += 1
        # The schemes and this bucket round to microtokens each in their own way.
        debt = max(0.0, cost - level - 0.001)
        self._overshoot = max(self._overshoot, debt / customer.burst)
        settle_global = charge(global_bucket, fleet, cost)
        if settle_global is None:
            withdraw(global_bucket, customer, int(cost * MICROTOKENS_PER_TOKEN), now)
        await asyncio.sleep(fleet.rng.uniform(*ANSWER_SECONDS))
        used = PROMPT_TOKENS + reserved * fleet.rng.uniform(*USED_RATIO)
        settle(used)
        if settle_global is not None:
            settle_global(used)
        else:
            withdraw(
                global_bucket,
                customer,
                int((used - cost) * MICROTOKENS_PER_TOKEN),
                fleet.clock.monotonic(),
            )


SCHEMES: dict[str, Callable[[SimulatedFleet], Scheme]] = {
    "shares": Shares,
    "equal split": EqualSplit,
    "gossip counter": GossipCounter,
    "one bucket": OneBucket,
}


def simulate(
    scheme: Callable[[SimulatedFleet], Scheme],
    scenario: Scenario,
    seed: int,
    seconds: float,
) -> Result:
    """Run one scheme under one scenario on a loop of its own."""
    with asyncio.Runner(loop_factory=SimulatedTimeLoop) as runner:

        async def main() -> Result:
            return await Run(scheme, SimulatedFleet(scenario, seed)).measure(seconds)

        return runner.run(main())


def main(argv: Sequence[str]) -> None:
    """Print one row for each scenario and scheme."""
    del argv
    print(f"{FLAGS.seeds} seeds of {FLAGS.seconds} s, {INSTANCES} instances\n")
    print(
        f"{'scenario':<22}{'scheme':<16}{'requests':>9}{'admitted':>10}"
        f"{'wrongful':>10}{'overshoot':>11}{'msg/req':>9}{'writes':>8}"
    )
    started = time.perf_counter()
    for scenario in SCENARIOS:
        for name, scheme in SCHEMES.items():
            total = Result()
            for seed in range(FLAGS.seeds):
                total = total.plus(simulate(scheme, scenario, seed, FLAGS.seconds))
            print(row(scenario.name, name, total))
    print(f"\ntook {time.perf_counter() - started:.0f} s")


def row(scenario: str, scheme: str, total: Result) -> str:
    """Return one line of the table."""
    return (
        f"{scenario:<22}{scheme:<16}{total.requests:>9}"
        f"{total.admitted / total.requests:>10.2%}"
        f"{total.wrongful / total.requests:>10.3%}{total.overshoot:>11.2%}"
        f"{total.messages / total.requests:>9.3f}{total.writes:>8}"
    )


if __name__ == "__main__":
    app.run(main)
