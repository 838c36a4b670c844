"""A request on its way through the gateway."""

from __future__ import annotations

from typing import NamedTuple


class PromptPart(NamedTuple):
    """A part of a prompt that several requests may share."""

    part_id: str
    tokens: int


class GenerationSize(NamedTuple):
    """What a request asks of a model engine."""

    model: str
    adapter: str
    """Empty for the bare model."""
    prompt_tokens: int
    max_output_tokens: int
    parts: tuple[PromptPart, ...]
    """The prompt's parts in order; the last belongs to the request or its session."""

    @property
    def artifact(self) -> str:
        """Return the model, and after a slash the adapter if there is one."""
        return f"{self.model}/{self.adapter}" if self.adapter else self.model


class GatewayRequest(NamedTuple):
    """A whole request as a caller sent it."""

    request_id: str
    """Drawn by the caller for each of its attempts."""
    method: str
    target: str
    """Path and query, byte for byte."""
    host: str
    headers: tuple[tuple[str, str], ...]
    """What is passed on, without the key and what concerns one connection."""
    body: bytes
    key: str | None
    caller_seconds: float
    """Time that the caller waits, counted from the arrival."""
    arrived_at: float
    """On the monotonic clock."""
    size: GenerationSize | None
    """None for a plain service."""
    resume_after: str | None = None
    """Event after which a broken stream goes on."""

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition("?")[0]
