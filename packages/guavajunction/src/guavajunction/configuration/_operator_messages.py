"""JSON bodies of operator requests."""

from __future__ import annotations

from typing import NotRequired, TypedDict


class DocumentRequest(TypedDict):
    """Request to check or compare a document."""

    document: str


class EditRequest(TypedDict):
    """Request for a change: its author and the unique id of the attempt."""

    author: str
    attempt_id: str


class ApplyRequest(EditRequest):
    """Request to accept a document."""

    document: str
    based_on: NotRequired[dict[str, int]]


class RollBackRequest(EditRequest):
    """Request to accept the content of an earlier version."""

    version: int


class IssueRequest(EditRequest):
    """Request to issue a key to a customer."""

    customer: str
