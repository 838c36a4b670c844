"""Links between several in-process nodes, with cuts, delays and drops."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
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
    """Joins `FakeLinks`; every message is encoded and decoded on its way.

    Messages are delivered by the event loop soon after they were told: call
    `settle()` to wait until all have been handled. Heartbeats leave on `beat()`.
    """

    def __init__(self, clock: Clock | None = None) -> None:
        self.clock: Clock = clock or SystemClock()
        """Source of the times at which beats are sent."""
        self.nodes: dict[PeerId, FakeLinks] = {}
        self.cuts: set[tuple[PeerId, PeerId]] = set()
        """Directions, sender and receiver, in which nothing gets through."""
        self.drop: Callable[[PeerId, PeerId, Any], bool] = lambda *_: False
        """Called with sender, receiver and message; True loses the message."""
        self.held: list[Callable[[], None]] | None = None
        """Deliveries that wait for `release`, or None while none are held."""
        self._tasks: set[asyncio.Task[Any]] = set()

    def join(self, name: str, incarnation: str | None = None) -> FakeLinks:
        """Add a node and return its links."""
        links = FakeLinks(self, PeerId(name, incarnation or f"{name}-1"))
        self.nodes[links.me] = links
        return links

    def leave(self, peer: PeerId) -> None:
        """Remove a node as its process dies."""
        self.nodes.pop(peer, None)

    def cut(self, a: PeerId, b: PeerId, *, both: bool = True) -> None:
        """Lose everything from `a` to `b`, and back unless `both` is False."""
        self.cuts.add((a, b))
        if both:
            self.cuts.add((b, a))

    def isolate(self, peer: PeerId) -> None:
        """Cut a node from all others."""
        for other in self.nodes:
            if other != peer:
                self.cut(peer, other)

    def heal(self) -> None:
        """Remove every cut."""
        self.cuts.clear()

    def reaches(self, sender: PeerId, receiver: PeerId) -> bool:
        """Return whether a message would get through now."""
        joined = sender in self.nodes and receiver in self.nodes
        return joined and (sender, receiver) not in self.cuts

    def hold(self) -> None:
        """Keep messages on their way until `release`."""
        self.held = []

    def release(self, *, reverse: bool = False) -> None:
        """Deliver the held messages, in reverse order if asked to."""
        held, self.held = self.held or [], None
        for deliver in reversed(held) if reverse else held:
            deliver()

    def beat(self) -> None:
        """Send one heartbeat from every node to every node that it reaches."""
        for links in list(self.nodes.values()):
            links.beat()

    async def settle(self) -> None:
        """Wait until every message on its way has been handled."""
        while self._tasks:
            await asyncio.gather(*self._tasks, return_exceptions=True)

    def deliver(self, sender: PeerId, receiver: PeerId, message: Any) -> None:
        """Put a message on its way."""
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
        """Run a delivery that `settle` waits for."""
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
    """The links of one node of a `FakeNetwork`; also serves as its mesh."""

    def __init__(self, network: FakeNetwork, me: PeerId) -> None:
        self._network = network
        self._me = me
        self.handlers: dict[type[Any], Handler[Any]] = {}
        self.topics: dict[str, _Topic] = {}
        self.sent: list[tuple[PeerId, Any]] = []
        """Every message that this node sent, with its receiver."""
        self.targets: list[InstanceRecord] = []
        self._arrived: dict[PeerId, float] = {}
        self._echoes: dict[PeerId, float] = {}

    @property
    def me(self) -> PeerId:
        """Identity of the node."""
        return self._me

    def peers(self) -> list[PeerId]:
        """Return the nodes that reach this one."""
        reaches = self._network.reaches
        return sorted(
            p for p in self._network.nodes if p != self._me and reaches(p, self._me)
        )

    def heard(self, within: float) -> set[PeerId]:
        """Return the nodes that reach this one, whatever the bound."""
        return set(self.peers())

    def echoed_at(self, peer: PeerId) -> float | None:
        """Return when the beat left that the peer's latest beat confirms."""
        return self._echoes.get(peer)

    async def ready(self) -> None:
        """Return at once; nothing listens."""

    def mutual(self, within: float) -> set[PeerId]:
        """Return the nodes that reach this one and are reached by it."""
        return {p for p in self.peers() if self._network.reaches(self._me, p)}

    def set_targets(self, records: list[InstanceRecord]) -> None:
        """Note the instances to link to; the network joins all anyway."""
        self.targets = records

    def handle(self, message_type: type[Any], handler: Handler[Any]) -> None:
        """Register the handler for a message type."""
        self.handlers[message_type] = handler

    def send(self, to: PeerId, message: Any) -> None:
        """Send a message that may be lost."""
        self.sent.append((to, message))
        self._network.deliver(self._me, to, message)

    def broadcast(self, message: Any) -> None:
        """Send a message to every peer."""
        for peer in self.peers():
            self.send(peer, message)

    async def request(
        self, to: PeerId, message: Any, reply_type: type[Any], *, timeout: float
    ) -> Any:
        """Send a message and return the handler's answer."""
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
        """Add a value to every heartbeat."""
        self.topics[topic] = _Topic(provide, accept, value_type)

    def beat(self) -> None:
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
        """Note when the latest beat that came was sent."""
        self._arrived[sender] = sent_at

    def on_echo(self, sender: PeerId, sent_at: float) -> None:
        """Note which beat of this node the sender has heard."""
        self._echoes[sender] = sent_at

    def accept(self, sender: PeerId, topic: str, body: bytes) -> None:
        """Take one value of a heartbeat that came."""
        known = self.topics.get(topic)
        if known is not None:
            value = msgspec.msgpack.decode(body, type=known.value_type)
            known.accept(sender, value)
