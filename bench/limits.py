"""Compares schemes of rate limiting: overshoot, wrongful refusals and messages.

Eight instances admit the requests of their customers on a simulated clock, with
message delays. The schemes are:

- `shares`: the product's scheme, in which each instance has a share of the limit.
- `equal split`: each instance has an eighth of rate and burst.
- `gossip counter`: each instance may spend the whole limit, and broadcasts the tokens
  that it spent with each heartbeat.
- `one bucket`: all instances charge one bucket without delay. It is an ideal that a
  real fleet can't reach.

A reference bucket for the whole fleet is charged with the requests that the scheme
admits. A refusal is wrongful if the reference bucket had enough tokens at that moment.
Overshoot is the largest debt of the reference bucket, as a fraction of the burst.

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

from guavajunction.configuration import EMPTY_CONFIGURATION, Configuration, Customer
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
"""Bounds of a message's delay."""
PROMPT_TOKENS = 200.0
RESERVED_TOKENS = (200.0, 1000.0)
"""Bounds of the output tokens that a request reserves."""
USED_RATIO = (0.2, 0.6)
"""Bounds of the fraction of its reserved tokens that a request uses."""
ANSWER_SECONDS = (0.5, 3.0)
"""Bounds of the duration of a request."""
MEAN_NET_TOKENS = 440.0
"""Mean tokens that a request uses: the prompt and the used part of the reserve."""
MOVE_INTERVAL_SECONDS = 5.0
"""Interval at which a customer's instances change in the moving scenarios."""
CRASH_AT_SECONDS = 20.0
REVOKED_AFTER_SECONDS = 10.0
"""Time between a crash and the revocation of the instance."""

CUSTOMERS = [
    Customer("small", rate=1_000.0, burst=5_000.0),
    Customer("medium", rate=4_000.0, burst=16_000.0),
    Customer("large", rate=12_000.0, burst=48_000.0),
]
SMALL_BURST_CUSTOMERS = [Customer("tight", rate=4_000.0, burst=4_000.0)]
"""Customers whose burst is one second of the rate, which is only a few requests."""

SettleFunction = Callable[[float], None]


class Scenario(NamedTuple):
    """Where requests arrive, and which failures occur."""

    name: str
    load: float
    """Offered tokens as a fraction of the rate."""
    instances: int
    """Number of instances that a customer's requests are spread over."""
    moving: bool = False
    """Whether these instances change every few seconds."""
    crash: bool = False
    """Whether an instance crashes during the run."""
    loss: float = 0.0
    """Fraction of the messages that are lost."""
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
    """Event loop whose time advances to the next timer when no task is ready."""

    def __init__(self) -> None:
        self._now = 0.0
        super().__init__(_SimulatedTimeSelector(self))

    def time(self) -> float:
        """Return the simulated time in seconds."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Advance the simulated time."""
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
    """Clock that returns the simulated time."""

    def monotonic(self) -> float:
        """Return the loop's time in seconds."""
        return asyncio.get_running_loop().time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling task."""
        await asyncio.sleep(seconds)


class SimulatedFleet:
    """The instances of one run, their clock, and counters of messages and writes."""

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
        """Return a configuration with the scenario's customers."""
        customers = {c.name: c for c in self.scenario.customers}
        return EMPTY_CONFIGURATION._replace(customers=customers)

    async def delay_or_lose(self) -> None:
        """Wait for the delay of one message.

        Raises:
            PeerTimeout: The message was lost.
        """
        await asyncio.sleep(self.rng.uniform(*DELAY_SECONDS))
        if self.rng.random() < self.scenario.loss:
            raise PeerTimeout("the message was lost")

    def spawn(self, work: Awaitable[Any]) -> None:
        """Run a coroutine in a background task."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def kill(self, peer: PeerId) -> None:
        """Crash an instance and revoke it `REVOKED_AFTER_SECONDS` later."""
        self.live.remove(peer)
        revoke_after = REVOKED_AFTER_SECONDS
        loop = asyncio.get_running_loop()
        loop.call_later(revoke_after, self.unrevoked.remove, peer)


class Scheme(Protocol):
    """A scheme of rate limiting."""

    async def admit(
        self, instance: PeerId, customer: Customer, cost: float
    ) -> SettleFunction | None:
        """Admit a request; return the function that settles it, None if refused."""
        ...

    async def start(self) -> None:
        """Begin the background work."""
        ...


class Table:
    """In-memory table client that counts writes."""

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
            raise ConditionFailed("the row has another version")
        self._fleet.writes += 1
        row = self._rows[partition, sort] = Row(partition, sort, expected + 1, body)
        return row

    async def delete(self, partition: str, sort: str, *, expected: int) -> None:
        """Delete a row."""
        del self._rows[partition, sort]


class DelayedLinks:
    """Peer links of one instance, with delays and lost messages."""

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
        """Return the other live instances."""
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
        """Send a request and return its reply.

        Raises:
            PeerTimeout: Request or reply was lost, or the peer has crashed.
        """
        self._fleet.messages[type(message).__name__] += 1
        started = asyncio.get_running_loop().time()
        try:
            return await self._exchange(to, message)
        except PeerTimeout:
            elapsed = asyncio.get_running_loop().time() - started
            await asyncio.sleep(max(0.0, timeout - elapsed))
            raise

    def add_topic(self, topic: str, provide: Any, accept: Any, value_type: Any) -> None:
        """Add a topic to every heartbeat."""
        self._topics[topic] = (provide, accept)

    async def send_heartbeats(self) -> None:
        """Send heartbeats until the instance crashes."""
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
            raise PeerTimeout("the peer has crashed")
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

    def owner_of(self, key: str) -> PeerId:
        """Return the live instance that is responsible for a key."""
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
    """Scheme in which each unrevoked instance has an equal part of rate and burst."""

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
    """Ideal scheme: all instances charge one bucket without delay."""

    def __init__(self, fleet: SimulatedFleet) -> None:
        self._fleet = fleet
        customers = fleet.scenario.customers
        self._buckets = {c.name: fleet_bucket(c, 0.0) for c in customers}

    async def start(self) -> None:
        """Begin with full buckets."""

    async def admit(
        self, instance: PeerId, customer: Customer, cost: float
    ) -> SettleFunction | None:
        """Charge the bucket of all instances."""
        return charge(self._buckets[customer.name], self._fleet, cost)


class GossipCounter:
    """Scheme in which instances spend the whole limit and exchange the tokens spent."""

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
        """Charge the instance's copy of the whole bucket."""
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
    """Return a full bucket with the whole rate and burst of a customer."""
    rate, burst = (
        customer.rate * MICROTOKENS_PER_TOKEN,
        int(customer.burst * MICROTOKENS_PER_TOKEN),
    )
    bucket = TokenBucket(rate, burst, now)
    bucket.adjust(rate, burst, burst, now)
    return bucket


