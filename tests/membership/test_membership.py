"""Tests of membership: outages, network cuts, pauses and races, on a manual clock."""

from __future__ import annotations

import asyncio

import pytest

from fakes_links import FakeNetwork
from fakes_platform import FakeInstanceList, FakeTable
from guavajunction.clock import ManualClock
from guavajunction.errors import (
    AcceptanceUnknown,
    ConditionFailed,
    NoMajority,
    PendingExpired,
    PlatformError,
    StoreAnswerLost,
)
from guavajunction.membership import Membership, MembershipConfig
from guavajunction.membership._messages import Pending, PendingAck, Settled
from guavajunction.peers import PeerId
from guavajunction.storage import InstanceRecord

CFG = MembershipConfig(announce_timeout=0.0, ack_timeout=0.05)


class Node:
    """One instance: its client of the store, its links and its membership."""

    def __init__(self, fleet: Fleet, name: str, incarnation: str, port: int) -> None:
        self.table = fleet.table.client()
        self.links = fleet.network.join(name, incarnation)
        self.version = 1
        self.membership = Membership(
            self.table,
            FakeInstanceList(),
            self.links,
            fleet.clock,
            fleet.cfg,
            InstanceRecord(name, "dc", "10.0.0.1", 80, port, "live"),
            version=lambda: self.version,
        )

    @property
    def me(self) -> PeerId:
        return self.links.me

    @property
    def standing(self) -> bool:
        return self.membership.standing()

    async def step(self) -> None:
        """Run each periodic job once; a failure of the store skips the job."""
        for job in (self.membership.renew, self.read, self.membership.upkeep):
            try:
                await job()
            except PlatformError:
                continue

    async def read(self) -> None:
        started = self.membership._clock.monotonic()
        await self.membership.poll()
        self.membership.on_store_read(started)


