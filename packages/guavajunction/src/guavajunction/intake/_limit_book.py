"""The limits that backend servers name, as all instances together know them."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from guavajunction.bounded import drop_oldest
from guavajunction.decimals import parse_decimal
from guavajunction.events import LogEvent
from guavajunction.quarantine import BackendId

from . import _events as events
from ._statement import NO_LIMIT, LimitStatement


class LimitBook:
    """Follows the newest statement of each backend server.

    Answers arrive out of order. A lower limit holds at once. A higher one, or none,
    holds only if the request was sent when the present limit was already known;
    otherwise the answer may be older than that limit.
    """

    MAX_BACKENDS = 4096
    """Number of backend servers whose statements are kept; several times the number in
    the largest deployment."""

    def __init__(
        self,
        changed: LogEvent = events.LIMIT_CHANGED,
        unreadable: LogEvent = events.LIMIT_UNREADABLE,
    ) -> None:
        """Create an empty book.

        Args:
            changed: Logged when the limit of a backend server has changed.
            unreadable: Logged at the first malformed limit of a backend server.
        """
        self._changed = changed
        self._unreadable_event = unreadable
        self._statements: dict[BackendId, LimitStatement] = {}
        self._unreadable: set[BackendId] = set()
        self.on_change: Callable[[BackendId], None] = lambda _: None
        """Called when the limit of a backend server has changed."""

    def of(self, backend: BackendId) -> LimitStatement:
        """Return the newest known statement of a backend server."""
        return self._statements.get(backend, NO_LIMIT)

    def rate(self, backend: BackendId) -> float | None:
        """Return a backend server's limit in requests a second; None without one."""
        return self.of(backend).rate

    def all(self) -> dict[BackendId, LimitStatement]:
        """Return all statements, to send them to peers."""
        return dict(self._statements)

    def note_answer(
        self, backend: BackendId, text: str | None, known: LimitStatement
    ) -> None:
        """Record what an answer says.

        Args:
            backend: The backend server that answered.
            text: The limit that it names; None if it names none.
            known: Statement that was known when the request was sent.
        """
        rate = None
        if text is not None:
            rate = parse_decimal(text)
            if rate is None:
                self._note_unreadable(backend, text)
                return
        current = self.of(backend)
        if rate == current.rate:
            return
        is_lower = LimitStatement(current.number, rate).is_newer_than(current)
        if is_lower or known.number >= current.number:
            self._set(backend, LimitStatement(current.number + 1, rate))

    def merge(self, statements: Mapping[BackendId, LimitStatement]) -> None:
        """Apply the statements that a peer knows."""
        for backend, statement in statements.items():
            if statement.is_newer_than(self.of(backend)):
                self._set(backend, statement)

    def keep_only(self, backends: set[BackendId]) -> None:
        """Forget the backend servers that have left or restarted."""
        for backend in self._statements.keys() - backends:
            del self._statements[backend]
            self._unreadable.discard(backend)

    def _note_unreadable(self, backend: BackendId, text: str) -> None:
        if backend not in self._unreadable:
            if len(self._unreadable) >= self.MAX_BACKENDS:
                self._unreadable.clear()
            self._unreadable.add(backend)
            self._unreadable_event.log(backend=backend.name, limit=text[:16])

    def _set(self, backend: BackendId, statement: LimitStatement) -> None:
        before = self._statements.pop(backend, NO_LIMIT)
        self._statements[backend] = statement
        drop_oldest(self._statements, self.MAX_BACKENDS)
        if statement.rate != before.rate:
            self._changed.log(
                backend=backend.name,
                incarnation=backend.incarnation,
                limit=statement.rate,
                before=before.rate,
                number=statement.number,
            )
        self.on_change(backend)
