"""Instances that claim and send requests, with a fault at any step."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable

from fakes_clock import QuickClock
from fakes_platform import FakeObjects, FakeTable
from guavajunction.errors import RequestError, StoreAnswerLost, StoreUnavailable
from guavajunction.idempotency import Claim, OnceRegister, RecordedAnswer
from guavajunction.peers import PeerId
from guavajunction.storage import Row

OK = "ok"
DOWN = "down"
LOST_REQUEST = "lost request"
LOST_ANSWER = "lost answer"
FAULTS = (OK, DOWN, LOST_REQUEST, LOST_ANSWER)


class ScriptedTable(FakeTable):
    """A view of a table whose next calls fail as the test says."""

    def __init__(self, root: FakeTable) -> None:
        super().__init__(root)
        self.faults: list[str] = []

    async def get(self, partition: str, sort: str) -> Row | None:
        """Read a row unless a fault is due."""
        if self._next_fault() != OK:
            raise StoreUnavailable("the table service is down")
        return await super().get(partition, sort)

    async def put(
        self, partition: str, sort: str, body: bytes, *, expected: int
    ) -> Row:
        """Write a row with the fault that is due."""
        fault = self._next_fault()
        if fault == DOWN:
            raise StoreUnavailable("the table service is down")
        if fault == LOST_REQUEST:
            raise StoreAnswerLost("no answer; the write did not arrive")
        row = await super().put(partition, sort, body, expected=expected)
        if fault == LOST_ANSWER:
            raise StoreAnswerLost("no answer; the write took effect")
        return row

    def _next_fault(self) -> str:
        return self.faults.pop(0) if self.faults else OK


class Fleet:
    """Instances in front of one plain service that counts what it runs."""

    def __init__(self) -> None:
        self.clock = QuickClock()
        self.table = FakeTable()
        self.objects = FakeObjects()
        self.now = 1_000_000.0
        """Seconds since the epoch."""
        self.unrevoked: set[PeerId] = set()
        self.runs: Counter[str] = Counter()
        """Sends by idempotency key."""

    def start(self, name: str) -> Instance:
        """Start an instance."""
        return Instance(self, PeerId(name, f"{name}-1"))


class Instance:
    """One instance; also its own view of the members."""

    def __init__(self, fleet: Fleet, me: PeerId) -> None:
        self.fleet = fleet
        self.me = me
        self.has_standing = True
        self.table = ScriptedTable(fleet.table)
        fleet.unrevoked.add(me)
        self.register = OnceRegister(
            self.table, fleet.objects, me, fleet.clock, self, lambda: fleet.now
        )

    def standing(self) -> bool:
        """Return whether the instance may act."""
        return self.has_standing and self.me in self.fleet.unrevoked

    def author(self, key: str) -> PeerId:
        """Return one instance for every key."""
        return min(self.fleet.unrevoked)

    async def unrevoked_members(self) -> list[PeerId]:
        """Return the members that may still act."""
        return sorted(self.fleet.unrevoked)

    def die(self) -> None:
        """End the process and revoke its membership."""
        self.fleet.unrevoked.discard(self.me)

    async def claim(
        self, key: str = "k", request_hash: str = "h"
    ) -> Claim | RecordedAnswer:
        """Claim a request of the one customer."""
        return await self.register.claim("a", key, request_hash)

    def send(self, claim: Claim, key: str = "k") -> None:
        """Send a claimed request to the service."""
        claim.check()
        self.fleet.runs[key] += 1

    async def call(self, key: str = "k") -> RecordedAnswer:
        """Claim, send, record and return the answer."""
        found = await self.claim(key)
        if isinstance(found, RecordedAnswer):
            return found
        async with found:
            self.send(found, key)
            answer = RecordedAnswer(201, (("X-Run", "1"),), b"booked")
            await found.done(*answer)
        return answer

    async def refusal(self, key: str = "k") -> RequestError | None:
        """Call and return the refusal, None if an answer came."""
        try:
            await self.call(key)
        except RequestError as exc:
            return exc
        return None

    async def step(self, times: int = 1) -> None:
        """Run the register's background work."""
        for _ in range(times):
            await self.register.step()


def start(names: Iterable[str]) -> tuple[Fleet, list[Instance]]:
    """Start a fleet."""
    fleet = Fleet()
    return fleet, [fleet.start(name) for name in names]
