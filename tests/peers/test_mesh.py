"""Tests of the links between instances, over real sockets on the loopback interface."""

from __future__ import annotations

import asyncio
import json
import random
import zlib
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, suppress
from typing import NamedTuple

import msgspec
import pytest
import zmq
import zmq.asyncio

from guavajunction.clock import ManualClock, SystemClock
from guavajunction.errors import PeerError, PeerTimeout, PeerUnknown
from guavajunction.peers import FleetKeys, PeerId, PeerMesh, RingSubset
from guavajunction.peers._envelope import Envelope, Heartbeat, Kind
from guavajunction.peers._packing import MIN_PACKED_BYTES, pack, unpack
from guavajunction.storage import InstanceRecord

HEARTBEAT_SECONDS = 0.02


class Note(NamedTuple):
    """A message type for these tests."""

    text: str


def curve_keys() -> FleetKeys:
    public, secret = zmq.curve_keypair()
    return FleetKeys(public.decode(), secret.decode())


def record(mesh: PeerMesh) -> InstanceRecord:
    host, _, port = mesh.address.rpartition(":")
    return InstanceRecord(mesh.me.name, "dc", host, 0, int(port), "live")


async def until(condition: Callable[[], bool]) -> None:
    async with asyncio.timeout(5):
        while not condition():  # noqa: ASYNC110 - no event to wait for
            await asyncio.sleep(0.005)


class Fleet:
    """Starts and stops meshes that share a key."""

    def __init__(self, stack: AsyncExitStack) -> None:
        self._stack = stack
        self.keys = curve_keys()

    async def start(
        self, name: str, incarnation: str = "1", port: int = 0, keys: object = None
    ) -> PeerMesh:
        me = PeerId(name, incarnation)
        mesh = PeerMesh(
            me,
            "127.0.0.1",
            port,
            keys if isinstance(keys, FleetKeys) else self.keys,
            SystemClock(),
            heartbeat_seconds=HEARTBEAT_SECONDS,
        )
        task = asyncio.create_task(mesh.run())
        self._stack.push_async_callback(self.stop, task)
        mesh.stop = lambda: self.stop(task)
        await mesh.ready()
        return mesh

    async def stop(self, task: asyncio.Task[None]) -> None:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def pair(self) -> tuple[PeerMesh, PeerMesh]:
        a, b = await self.start("a"), await self.start("b")
        a.set_targets([record(a), record(b)])
        await until(lambda: bool(a.mutual(1) and b.mutual(1)))
        return a, b


@pytest.fixture
async def fleet() -> AsyncIterator[Fleet]:
    async with AsyncExitStack() as stack:
        yield Fleet(stack)


