"""Fake instances that claim and send requests, with scripted store faults."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from fakes_clock import QuickClock
from fakes_platform import FakeObjects, FakeTable
from guavajunction.errors import RequestError, StoreAnswerLost, StoreUnavailable
from guavajunction.idempotency import Claim, IdempotencyRegistry, RecordedAnswer
from guavajunction.peers import PeerId
from guavajunction.storage import Row

OK = "ok"
DOWN = "down"
LOST_REQUEST = "lost request"
LOST_ANSWER = "lost answer"
FAULTS = (OK, DOWN, LOST_REQUEST, LOST_ANSWER)


class ScriptedTable(FakeTable):
    """A view of a table whose next calls fail as scripted in `faults`."""

    def __init__(self, root: FakeTable) -> None:
        super().__init__(root)
        self.faults: list[str] = []

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read a row, or fail if the next fault is not `OK`."""
        if self._next_fault() != OK:
            raise StoreUnavailable("the table service is down")
        return await super().get(partition, sort)

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row with the next fault."""
        fault = self._next_fault()
        if fault == DOWN:
            raise StoreUnavailable("the table service is down")
        if fault == LOST_REQUEST:
            raise StoreAnswerLost("no reply; the write did not arrive")
        row = await super().put(partition, sort, body, expected=expected)
        if fault == LOST_ANSWER:
            raise StoreAnswerLost("no reply; the write took effect")
        return row

    def _next_fault(self) -> str:
        return self.faults.pop(0) if self.faults else OK


class Fleet:
    """Instances in front of one service that counts the requests that it runs."""

    def __init__(self) -> None:
        self.clock = QuickClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.now = 1_000_000.0
        """Unix time in seconds."""
        self.unrevoked: set[PeerId] = set()
        self.runs: Counter[str] = Counter()
        """Number of sent requests by idempotency key."""

    def start(self, name: str) -> Instance:
        """Start an instance."""
        return Instance(self, PeerId(name, f"{name}-1"))


class Instance:
    """One instance, which also serves as its own `Members`."""

    def __init__(self, fleet: Fleet, me: PeerId) -> None:
        self.fleet = fleet
        self.me = me
        self.has_standing = True
        self.table = ScriptedTable(fleet.table)
        fleet.unrevoked.add(me)
        self.registry = IdempotencyRegistry(
            self.table, fleet.objects, me, fleet.clock, self, lambda: fleet.now
        )

    def standing(self) -> bool:
        """Return whether the instance may act as a member."""
        return self.has_standing and self.me in self.fleet.unrevoked

    def owner_of(self, key: str) -> PeerId:
        """Return the same instance as responsible for every key."""
        return min(self.fleet.unrevoked)

    async def unrevoked_members(self) -> list[PeerId]:
        """Return the members that may still act."""
        return sorted(self.fleet.unrevoked)

    def crash(self) -> None:
        """Stop the process and revoke its membership."""
        self.fleet.unrevoked.discard(self.me)

    async def claim(
        self, key: str = "k", request_hash: str = "h"
    ) -> Claim | RecordedAnswer:
        """Claim a request of customer `a`."""
        return await self.registry.claim("a", key, request_hash)

    def send(self, claim: Claim, key: str = "k") -> None:
        """Send a claimed request to the service."""
        claim.check()
        self.fleet.runs[key] += 1

    async def call(self, key: str = "k") -> RecordedAnswer:
        """Claim and send a request, record its answer and return it."""
        found = await self.claim(key)
        if isinstance(found, RecordedAnswer):
            return found
        async with found:
            self.send(found, key)
            answer = RecordedAnswer(201, (("X-Run", "1"),), b"booked")
            await found.done(*answer)
        return answer

    async def refusal(self, key: str = "k") -> RequestError | None:
        """Make a call and return its error, None if it was answered."""
        try:
            await self.call(key)
        except RequestError as exc:
            return exc
        return None

    async def step(self, times: int = 1) -> None:
        """Run the background work of the registry."""
        for _ in range(times):
            await self.registry.step()


def start(names: Iterable[str]) -> tuple[Fleet, list[Instance]]:
    """Start a fleet."""
    fleet = Fleet()
    return fleet, [fleet.start(name) for name in names]
