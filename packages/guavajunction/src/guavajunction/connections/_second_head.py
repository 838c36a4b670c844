"""Finds the head of another response in a body that ends with its connection."""

from __future__ import annotations

import re
from enum import Enum

from ._strict_connection import WrongResponse

LINE_END = b"\r\n"

_BEGINNING = b"HTTP/"
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}(?: [^\r\n]*)?")
_PART_OF_STATUS_LINE = re.compile(
    rb"HTTP/(?:\d(?:\.(?:\d(?: (?:\d(?:\d(?:\d(?: [^\r\n]*)?\r?)?)?)?)?)?)?)?"
)
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[^\r\n]*")
_PART_OF_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]*(?::[^\r\n]*)?\r?")


class _Found(Enum):
    HEAD = "head"
    NONE = "none"
    UNDECIDED = "undecided"


class SecondHeadDetector:
    """Passes on a body, and holds back bytes that may begin the head of a response.

    Nothing else tells where such a body ends if a faulty server writes another response
    after it. A head counts if it names a request.
    """

    MAX_HEAD_BYTES = 8_192
    """A longer head is taken for a part of the body."""

    def __init__(self, id_header: str) -> None:
        """Create a detector for one body.

        Args:
            id_header: Header by which a response names its request.
        """
        self._id_header = id_header.lower().encode("ascii")
        self._held = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return what certainly belongs to the body, in the order of its arrival.

        Raises:
            WrongResponse: The head of another response was found. What precedes it may
                be the whole body or not.
        """
        data = self._held + chunk
        start = data.find(_BEGINNING)
        while start >= 0:
            found = self._classify(data[start : start + self.MAX_HEAD_BYTES])
            if found is _Found.HEAD:
                raise WrongResponse("another response follows in the body")
            if found is _Found.UNDECIDED and len(data) - start < self.MAX_HEAD_BYTES:
                break
            start = data.find(_BEGINNING, start + 1)
        else:
            start = len(data) - _length_of_beginning_at_end(data)
        self._held = data[start:]
        return data[:start]

    def flush(self) -> bytes:
        """Return what was held back, as the body has ended."""
        held, self._held = self._held, b""
        return held

    def _classify(self, data: bytes) -> _Found:
        *lines, part = data.split(LINE_END)
        if not lines:
            is_possible = _PART_OF_STATUS_LINE.fullmatch(part)
            return _Found.UNDECIDED if is_possible else _Found.NONE
        if not _STATUS_LINE.fullmatch(lines[0]):
            return _Found.NONE
        names_request = False
        for line in lines[1:]:
            if not line:
                return _Found.HEAD if names_request else _Found.NONE
            field = _FIELD.fullmatch(line)
            if field is None:
                return _Found.NONE
            names_request = names_request or field[1].lower() == self._id_header
        is_possible = _PART_OF_FIELD.fullmatch(part)
        return _Found.UNDECIDED if is_possible else _Found.NONE


def _length_of_beginning_at_end(data: bytes) -> int:
    """Return how many bytes at the end may begin a head.

    >>> _length_of_beginning_at_end(b"data: HT")
    2
    """
    lengths = range(min(len(_BEGINNING) - 1, len(data)), 0, -1)
    return next((n for n in lengths if data.endswith(_BEGINNING[:n])), 0)