class Fleet:
    """Several nodes that share one table service."""

    def __init__(self, cfg: MembershipConfig = CFG) -> None:
        self.cfg = cfg
        self.clock = ManualClock()
        self.network = FakeNetwork(self.clock)
        self.table = FakeTable()
        self.nodes: list[Node] = []

    async def start(self, *names: str) -> list[Node]:
        for name in names:
            port = len(self.nodes) + 1
            self.nodes.append(Node(self, name, f"{name}-1", port))
        await self.run(12)
        return self.nodes

    async def run(self, seconds: float, *, without: tuple[Node, ...] = ()) -> None:
        """Let time pass; nodes in `without` are paused and send no heartbeats."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)
            for node in self.nodes:
                if node not in without:
                    await node.step()
            await self.beat(without)

    async def beat(self, without: tuple[Node, ...] = ()) -> None:
        for node in self.nodes:
            if node not in without and node.me in self.network.nodes:
                node.links.send_heartbeats()
        await self.network.settle()

    def crash(self, node: Node) -> None:
        self.network.leave(node.me)
        self.nodes.remove(node)

    @property
    def voters(self) -> set[str]:
        view = self.nodes[0].membership._observer.view
        return {peer.name for peer in view.voters}


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


async def lose_change(node: Node, fleet: Fleet) -> None:
    """Announce a change with an unknown outcome as the store fails for all nodes."""
    async with node.membership.pending("configuration"):
        fleet.table.down = True
        raise AcceptanceUnknown("no answer")


async def change_late(node: Node, fleet: Fleet) -> None:
    """Announce a change and delay it until it may no longer be sent."""
    async with node.membership.pending("configuration") as announcement:
        announcement.check()
        fleet.clock.advance(CFG.pending_validity)
        announcement.check()


class TestStanding:
    """Members keep standing in an outage of the store, unless cut from a majority."""

    async def test_no_standing_before_registration(self, fleet: Fleet) -> None:
        node = Node(fleet, "a", "a-1", 1)
        assert not node.standing
        fleet.table.down = True
        await node.step()
        assert not node.standing

    async def test_outage_of_the_store_keeps_all_members_serving(
        self, fleet: Fleet
    ) -> None:
        nodes = await fleet.start("a", "b", "c")
        fleet.table.down = True
        for _ in range(30):
            await fleet.run(1)
            assert [node.standing for node in nodes] == [True] * 3

    async def test_outage_beyond_the_limit_ends_standing(self, fleet: Fleet) -> None:
        nodes = await fleet.start("a", "b", "c")
        fleet.table.down = True
        fleet.clock.advance(CFG.outage_limit)
        await fleet.run(2)
        assert [node.standing for node in nodes] == [False] * 3

    async def test_minority_cut_from_store_and_peers_loses_standing(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        c.table.down = True
        fleet.network.isolate(c.me)
        await fleet.run(CFG.staleness + 0.5)
        assert [n.standing for n in (a, b, c)] == [True, True, False]

    async def test_one_way_heartbeats_are_no_majority(self, fleet: Fleet) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        fleet.table.down = True
        for peer in (a, b):
            fleet.network.cut(c.me, peer.me, both=False)
        await fleet.run(CFG.heartbeat_max_age + 0.5)
        assert [n.standing for n in (a, b, c)] == [True, True, False]

    async def test_relayed_confirmation_requires_a_current_configuration(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        c.table.down = True
        await fleet.run(5)
        assert c.standing
        a.version = b.version = 2
        await fleet.run(CFG.staleness + 0.5)
        assert not c.standing
        c.version = 2
        assert c.standing

    async def test_paused_member_resumes_without_standing(self, fleet: Fleet) -> None:
        _a, _b, c = await fleet.start("a", "b", "c")
        await fleet.run(CFG.staleness, without=(c,))
        assert not c.standing
        await fleet.run(1)
        assert c.standing

    async def test_delayed_heartbeat_does_not_count_as_recent(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        c.table.down = True
        fleet.network.cut(c.me, a.me, both=False)
        fleet.network.cut(c.me, b.me, both=False)
        # Heartbeats of `a` and `b` still arrive at `c`, but echo none that `c` sent
        # after the cut. They are treated as if sent before it and delayed since.
        await fleet.run(CFG.staleness + 0.5)
        assert not c.standing


class TestPending:
    """A change needs acknowledgements by a majority, and blocks rule 2 meanwhile."""

    async def test_minority_cannot_announce_a_change(self, fleet: Fleet) -> None:
        a, _b, _c = await fleet.start("a", "b", "c")
        fleet.network.isolate(a.me)
        with pytest.raises(NoMajority):
            async with a.membership.pending("configuration"):
                pytest.fail("a minority was admitted")
        assert not a.membership._notes.blocked

    async def test_voter_with_a_note_blocks_the_majority_in_an_outage(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        fleet.network.cut(a.me, c.me)
        with pytest.raises(AcceptanceUnknown):
            await lose_change(a, fleet)
        await fleet.run(CFG.staleness + 0.5)
        assert [n.standing for n in (a, b, c)] == [False] * 3
        fleet.table.down = False
        await fleet.run(CFG.settle_bound + 1)
        fleet.table.down = True
        await fleet.run(CFG.staleness + 0.5)
        assert b.standing

    async def test_refused_change_releases_the_note_at_once(self, fleet: Fleet) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        with pytest.raises(ConditionFailed):
            async with a.membership.pending("configuration"):
                raise ConditionFailed("another version")
        await fleet.network.settle()
        fleet.table.down = True
        await fleet.run(CFG.staleness + 0.5)
        assert [n.standing for n in (a, b, c)] == [True] * 3

    async def test_accepted_change_is_cleared_by_a_read_of_the_store(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        async with a.membership.pending("configuration"):
            holders = [n for n in (a, b, c) if n.membership._notes.blocked]
            assert len(holders) >= 2
        for node in (a, b):
            node.version = 2
        await fleet.network.settle()
        await fleet.run(1)
        fleet.table.down = True
        await fleet.run(CFG.staleness + 0.5)
        # `c` never installed version 2, so it can't count the votes of `a` and `b`.
        assert [n.standing for n in (a, b, c)] == [True, True, False]

    async def test_two_announcements_exclude_each_other(self, fleet: Fleet) -> None:
        a, _b, c = await fleet.start("a", "b", "c")
        async with a.membership.pending("configuration"):
            with pytest.raises(NoMajority):
                async with c.membership.pending("configuration"):
                    pytest.fail("both were admitted")

    async def test_change_announced_too_long_ago_is_refused(self, fleet: Fleet) -> None:
        a, *_ = await fleet.start("a", "b", "c")
        with pytest.raises(PendingExpired):
            await change_late(a, fleet)
        assert a.membership._notes.blocked

    @pytest.mark.parametrize("offset", [-1, 1])
    async def test_note_of_another_view_is_refused(
        self, fleet: Fleet, offset: int
    ) -> None:
        a, b, _c = await fleet.start("a", "b", "c")
        number = b.membership._observer.view.number
        for view, held in ((number + offset, False), (number, True)):
            note = Pending(f"n{view}", "configuration", view)
            ack = await a.links.request(b.me, note, PendingAck, timeout=1)
            assert ack.held is held

    async def test_voter_with_another_view_does_not_acknowledge(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        b.table.down = c.table.down = True
        fleet.nodes.append(Node(fleet, "d", "d-1", 9))
        await fleet.nodes[-1].step()
        await a.read()
        await a.membership._upkeep.update_view()
        await a.read()
        assert fleet.voters == {"a", "b", "c", "d"}
        with pytest.raises(NoMajority):
            async with a.membership.pending("configuration"):
                pytest.fail("voters of an older view were counted")


class TestRevocation:
    """Revocation of expired members, and the wait until their units can be reused."""

    async def test_crashed_member_is_revoked_and_freed_after_the_wait(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        fleet.crash(c)
        await fleet.run(CFG.lease + CFG.drift_margin + 2)
        assert fleet.voters == {"a", "b"}
        assert a.membership.revoked("c-1")
        assert c.me in await a.membership.unrevoked_members()
        await fleet.run(CFG.reclaim_wait + 1)
        assert await a.membership.unrevoked_members() == [a.me, b.me]

    async def test_minority_with_the_store_revokes_no_member(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        fleet.network.isolate(a.me)
        b.table.down = c.table.down = True
        await fleet.run(40)
        assert fleet.voters == {"a", "b", "c"}
        assert not a.membership.revoked("b-1")
        assert [n.standing for n in (a, b, c)] == [True] * 3

    async def test_paused_member_detects_its_revocation(self, fleet: Fleet) -> None:
        a, _b, c = await fleet.start("a", "b", "c")
        await fleet.run(CFG.lease + CFG.drift_margin + 2, without=(c,))
        assert a.membership.revoked("c-1")
        assert not c.standing
        await fleet.run(1)
        assert c.membership.lost.is_set()
        assert not c.standing

    async def test_revoked_member_cut_from_the_store_stops_by_status_of_peers(
        self, fleet: Fleet
    ) -> None:
        a, _b, c = await fleet.start("a", "b", "c")
        c.table.down = True
        await fleet.run(CFG.lease + CFG.drift_margin + 2)
        assert a.membership.revoked("c-1")
        await fleet.run(CFG.staleness)
        assert not c.standing

    async def test_end_of_an_outage_revokes_no_member(self, fleet: Fleet) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        fleet.table.down = True
        await fleet.run(60)
        fleet.table.down = False
        b.table.down = c.table.down = True
        await fleet.run(CFG.lease / 2)
        b.table.down = c.table.down = False
        await fleet.run(10)
        assert fleet.voters == {"a", "b", "c"}
        assert not any(n.membership.lost.is_set() for n in (a, b, c))

    async def test_end_of_an_outage_for_writes_revokes_no_member(
        self, fleet: Fleet
    ) -> None:
        nodes = await fleet.start("a", "b", "c")
        for node in nodes:
            node.table.lose_requests = 10_000
        await fleet.run(CFG.lease + CFG.drift_margin + 2)
        owner = next(n for n in nodes if n.membership.owner_of("member-view") == n.me)
        owner.table.lose_requests = 0
        await fleet.run(2)
        for node in nodes:
            node.table.lose_requests = 0
        await fleet.run(10)
        assert fleet.voters == {"a", "b", "c"}
        assert not any(node.membership.lost.is_set() for node in nodes)

    async def test_restart_at_the_same_address_frees_the_predecessor(
        self, fleet: Fleet
    ) -> None:
        a, _b, c = await fleet.start("a", "b", "c")
        fleet.crash(c)
        fleet.nodes.append(Node(fleet, "c", "c-2", 3))
        await fleet.run(1)
        assert c.me not in await a.membership.unrevoked_members()

    async def test_restart_after_crash_of_the_majority_recovers(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        fleet.crash(b)
        fleet.crash(c)
        fleet.nodes.append(Node(fleet, "b", "b-2", 2))
        fleet.nodes.append(Node(fleet, "c", "c-2", 3))
        await fleet.run(CFG.settle_bound / 2)
        with pytest.raises(NoMajority):
            async with a.membership.pending("configuration"):
                pytest.fail("one of three voters sufficed too early")
        await fleet.run(CFG.settle_bound)
        async with a.membership.pending("configuration"):
            pass
        view = a.membership._observer.view
        assert {p.incarnation for p in view.voters} == {"a-1", "b-2", "c-2"}

    async def test_restart_after_crash_of_all_members_recovers(
        self, fleet: Fleet
    ) -> None:
        """All voters of the view crash; their successors must form a new view.

        A majority of the voters has to acknowledge a change of the view. If all of
        them have stopped, none can, and no change is ever accepted again.
        """
        for node in list(await fleet.start("a", "b", "c")):
            fleet.crash(node)
        for port, name in enumerate("abc", start=1):
            fleet.nodes.append(Node(fleet, name, f"{name}-2", port))
        await fleet.run(2 * CFG.settle_bound)
        async with fleet.nodes[0].membership.pending("configuration"):
            pass
        view = fleet.nodes[0].membership._observer.view
        assert {p.incarnation for p in view.voters} == {"a-2", "b-2", "c-2"}

    async def test_members_at_new_addresses_replace_voters_that_are_silent(
        self,
    ) -> None:
        """No process ever marks these voters as left."""
        cfg = CFG._replace(outage_limit=20.0)
        fleet = Fleet(cfg)
        for node in list(await fleet.start("a", "b")):
            fleet.crash(node)
        for port, name in enumerate("cd", start=11):
            fleet.nodes.append(Node(fleet, name, f"{name}-1", port))
        await fleet.run(cfg.max_renewal_gap)
        assert fleet.voters == {"a", "b"}
        with pytest.raises(NoMajority):
            async with fleet.nodes[0].membership.pending("configuration"):
                pytest.fail("no voter was left to hold a note")
        await fleet.run(cfg.settle_bound + cfg.lease)
        assert fleet.voters == {"c", "d"}
        async with fleet.nodes[0].membership.pending("configuration"):
            pass

    async def test_voters_whose_rows_were_deleted_are_replaced(self) -> None:
        cfg = CFG._replace(retention=30.0)
        fleet = Fleet(cfg)
        for node in list(await fleet.start("a", "b")):
            await node.membership.deregister()
            fleet.crash(node)
        c = Node(fleet, "c", "c-1", 11)
        fleet.nodes.append(c)
        c.membership._upkeep._all_voters_ended = lambda: False
        await fleet.run(2 * cfg.retention)
        assert fleet.voters == {"a", "b"}
        assert set(c.membership._observer.members) == {c.me}
        del c.membership._upkeep._all_voters_ended
        await fleet.run(2)
        assert fleet.voters == {"c"}

    async def test_voter_that_can_not_renew_its_row_holds_no_note(self) -> None:
        """It may have been counted as ended, and the view replaced without it."""
        cfg = CFG._replace(outage_limit=20.0)
        fleet = Fleet(cfg)
        a, b = await fleet.start("a", "b")
        b.table.lose_requests = 10_000
        await fleet.run(cfg.outage_limit - 2)
        number = a.membership._observer.view.number
        note = Pending("n", "view", number)
        assert (await a.links.request(b.me, note, PendingAck, timeout=1.0)).held
        a.links.send(b.me, Settled("n", effect=False))
        await fleet.run(4)
        assert not b.membership._notes.blocked
        other = Pending("m", "view", b.membership._rule.view.number)
        assert not (await a.links.request(b.me, other, PendingAck, timeout=1.0)).held


class TestRegistration:
    """Writes of an instance's own member row."""

    async def test_lost_answer_of_a_renewal_keeps_standing(self, fleet: Fleet) -> None:
        a, *_ = await fleet.start("a", "b", "c")
        a.table.lose_answers = 1
        await fleet.run(CFG.lease + 2)
        assert a.standing
        assert not a.membership.lost.is_set()

    async def test_renewal_succeeds_after_a_lost_answer(self, fleet: Fleet) -> None:
        a, *_ = await fleet.start("a", "b", "c")
        a.table.lose_answers = 1
        with pytest.raises(StoreAnswerLost):
            await a.membership.renew()
        fleet.clock.advance(1)
        await a.membership.renew()
        assert a.membership._rule.renewed_at == fleet.clock.monotonic()

    @pytest.mark.parametrize("job", ["renew", "poll"])
    async def test_revocation_ends_standing_at_once(
        self, fleet: Fleet, job: str
    ) -> None:
        a, _b, c = await fleet.start("a", "b", "c")
        await c.read()
        await a.read()
        row = a.membership._observer.members[c.me]
        await a.membership._table.mark(row, "revoked")
        assert c.standing
        await getattr(c.membership, job)()
        assert c.membership.lost.is_set()
        assert not c.standing

    async def test_graceful_leave_frees_the_member_at_once(self, fleet: Fleet) -> None:
        a, _b, c = await fleet.start("a", "b", "c")
        await c.membership.leave()
        await fleet.run(1)
        assert c.standing
        assert c.me not in a.membership.live_members()
        await c.membership.deregister()
        assert not c.standing
        assert c.me not in await a.membership.unrevoked_members()

    async def test_deregistration_succeeds_after_a_lost_answer(
        self, fleet: Fleet
    ) -> None:
        a, _b, c = await fleet.start("a", "b", "c")
        c.table.lose_answers = 1
        with pytest.raises(StoreAnswerLost):
            await c.membership.renew()
        await c.membership.deregister()
        assert c.me not in await a.membership.unrevoked_members()

    async def test_steady_state_stays_within_the_store_budget(
        self, fleet: Fleet
    ) -> None:
        nodes = await fleet.start("a", "b", "c")
        for node in nodes:
            node.table.counts.clear()
        await fleet.run(10)
        for node in nodes:
            assert set(node.table.counts) == {"put", "query", "get"}
            # One renewal (put) and one poll (query, get) in each of the 20 steps.
            assert node.table.counts == {"put": 20, "query": 20, "get": 20}