def withdraw(bucket: TokenBucket, customer: Customer, amount: int, now: float) -> None:
    """Withdraw microtokens from a fleet bucket; its level may become negative."""
    rate, burst = (
        customer.rate * MICROTOKENS_PER_TOKEN,
        int(customer.burst * MICROTOKENS_PER_TOKEN),
    )
    bucket.adjust(rate, burst, -amount, now)


def charge(
    bucket: TokenBucket, fleet: SimulatedFleet, cost: float
) -> SettleFunction | None:
    """Charge a bucket; return the function that settles it, None if refused."""
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
    """Counts of one run, or sums over several."""

    requests: int = 0
    admitted: int = 0
    wrongful: int = 0
    overshoot: float = 0.0
    """Largest debt of the reference bucket as a fraction of the burst."""
    messages: int = 0
    writes: int = 0

    def plus(self, other: Result) -> Result:
        """Return the summed counts with the larger overshoot of both."""
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
        self._reference_buckets = {
            c.name: fleet_bucket(c, 0.0) for c in self._customers
        }
        self._counts: Counter[str] = Counter()
        self._overshoot = 0.0

    async def measure(self, seconds: float) -> Result:
        """Generate requests for a number of seconds and return the counts."""
        fleet = self._fleet
        await self._scheme.start()
        writes = fleet.writes
        fleet.messages.clear()
        if fleet.scenario.crash:
            loop = asyncio.get_running_loop()
            loop.call_later(CRASH_AT_SECONDS, lambda: fleet.kill(fleet.live[0]))
        await asyncio.gather(
            *(self._generate_requests(c, seconds) for c in self._customers)
        )
        counts = self._counts
        return Result(
            counts["requests"],
            counts["admitted"],
            counts["wrongful"],
            self._overshoot,
            fleet.messages.total(),
            fleet.writes - writes,
        )

    async def _generate_requests(self, customer: Customer, seconds: float) -> None:
        fleet, now = self._fleet, self._fleet.clock.monotonic
        mean_gap = MEAN_NET_TOKENS / (customer.rate * fleet.scenario.load)
        end = now() + seconds
        while now() < end:
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
        index = first + fleet.rng.randrange(fleet.scenario.instances)
        return fleet.live[index % len(fleet.live)]

    async def _request(self, customer: Customer, instance: PeerId) -> None:
        fleet = self._fleet
        reserved = fleet.rng.uniform(*RESERVED_TOKENS)
        cost = PROMPT_TOKENS + reserved
        settle = await self._scheme.admit(instance, customer, cost)
        reference_bucket, now = (
            self._reference_buckets[customer.name],
            fleet.clock.monotonic(),
        )
        level = reference_bucket.level(now) / MICROTOKENS_PER_TOKEN
        self._counts["requests"] += 1
        if settle is None:
            self._counts["wrongful"] += level >= cost
            return
        self._counts["admitted"] += 1
        # The schemes and the reference bucket round to microtokens differently.
        debt = max(0.0, cost - level - 0.001)
        self._overshoot = max(self._overshoot, debt / customer.burst)
        settle_reference = charge(reference_bucket, fleet, cost)
        if settle_reference is None:
            withdraw(reference_bucket, customer, int(cost * MICROTOKENS_PER_TOKEN), now)
        await asyncio.sleep(fleet.rng.uniform(*ANSWER_SECONDS))
        used = PROMPT_TOKENS + reserved * fleet.rng.uniform(*USED_RATIO)
        settle(used)
        if settle_reference is not None:
            settle_reference(used)
        else:
            withdraw(
                reference_bucket,
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
    """Run one scheme under one scenario on a new event loop."""
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
    """Return one row of the table."""
    return (
        f"{scenario:<22}{scheme:<16}{total.requests:>9}"
        f"{total.admitted / total.requests:>10.2%}"
        f"{total.wrongful / total.requests:>10.3%}{total.overshoot:>11.2%}"
        f"{total.messages / total.requests:>9.3f}{total.writes:>8}"
    )


if __name__ == "__main__":
    app.run(main)
