"""Bodies of operators' requests."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class DocumentRequest(TypedDict):
    """A document to check or compare."""

    document: str


class EditRequest(TypedDict):
    """Who asks for a change."""

    author: str
    attempt_id: str


class ApplyRequest(EditRequest):
    """A document to get accepted."""

    document: str
    based_on: NotRequired[dict[str, int]]


class RollBackRequest(EditRequest):
    """An earlier version to accept again."""

    version: int


class IssueRequest(EditRequest):
    """A customer who needs a key."""

    customer: str
