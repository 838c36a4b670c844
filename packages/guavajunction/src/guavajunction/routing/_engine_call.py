"""Sends a request to a model engine and relays the answer to the caller."""

from __future__ import annotations

from collections.abc import AsyncIterator
from typing import Any, NamedTuple

import aiohttp
import msgspec

from guavajunction.connections import (
    MalformedResponse,
    StrictConnector,
    WrongResponse,
    iter_body,
    read_body,
)
from guavajunction.errors import BackendFailed, GuavaError

from . import _events as events
from ._answer import AnswerSink, AnswerSummary, AnswerTimes
from ._decision_log import DecisionLog
from ._event_stream import EventSplitter, StreamEvent
from ._model import RoutedRequest

NOT_RUN_STATUSES = frozenset({404, 429, 503})
"""HTTP statuses with which an engine refuses a request before running it."""

REQUEST_ID_HEADER = "X-Request-Id"


def engine_session(*, limit: int = 0) -> aiohttp.ClientSession:
    """Open a session for `EngineCall`. The caller closes it.

    An engine need not name the request in its response, but must not name another one.

    Args:
        limit: Maximum number of connections; 0 for no limit.
    """
    connector = StrictConnector(
        limit=limit, id_header=REQUEST_ID_HEADER, id_required=False
    )
    return aiohttp.ClientSession(
        connector=connector, cookie_jar=aiohttp.DummyCookieJar()
    )


class EngineRequest(NamedTuple):
    """A request in the form in which it is sent to an engine."""

    req: RoutedRequest
    path: str
    body: bytes
    stream: bool
    """Whether the answer is a stream of server-sent events."""


class NotBegun(GuavaError):
    """The engine has certainly not started to run the request."""


class EngineRefused(NotBegun):
    """A healthy engine refused the request, for example because it is full."""


class StreamCut(GuavaError):
    """The answer was interrupted or incomplete, or belongs to another request."""


class ConnectionLost(StreamCut):
    """The engine closed the connection, as one that crashes does."""


