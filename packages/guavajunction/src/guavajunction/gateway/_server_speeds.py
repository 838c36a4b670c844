"""Estimates at run time how fast services and their backend servers are.

Designed for up to 600 backend servers and some 100 answers a second on half a core. The
state has a bound for each service and server. Without evidence, all figures equal the
fixed ones.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from guavajunction.bounded import drop_oldest
from guavajunction.clock import Clock
from guavajunction.quarantine import BackendId

from . import _events as events
from ._admission import TokenTimes
from ._backend import BackendRecord
from ._backend_selection import beyond_slots
from ._load_view import Load
from ._service_speed import ServiceSpeed
from ._speed_factors import SpeedFactors


class _Logged(NamedTuple):
    figures: tuple[float, ...]
    at: float


class ServerSpeeds:
    """One estimate for each service, and a factor for each of its backend servers.

    Only answers of generations that arrive whole may be noted: an error that comes at
    once says nothing about the speed.

    >>> from guavajunction.clock import ManualClock
    >>> ServerSpeeds(ManualClock()).run_seconds("engines")
    1.5
    """

    MIN_OUTPUT_EVENTS = 4
    """Least events of an answer from which the time between them is learned."""
    LOGGED_CHANGE = 1.25
    """Ratio of a figure to the one last logged from which on it is logged."""
    LOG_SECONDS = 10.0
    """Least time between two lines about the same service or server."""
    LOG_ANY_SECONDS = 1.0
    """Least time between two lines about any servers, or about any services."""
    COMMON_SECONDS = 0.2
    """Interval at which the factor that a service's servers share is computed."""
    FACTOR_SECONDS = 0.05
    """Time for which a factor is used, as a queue is considered many times a second."""
    MAX_SERVICES = 1024
    """Number of services that are kept."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self.learns = True
        """Whether answers change the figures; otherwise the priors hold."""
        self._services: dict[str, ServiceSpeed] = {}
        self.factors = SpeedFactors(clock)
        """Factors of the backend servers relative to their services."""
        self._prior = ServiceSpeed()
        self._members: defaultdict[str, list[BackendId]] = defaultdict(list)
        self._common_logs: dict[str, tuple[float, float]] = {}
        """Time and value of the last computation, by service."""
        self._known_factors: dict[str, tuple[int, float]] = {}
        """Incarnation and factor, by name."""
        self._factors_at = float("-inf")
        self._logged: dict[str | BackendId, _Logged] = {}
        self._logged_service_at = self._logged_server_at = float("-inf")

    def note_first_event(
        self, backend: BackendRecord, prompt_tokens: int, load: Load, seconds: float
    ) -> None:
        """Count the first event of a generation.

        Args:
            backend: Where it was sent.
            prompt_tokens: Tokens of its prompt.
            load: Load of the backend server when it was sent, without the request.
            seconds: Time from the sending to the first event.
        """
        is_measurable = load.running < backend.slots and prompt_tokens > 0
        if not self.learns or not is_measurable or seconds <= 0:
            # The wait for a slot depends on the ends of other requests.
            return
        tokens = prompt_tokens + max(0, load.pending_prompt_tokens)
        ratio = self._service(backend.service).note_first_event(
            tokens, max(0, load.running), seconds
        )
        self.factors.note_first_event(backend.identity, ratio)
        self._log_server(backend)

    def note_complete(
        self,
        backend: BackendRecord,
        output_events: int,
        load: Load,
        seconds: float,
        *,
        output_seconds: float,
        is_whole_run: bool = True,
    ) -> None:
        """Count a complete answer of a generation.

        Args:
            backend: Where it was sent.
            output_events: Number of events of the answer.
            load: Load of the backend server when it was sent, without the request.
            seconds: Time from the sending to the end of the answer.
            output_seconds: Time from the first event to the last one.
            is_whole_run: Whether the answer has the events from the beginning, rather
                than the rest of a resumed stream.
        """
        if not self.learns:
            return
        service = self._service(backend.service)
        if is_whole_run:
            service.note_complete(seconds)
        if output_events >= self.MIN_OUTPUT_EVENTS and output_seconds > 0:
            ratio = service.note_output(output_seconds / (output_events - 1))
            if ratio is not None:
                self.factors.note_output(backend.identity, ratio)
                self._log_server(backend)
        self._log_service(backend.service, service)

    def first_event_seconds(
        self, backend: BackendRecord, prompt_tokens: int, load: Load
    ) -> float:
        """Return the seconds from sending a request to its first event.

        Args:
            backend: Where it would be sent.
            prompt_tokens: Tokens of its prompt that need prefill.
            load: Load of the backend server without the request.
        """
        usual = self.usual_first_event_seconds(backend, prompt_tokens, load)
        return usual * self._factor(backend) if self.learns else usual

    def usual_first_event_seconds(
        self, backend: BackendRecord, prompt_tokens: int, load: Load
    ) -> float:
        """Return these seconds for a server with the usual speed of its service."""
        speed = self._services.get(backend.service, self._prior)
        return (
            (load.pending_prompt_tokens + prompt_tokens) / speed.prefill_rate
            + load.running * speed.delay_per_running
            + beyond_slots(load, backend.slots) * speed.full_batch_delay
        )

    def run_seconds(self, service: str) -> float:
        """Return the mean time that a generation of a service occupies a slot."""
        return self._services.get(service, self._prior).run_seconds

    def token_times(self, service: str) -> TokenTimes:
        """Return the figures of a service that decide about refusals."""
        return self._services.get(service, self._prior).token_times

    def keep_only(self, records: Iterable[BackendRecord]) -> None:
        """Discard what is known of incarnations that are not listed."""
        self._members.clear()
        for record in records:
            self._members[record.service].append(record.identity)
        kept = {identity for ids in self._members.values() for identity in ids}
        self.factors.keep_only(kept)
        for key in list(self._logged):
            if isinstance(key, BackendId) and key not in kept:
                del self._logged[key]

    def _factor(self, backend: BackendRecord) -> float:
        """Return the factor of a backend server, kept for `FACTOR_SECONDS`."""
        now = self._clock.monotonic()
        if now - self._factors_at > self.FACTOR_SECONDS:
            self._known_factors.clear()
            self._factors_at = now
        incarnation, factor = self._known_factors.get(backend.name, (None, 1.0))
        if incarnation != backend.incarnation:
            common = self._common_log(backend.service)
            factor = self.factors.of(backend.identity, common)
            self._known_factors[backend.name] = backend.incarnation, factor
        return factor

    def _common_log(self, service: str) -> float:
        """Return the logarithm of the factor that a service's servers share."""
        now = self._clock.monotonic()
        at, common = self._common_logs.get(service, (float("-inf"), 0.0))
        if now - at >= self.COMMON_SECONDS:
            common = self.factors.common_log(self._members.get(service, ()))
            self._common_logs[service] = now, common
            drop_oldest(self._common_logs, self.MAX_SERVICES)
        return common

    def _service(self, name: str) -> ServiceSpeed:
        speed = self._services.get(name)
        if speed is None:
            speed = self._services[name] = ServiceSpeed()
            drop_oldest(self._services, self.MAX_SERVICES)
        return speed

    def _log_server(self, backend: BackendRecord) -> None:
        identity = backend.identity
        now = self._clock.monotonic()
        if now - self._logged_server_at < self.LOG_ANY_SECONDS:
            return
        factor = self.factors.of(identity)
        if self._is_news(identity, (factor,), (1.0,), now):
            self._logged_server_at = now
            events.SERVER_SPEED.log(
                backend=backend.name,
                incarnation=backend.incarnation,
                service=backend.service,
                factor=round(factor, 2),
            )

    def _log_service(self, name: str, speed: ServiceSpeed) -> None:
        now = self._clock.monotonic()
        if now - self._logged_service_at < self.LOG_ANY_SECONDS:
            return
        if self._is_news(name, _figures(speed), _figures(self._prior), now):
            self._logged_service_at = now
            events.SERVICE_SPEED.log(
                service=name,
                prefill_tokens_per_second=round(speed.prefill_rate),
                delay_per_running_ms=round(speed.delay_per_running * 1000, 2),
                output_token_ms=round(speed.output_token_seconds * 1000, 2),
                mean_run_ms=round(speed.run_seconds * 1000),
            )

    def _is_news(
        self,
        key: str | BackendId,
        figures: tuple[float, ...],
        prior: tuple[float, ...],
        now: float,
    ) -> bool:
        """Return whether a figure has changed since it was logged, and record it."""
        logged = self._logged.get(key, _Logged(prior, float("-inf")))
        if now - logged.at < self.LOG_SECONDS:
            return False
        pairs = zip(figures, logged.figures, strict=True)
        if max(max(a / b, b / a) for a, b in pairs) <= self.LOGGED_CHANGE:
            return False
        self._logged.pop(key, None)
        self._logged[key] = _Logged(figures, now)
        drop_oldest(self._logged, self.MAX_SERVICES + SpeedFactors.MAX_SERVERS)
        return True


def _figures(speed: ServiceSpeed) -> tuple[float, ...]:
    return (
        speed.prefill_rate,
        speed.delay_per_running,
        speed.output_token_seconds,
        speed.run_seconds,
    )