class TestLoops:
    """The periodic jobs, run by `Membership.run`."""

    async def test_change_waits_for_the_first_view(self) -> None:
        cfg = CFG._replace(announce_timeout=4.0)
        fleet = Fleet(cfg)
        node = Node(fleet, "a", "a-1", 1)
        entered = asyncio.Event()

        async def change() -> None:
            async with node.membership.pending("configuration"):
                entered.set()

        tasks = [asyncio.create_task(change())]
        tasks.append(asyncio.create_task(node.membership.run()))
        for _ in range(8):
            fleet.clock.advance(0.25)
            for _ in range(6):
                await asyncio.sleep(0)
        assert entered.is_set()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def test_loops_survive_an_outage_and_can_be_cancelled(
        self, fleet: Fleet
    ) -> None:
        node = Node(fleet, "a", "a-1", 1)
        changes: list[int] = []
        node.membership.on_change(lambda: changes.append(1))
        fleet.table.down = True
        task = asyncio.create_task(node.membership.run())
        for number in range(60):
            fleet.table.down = number < 10
            fleet.clock.advance(0.5)
            node.membership.on_store_read(fleet.clock.monotonic())
            await asyncio.sleep(0)
            await asyncio.sleep(0)
        assert node.standing
        assert fleet.table.rows["member", "a-1"].version > 3
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task


class TestOwner:
    """Assignment of keys to live members by rendezvous hashing."""

    async def test_members_agree_and_a_loss_moves_only_its_keys(
        self, fleet: Fleet
    ) -> None:
        a, b, c = await fleet.start("a", "b", "c")
        keys = [f"customer/{number}" for number in range(60)]
        before = {key: a.membership.owner_of(key) for key in keys}
        assert before == {key: b.membership.owner_of(key) for key in keys}
        fleet.crash(c)
        await fleet.run(CFG.lease + CFG.drift_margin + 1)
        for key in keys:
            if before[key] != c.me:
                assert a.membership.owner_of(key) == before[key]
            assert a.membership.owner_of(key) != c.me
