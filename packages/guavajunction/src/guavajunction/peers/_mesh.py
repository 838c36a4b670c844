"""Links between instances over ZeroMQ."""

from __future__ import annotations

import asyncio
from collections import Counter, deque
from collections.abc import Callable, Collection, Iterable
from contextlib import ExitStack
from typing import Any, NamedTuple

import msgspec
import zmq
import zmq.asyncio

from guavajunction.clock import Clock
from guavajunction.decoding import decode
from guavajunction.errors import PeerError, PeerTimeout, PeerUnknown
from guavajunction.storage import InstanceRecord

from . import _events as events
from ._authenticator import ZAP_DOMAIN, FleetAuthenticator
from ._envelope import Envelope, Heartbeat, Kind
from ._keys import FleetKeys
from ._link import Link
from ._packing import pack, unpack
from ._peer import Peer
from ._protocols import Handler, M, PeerId
from ._targets import FullMesh, TargetStrategy


class _Topic(NamedTuple):
    provide: Callable[[], Any]
    accept: Callable[[PeerId, Any], None]
    decoder: msgspec.msgpack.Decoder[Any]


class _PeerTopic(NamedTuple):
    provide: Callable[[PeerId], Any]
    accept: Callable[[PeerId, Any], None]
    decoder: msgspec.msgpack.Decoder[Any]


class _SentHeartbeat(NamedTuple):
    sequence: int
    at: float


class _PendingRequest(NamedTuple):
    to: PeerId
    reply: asyncio.Future[msgspec.Raw]


class _Content(NamedTuple):
    """The part of a message that is the same for all receivers."""

    kind: Kind
    name: str
    body: msgspec.Raw


TopicSelector = Callable[[PeerId | None, str], Collection[str] | None]
"""Returns the shared topics to send to a receiver, or None to send it no heartbeat.

Called with the peer, or None before its first heartbeat was received, and with its
address, `host:port`.
"""


class LinkTraffic(NamedTuple):
    """Payload traffic of the links to one address."""

    sent_bytes: int
    sent_messages: int
    received_bytes: int
    received_messages: int
    dropped: int


