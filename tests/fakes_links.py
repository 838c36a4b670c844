"""In-process links between several nodes, with network cuts, delays and drops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

import msgspec

from guavajunction.clock import Clock, SystemClock
from guavajunction.errors import PeerTimeout, PeerUnknown
from guavajunction.peers import Handler, PeerId
from guavajunction.storage import InstanceRecord


class _Topic(NamedTuple):
    provide: Callable[[], Any]
    accept: Callable[[PeerId, Any], None]
    value_type: type[Any]


class FakeNetwork:
    """Connects `FakeLinks`; every message is encoded and decoded in transit.

    Messages are delivered by the event loop soon after they were sent; `settle()`
    waits until all have been handled. Heartbeats are sent only by `send_heartbeats()`.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock: Clock = clock or SystemClock()
        """Source of the send times of heartbeats."""
        self.nodes: dict[PeerId, FakeLinks] = {}
        self.cuts: set[tuple[PeerId, PeerId]] = set()
        """Pairs of sender and receiver between which every message is lost."""
        self.drop: Callable[[PeerId, PeerId, Any], bool] = lambda *_: False
        """Called with sender, receiver and message; returns whether to lose it."""
        self.held: list[Callable[[], None]] | None = None
        """Deliveries delayed until `release`, or None if messages are not held."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def join(self, name: str, incarnation: str | None = None) -> FakeLinks:
        """Add a node and return its links."""
        links = FakeLinks(self, PeerId(name, incarnation or f"{name}-1"))
        self.nodes[links.me] = links
        return links

    def leave(self, peer: PeerId) -> None:
        """Remove a node, as if its process had died."""
        self.nodes.pop(peer, None)

    def cut(self, a: PeerId, b: PeerId, *, both: bool = True) -> None:
        """Lose all messages from `a` to `b`, and also from `b` to `a` if `both`."""
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    def isolate(self, peer: PeerId) -> None:
        """Lose all messages between a node and all others."""
        for other in self.nodes:
            if other != peer:
                self.cut(peer, other)

    def heal(self) -> None:
        """Remove every cut."""
        self.cuts.clear()

    def reaches(self, sender: PeerId, receiver: PeerId) -> bool:
        """Return whether a message would currently be delivered."""
        joined = sender in self.nodes and receiver in self.nodes
        return joined and (sender, receiver) not in self.cuts

    def hold(self) -> None:
        """Delay the delivery of messages until `release`."""
        self.held = []

    def release(self, *, reverse: bool = False) -> None:
        """Deliver the held messages, in reverse order if `reverse`."""
        held, self.held = self.held or [], None
        for deliver in reversed(held) if reverse else held:
            deliver()

    def send_heartbeats(self) -> None:
        """Send one heartbeat from every node to every node that it reaches."""
        for links in list(self.nodes.values()):
            links.send_heartbeats()

    async def settle(self) -> None:
        """Wait until all messages in transit have been handled."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def deliver(self, sender: PeerId, receiver: PeerId, message: Any) -> None:
        """Start the delivery of a message, unless it is lost."""
        if not self.reaches(sender, receiver) or self.drop(sender, receiver, message):
            return
        body = msgspec.msgpack.encode(message)

        def arrive() -> None:
            self.spawn(self._arrive(sender, receiver, type(message), body))

        if self.held is None:
            arrive()
        else:
            self.held.append(arrive)

    def spawn(self, coro: Any) -> asyncio.Task[Any]:
        """Start a task that `settle` waits for."""
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _arrive(
        self, sender: PeerId, receiver: PeerId, message_type: type[Any], body: bytes
    ) -> Any:
        links = self.nodes.get(receiver)
        handler = links.handlers.get(message_type) if links else None
        if handler is None:
            return None
        return await handler(sender, msgspec.msgpack.decode(body, type=message_type))