class EngineCall:
    """One request, sent to engines over one or more connections.

    The stream offset is kept between connections: after an interruption the next
    connection resumes after the last event that was relayed to the caller.
    """

    READ_TIMEOUT_SECONDS = 20.0
    """Read timeout; an answer without data for this time counts as interrupted."""
    CONNECT_TIMEOUT_SECONDS = 1.0

    def __init__(
        self,
        session: aiohttp.ClientSession,
        engine_req: EngineRequest,
        sink: AnswerSink,
        times: AnswerTimes,
        decisions: DecisionLog,
    ) -> None:
        self._session = session
        self._engine_req = engine_req
        self._sink = sink
        self._times = times
        self._decisions = decisions
        self._request_id = engine_req.req.request_id.encode()
        self._last_event = -1
        self._usage: dict[str, Any] = {}
        self._last_data = b""
        self._follows_foreign = False
        """Whether the latest event with data belongs to another request."""

    @property
    def has_begun(self) -> bool:
        """Return whether a part of the answer was sent to the caller."""
        return self._sink.started

    @property
    def output_tokens(self) -> float:
        """Return the number of relayed tokens; each event is one token."""
        return float(self._last_event + 1)

    async def run(self, backend: str, address: str) -> AnswerSummary:
        """Send the request to an engine and relay the answer.

        Args:
            backend: The engine's name.
            address: The engine's `host:port`.

        Returns:
            A summary of the whole answer.

        Raises:
            NotBegun: The request was not run; another engine may be tried.
            StreamCut: The answer could not be completed; `run` may be called again.
            BackendFailed: The engine refused the request with a permanent error.
            ConnectionError: The caller has disconnected.
        """
        try:
            async with self._post(address) as resp:
                await self._check_status(resp)
                if self._engine_req.stream:
                    return await self._relay_stream(resp, backend)
                return await self._relay_whole(resp, backend)
        except aiohttp.ClientConnectorError as exc:
            raise NotBegun(f"cannot connect to {backend}: {exc.os_error}") from exc
        except WrongResponse as exc:
            self._record_foreign_event(backend)
            raise StreamCut(f"{backend} answered another request") from exc
        except MalformedResponse as exc:
            raise StreamCut(f"{backend}: {exc}") from exc
        except TimeoutError as exc:
            raise StreamCut(f"{backend}: {type(exc).__name__}") from exc
        except aiohttp.ClientError as exc:
            raise ConnectionLost(f"{backend}: {type(exc).__name__}") from exc

    def _post(self, address: str) -> Any:
        headers = {
            REQUEST_ID_HEADER: self._engine_req.req.request_id,
            "X-Priority": str(self._engine_req.req.rank),
            "Content-Type": "application/json",
        }
        if self._last_event >= 0:
            headers["Last-Event-ID"] = str(self._last_event)
        timeout = aiohttp.ClientTimeout(
            total=None,
            sock_connect=self.CONNECT_TIMEOUT_SECONDS,
            sock_read=self.READ_TIMEOUT_SECONDS,
        )
        return self._session.post(
            f"http://{address}{self._engine_req.path}",
            data=self._engine_req.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        )

    async def _check_status(self, resp: aiohttp.ClientResponse) -> None:
        if resp.status == 200:
            return
        await read_body(resp)
        if resp.status in NOT_RUN_STATUSES:
            raise EngineRefused(f"the engine answered {resp.status}")
        raise BackendFailed(
            f"the engine refused the request with status {resp.status}",
            not_run="true" if resp.status < 500 else "unknown",
        )

    async def _relay_whole(
        self, resp: aiohttp.ClientResponse, backend: str
    ) -> AnswerSummary:
        body = await read_body(resp, id_header=REQUEST_ID_HEADER)
        if self._request_id not in body:
            self._record_foreign_event(backend)
            raise StreamCut(f"{backend} answered another request")
        if not self._read_usage(body):
            raise StreamCut(f"{backend} sent an answer that is no complete JSON object")
        self._times.on_tokens(1)
        await self._sink.start(resp.status, "application/json")
        await self._sink.write(body)
        return self._summary(backend)

    async def _relay_stream(
        self, resp: aiohttp.ClientResponse, backend: str
    ) -> AnswerSummary:
        self._follows_foreign = False
        async for batch in self._batches(resp):
            own = [event for event in batch if self._is_for_request(event, backend)]
            new_events = [event for event in own if self._accept_if_next(event)]
            if new_events:
                self._times.on_tokens(len(new_events))
            if new_events and not self._sink.started:
                await self._sink.start(200, "text/event-stream")
            if new_events:
                await self._sink.write(b"".join(event.raw for event in new_events))
            if new_events and new_events[-1].is_end:
                self._read_usage(self._last_data)
                return self._summary(backend)
            if any(event.number > self._last_event for event in own):
                raise StreamCut(f"{backend} left out events of the stream")
        raise StreamCut(f"{backend} ended the stream without its end mark")

    async def _batches(
        self, resp: aiohttp.ClientResponse
    ) -> AsyncIterator[list[StreamEvent]]:
        splitter = EventSplitter()
        async for chunk in iter_body(resp, REQUEST_ID_HEADER):
            batch = splitter.feed(chunk)
            if splitter.is_oversize:
                raise StreamCut("an event is longer than is accepted")
            if batch:
                yield batch

    def _is_for_request(self, event: StreamEvent, backend: str) -> bool:
        """Return whether an event belongs to this request; log it otherwise.

        An end mark names no request. It ends the stream of the event before it.
        """
        if event.is_end:
            is_own = not self._follows_foreign
        else:
            is_own = self._request_id in event.data
            # Comments have no data and may be between any two events.
            if event.data or event.is_joined:
                self._follows_foreign = not is_own
        if not is_own:
            self._record_foreign_event(backend)
        return is_own

    def _accept_if_next(self, event: StreamEvent) -> bool:
        """Accept an event if it is the next of the stream; return whether it was."""
        if event.number != self._last_event + 1:
            return False
        self._last_event = event.number
        if not event.is_end:
            self._last_data = event.data
        return True

    def _record_foreign_event(self, backend: str) -> None:
        self._decisions.note(
            events.FOREIGN_EVENT, self._engine_req.req.request_id, backend=backend
        )

    def _read_usage(self, data: bytes) -> bool:
        """Read the token counts of an answer; return whether it is a JSON object."""
        try:
            answer = msgspec.json.decode(data)
        except msgspec.DecodeError:
            return False
        if not isinstance(answer, dict):
            return False
        usage = answer.get("usage")
        self._usage = usage if isinstance(usage, dict) else {}
        return True

    def _summary(self, backend: str) -> AnswerSummary:
        return AnswerSummary(
            backend,
            float(self._usage.get("completion_tokens", self._last_event + 1)),
            self._usage.get("prompt_tokens"),
        )
