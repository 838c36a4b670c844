"""Routes calls to plain services, with retries for idempotent routes."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple, Protocol

import aiohttp

from guavajunction.clock import Clock
from guavajunction.configuration import BackendServer, Configuration, Route
from guavajunction.connections import read_body
from guavajunction.errors import BackendFailed, NoReplica, OutcomeUnknown

from . import _events as events
from ._decision_log import DecisionLog
from ._engine_call import REQUEST_ID_HEADER
from ._model import ReplicaState
from ._retry_budget import RetryBudget


class ServiceRequest(NamedTuple):
    """A call to a plain service, without the caller's credentials."""

    request_id: str
    method: str
    path: str
    """Path and query relative to the service."""
    headers: dict[str, str]
    body: bytes


class ServiceAnswer(NamedTuple):
    """A complete answer of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class ServiceReplicas(Protocol):
    """Access to the state of backend servers of plain services."""

    def ready_in_pool(self, pool: str) -> Sequence[ReplicaState]:
        """Return the backend servers of a pool that may receive calls."""
        ...

    def note_failure(self, backend: str) -> None:
        """Record a failed call for passive health checks."""
        ...


class ServiceRouter:
    """Sends calls to plain services; non-idempotent calls at most once."""

    MAX_ATTEMPTS = 3
    """Maximum number of attempts of a call."""
    CONNECT_TIMEOUT_SECONDS = 1.0
    RELAYED_HEADERS = frozenset(
        {"content-type", "content-encoding", "location", "etag", "cache-control"}
    )
    """Headers of a service's answer that are relayed to the caller, lower case."""
    SKIPPED_AUTO_HEADERS = ("Accept-Encoding", "Content-Type", "User-Agent")
    """Headers that aiohttp must not add to a call on its own."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        replicas: ServiceReplicas,
        budget: RetryBudget,
        decisions: DecisionLog,
        clock: Clock,
        rng: random.Random,
        configuration: Callable[[], Configuration],
        *,
        timeout: float,
    ) -> None:
        """Create a router.

        Args:
            session: Session from `single_send_session`.
            replicas: State of the backend servers.
            budget: Retry budget.
            decisions: Log of routing decisions.
            clock: Used for the backoff before retries.
            rng: Chooses among the replicas.
            configuration: Returns the configuration in force.
            timeout: Seconds within which a service must answer.
        """
        self._session = session
        self._replicas = replicas
        self._budget = budget
        self._decisions = decisions
        self._clock = clock
        self._rng = rng
        self._configuration = configuration
        self._timeout = timeout

    async def call(
        self, route: Route, req: ServiceRequest, check_allowed: Callable[[], None]
    ) -> ServiceAnswer:
        """Send a call and return the answer.

        A call that may have reached a server is retried only on idempotent routes.

        Args:
            route: The route that the call matched.
            req: The call.
            check_allowed: Called before each attempt until the call may have reached
                a server. Raises a `RequestError` if the call may no longer run.

        Returns:
            The service's answer, whatever its status.

        Raises:
            NoReplica: No backend server could be reached; the call was not run.
            OutcomeUnknown: A non-idempotent call was sent and got no answer.
            BackendFailed: An idempotent call was sent and got no answer.
        """
        self._budget.deposit()
        tried: set[str] = set()
        sent = False
        for _ in range(self.MAX_ATTEMPTS):
            backend = self._choose(route, req, tried)
            if backend is None:
                break
            tried.add(backend.name)
            if not sent:
                check_allowed()
            try:
                return await self._send(backend, req)
            except aiohttp.ClientConnectorError:
                self._record_retry(req, backend, "not connected")
            except (aiohttp.ClientError, TimeoutError) as exc:
                sent = True
                self._replicas.note_failure(backend.name)
                if not route.idempotent:
                    raise self._outcome_unknown(route, exc) from exc
                self._record_retry(req, backend, type(exc).__name__)
            if not self._budget.try_withdraw():
                break
            await self._clock.sleep(self._budget.backoff())
        raise self._final_error(route, sent)

    def _choose(
        self, route: Route, req: ServiceRequest, tried: set[str]
    ) -> BackendServer | None:
        cfg = self._configuration()
        pool = cfg.services[route.service].pool
        names = {state.name for state in self._replicas.ready_in_pool(pool)} - tried
        if not names:
            return None
        chosen = self._rng.choice(sorted(names))
        self._decisions.note(
            events.ROUTED,
            req.request_id,
            service=route.service,
            backend=chosen,
            reason="random",
            candidates=sorted(names),
        )
        return cfg.backends[chosen]

    async def _send(self, backend: BackendServer, req: ServiceRequest) -> ServiceAnswer:
        headers = req.headers | {REQUEST_ID_HEADER: req.request_id}
        timeout = aiohttp.ClientTimeout(
            total=self._timeout, sock_connect=self.CONNECT_TIMEOUT_SECONDS
        )
        async with self._session.request(
            req.method,
            f"http://{backend.address}{req.path}",
            data=req.body or None,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
            skip_auto_headers=self.SKIPPED_AUTO_HEADERS,
        ) as resp:
            body = await read_body(resp, id_header=REQUEST_ID_HEADER)
            echoed = resp.headers.get(REQUEST_ID_HEADER)
            if echoed not in (None, req.request_id):
                self._decisions.note(
                    events.FOREIGN_EVENT, req.request_id, backend=backend.name
                )
                raise aiohttp.ClientPayloadError("the answer is to another request")
            return ServiceAnswer(resp.status, self._relayed_headers(resp), body)

    def _relayed_headers(self, resp: aiohttp.ClientResponse) -> dict[str, str]:
        return {
            str(name): value
            for name, value in resp.headers.items()
            if name.lower() in self.RELAYED_HEADERS
        }

    def _record_retry(
        self, req: ServiceRequest, backend: BackendServer, reason: str
    ) -> None:
        self._replicas.note_failure(backend.name)
        self._decisions.note(
            events.RETRIED, req.request_id, backend=backend.name, reason=reason
        )

    def _outcome_unknown(self, route: Route, exc: Exception) -> OutcomeUnknown:
        return OutcomeUnknown(
            f"the call of {route.service!r} was sent and not answered"
            f" ({type(exc).__name__}); it is not sent again"
        )

    def _final_error(self, route: Route, sent: bool) -> BackendFailed | NoReplica:
        if sent:
            return BackendFailed(
                f"no backend server of {route.service!r} answered", retry_after=1.0
            )
        return NoReplica(
            f"no backend server of {route.service!r} can be reached", retry_after=1.0
        )
