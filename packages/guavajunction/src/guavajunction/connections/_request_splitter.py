"""Cuts the bytes of a caller's connection into heads and bodies before parsing."""

from __future__ import annotations

import re
from enum import Enum, auto

from ._message_grammar import (
    LINE_END,
    BodyFraming,
    MalformedMessage,
    check_field_line,
    read_chunk_line,
)

HEAD_END = LINE_END + LINE_END
MAX_REQUEST_LINE_BYTES = 65_536
"""Longest request line, without its end."""

_EMPTY_LINES = re.compile(rb"(?:\r\n)+")
_BARE_LINE_FEED = re.compile(rb"(?<!\r)\n")
# RFC 9112, section 3. The parser checks the parts.
_REQUEST_LINE = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+ [^\r\n]* HTTP/\d\.\d\r\n")
_PLAIN_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")
_METHOD_BEGIN = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]")


class HeadTooLarge(ValueError):
    """A head, or framing of a body, is larger than the limit."""


class _Part(Enum):
    """Part of a request that arrives next."""

    HEAD = auto()
    BODY = auto()
    """The rest of a body with a length, or of a chunk."""
    CHUNK_LINE = auto()
    CHUNK_END = auto()
    TRAILERS = auto()


class RequestSplitter:
    """Splits the requests of one connection.

    An incomplete head is held as the bytes that arrived. A parser would make several
    objects of each of its fields, which take up to 90 times as much memory. The same
    holds for trailers, which are dropped, as are the extensions of chunks.
    """

    __slots__ = ("_body_left", "_empty_bytes", "_held", "_is_chunked", "_part", "_seen")

    def __init__(self) -> None:
        self._held = b""
        self._seen = 0
        """Bytes of `_held` that were searched for the end of a head."""
        self._empty_bytes = 0
        """Bytes of empty lines before the head."""
        self._part = _Part.HEAD
        self._body_left = 0
        """Bytes that the body or the chunk still lacks; for trailers, bytes so far."""
        self._is_chunked = False

    @property
    def held(self) -> int:
        """Return the number of bytes that were received and not taken."""
        return len(self._held)

    def receive(self, data: bytes) -> None:
        """Add received bytes."""
        self._held = self._held + data if self._held else data

    def clear(self) -> None:
        """Drop what was not taken."""
        self._held = b""
        self._seen = 0

    def take_head(self, max_bytes: int) -> bytes | None:
        """Return the next head with the empty line at its end; None if incomplete.

        Args:
            max_bytes: Size of all header lines together, as received.

        Raises:
            HeadTooLarge: The header lines, the request line or the empty lines before
                it are too large, or will be.
            MalformedMessage: No head begins like this.
        """
        self._skip_empty_lines(max_bytes)
        line_end = self._held.find(LINE_END, 0, MAX_REQUEST_LINE_BYTES + len(LINE_END))
        if line_end < 0 and len(self._held) > MAX_REQUEST_LINE_BYTES:
            raise HeadTooLarge(f"the request line is over {MAX_REQUEST_LINE_BYTES}")
        fields_begin = line_end + len(LINE_END)
        end = self._held.find(HEAD_END, max(0, self._seen - len(HEAD_END) + 1))
        fields_end = len(self._held) - 1 if end < 0 else end + len(LINE_END)
        if line_end >= 0 and fields_end - fields_begin > max_bytes:
            raise HeadTooLarge(f"the header lines are over {max_bytes} bytes")
        if end < 0:
            self._check_beginning(fields_begin)
            self._seen = len(self._held)
            return None
        head = self._held[: end + len(HEAD_END)]
        self._held = self._held[end + len(HEAD_END) :]
        self._seen = self._empty_bytes = 0
        return head

    def begin_body(self, framing: BodyFraming) -> None:
        """Expect the body of the head that was taken last, if it has one."""
        self._is_chunked = framing.is_chunked
        self._body_left = framing.length or 0
        if framing.is_chunked:
            self._part = _Part.CHUNK_LINE
        elif self._body_left:
            self._part = _Part.BODY

    def take_body(self, max_line_bytes: int) -> bytes:
        """Return the received part of a body, as a parser shall read it.

        The data of several chunks is returned as one chunk.

        Args:
            max_line_bytes: Size of a line that begins a chunk, and of all trailers.

        Raises:
            HeadTooLarge: Such a line, or the trailers, are too large, or will be.
            MalformedMessage: The chunks do not follow the grammar.
        """
        if not self._is_chunked:
            body = self._held[: self._body_left]
            self._held = self._held[len(body) :]
            self._count_body(len(body))
            return body
        parts: list[bytes] = []
        position = 0
        while self._part is not _Part.HEAD:
            if self._part is _Part.BODY:
                part = self._held[position : position + self._body_left]
                if not part:
                    break
                parts.append(part)
                position += len(part)
                self._count_body(len(part))
                continue
            if self._part is _Part.CHUNK_LINE:
                position = self._take_whole_chunks(position, parts)
            end = self._held.find(b"\n", position) + 1
            self._check_framing(position, end, max_line_bytes)
            if end == 0:
                break
            self._read_framing(self._held[position:end])
            position = end
        self._held = self._held[position:]
        data = b"".join(parts)
        chunk = b"%x\r\n%b\r\n" % (len(data), data) if data else b""
        return chunk + b"0\r\n\r\n" if self._part is _Part.HEAD else chunk

    def _take_whole_chunks(self, position: int, parts: list[bytes]) -> int:
        """Add the data of chunks that arrived whole; return where the last one ends.

        Chunks with extensions and the last chunk of a body are left.
        """
        held = self._held
        while match := _PLAIN_CHUNK_LINE.match(held, position):
            size, begin = int(match[1], 16), match.end()
            end = begin + size
            if size == 0 or held[end : end + len(LINE_END)] != LINE_END:
                break
            parts.append(held[begin:end])
            position = end + len(LINE_END)
        return position

    def _skip_empty_lines(self, max_bytes: int) -> None:
        match = _EMPTY_LINES.match(self._held)
        if match is None:
            return
        self._empty_bytes += match.end()
        self._held = self._held[match.end() :]
        self._seen = 0
        if self._empty_bytes > max_bytes:
            raise HeadTooLarge(f"over {max_bytes} bytes of empty lines")

    def _check_beginning(self, fields_begin: int) -> None:
        """Refuse an incomplete head that can't become one."""
        if _BARE_LINE_FEED.search(self._held, max(0, self._seen - 1)):
            raise MalformedMessage("a line of the head ends without CR")
        if self._seen >= fields_begin > 1:
            return
        if fields_begin > 1:
            is_possible = _REQUEST_LINE.match(self._held)
        else:
            is_possible = not self._held.strip(b"\r") or _METHOD_BEGIN.match(self._held)
        if not is_possible:
            raise MalformedMessage("malformed request line")

    def _count_body(self, size: int) -> None:
        self._body_left -= size
        if self._body_left == 0:
            self._part = _Part.CHUNK_END if self._is_chunked else _Part.HEAD

    def _check_framing(self, position: int, end: int, max_bytes: int) -> None:
        """Refuse a line of the framing that is or will be too long or malformed."""
        size = (end or len(self._held)) - position
        if self._part is _Part.TRAILERS:
            size += self._body_left
        if size > max_bytes:
            raise HeadTooLarge(f"framing of a body is over {max_bytes} bytes")
        if self._part is _Part.CHUNK_END and size > 0:
            found = self._held[position : position + len(LINE_END)]
            if not LINE_END.startswith(found):
                raise MalformedMessage(f"malformed end of a chunk: {found!r}")

    def _read_framing(self, line: bytes) -> None:
        if self._part is _Part.CHUNK_END:
            self._part = _Part.CHUNK_LINE
        elif self._part is _Part.CHUNK_LINE:
            self._body_left = read_chunk_line(line).size
            self._part = _Part.BODY if self._body_left else _Part.TRAILERS
        elif line == LINE_END:
            self._part = _Part.HEAD
        else:
            check_field_line("trailer", line)
            self._body_left += len(line)
