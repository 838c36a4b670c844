"""Generates the schedule of requests of a load run from a seed."""

from __future__ import annotations

import random
from collections.abc import Iterator
from typing import Literal, NamedTuple

from guavajunction_fakes.engine import answer_tokens, prompt_of, tokens_in
from guavajunction_fakes.fleet import CustomerAccess, Roster

Kind = Literal["live", "batch", "call"]

BYTES_PER_TOKEN = 4
TOKENS_PER_CALL = 10.0
"""Tokens charged for a call of the plain service.

Equals the cost of the route that the fleet's configuration document sets.
"""


class LoadPlan(NamedTuple):
    """Length, rate, bursts and content of the traffic of a load run."""

    seconds: float = 10.0
    """Time during which requests arrive."""
    seed: int = 1
    scale: float = 1.0
    """Factor by which the request rates of all customers are multiplied."""
    over: dict[str, float] = {}
    """Additional factor for the request rates of single customers, by name."""
    burst_factor: float = 3.0
    """Controls burstiness: bursts have (F + 1) / 2 times the mean rate for 1 / F of the
    time. 1 means no bursts."""
    burst_seconds: float = 1.5
    """Mean duration of a burst."""
    shift_seconds: float = 10.0
    """Interval after which the popularity ranking of the models is reshuffled."""
    skew: float = 1.0
    """Exponent of the Zipf distribution over models; 0 for a uniform distribution."""
    sessions: int = 4
    """Number of distinct prompt prefixes per customer and model."""
    max_tokens: int = 64
    """Maximum number of tokens in the answer to a chat request."""
    prompt_bytes: int = 400
    """Mean length of a prompt, including its prefix."""
    retries: int = 2
    """Maximum number of retries of a request that may be retried."""
    settle_seconds: float = 0.3
    """Wait after the last answer before runs are counted, to include late runs."""