class PeerMesh:
    """Implements `Links` over ZeroMQ.

    One ROUTER socket receives the messages of all peers; one DEALER socket for each
    peer's address sends to it.

    Every heartbeat echoes the highest sequence number received from its receiver. The
    receiver thus knows a lower bound of the time at which the heartbeat was sent, on
    its own clock and regardless of network delay: see `echoed_at`.
    """

    HEARTBEAT_SECONDS = 0.5
    """Default interval between heartbeats."""
    LIVE_SECONDS = 2.5
    """A peer counts as live for this long after its latest heartbeat."""
    REMOVE_AFTER_SECONDS = 60.0
    """A peer is removed this long after its latest heartbeat."""
    MAX_SEND_TIMES = 240
    """Number of own heartbeats whose send times are kept to match echoes."""
    MAX_RECEIVE_BATCH = 100
    """Number of messages handled before control returns to the event loop."""
    MAX_MESSAGE_BYTES = 16 * 1024 * 1024
    KEEPALIVE_IDLE_SECONDS = 30

    def __init__(
        self,
        me: PeerId,
        address: str,
        port: int,
        keys: FleetKeys,
        clock: Clock,
        *,
        strategy: TargetStrategy | None = None,
        heartbeat_seconds: float = HEARTBEAT_SECONDS,
    ) -> None:
        """Create the links; nothing is opened before `run`.

        Args:
            me: Identity of this incarnation.
            address: IP address to listen on and to send to peers.
            port: Port to listen on; 0 lets the operating system choose.
            keys: The fleet's key pair.
            clock: Source of time.
            strategy: Selects the instances to link to; all instances if omitted.
            heartbeat_seconds: Seconds between heartbeats.
        """
        self._me = me
        self._host = address
        self._port = port
        self._keys = keys
        self._clock = clock
        self._strategy = strategy or FullMesh()
        self._heartbeat_seconds = heartbeat_seconds
        self._targets: list[InstanceRecord] = []
        self._links: dict[str, Link] = {}
        self._peers: dict[PeerId, Peer] = {}
        self._handlers: dict[str, tuple[msgspec.msgpack.Decoder[Any], Any]] = {}
        self._topics: dict[str, _Topic] = {}
        self._peer_topics: dict[str, _PeerTopic] = {}
        self._topic_selector: TopicSelector = lambda *_: self._topics
        self._pending_requests: dict[int, _PendingRequest] = {}
        self._last_request_id = 0
        self._sent: deque[_SentHeartbeat] = deque(maxlen=self.MAX_SEND_TIMES)
        self._sequence = 0
        self._context: zmq.asyncio.Context | None = None
        self._ready = asyncio.Event()
        self._encoder = msgspec.msgpack.Encoder()
        self._envelope_decoder = msgspec.msgpack.Decoder(Envelope)
        self._heartbeat_decoder = msgspec.msgpack.Decoder(Heartbeat)
        self.counts: Counter[str] = Counter()
        """Dropped messages, failed topics and failed handlers, by reason."""
        self.refused = 0
        """Connections refused in this run because they lacked the fleet's key."""

    @property
    def me(self) -> PeerId:
        """Identity of this incarnation."""
        return self._me

    @property
    def address(self) -> str:
        """Address that this instance listens on, `host:port`."""
        return f"{self._host}:{self._port}"

    @property
    def topics(self) -> Collection[str]:
        """Return the names of the topics added by `add_topic`."""
        return self._topics.keys()

    async def ready(self) -> None:
        """Wait until this instance listens."""
        await self._ready.wait()

    def set_targets(self, records: list[InstanceRecord]) -> None:
        """Set the known instances, from which the strategy chooses the links."""
        self._targets = self._strategy.choose(self._me.name, records)
        if self._context is not None:
            self._open_links()

    def peers(self) -> list[PeerId]:
        """Return the live peers, which were seen within `LIVE_SECONDS`."""
        return sorted(self.peers_seen_within(self.LIVE_SECONDS))

    def peers_seen_within(self, seconds: float) -> set[PeerId]:
        """Return the peers whose latest heartbeat was received in the last seconds.

        Args:
            seconds: Number of seconds.
        """
        since = self._clock.monotonic() - seconds
        return {
            peer.peer_id for peer in self._peers.values() if peer.last_seen_at > since
        }

    def mutual(self, within: float) -> set[PeerId]:
        """Return the peers that echoed a heartbeat sent in the last seconds.

        Args:
            within: Number of seconds.
        """
        since = self._clock.monotonic() - within
        return {peer.peer_id for peer in self._peers.values() if peer.echoed_at > since}

    def echoed_at(self, peer: PeerId) -> float | None:
        """Return a lower bound of the time when the peer's latest heartbeat was sent.

        It is the time, on this instance's monotonic clock, at which this instance
        sent the heartbeat that the peer's heartbeat echoes. It is None before the
        peer has echoed a heartbeat.
        """
        known = self._peers.get(peer)
        if known is None or known.echoed_at == float("-inf"):
            return None
        return known.echoed_at

    def handle(self, message_type: type[M], handler: Handler[M]) -> None:
        """Register the one handler for a message type."""
        name = message_type.__name__
        if name in self._handlers:
            raise ValueError(f"{name} already has a handler")
        self._handlers[name] = (msgspec.msgpack.Decoder(message_type), handler)

    def add_topic(
        self,
        topic: str,
        provide: Callable[[], Any],
        accept: Callable[[PeerId, Any], None],
        value_type: type[Any],
    ) -> None:
        """Add a topic whose value is the same for all receivers of a heartbeat."""
        if topic in self._topics or topic in self._peer_topics:
            raise ValueError(f"topic {topic} is already registered")
        decoder = msgspec.msgpack.Decoder(value_type)
        self._topics[topic] = _Topic(provide, accept, decoder)

    def add_peer_topic(
        self,
        topic: str,
        provide: Callable[[PeerId], Any],
        accept: Callable[[PeerId, Any], None],
        value_type: type[Any],
    ) -> None:
        """Add a topic whose value is computed for each receiver of a heartbeat.

        Args:
            topic: Name of the topic, unique among all topics.
            provide: Called with the receiver for each heartbeat to be sent. Returns
                the value, or None to omit the topic.
            accept: Called with the sender and the value for each heartbeat received.
            value_type: Type that the value is decoded as.
        """
        if topic in self._topics or topic in self._peer_topics:
            raise ValueError(f"topic {topic} is already registered")
        decoder = msgspec.msgpack.Decoder(value_type)
        self._peer_topics[topic] = _PeerTopic(provide, accept, decoder)

    def set_topic_selector(self, choose: TopicSelector) -> None:
        """Set the function that selects the receivers of heartbeats and their topics.

        It does not affect the topics of `add_peer_topic`.
        """
        self._topic_selector = choose

    def send(self, to: PeerId, message: Any) -> None:
        """Send a message without waiting for delivery; it may be lost."""
        if not self._send(Kind.SEND, to, 0, message):
            self.counts["not_linked"] += 1

    def send_to_each(self, receivers: Iterable[PeerId], message: Any) -> None:
        """Send a message to several peers; it is encoded once."""
        content = self._encode_content(Kind.SEND, message)
        for peer in receivers:
            if not self._send_content(peer, 0, content):
                self.counts["not_linked"] += 1

    def broadcast(self, message: Any) -> None:
        """Send a message to every live peer."""
        self.send_to_each(self.peers(), message)

    async def request(
        self, to: PeerId, message: Any, reply_type: type[M], *, timeout: float
    ) -> M:
        """Send a message and wait for the reply of the peer's handler.

        Raises:
            PeerTimeout: No valid reply arrived in time; the message may have been
                handled.
            PeerUnknown: No link to the peer exists.
        """
        self._last_request_id += 1
        request_id = self._last_request_id
        fut: asyncio.Future[msgspec.Raw] = asyncio.get_running_loop().create_future()
        self._pending_requests[request_id] = _PendingRequest(to, fut)
        try:
            if not self._send(Kind.REQUEST, to, request_id, message):
                raise PeerUnknown(f"no link to {to.name}")
            body = await asyncio.wait_for(fut, timeout)
            return msgspec.msgpack.decode(body, type=reply_type)
        except TimeoutError as exc:
            raise PeerTimeout(f"{to.name} did not answer in {timeout:g} s") from exc
        except msgspec.DecodeError as exc:
            raise PeerTimeout(f"{to.name} sent a reply of the wrong type") from exc
        finally:
            del self._pending_requests[request_id]

    def traffic(self) -> dict[str, LinkTraffic]:
        """Return the traffic of each link, by the peer's address."""
        addresses = set(self._links) | {p.address for p in self._peers.values()}
        return {address: self._traffic_of(address) for address in sorted(addresses)}

    async def run(self) -> None:
        """Listen, send heartbeats and handle messages until cancelled.

        Raises:
            PeerError: The port cannot be listened on.
        """
        with ExitStack() as stack:
            context = zmq.asyncio.Context()
            stack.callback(context.destroy, linger=0)
            auth = stack.enter_context(FleetAuthenticator(context, self._keys.public))
            router = self._open_router(context)
            stack.callback(router.close, linger=0)
            self._context = context
            stack.callback(self._close_all)
            self._open_links()
            self._ready.set()
            async with asyncio.TaskGroup() as tasks:
                tasks.create_task(self._receive(router, auth))
                tasks.create_task(self._heartbeat_loop())

    def _open_router(self, context: zmq.asyncio.Context) -> zmq.asyncio.Socket:
        router = context.socket(zmq.ROUTER)
        router.linger = 0
        router.maxmsgsize = self.MAX_MESSAGE_BYTES
        router.tcp_keepalive = 1
        router.tcp_keepalive_idle = self.KEEPALIVE_IDLE_SECONDS
        router.curve_server = 1
        router.curve_publickey = self._keys.public.encode("ascii")
        router.curve_secretkey = self._keys.secret.encode("ascii")
        router.zap_domain = ZAP_DOMAIN.encode("ascii")
        try:
            router.bind(f"tcp://{self._host}:{self._port or '*'}")
        except zmq.ZMQError as exc:
            router.close(linger=0)
            raise PeerError(f"cannot listen on {self.address}: {exc}") from exc
        endpoint = router.last_endpoint.rstrip(b"\0").decode("ascii")
        self._port = int(endpoint.rpartition(":")[2])
        return router

    def _close_all(self) -> None:
        self._context = None
        self._ready.clear()
        for peer in self._peers.values():
            peer.close()
        for link in self._links.values():
            link.close()
        self._peers.clear()
        self._links.clear()

    def _open_links(self) -> None:
        wanted = {f"{t.address}:{t.peer_port}" for t in self._targets}
        wanted |= {peer.address for peer in self._peers.values()}
        wanted.discard(self.address)
        for address in wanted - set(self._links):
            self._open_link(address)
        for address in set(self._links) - wanted:
            self._links.pop(address).close()

    def _open_link(self, address: str) -> None:
        if self._context is not None:
            self._links[address] = Link(self._context, address, self._keys)

    async def _heartbeat_loop(self) -> None:
        while True:
            self._send_heartbeats()
            self._remove_silent_peers()
            await self._clock.sleep(self._heartbeat_seconds)

    def _send_heartbeats(self) -> None:
        self._sequence += 1
        topics = self._encode_topics()
        self._sent.append(_SentHeartbeat(self._sequence, self._clock.monotonic()))
        live = self.peers_seen_within(self.LIVE_SECONDS)
        without_live_peer = set(self._links)
        for peer_id in live:
            peer = self._peers[peer_id]
            without_live_peer.discard(peer.address)
            topic_names = self._topic_selector(peer_id, peer.address)
            if topic_names is not None:
                values = {name: topics[name] for name in topic_names if name in topics}
                values |= self._encode_peer_topics(peer_id)
                self._send_heartbeat(
                    peer.address, peer_id.incarnation, peer.sequence, values
                )
        for address in without_live_peer:
            if self._topic_selector(None, address) is not None:
                self._send_heartbeat(address, "", 0, topics)

    def _encode_topics(self) -> dict[str, msgspec.Raw]:
        values: dict[str, msgspec.Raw] = {}
        for name, topic in self._topics.items():
            try:
                values[name] = msgspec.Raw(self._encoder.encode(topic.provide()))
            except Exception as exc:
                # A defect in one topic must not end the heartbeats.
                self.counts["topic_failed"] += 1
                events.TOPIC_FAILED.log(peer=self._me.name, topic=name, error=repr(exc))
        return values

    def _encode_peer_topics(self, peer: PeerId) -> dict[str, msgspec.Raw]:
        values: dict[str, msgspec.Raw] = {}
        for name, topic in self._peer_topics.items():
            try:
                value = topic.provide(peer)
                if value is not None:
                    values[name] = msgspec.Raw(self._encoder.encode(value))
            except Exception as exc:
                # A defect in one topic must not end the heartbeats.
                self.counts["topic_failed"] += 1
                events.TOPIC_FAILED.log(peer=peer.name, topic=name, error=repr(exc))
        return values

    def _send_heartbeat(
        self, address: str, to: str, echo: int, topics: dict[str, msgspec.Raw]
    ) -> None:
        link = self._links.get(address)
        if link is not None:
            heartbeat = Heartbeat(self._sequence, echo, topics)
            content = self._encode_content(Kind.HEARTBEAT, heartbeat)
            link.send(self._envelope(to, 0, content))

    def _remove_silent_peers(self) -> None:
        since = self._clock.monotonic() - self.REMOVE_AFTER_SECONDS
        expired = [p for p in self._peers.values() if p.last_seen_at < since]
        for peer in expired:
            events.PEER_REMOVED.log(peer=peer.peer_id.name, address=peer.address)
            self._peers.pop(peer.peer_id).close()
        if expired:
            self._open_links()

    def _encode_content(self, kind: Kind, message: Any) -> _Content:
        has_name = kind in (Kind.SEND, Kind.REQUEST)
        name = type(message).__name__ if has_name else ""
        packed_kind, body = pack(kind, self._encoder.encode(message))
        return _Content(packed_kind, name, body)

    def _envelope(self, to: str, request_id: int, content: _Content) -> bytes:
        envelope = Envelope(
            content.kind,
            self._me,
            self.address,
            to,
            request_id,
            content.name,
            content.body,
        )
        return self._encoder.encode(envelope)

    def _send(self, kind: Kind, to: PeerId, request_id: int, message: Any) -> bool:
        return self._send_content(to, request_id, self._encode_content(kind, message))

    def _send_content(self, to: PeerId, request_id: int, content: _Content) -> bool:
        peer = self._peers.get(to)
        link = self._links.get(peer.address) if peer else None
        if link is None:
            return False
        link.send(self._envelope(to.incarnation, request_id, content))
        return True

    async def _receive(
        self, router: zmq.asyncio.Socket, auth: FleetAuthenticator
    ) -> None:
        # Receiving all queued messages without awaiting each saves a future for each
        # message, which costs more than handling it.
        sync_router = zmq.Socket.shadow(router)
        while True:
            await router.poll()
            self.refused = auth.refused
            for _ in range(self.MAX_RECEIVE_BATCH):
                try:
                    frames = sync_router.recv_multipart(zmq.NOBLOCK)
                except zmq.Again:
                    break
                self._on_payload(frames[-1])
            await asyncio.sleep(0)

    def _on_payload(self, payload: bytes) -> None:
        try:
            envelope = decode(self._envelope_decoder, payload)
            self._on_envelope(unpack(envelope, self.MAX_MESSAGE_BYTES), len(payload))
        except msgspec.DecodeError as exc:
            self.counts["malformed"] += 1
            events.MESSAGE_MALFORMED.log(reason=str(exc))

    def _on_envelope(self, envelope: Envelope, size: int) -> None:
        # Heartbeats to another incarnation are accepted: a restarted instance must
        # discover the peers that still address its previous incarnation.
        if envelope.kind is not Kind.HEARTBEAT and envelope.to != self._me.incarnation:
            self.counts["other_incarnation"] += 1
            return
        peer = self._peers.get(envelope.sender)
        if peer is None:
            if envelope.kind is not Kind.HEARTBEAT:
                self.counts["not_heard"] += 1
                return
            peer = self._add_peer(envelope)
        peer.received_bytes += size
        peer.received_messages += 1
        if envelope.kind is Kind.HEARTBEAT:
            self._on_heartbeat(peer, envelope)
        elif envelope.kind is Kind.SEND:
            peer.enqueue_message(envelope)
        elif envelope.kind is Kind.REQUEST:
            peer.start_request(envelope)
        else:
            self._on_reply(envelope)

    def _add_peer(self, envelope: Envelope) -> Peer:
        peer = Peer(envelope.sender, envelope.address, self._dispatch)
        self._peers[envelope.sender] = peer
        if envelope.address not in self._links and envelope.address != self.address:
            self._open_link(envelope.address)
        events.PEER_DISCOVERED.log(
            peer=envelope.sender.name,
            incarnation=envelope.sender.incarnation,
            address=envelope.address,
        )
        return peer

    def _on_heartbeat(self, peer: Peer, envelope: Envelope) -> None:
        heartbeat = decode(self._heartbeat_decoder, envelope.body)
        if envelope.to == self._me.incarnation:
            peer.echoed_at = max(peer.echoed_at, self._sent_at(heartbeat.echo))
        if heartbeat.sequence <= peer.sequence:
            self.counts["old_heartbeat"] += 1
            return
        peer.sequence = heartbeat.sequence
        peer.last_seen_at = self._clock.monotonic()
        for name, raw in heartbeat.topics.items():
            topic = self._topics.get(name) or self._peer_topics.get(name)
            if topic is not None:
                self._accept(peer.peer_id, name, topic, raw)

    def _accept(
        self,
        sender: PeerId,
        name: str,
        topic: _Topic | _PeerTopic,
        raw: msgspec.Raw,
    ) -> None:
        try:
            topic.accept(sender, topic.decoder.decode(raw))
        except Exception as exc:
            # A defect in one topic must not end the heartbeats.
            self.counts["topic_failed"] += 1
            events.TOPIC_FAILED.log(peer=sender.name, topic=name, error=repr(exc))

    def _sent_at(self, sequence: int) -> float:
        if not self._sent or sequence < self._sent[0].sequence:
            return float("-inf")
        index = sequence - self._sent[0].sequence
        return self._sent[index].at if index < len(self._sent) else float("-inf")

    def _on_reply(self, envelope: Envelope) -> None:
        pending = self._pending_requests.get(envelope.request_id)
        if pending is None or pending.reply.done():
            self.counts["late_reply"] += 1
            return
        if envelope.sender != pending.to:
            self.counts["foreign_reply"] += 1
            return
        pending.reply.set_result(msgspec.Raw(bytes(envelope.body)))

    async def _dispatch(self, envelope: Envelope) -> None:
        known = self._handlers.get(envelope.name)
        if known is None:
            self.counts["no_handler"] += 1
            return
        decoder, handler = known
        try:
            answer = await handler(envelope.sender, decoder.decode(envelope.body))
        except Exception as exc:
            # A defect in one handler must not end the link to the peer.
            self.counts["handler_failed"] += 1
            events.HANDLER_FAILED.log(
                peer=envelope.sender.name,
                message=envelope.name,
                error=repr(exc),
            )
            return
        if envelope.kind is Kind.REQUEST:
            self._send(Kind.REPLY, envelope.sender, envelope.request_id, answer)

    def _traffic_of(self, address: str) -> LinkTraffic:
        link = self._links.get(address)
        peers = [p for p in self._peers.values() if p.address == address]
        return LinkTraffic(
            link.sent_bytes if link else 0,
            link.sent_messages if link else 0,
            sum(p.received_bytes for p in peers),
            sum(p.received_messages for p in peers),
            (link.dropped if link else 0) + sum(p.dropped for p in peers),
        )
