"""Backend servers that leave, or that want no requests for some time."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.decimals import parse_decimal
from guavajunction.quarantine import BackendId

from . import _events as events


class ServerStatements:
    """What one instance knows of the statements of backend servers.

    That a backend server leaves holds for all instances and until it restarts, so a
    late answer changes nothing. A time without requests holds for the instance that
    it was named to; a shorter one does not end a longer one.
    """

    MAX_SERVERS = 4096
    """Number of starts of backend servers whose statements are known; several times
    the number of backend servers in the largest deployment."""
    MAX_PAUSE_SECONDS = 3600.0
    """Longest time without requests that is respected."""
    MAX_LOGGED_CHARACTERS = 16

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._leaving: dict[BackendId, None] = {}
        self._paused_until: dict[BackendId, float] = {}

    def note_leaving(self, backends: Iterable[BackendId]) -> bool:
        """Record that backend servers leave.

        Returns:
            Whether this was unknown of any of them.
        """
        new = [backend for backend in backends if backend not in self._leaving]
        for backend in new:
            self._leaving[backend] = None
            events.LEAVING.log(backend=backend.name, incarnation=backend.incarnation)
        drop_oldest(self._leaving, self.MAX_SERVERS)
        return bool(new)

    def note_pause(self, backend: BackendId, text: str) -> None:
        """Record that a backend server turned a request away for some time.

        Args:
            backend: The backend server.
            text: The time in seconds, as it wrote the number.
        """
        seconds = parse_decimal(text)
        if seconds is None:
            events.UNREADABLE.log(
                backend=backend.name, time=text[: self.MAX_LOGGED_CHARACTERS]
            )
            return
        until = self._clock.monotonic() + min(seconds, self.MAX_PAUSE_SECONDS)
        if until <= self._paused_until.get(backend, 0.0):
            return
        if not self.pause_left(backend):
            events.PAUSED.log(backend=backend.name, seconds=seconds)
        self._paused_until.pop(backend, None)
        self._paused_until[backend] = until
        drop_oldest(self._paused_until, self.MAX_SERVERS)

    def is_leaving(self, backend: BackendId) -> bool:
        """Return whether a backend server leaves."""
        return backend in self._leaving

    @property
    def any_paused(self) -> bool:
        """Return whether any backend server may want a pause."""
        return bool(self._paused_until)

    @property
    def any_leaving(self) -> bool:
        """Return whether any backend server is known to leave."""
        return bool(self._leaving)

    def leaving_of(self, backends: Collection[BackendId]) -> list[BackendId]:
        """Return those backend servers that leave."""
        return [backend for backend in self._leaving if backend in backends]

    def pause_left(self, backend: BackendId) -> float:
        """Return the seconds for which a backend server wants no request, or 0."""
        until = self._paused_until.get(backend)
        if until is None:
            return 0.0
        left = until - self._clock.monotonic()
        if left <= 0:
            del self._paused_until[backend]
            return 0.0
        return left

    def may_send(self, backend: BackendId) -> bool:
        """Return whether a backend server takes requests of this instance."""
        return backend not in self._leaving and not self.pause_left(backend)