class TestHeartbeats:
    """Tests of live and mutual peers, and of topics on heartbeats."""

    async def test_link_is_mutual_if_one_side_has_the_other_as_target(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()
        assert a.peers() == [b.me]
        assert b.peers() == [a.me]
        traffic = a.traffic()[b.address]
        assert traffic.sent_bytes > 0
        assert traffic.received_messages > 0

    async def test_two_incarnations_of_one_name_exchange_heartbeats(
        self, fleet: Fleet
    ) -> None:
        old, new = await fleet.start("a", "1"), await fleet.start("a", "2")
        new.set_targets([record(old), record(new)])
        await until(lambda: bool(old.mutual(1) and new.mutual(1)))
        assert new.peers() == [PeerId("a", "1")]

    async def test_topic_values_arrive_and_echo_bounds_their_age(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.start("a"), await fleet.start("b")
        seen: list[tuple[PeerId, float]] = []
        clock = SystemClock()
        a.add_topic("now", clock.monotonic, lambda *_: None, float)
        b.add_topic("now", lambda: 0.0, lambda p, v: seen.append((p, v)), float)
        a.set_targets([record(b)])
        await until(lambda: b.echoed_at(a.me) is not None)
        sender, sent = seen[-1]
        assert sender == a.me
        assert b.echoed_at(a.me) <= sent + HEARTBEAT_SECONDS

    async def test_peer_that_receives_no_heartbeats_is_live_but_not_mutual(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()
        b._on_heartbeat = lambda *_: None
        # Both in one moment: after a pause of 0.2 s, no heartbeat of `b` is recent.
        await until(lambda: not a.mutual(0.2) and a.peers_seen_within(0.2) == {b.me})

    async def test_stopped_peer_is_neither_live_nor_mutual(self, fleet: Fleet) -> None:
        a, b = await fleet.pair()
        await b.stop()
        await until(lambda: not a.mutual(0.2) and not a.peers_seen_within(0.2))


class TestMessages:
    """Tests of messages and requests between two incarnations."""

    async def test_concurrent_requests_get_their_own_replies(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()

        async def answer(sender: PeerId, note: Note) -> Note:
            await asyncio.sleep(0.05 if note.text == "slow" else 0)
            return Note(f"{sender.name}:{note.text}")

        b.handle(Note, answer)
        slow = a.request(b.me, Note("slow"), Note, timeout=2)
        quick = a.request(b.me, Note("quick"), Note, timeout=2)
        assert await asyncio.gather(slow, quick) == [Note("a:slow"), Note("a:quick")]

    async def test_reply_of_another_peer_is_not_the_answer_to_a_request(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()
        c = await fleet.start("c")
        c.set_targets([record(a)])
        await until(lambda: a.me in c.peers() and c.me in a.peers())

        async def answer(_: PeerId, note: Note) -> Note:
            c._send(Kind.REPLY, a.me, a._last_request_id, Note("c"))
            await until(lambda: a.counts["foreign_reply"] > 0)
            return Note("b")

        b.handle(Note, answer)
        assert await a.request(b.me, Note(""), Note, timeout=2) == Note("b")

    async def test_messages_of_one_peer_are_handled_in_order(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()
        seen: list[str] = []

        async def record_note(_: PeerId, note: Note) -> None:
            await asyncio.sleep(0.001 if note.text == "0" else 0)
            seen.append(note.text)

        b.handle(Note, record_note)
        for number in range(20):
            a.send(b.me, Note(str(number)))
        await until(lambda: len(seen) == 20)
        assert seen == [str(number) for number in range(20)]

    async def test_missing_handler_times_out_and_unknown_peer_is_another_error(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()
        with pytest.raises(PeerTimeout):
            await a.request(b.me, Note("x"), Note, timeout=0.05)
        with pytest.raises(PeerUnknown):
            await a.request(PeerId("b", "other"), Note("x"), Note, timeout=0.05)
        assert b.counts["no_handler"] == 1

    async def test_message_is_not_delivered_to_another_incarnation(
        self, fleet: Fleet
    ) -> None:
        a, old = await fleet.pair()
        port = int(old.address.rpartition(":")[2])
        await old.stop()
        new = await fleet.start("b", "2", port=port)
        seen: list[Note] = []

        async def record_note(_: PeerId, note: Note) -> None:
            seen.append(note)

        new.handle(Note, record_note)
        await until(lambda: new.me in a.mutual(1))
        a.send(old.me, Note("for the old one"))
        await until(lambda: new.counts["other_incarnation"] > 0)
        a.send(new.me, Note("for the new one"))
        await until(lambda: bool(seen))
        assert seen == [Note("for the new one")]

    async def test_send_to_a_stopped_peer_drops_without_blocking(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()
        await b.stop()
        sent = a.traffic()[b.address].sent_messages
        await until(lambda: a.traffic()[b.address].dropped > 0)
        for _ in range(3000):
            a.send(b.me, Note("x" * 1000))
        traffic = a.traffic()[b.address]
        assert traffic.dropped > 3000
        assert traffic.sent_messages - sent < 100


class FakeLink:
    """Records the envelopes that are sent."""

    def __init__(self) -> None:
        self.sent: list[Envelope] = []

    def send(self, payload: bytes) -> bool:
        self.sent.append(msgspec.msgpack.decode(payload, type=Envelope))
        return True

    def close(self) -> None:
        """Do nothing, because no socket is open."""


class TestEchoes:
    """Tests of the send times that echoes prove, on a manual clock."""

    PEER = PeerId("b", "b-1")
    ADDRESS = "127.0.0.1:2"

    @pytest.fixture
    def clock(self) -> ManualClock:
        return ManualClock()

    @pytest.fixture
    async def mesh(self, clock: ManualClock) -> AsyncIterator[PeerMesh]:
        mesh = PeerMesh(PeerId("a", "a-1"), "127.0.0.1", 1, curve_keys(), clock)
        mesh._links[self.ADDRESS] = FakeLink()
        yield mesh
        mesh._close_all()

    def arrive(
        self, mesh: PeerMesh, sequence: int, echo: int, to: str = "a-1", value: int = 0
    ) -> None:
        topics = {"n": msgspec.Raw(msgspec.msgpack.encode(value))}
        body = msgspec.Raw(msgspec.msgpack.encode(Heartbeat(sequence, echo, topics)))
        envelope = Envelope(Kind.HEARTBEAT, self.PEER, self.ADDRESS, to, 0, "", body)
        mesh._on_payload(msgspec.msgpack.encode(envelope))

    async def test_late_heartbeat_is_as_old_as_the_heartbeat_it_echoes(
        self, mesh: PeerMesh, clock: ManualClock
    ) -> None:
        mesh._send_heartbeats()
        sent_at = clock.monotonic()
        clock.advance(60)
        self.arrive(mesh, sequence=1, echo=1)
        assert mesh.peers_seen_within(1) == {self.PEER}
        assert mesh.echoed_at(self.PEER) == sent_at
        assert mesh.mutual(1) == set()

    @pytest.mark.parametrize(("echo", "to"), [(1, "a-0"), (0, "a-1"), (9, "a-1")])
    async def test_echo_of_another_incarnation_or_unsent_heartbeat_is_ignored(
        self, mesh: PeerMesh, echo: int, to: str
    ) -> None:
        mesh._send_heartbeats()
        self.arrive(mesh, sequence=1, echo=echo, to=to)
        assert mesh.echoed_at(self.PEER) is None

    async def test_heartbeat_older_than_the_last_one_is_ignored(
        self, mesh: PeerMesh
    ) -> None:
        seen: list[int] = []
        mesh.add_topic("n", lambda: 0, lambda _, value: seen.append(value), int)
        self.arrive(mesh, sequence=2, echo=0, value=2)
        self.arrive(mesh, sequence=1, echo=0, value=1)
        assert seen == [2]

    async def test_expired_incarnation_is_no_longer_addressed(
        self, mesh: PeerMesh, clock: ManualClock
    ) -> None:
        link = mesh._links[self.ADDRESS]
        self.arrive(mesh, sequence=1, echo=0)
        mesh._send_heartbeats()
        clock.advance(PeerMesh.LIVE_SECONDS)
        mesh._send_heartbeats()
        assert [envelope.to for envelope in link.sent] == ["b-1", ""]


class TestDefects:
    """An exception in a handler or topic does not close the link."""

    async def test_failing_handler_and_topic_do_not_end_the_link(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()
        seen: list[str] = []

        async def fail_once(_: PeerId, note: Note) -> None:
            seen.append(note.text)
            raise KeyError(note.text)

        def fail(*_: object) -> int:
            raise KeyError("topic")

        b.handle(Note, fail_once)
        b.add_topic("broken", lambda: 1, fail, int)
        a.add_topic("broken", fail, lambda *_: None, int)
        a.send(b.me, Note("1"))
        a.send(b.me, Note("2"))
        await until(lambda: seen == ["1", "2"] and a.counts["topic_failed"] > 1)
        assert b.counts["handler_failed"] == 2
        assert a.mutual(1) == {b.me}


class TestAuthentication:
    """Only connections with the fleet's key are accepted."""

    async def test_own_key_against_the_fleets_public_key_is_refused(
        self, fleet: Fleet
    ) -> None:
        a = await fleet.start("a")
        own = curve_keys()
        unauthenticated = _dealer(a.address, fleet.keys.public, own)
        try:
            await self._send_invalid(unauthenticated, a)
            assert a.peers() == []
            assert a.counts == {}
        finally:
            unauthenticated.close(linger=0)
            unauthenticated.context.destroy(linger=0)

    async def test_same_messages_with_the_fleets_key_are_received(
        self, fleet: Fleet
    ) -> None:
        a = await fleet.start("a")
        member = _dealer(a.address, fleet.keys.public, fleet.keys)
        try:
            await self._send_invalid(member, a)
            await until(lambda: a.counts["malformed"] > 0)
        finally:
            member.close(linger=0)
            member.context.destroy(linger=0)

    async def test_plain_connection_is_refused(self, fleet: Fleet) -> None:
        a = await fleet.start("a")
        unauthenticated = _dealer(a.address, None, None)
        try:
            await self._send_invalid(unauthenticated, a)
            assert a.counts == {}
        finally:
            unauthenticated.close(linger=0)
            unauthenticated.context.destroy(linger=0)

    async def test_port_in_use_raises_peer_error(self, fleet: Fleet) -> None:
        a = await fleet.start("a")
        port = int(a.address.rpartition(":")[2])
        mesh = PeerMesh(PeerId("b", "1"), "127.0.0.1", port, fleet.keys, SystemClock())
        with pytest.raises(PeerError):
            await mesh.run()

    async def _send_invalid(self, sock: zmq.Socket, mesh: PeerMesh) -> None:
        for _ in range(10):
            with suppress(zmq.Again):
                sock.send(b"not an envelope", zmq.NOBLOCK)
            await asyncio.sleep(0.02)


def _dealer(address: str, server: str | None, keys: FleetKeys | None) -> zmq.Socket:
    sock = zmq.Context().socket(zmq.DEALER)
    if server is not None and keys is not None:
        sock.curve_serverkey = server.encode()
        sock.curve_publickey = keys.public.encode()
        sock.curve_secretkey = keys.secret.encode()
    sock.connect(f"tcp://{address}")
    return sock


class TestRingSubset:
    """Tests of the target strategy for large fleets."""

    @pytest.mark.parametrize("size", [1, 2, 3, 8, 390])
    def test_choice_is_symmetric_and_small(self, size: int) -> None:
        fleet = [
            InstanceRecord(f"e{i:03}", "dc", "", 0, i, "live") for i in range(size)
        ]
        chosen = {
            r.name: {t.name for t in RingSubset().choose(r.name, fleet)} for r in fleet
        }
        for name, targets in chosen.items():
            assert name not in targets
            assert len(targets) <= 2 * size.bit_length()
            assert all(name in chosen[target] for target in targets)


NARROW_LINK_BYTES_PER_SECOND = 625_000
"""5 Mbit/s, the narrowest link of an instance."""
IN_FORCE_SECONDS = 3.0
"""Longest time until a configuration is in force on all instances."""
COPIES = 16
"""Instances of one data centre that follow a hub."""


def large_document() -> str:
    """Return a configuration of 1,650 routes with random names, as operators write."""
    rng = random.Random(1)
    routes = [
        {
            "name": f"r-{rng.getrandbits(36):x}",
            "host": f"{rng.choice(['ficu95', 'wuny96', 'ssz9m3'])}.example",
            "prefix": f"/{rng.getrandbits(36):x}/{rng.getrandbits(20):x}/",
            "kind": rng.choice(["streaming", "safe", "unsafe"]),
            "timeoutMs": 12000,
            "targetLatencyMs": 507,
            "priority": 2,
            "service": "huvo11a",
            "maxAttempts": 1,
            "anonymous": False,
            "sessionAffinity": True,
            "resumable": False,
            "gapAimMs": 300,
        }
        for _ in range(1650)
    ]
    return json.dumps({"routes": routes}, separators=(",", ":"))


class TestLargeMessages:
    """Tests of documents that are sent to many peers over narrow links."""

    async def test_document_for_each_follower_of_a_hub_arrives_in_time(
        self, fleet: Fleet
    ) -> None:
        a, b = await fleet.pair()
        received: list[str] = []

        async def take(_: PeerId, note: Note) -> None:
            received.append(note.text)

        b.handle(Note, take)
        document = large_document()
        before = a.traffic()[b.address].sent_bytes
        a.send(b.me, Note(document))
        await until(lambda: bool(received))
        sent = a.traffic()[b.address].sent_bytes - before
        assert received == [document]
        assert sent * COPIES / NARROW_LINK_BYTES_PER_SECOND < IN_FORCE_SECONDS

    async def test_large_request_and_reply_arrive_unchanged(self, fleet: Fleet) -> None:
        a, b = await fleet.pair()

        async def echo(_: PeerId, note: Note) -> Note:
            return note

        b.handle(Note, echo)
        note = Note(large_document())
        assert await a.request(b.me, note, Note, timeout=2.0) == note

    async def test_message_to_each_is_received_by_each(self, fleet: Fleet) -> None:
        a, b = await fleet.pair()
        received: list[str] = []

        async def take(_: PeerId, note: Note) -> None:
            received.append(note.text)

        b.handle(Note, take)
        a.send_to_each([b.me, PeerId("nobody", "1")], Note("x"))
        await until(lambda: bool(received))
        assert received == ["x"]
        assert a.counts["not_linked"] == 1


class TestPacking:
    """Tests of compressed bodies that a peer must not accept."""

    ENVELOPE = Envelope(
        Kind.PACKED_SEND, PeerId("a", "1"), "a:1", "2", 0, "Note", msgspec.Raw(b"")
    )

    def unpack(self, data: bytes, max_bytes: int = 10_000) -> Envelope:
        body = msgspec.Raw(msgspec.msgpack.encode(data))
        return unpack(self.ENVELOPE._replace(body=body), max_bytes)

    def test_packed_body_is_restored(self) -> None:
        kind, body = pack(Kind.SEND, b"x" * MIN_PACKED_BYTES)
        assert kind is Kind.PACKED_SEND
        envelope = unpack(self.ENVELOPE._replace(body=body), MIN_PACKED_BYTES)
        assert (envelope.kind, bytes(envelope.body)) == (
            Kind.SEND,
            b"x" * MIN_PACKED_BYTES,
        )

    def test_small_bodies_and_heartbeats_are_not_packed(self) -> None:
        assert pack(Kind.SEND, b"x")[0] is Kind.SEND
        assert pack(Kind.HEARTBEAT, b"x" * MIN_PACKED_BYTES)[0] is Kind.HEARTBEAT

    def test_malformed_body_is_refused(self) -> None:
        with pytest.raises(msgspec.DecodeError, match="malformed"):
            self.unpack(b"not compressed")

    def test_incomplete_body_is_refused(self) -> None:
        with pytest.raises(msgspec.DecodeError, match="incomplete"):
            self.unpack(zlib.compress(b"x" * 100)[:-4])

    def test_body_over_the_limit_is_refused(self) -> None:
        with pytest.raises(msgspec.DecodeError, match="over 10000 bytes"):
            self.unpack(zlib.compress(b"x" * 10_001))
