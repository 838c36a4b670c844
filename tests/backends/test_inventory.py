"""Tests of the inventories while readers, links and backend servers fail."""

from __future__ import annotations

from fakes_backends import FakeBackends, FakeEngine, FakeMembers, fleet
from fakes_links import FakeNetwork
from guavajunction.backends import CacheEvent, CacheEvents, Inventory, Retirement
from guavajunction.clock import ManualClock
from guavajunction.configuration import Adapter, BackendServer, Model


class Fleet:
    """Two instances and two engines; the first instance is the reader."""

    def __init__(self) -> None:
        self.clock = ManualClock()
        self.network = FakeNetwork()
        self.engines = {"e1": FakeEngine(100), "e2": FakeEngine(100)}
        self.client = FakeBackends(self.engines)
        models = [Model("m", "1", "pool", 40), Model("n", "2", "pool", 40, 2)]
        self.cfg = fleet(self.engines, models, [Adapter("x", "1", "m", 5)])
        self.links = [self.network.join(name) for name in ("i1", "i2")]
        self.members = FakeMembers(self.links[0].me)
        self.in_flight = 0
        self.clients = [self.client, FakeBackends(self.engines)]
        self.inventories = []
        self.retirements = []
        for links, client in zip(self.links, self.clients, strict=True):
            retirement = Retirement(links, lambda *_: self.in_flight, self.clock)
            inventory = Inventory(
                client, links, self.members, lambda: self.cfg, retirement, self.clock
            )
            self.inventories.append(inventory)
            self.retirements.append(retirement)

    async def tick(self, seconds: float = 0.5) -> None:
        self.clock.advance(seconds)
        for inventory in self.inventories:
            inventory.start_reads()
            await inventory.finish_reads()
        await self.network.settle()

    def names(self, artifact: str) -> list[list[str]]:
        found = [inventory.ready(artifact) for inventory in self.inventories]
        return [[state.name for state in states] for states in found]


class TestDigests:
    """Digests that the reader sends to its peers."""

    async def test_peer_gets_states_without_polling(self):
        world = Fleet()
        await world.tick()
        world.clients[1].reads.clear()
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick()
        assert world.names("m@1") == [["e1"], ["e1"]]
        assert not world.clients[1].reads

    async def test_lost_state_is_requested_again(self):
        world = Fleet()
        await world.tick()
        world.network.drop = lambda *_: True
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick()
        world.network.drop = lambda *_: False
        world.engines["e1"].running = 5
        await world.tick()
        assert world.names("m@1")[1] == ["e1"]

    async def test_unchanged_load_is_not_sent_each_time(self):
        world = Fleet()
        await world.tick()
        sent = len(world.links[0].sent)
        for _ in range(3):
            await world.tick(0.3)
        assert len(world.links[0].sent) == sent

    async def test_instance_polls_itself_without_digests_of_the_reader(self):
        world = Fleet()
        await world.tick()
        world.network.leave(world.links[0].me)
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick(Inventory.DIGEST_TIMEOUT_SECONDS)
        assert world.inventories[1].state("e1").holds("m@1")

    async def test_another_reader_takes_over(self):
        world = Fleet()
        await world.tick()
        world.members.chosen = world.links[1].me
        await world.tick(Inventory.READER_CHECK_SECONDS)
        world.clients[0].reads.clear()
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick()
        assert world.names("m@1") == [["e1"], ["e1"]]
        assert not world.clients[0].reads

    async def test_late_digest_does_not_replace_a_newer_one(self):
        world = Fleet()
        await world.tick()
        world.network.hold()
        world.engines["e1"].add_ready("n@1", 40)
        await world.tick()
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick()
        world.network.release(reverse=True)
        await world.network.settle()
        assert world.names("m@1")[1] == ["e1"]


class TestInitialScan:
    """A started instance is not ready until it has queried each backend server."""

    async def test_scan_ends_when_each_server_was_queried(self):
        world = Fleet()
        world.clients[0].down.add("e2")
        assert not world.inventories[0].initial_scan_done
        await world.tick()
        assert world.inventories[0].initial_scan_done

    async def test_added_server_does_not_reset_the_scan(self):
        world = Fleet()
        await world.tick()
        assert world.inventories[0].initial_scan_done
        new = world.cfg.backends["e1"]._replace(name="e3", address="e3")
        world.cfg = world.cfg._replace(backends=world.cfg.backends | {"e3": new})
        assert world.inventories[0].initial_scan_done


