"""Shares the limits of backend servers, and the sends that they allow, with peers."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from guavajunction.clock import Clock
from guavajunction.fleet import Relay, Roster
from guavajunction.intake import (
    ColdEntry,
    LimitStatement,
    PermitDesk,
    RampCounts,
    ServerIntake,
)
from guavajunction.peers import Links, PeerId
from guavajunction.quarantine import BackendId

from ._desk_routes import DeskRoutes, ask_desk


class PermitWanted(NamedTuple):
    """Asks for one send to a limited backend server."""

    backend: BackendId
    statement: LimitStatement
    """The limit, as the asker knows it."""
    forwarded: bool = False
    """Whether the receiver hands out the sends, in the view of a hub."""


class ColdPermitWanted(NamedTuple):
    """Asks for one send to a cold backend server.

    It is a message of its own, as instances of an earlier version would not decode
    `PermitWanted` with another field.
    """

    backend: BackendId
    statement: LimitStatement
    cold_rate: float
    """The rate while it is cold, as the asker knows it."""
    forwarded: bool = False
    """Whether the receiver hands out the sends, in the view of a hub."""


class PermitAnswer(NamedTuple):
    """Answers `PermitWanted` and `ColdPermitWanted`."""

    wait: float | None
    """0 if a request may be sent, else seconds until the next send; None if unknown."""


class StatedLimit(NamedTuple):
    """A statement of one backend server, in a heartbeat."""

    backend: BackendId
    statement: LimitStatement


class StatedCold(NamedTuple):
    """What an entry says of a cold backend server, in a heartbeat."""

    backend: BackendId
    entry: ColdEntry


class StatedRamp(NamedTuple):
    """Answers of a backend server that ramps up, in a heartbeat."""

    backend: BackendId
    counts: RampCounts


class LimitLinks:
    """Asks for sends, hands them out, and exchanges statements."""

    ANSWER_SECONDS = 0.15
    """Timeout of a question to one instance."""
    FORWARDED_ANSWER_SECONDS = 0.4
    """Timeout of a question that a hub may forward."""
    HEAR_SECONDS = 0.6
    """Time after the start in which this instance hands out no sends: until the first
    heartbeats arrive it takes itself for the only instance."""

    def __init__(
        self,
        me: PeerId,
        links: Links,
        relay: Relay,
        roster: Roster,
        limits: ServerIntake,
        clock: Clock,
    ) -> None:
        self._me = me
        self._links = links
        self._roster = roster
        self._routes = DeskRoutes(me, relay, roster)
        self._limits = limits
        self._clock = clock
        self._created_at = clock.monotonic()
        self._desk = PermitDesk()
        self._tasks: set[asyncio.Task[None]] = set()
        limits.ask = self._ask
        links.handle(PermitWanted, self._on_wanted)
        links.handle(ColdPermitWanted, self._on_wanted)

    def statements(self) -> list[StatedLimit]:
        """Return all known statements, to send them with a heartbeat."""
        return [StatedLimit(*item) for item in self._limits.book.all().items()]

    def on_statements(self, _: PeerId, stated: list[StatedLimit]) -> None:
        """Apply the statements that a peer knows."""
        if stated:
            self._limits.book.merge(dict(stated))

    def cold_entries(self) -> list[StatedCold]:
        """Return the entries of cold backend servers, to send them with a heartbeat."""
        return [StatedCold(*item) for item in self._limits.cold.entries().items()]

    def on_cold_entries(self, _: PeerId, stated: list[StatedCold]) -> None:
        """Apply the entries that a peer has seen, as it may see the store sooner."""
        if stated:
            self._limits.cold.note_peer(dict(stated))

    def own_ramps(self) -> list[StatedRamp]:
        """Return this instance's counts of answers, to send them with a heartbeat."""
        return [StatedRamp(*item) for item in self._limits.paces.own().items()]

    def on_peer_ramps(self, peer: PeerId, stated: list[StatedRamp]) -> None:
        """Apply the counts of a peer."""
        if stated:
            self._limits.paces.update_peer(peer, dict(stated))

    def hub_ramps(self, peer: PeerId) -> list[StatedRamp]:
        """Return the counts of all instances but one, to send them to that one."""
        totals = self._limits.paces.total_without(peer)
        return [StatedRamp(*item) for item in totals.items()]

    def on_hub_ramps(self, _: PeerId, stated: list[StatedRamp]) -> None:
        """Apply the sums that a hub sends."""
        self._limits.paces.update_hub(dict(stated))

    def _ask(self, backend: BackendId) -> None:
        if self._routes.next_peer(backend) == self._me:
            self._limits.on_answer(backend, self._take(self._question(backend)))
            return
        task = asyncio.ensure_future(self._ask_remote(backend))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _ask_remote(self, backend: BackendId) -> None:
        answer = await self._pass_on(self._question(backend))
        self._limits.on_answer(backend, answer.wait)

    def _question(self, backend: BackendId) -> PermitWanted | ColdPermitWanted:
        statement = self._limits.book.of(backend)
        cold_rate = self._limits.cold.rate(backend)
        if cold_rate is None:
            return PermitWanted(backend, statement)
        return ColdPermitWanted(backend, statement, cold_rate)

    async def _pass_on(self, wanted: PermitWanted | ColdPermitWanted) -> PermitAnswer:
        """Return the answer of this instance's hub, or of the holder."""
        peer = self._routes.next_peer(wanted.backend)
        if peer is None:
            return PermitAnswer(None)
        if peer == self._me:
            return PermitAnswer(self._take(wanted))
        if self._routes.follows:
            return await self._request(peer, wanted, self.FORWARDED_ANSWER_SECONDS)
        wanted = wanted._replace(forwarded=True)
        return await self._request(peer, wanted, self.ANSWER_SECONDS)

    async def _request(
        self,
        peer: PeerId,
        wanted: PermitWanted | ColdPermitWanted,
        timeout: float,
    ) -> PermitAnswer:
        unanswered = PermitAnswer(None)
        return await ask_desk(
            self._links, peer, wanted.backend, wanted, unanswered, timeout=timeout
        )

    async def _on_wanted(
        self, _: PeerId, wanted: PermitWanted | ColdPermitWanted
    ) -> PermitAnswer:
        self._limits.book.merge({wanted.backend: wanted.statement})
        if wanted.forwarded:
            return PermitAnswer(self._take(wanted))
        return await self._pass_on(wanted)

    def _take(self, wanted: PermitWanted | ColdPermitWanted) -> float:
        """Take a send from the part of the limit that this side of a cut may use."""
        cold_rate = None
        if isinstance(wanted, ColdPermitWanted):
            cold_rate = wanted.cold_rate
        backend, now = wanted.backend, self._clock.monotonic()
        turn = self._limits.turn(backend, cold_rate)
        if turn is None:
            return 0.0
        deaf_seconds = self._created_at + self.HEAR_SECONDS - now
        if deaf_seconds > 0:
            return deaf_seconds
        share = self._roster.live_fraction
        return self._desk.take(
            backend, turn.rate * share, now, first_share=turn.first_share
        )