class FakeLinks:
    """The links of one node of a `FakeNetwork`; also implements the mesh."""

    def __init__(self, network: FakeNetwork, me: PeerId) -> None:
        self._network = network
        self._me = me
        self.handlers: dict[type[Any], Handler[Any]] = {}
        self.topics: dict[str, _Topic] = {}
        self.sent: list[tuple[PeerId, Any]] = []
        """All messages and requests that this node sent, with their receivers."""
        self.targets: list[InstanceRecord] = []
        self._arrived: dict[PeerId, float] = {}
        self._echoes: dict[PeerId, float] = {}

    @property
    def me(self) -> PeerId:
        """Identity of this node."""
        return self._me

    def peers(self) -> list[PeerId]:
        """Return the nodes that reach this one."""
        reaches = self._network.reaches
        return sorted(
            p for p in self._network.nodes if p != self._me and reaches(p, self._me)
        )

    def peers_seen_within(self, seconds: float) -> set[PeerId]:
        """Return the nodes that reach this one, regardless of `seconds`."""
        return set(self.peers())

    def echoed_at(self, peer: PeerId) -> float | None:
        """Return when this node sent the heartbeat that the peer echoed last."""
        return self._echoes.get(peer)

    async def ready(self) -> None:
        """Return immediately, because no socket is opened."""

    def mutual(self, within: float) -> set[PeerId]:
        """Return the nodes that reach this one and are reached by it."""
        return {p for p in self.peers() if self._network.reaches(self._me, p)}

    def set_targets(self, records: list[InstanceRecord]) -> None:
        """Store the targets; the network connects all nodes regardless."""
        self.targets = records

    def handle(self, message_type: type[Any], handler: Handler[Any]) -> None:
        """Register the handler for a message type."""
        self.handlers[message_type] = handler

    def send(self, to: PeerId, message: Any) -> None:
        """Send a message that may be lost."""
        self.sent.append((to, message))
        self._network.deliver(self._me, to, message)

    def send_to_each(self, receivers: Iterable[PeerId], message: Any) -> None:
        """Send a message to several peers."""
        for peer in receivers:
            self.send(peer, message)

    def broadcast(self, message: Any) -> None:
        """Send a message to every peer."""
        self.send_to_each(self.peers(), message)

    async def request(
        self, to: PeerId, message: Any, reply_type: type[Any], *, timeout: float
    ) -> Any:
        """Send a request and return the reply of the peer's handler."""
        self.sent.append((to, message))
        network = self._network
        if to not in network.nodes:
            raise PeerUnknown(f"no link to {to.name}")
        lost = network.drop(self._me, to, message)
        if lost or not network.reaches(self._me, to):
            raise PeerTimeout(f"{to.name} did not answer")
        body = msgspec.msgpack.encode(message)
        answer = await network.spawn(network._arrive(self._me, to, type(message), body))
        if not network.reaches(to, self._me):
            raise PeerTimeout(f"{to.name} did not answer")
        return msgspec.msgpack.decode(msgspec.msgpack.encode(answer), type=reply_type)

    def add_topic(
        self,
        topic: str,
        provide: Callable[[], Any],
        accept: Callable[[PeerId, Any], None],
        value_type: type[Any],
    ) -> None:
        """Add a topic to every heartbeat."""
        self.topics[topic] = _Topic(provide, accept, value_type)

    def send_heartbeats(self) -> None:
        """Send one heartbeat to every node that this one reaches."""
        values = {name: topic.provide() for name, topic in self.topics.items()}
        for peer, links in list(self._network.nodes.items()):
            if peer == self._me or not self._network.reaches(self._me, peer):
                continue
            links.on_heartbeat(self._me, self._network.clock.monotonic())
            if peer in self._arrived:
                links.on_echo(self._me, self._arrived[peer])
            for name, value in values.items():
                links.accept(self._me, name, msgspec.msgpack.encode(value))

    def on_heartbeat(self, sender: PeerId, sent_at: float) -> None:
        """Store the send time of the latest heartbeat received."""
        self._arrived[sender] = sent_at

    def on_echo(self, sender: PeerId, sent_at: float) -> None:
        """Store the send time of the heartbeat of this node that the sender echoed."""
        self._echoes[sender] = sent_at

    def accept(self, sender: PeerId, topic: str, body: bytes) -> None:
        """Accept one topic of a received heartbeat."""
        known = self.topics.get(topic)
        if known is not None:
            value = msgspec.msgpack.decode(body, type=known.value_type)
            known.accept(sender, value)