class Arrival(NamedTuple):
    """One scheduled request of one customer."""

    at: float
    """Scheduled time in seconds after the start of the run."""
    customer: str
    kind: Kind
    model: str
    """Name of the model; empty for calls of the plain service."""
    system: str
    """System message, which is the prefix that requests of a session share."""
    prompt: str
    """User message, or body of the call."""
    max_tokens: int
    number: int
    """Position in the schedule; part of the idempotency key."""

    @property
    def messages(self) -> list[dict[str, str]]:
        """Return the messages of the chat completion request."""
        return [
            {"role": "system", "content": self.system},
            {"role": "user", "content": self.prompt},
        ]

    @property
    def prompt_text(self) -> str:
        """Return the prompt text from which the stand-in engine derives its answer."""
        return prompt_of({"messages": self.messages})

    @property
    def reserved_tokens(self) -> float:
        """Return the tokens that are reserved on admission.

        For a chat these are the estimated prompt tokens and `max_tokens`.
        """
        if self.kind == "call":
            return TOKENS_PER_CALL
        prompt = -(-len(self.prompt_text.encode()) // BYTES_PER_TOKEN)
        return float(prompt + self.max_tokens)

    @property
    def expected_tokens(self) -> float:
        """Return the tokens that are charged for the complete answer."""
        if self.kind == "call":
            return TOKENS_PER_CALL
        tokens = answer_tokens(self.model, self.prompt_text, self.max_tokens)
        return float(tokens_in(self.prompt_text) + len(tokens))


def arrivals(roster: Roster, plan: LoadPlan) -> list[Arrival]:
    """Return all requests of a run in order of time.

    The result depends only on the roster and the plan, including its seed.
    """
    requests = [
        arrival
        for customer in roster.customers
        for arrival in _CustomerTraffic(customer, roster, plan).arrivals()
    ]
    ordered = sorted(requests, key=lambda arrival: (arrival.at, arrival.customer))
    return [arrival._replace(number=n) for n, arrival in enumerate(ordered)]


class _CustomerTraffic:
    """Generates the requests of one customer."""

    def __init__(self, access: CustomerAccess, roster: Roster, plan: LoadPlan) -> None:
        self._access = access
        self._roster = roster
        self._plan = plan
        self._random = random.Random(f"{plan.seed}/{access.plan.name}")
        self._models = list(roster.models)
        self._weights = [
            1.0 / rank**plan.skew for rank in range(1, len(self._models) + 1)
        ]

    def arrivals(self) -> Iterator[Arrival]:
        customer, plan = self._access.plan, self._plan
        factor = plan.scale * plan.over.get(customer.name, 1.0)
        mean_cost = plan.prompt_bytes / BYTES_PER_TOKEN + plan.max_tokens
        live = customer.live_share * customer.rate / mean_cost
        batch = customer.batch_share * customer.rate / mean_cost
        for at in self._arrival_times(live * factor):
            yield self._chat_request(at, "live")
        for at in self._arrival_times(batch * factor):
            yield self._chat_request(at, "batch")
        for at in self._arrival_times(customer.calls_per_second * factor):
            yield self._service_call(at)

    def _arrival_times(self, rate: float) -> Iterator[float]:
        """Yield arrival times of a Poisson process whose rate is modulated by bursts.

        Args:
            rate: Mean arrivals per second.
        """
        at = 0.0
        for is_burst, duration in self._phases():
            phase_rate = rate * self._phase_rate_factor(is_burst)
            end = at + duration
            while phase_rate > 0:
                at += self._random.expovariate(phase_rate)
                if at >= end:
                    break
                if at >= self._plan.seconds:
                    return
                yield at
            at = end
            if at >= self._plan.seconds:
                return

    def _phases(self) -> Iterator[tuple[bool, float]]:
        """Yield alternating bursts and quiet phases.

        Yields:
            Whether the phase is a burst, and its duration in seconds.
        """
        mean_burst = self._plan.burst_seconds
        mean_quiet = mean_burst * (self._plan.burst_factor - 1)
        is_burst = self._random.random() * self._plan.burst_factor < 1.0
        while True:
            mean = mean_burst if is_burst else mean_quiet
            yield is_burst, self._random.expovariate(1 / mean) if mean else 0.0
            is_burst = not is_burst

    def _phase_rate_factor(self, is_burst: bool) -> float:
        """Return the rate within a phase, relative to the mean rate.

        With F = `burst_factor`, bursts fill 1/F of the time at (F + 1) / 2 times the
        mean rate. The factor of the quiet phases is such that the mean stays 1.
        """
        factor = self._plan.burst_factor
        if factor <= 1.0:
            return 1.0
        burst = (factor + 1) / 2
        return burst if is_burst else (1 - burst / factor) / (1 - 1 / factor)

    def _chat_request(self, at: float, kind: Kind) -> Arrival:
        rng, plan = self._random, self._plan
        model = self._choose_model(at)
        session = rng.randrange(plan.sessions)
        system = f"{self._access.plan.name} {model} session {session}. ".ljust(160, "s")
        length = max(8, int(rng.gauss(plan.prompt_bytes - len(system), 60)))
        prompt = f"{rng.getrandbits(64):016x}".ljust(length, "p")
        return Arrival(
            at,
            self._access.plan.name,
            kind,
            model,
            system,
            prompt,
            plan.max_tokens,
            0,
        )

    def _choose_model(self, at: float) -> str:
        """Return a random model, weighted by the popularity ranking at time `at`."""
        phase = int(at / self._plan.shift_seconds)
        order = list(self._models)
        random.Random(f"{self._plan.seed}/{phase}").shuffle(order)
        return self._random.choices(order, self._weights)[0]

    def _service_call(self, at: float) -> Arrival:
        body = f"{self._random.getrandbits(64):016x}"
        name = self._access.plan.name
        return Arrival(at, name, "call", "", "", body, 0, 0)
