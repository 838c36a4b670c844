"""Finds the head of another response in a body that ends with its connection."""

from __future__ import annotations

import re

from ._strict_connection import WrongResponse

LINE_END = b"\r\n"

_BEGINNING = b"HTTP/"
_LINE = re.compile(rb"[^\r\n]*")
_STATUS = re.compile(rb"HTTP/\d\.\d \d{3}(?=[ \r])")
_PART_OF_STATUS = re.compile(rb"HTTP/(?:\d(?:\.(?:\d(?: (?:\d(?:\d(?:\d)?)?)?)?)?)?)?")
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):[^\r\n]*")
_PART_OF_FIELD = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]*(?::[^\r\n]*)?")


class SecondHeadDetector:
    """Passes on a body, and holds back bytes that may begin the head of a response.

    Nothing else tells where such a body ends if a faulty server writes another response
    after it. A head counts if it names a request; its lines end with CR and LF. The
    time is proportional to the size of the body, whatever the body holds.
    """

    MAX_HEAD_BYTES = 16_384
    """A longer head is taken for a part of the body."""

    def __init__(self, id_header: str) -> None:
        """Create a detector for one body.

        Args:
            id_header: Header by which a response names its request.
        """
        self._id_header = id_header.lower().encode("ascii")
        self._held = b""
        """Bytes that may belong to a head."""
        self._next_line = 0
        """Index in `_held` of the first line that has not been read."""
        self._names_request = False

    def feed(self, chunk: bytes) -> bytes:
        """Return what certainly belongs to the body, in the order of its arrival.

        Raises:
            WrongResponse: The head of another response was found. What precedes it may
                be the whole body or not.
        """
        data = self._held + chunk
        start = _find_beginning(data, 0)
        while len(data) - start >= len(_BEGINNING):
            resume_at = self._read_head(data, start)
            if resume_at is None:
                break
            self._next_line = 0
            self._names_request = False
            start = _find_beginning(data, max(resume_at, start + 1))
        self._held = data[start:]
        return data[:start]

    def flush(self) -> bytes:
        """Return what was held back, as the body has ended.

        Raises:
            WrongResponse: It has the whole status line of another response.
        """
        if self._next_line > 0:
            raise WrongResponse("a part of another response follows in the body")
        held, self._held = self._held, b""
        return held

    def _read_head(self, data: bytes, start: int) -> int | None:
        """Read the lines of what may be a head, as far as they have arrived.

        Returns:
            Where to search on if it is none, or None if that is not known yet. A head
            that begins earlier could not be one either.

        Raises:
            WrongResponse: It is the head of a response.
        """
        if self._next_line == 0 and not _STATUS.match(data, start):
            return None if _PART_OF_STATUS.fullmatch(data, start) else start
        while True:
            begin = start + self._next_line
            end = _LINE.match(data, begin).end()
            if not data.startswith(LINE_END, end):
                return self._read_part(data, start, begin, end)
            if self._next_line > 0 and not self._read_field(data[begin:end]):
                return begin
            self._next_line = end + len(LINE_END) - start

    def _read_part(self, data: bytes, start: int, begin: int, end: int) -> int | None:
        """Read a line without its end, `data[begin:end]`; return as `_read_head`."""
        is_status = begin == start
        if data[end : end + len(LINE_END)] not in (b"", LINE_END[:1]):
            return end if is_status else begin
        if len(data) - start > self.MAX_HEAD_BYTES:
            return end
        is_possible = is_status or _PART_OF_FIELD.fullmatch(data, begin, end)
        return None if is_possible else begin

    def _read_field(self, line: bytes) -> bool:
        """Read a complete line after the first; return whether a head may go on."""
        if not line:
            if self._names_request:
                raise WrongResponse("another response follows in the body")
            return False
        field = _FIELD.fullmatch(line)
        if field is None:
            return False
        if field[1].lower() == self._id_header:
            self._names_request = True
        return True


def _find_beginning(data: bytes, start: int) -> int:
    """Return the index at which a head, or a part of its first word, may begin.

    >>> _find_beginning(b"data: HT", 0)
    6
    """
    found = data.find(_BEGINNING, start)
    if found >= 0:
        return found
    for index in range(max(start, len(data) - len(_BEGINNING) + 1), len(data)):
        if _BEGINNING.startswith(data[index:]):
            return index
    return len(data)
