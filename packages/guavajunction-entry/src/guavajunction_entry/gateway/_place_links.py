"""Shares which backend servers are brittle, and their places, with peers."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from typing import NamedTuple

from guavajunction.brittle import BrittlePlaces, PlaceDesk, PlaceKey, PlaceQuestion
from guavajunction.clock import Clock
from guavajunction.fleet import Relay, Roster
from guavajunction.intake import LimitStatement
from guavajunction.peers import Links, PeerId
from guavajunction.quarantine import BackendId

from ._desk_routes import DeskRoutes, ask_desk
from ._limit_links import StatedLimit


class PlaceWanted(NamedTuple):
    """Asks for a place at a brittle backend server."""

    question: PlaceQuestion
    number: int
    """Number of the question, unique for the instance that asks."""
    statement: LimitStatement
    """What the asker knows of the backend server."""
    origin: PeerId | None = None
    """The instance that asks, if a hub passes its question on."""


class PlaceAnswer(NamedTuple):
    """Answers `PlaceWanted`."""

    granted: bool | None
    """Whether there is a place; None if unknown."""


class PlaceFreed(NamedTuple):
    """Gives a place back."""

    backend: BackendId
    number: int
    rejected: bool
    """Whether the backend server had no room for the request."""
    origin: PeerId | None = None
    """The instance that had the place, if a hub passes the message on."""


class PlaceLinks:
    """Asks for places, hands them out, and exchanges statements.

    Instances of builds without places do not send the topic of statements. They are
    not chosen to hand places out.
    """

    PATIENCE_SECONDS = 0.5
    """Time for which a question is kept until a place is free."""
    ANSWER_SECONDS = 0.75
    """Timeout of a question to the instance that hands out places."""
    FORWARDED_ANSWER_SECONDS = 1.0
    """Timeout of a question that a hub may forward."""
    GIVE_BACK_SECONDS = 0.25
    """Pause until a place is given back once more, while there is no hub."""
    MAX_GIVE_BACKS = 8
    """Number of times that a place is given back without a hub. After that its time is
    over."""
    ADVANCE_SECONDS = 0.05
    """Interval at which places are handed out that time has freed."""
    HEAR_SECONDS = 0.6
    """Time after the start in which the first heartbeats of the others arrive. Until
    then each instance would take itself for the one that hands out places."""
    ABLE_SECONDS = 5.0
    """Time after its last statements for which a peer is taken to hand out places."""

    def __init__(
        self,
        me: PeerId,
        links: Links,
        relay: Relay,
        roster: Roster,
        places: BrittlePlaces,
        clock: Clock,
    ) -> None:
        self._me = me
        self._links = links
        self._roster = roster
        self._routes = DeskRoutes(me, relay, roster, self._is_able)
        self._places = places
        self._clock = clock
        self._desk = PlaceDesk()
        self._desk.opens_at = clock.monotonic() + self.HEAR_SECONDS
        self._able_until: dict[str, float] = {}
        self._waiting: dict[PlaceKey, asyncio.Future[None]] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._timer: asyncio.TimerHandle | None = None
        places.ask = self._ask
        places.give_back = self._give_back
        links.handle(PlaceWanted, self._on_wanted)
        links.handle(PlaceFreed, self._on_freed)

    def statements(self) -> list[StatedLimit]:
        """Return all known statements, to send them with a heartbeat."""
        return [StatedLimit(*item) for item in self._places.book.all().items()]

    def on_statements(self, peer: PeerId, stated: list[StatedLimit]) -> None:
        """Apply the statements that a peer knows."""
        self._able_until[peer.name] = self._clock.monotonic() + self.ABLE_SECONDS
        if stated:
            self._places.book.merge(dict(stated))

    def answers_for(self, name: str) -> bool:
        """Return whether this instance writes the rows that have a name."""
        return self._routes.answers_for(name)

    def _is_able(self, peer: PeerId) -> bool:
        return self._able_until.get(peer.name, 0.0) > self._clock.monotonic()

    def _ask(self, number: int, question: PlaceQuestion) -> None:
        if self._routes.next_peer(question.backend) == self._me:
            key = PlaceKey(self._me, number)
            if self._ask_desk(key, question):
                self._places.on_answer(question.backend, number, True)
                return
            self._desk.withdraw(question.backend, key)
        task = asyncio.ensure_future(self._ask_remote(number, question))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_remote(self, number: int, question: PlaceQuestion) -> None:
        statement = self._places.book.of(question.backend)
        answer = await self._pass_on(PlaceWanted(question, number, statement), self._me)
        self._places.on_answer(question.backend, number, answer.granted)

    async def _pass_on(self, wanted: PlaceWanted, asker: PeerId) -> PlaceAnswer:
        """Return the answer of this instance's desk, its hub, or the holder."""
        peer = self._routes.next_peer(wanted.question.backend)
        if peer is None:
            return PlaceAnswer(None)
        if peer == self._me:
            key = PlaceKey(asker, wanted.number)
            return PlaceAnswer(await self._wait_at_desk(key, wanted.question))
        if self._routes.follows:
            return await self._request(peer, wanted, self.FORWARDED_ANSWER_SECONDS)
        wanted = wanted._replace(origin=asker)
        return await self._request(peer, wanted, self.ANSWER_SECONDS)

    async def _request(
        self, peer: PeerId, wanted: PlaceWanted, timeout: float
    ) -> PlaceAnswer:
        backend, unanswered = wanted.question.backend, PlaceAnswer(None)
        return await ask_desk(
            self._links, peer, backend, wanted, unanswered, timeout=timeout
        )

    async def _on_wanted(self, sender: PeerId, wanted: PlaceWanted) -> PlaceAnswer:
        self._places.book.merge({wanted.question.backend: wanted.statement})
        if wanted.origin is None:
            return await self._pass_on(wanted, sender)
        key = PlaceKey(wanted.origin, wanted.number)
        return PlaceAnswer(await self._wait_at_desk(key, wanted.question))

    def _ask_desk(self, key: PlaceKey, question: PlaceQuestion) -> bool:
        """Return whether a question gets a place at once."""
        self._desk.share = self._roster.live_fraction
        granted = self._desk.ask(key, question, self._clock.monotonic())
        self._resolve(other for other in granted if other != key)
        return key in granted

    async def _wait_at_desk(self, key: PlaceKey, question: PlaceQuestion) -> bool:
        """Wait until a place is free, and return whether there was one."""
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[key] = fut
        try:
            if not self._ask_desk(key, question):
                self._advance_later()
                await asyncio.wait_for(fut, self.PATIENCE_SECONDS)
        except TimeoutError:
            return False
        finally:
            self._waiting.pop(key, None)
            self._desk.withdraw(question.backend, key)
        return True

    def _resolve(self, granted: Iterable[PlaceKey]) -> None:
        """Answer the questions that got a place."""
        for key in granted:
            fut = self._waiting.get(key)
            if fut is not None and not fut.done():
                fut.set_result(None)

    def _advance_later(self) -> None:
        if self._timer is None and self._desk.is_waiting:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(self.ADVANCE_SECONDS, self._advance)

    def _advance(self) -> None:
        self._timer = None
        now = self._clock.monotonic()
        self._desk.share = self._roster.live_fraction
        self._desk.keep_only({*self._roster.peers(), self._me}, now)
        self._resolve(self._desk.advance(now))
        self._advance_later()

    def _give_back(
        self, backend: BackendId, number: int, rejected: bool, delay: float
    ) -> None:
        freed = PlaceFreed(backend, number, rejected)
        if delay:
            loop = asyncio.get_running_loop()
            loop.call_later(delay, self._free, freed, self._me)
        else:
            self._free(freed, self._me)

    async def _on_freed(self, sender: PeerId, freed: PlaceFreed) -> None:
        if freed.origin is None:
            self._free(freed, sender)
        else:
            self._free_at_desk(freed, freed.origin)

    def _free(self, freed: PlaceFreed, holder: PeerId, attempt: int = 1) -> None:
        peer = self._routes.next_peer(freed.backend)
        if peer == self._me:
            self._free_at_desk(freed, holder)
        elif peer is not None:
            origin = None if self._routes.follows else holder
            self._links.send(peer, freed._replace(origin=origin))
        elif attempt < self.MAX_GIVE_BACKS:
            loop = asyncio.get_running_loop()
            loop.call_later(
                self.GIVE_BACK_SECONDS, self._free, freed, holder, attempt + 1
            )

    def _free_at_desk(self, freed: PlaceFreed, holder: PeerId) -> None:
        granted = self._desk.free(
            freed.backend,
            PlaceKey(holder, freed.number),
            self._clock.monotonic(),
            rejected=freed.rejected,
        )
        self._resolve(granted)