class TestHealth:
    """Backend servers that fail or leave."""

    async def test_failed_server_gets_no_requests_from_any_instance(self):
        world = Fleet()
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick()
        for client in world.clients:
            client.down.add("e1")
        for _ in range(3):
            await world.tick()
        assert world.names("m@1") == [[], []]
        for client in world.clients:
            client.down.clear()
        await world.tick()
        assert world.names("m@1") == [["e1"], ["e1"]]

    async def test_peer_polls_itself_when_only_the_reader_is_cut_off(self):
        world = Fleet()
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick()
        world.client.down.add("e1")
        for _ in range(8):
            await world.tick()
        assert world.names("m@1") == [[], ["e1"]]

    async def test_failed_requests_suspend_a_server_for_a_while(self):
        world = Fleet()
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick()
        for _ in range(3):
            world.inventories[0].note_failure("e1")
        assert world.names("m@1") == [[], ["e1"]]
        await world.tick(2.0)
        assert world.names("m@1") == [["e1"], ["e1"]]

    async def test_leaving_by_report_and_by_configuration(self):
        world = Fleet()
        world.engines["e1"].add_ready("m@1", 40)
        world.engines["e2"].add_ready("m@1", 40)
        await world.tick()
        world.engines["e1"].leaving = True
        await world.tick()
        assert world.names("m@1") == [["e2"], ["e2"]]
        servers = world.cfg.backends
        leaving = {"e2": servers["e2"]._replace(leaving=True)}
        world.cfg = world.cfg._replace(version=2, backends=servers | leaving)
        assert world.names("m@1") == [[], []]

    async def test_services_are_chosen_by_health(self):
        world = Fleet()
        server = BackendServer("e2", "service", "e2", "dc", "booking")
        world.cfg = world.cfg._replace(
            version=2, backends=world.cfg.backends | {"e2": server}
        )
        await world.tick()
        inventory = world.inventories[1]
        assert [s.name for s in inventory.ready_in_pool("booking")] == ["e2"]
        world.clients[0].down.add("e2")
        world.clients[1].down.add("e2")
        for _ in range(3):
            await world.tick()
        assert inventory.ready_in_pool("booking") == []


class TestArtifacts:
    """The artifact that serves a model or adapter, and the engines that serve it."""

    async def test_adapter_needs_its_base(self):
        world = Fleet()
        world.engines["e1"].add_ready("x@1", 5)
        world.engines["e2"].add_ready("x@1", 5)
        world.engines["e2"].add_ready("m@1", 40)
        await world.tick()
        assert world.names("x@1") == [["e2"], ["e2"]]

    async def test_old_version_serves_until_enough_replicas_are_ready(self):
        world = Fleet()
        world.engines["e1"].add_ready("n@1", 40)
        world.engines["e1"].add_ready("n@2", 40)
        await world.tick()
        assert world.inventories[1].serving("n") == "n@1"
        world.engines["e2"].add_ready("n@2", 40)
        await world.tick()
        assert world.inventories[1].serving("n") == "n@2"
        assert world.inventories[1].serving("unknown") is None

    async def test_draining_artifact_gets_no_requests_until_the_mark_expires(self):
        world = Fleet()
        world.engines["e1"].add_ready("m@1", 40)
        await world.tick()
        world.in_flight = 1
        assert not await world.retirements[0].mark_and_check_drained("e1", "m@1")
        assert world.names("m@1") == [[], []]
        world.in_flight = 0
        assert await world.retirements[0].mark_and_check_drained("e1", "m@1")
        world.network.cut(world.links[0].me, world.links[1].me, both=False)
        assert not await world.retirements[0].mark_and_check_drained("e1", "m@1")
        world.clock.advance(Retirement.MARK_SECONDS)
        assert world.names("m@1") == [["e1"], ["e1"]]


class TestPrefixes:
    """The index of cached prefixes under late events and gaps."""

    def events(self, *pairs: tuple[int, str, str], last: int) -> CacheEvents:
        events = tuple(CacheEvent(seq, kind, "m@1", p) for seq, kind, p in pairs)
        return CacheEvents(events, events[0].seq if events else last + 1, last)

    async def test_events_reach_the_peers(self):
        world = Fleet()
        world.client.events["e1"] = self.events((1, "stored", "aa"), last=1)
        await world.tick()
        assert [i.cached("e1", "aa") for i in world.inventories] == [True, True]
        world.client.events["e1"] = self.events(
            (1, "stored", "aa"), (2, "removed", "aa"), last=2
        )
        await world.tick()
        assert [i.cached("e1", "aa") for i in world.inventories] == [False, False]

    async def test_gap_clears_the_index(self):
        world = Fleet()
        world.client.events["e1"] = self.events((1, "stored", "aa"), last=1)
        await world.tick()
        world.client.events["e1"] = self.events((5, "stored", "bb"), last=5)
        await world.tick()
        for inventory in world.inventories:
            assert not inventory.cached("e1", "aa")
            assert inventory.cached("e1", "bb")

    async def test_restarted_numbers_clear_the_index(self):
        world = Fleet()
        world.client.events["e1"] = self.events((7, "stored", "aa"), last=7)
        await world.tick()
        world.client.events["e1"] = self.events((1, "stored", "bb"), last=1)
        await world.tick()
        assert not world.inventories[0].cached("e1", "aa")

    async def test_lost_events_clear_the_index_of_the_peer(self):
        world = Fleet()
        stored = [(1, "stored", "aa"), (2, "removed", "aa"), (3, "stored", "cc")]
        world.client.events["e1"] = self.events(*stored[:1], last=1)
        await world.tick()
        world.network.drop = lambda *_: True
        world.client.events["e1"] = self.events(*stored[:2], last=2)
        await world.tick()
        world.network.drop = lambda *_: False
        world.client.events["e1"] = self.events(*stored, last=3)
        await world.tick()
        assert not world.inventories[1].cached("e1", "aa")
        assert world.inventories[1].cached("e1", "cc")
