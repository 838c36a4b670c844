"""Learns the speed of a backend server from one answer."""

from __future__ import annotations

from ._answer_progress import AnswerProgress
from ._backend import BackendRecord
from ._load_view import Load
from ._request import GatewayRequest
from ._server_speeds import ServerSpeeds


class AnswerSpeed:
    """Passes the times of a successful answer to `ServerSpeeds`."""

    MIN_EVENTS = 4
    """Events from which on a stream is under way; an error that comes at once with a
    status of 200 has an event or two."""
    MAX_BLOCKED_SHARE = 0.1
    """Part of an answer's time for which its caller may not take it, so that the time
    counts as the backend server's."""

    def __init__(
        self,
        speeds: ServerSpeeds,
        req: GatewayRequest,
        backend: BackendRecord,
        load: Load,
        sent_at: float,
    ) -> None:
        """Prepare for the answer to a request.

        Args:
            speeds: What learns the times.
            req: The request.
            backend: Where it was sent.
            load: Load of the backend server when it was sent, without the request.
            sent_at: Monotonic time of the sending.
        """
        self._speeds = speeds
        self._req = req
        self._backend = backend
        self._load = load
        self._sent_at = sent_at
        self._is_under_way = False

    def on_progress(self, progress: AnswerProgress) -> None:
        """Note the first event once the stream is under way."""
        if self._is_under_way or progress.events < self.MIN_EVENTS:
            return
        self._is_under_way = True
        size, first_at = self._req.size, progress.first_event_at
        if size is not None and first_at is not None:
            self._speeds.note_first_event(
                self._backend, size.prompt_tokens, self._load, first_at - self._sent_at
            )

    def on_complete(self, progress: AnswerProgress, now: float) -> None:
        """Note the output of a stream that was under way and has ended."""
        seconds = now - self._sent_at
        is_blocked = progress.blocked_seconds > self.MAX_BLOCKED_SHARE * seconds
        if self._req.size is None or not self._is_under_way or is_blocked:
            return
        self._speeds.note_complete(
            self._backend,
            progress.events,
            self._load,
            seconds,
            output_seconds=progress.event_seconds,
            is_whole_run=self._req.resume_after is None,
        )
