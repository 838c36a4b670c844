"""The grammar of HTTP/1.1 messages: RFC 9112, with the status codes of RFC 9110.

Everything here works on bytes and is independent of the parser that is installed:
aiohttp has one with C extensions and one without, which accept different malformed
messages.
"""

from __future__ import annotations

import re
from collections.abc import Iterable
from enum import Enum, auto
from typing import NamedTuple

LINE_END = b"\r\n"
MAX_BODY_BYTES = 2**63 - 1
"""Largest length of a body or a chunk."""

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_TEXT = rb"[\t\x20-\x7e\x80-\xff]"
_QUOTED = rb'"(?:[\t \x21\x23-\x5b\x5d-\x7e\x80-\xff]|\\' + _TEXT + rb')*+"'

# RFC 9112, section 4. The blank before an empty reason is often left out.
_STATUS_LINE = re.compile(
    rb"HTTP/1\.(?P<minor>[0-9]) (?P<status>[1-5][0-9]{2})(?: " + _TEXT + rb"*+)?\r\n"
)
# RFC 9112, section 5.
_FIELD_LINE = re.compile(
    rb"(?P<name>" + _TOKEN + rb"):[\t ]*(?P<value>" + _TEXT + rb"*+)\r\n"
)
# RFC 9112, section 7.1.
_CHUNK_LINE = re.compile(
    rb"(?P<size>[0-9A-Fa-f]++)"
    rb"(?:[\t ]*;[\t ]*" + _TOKEN + rb"(?:[\t ]*=[\t ]*"
    rb"(?:" + _TOKEN + rb"|" + _QUOTED + rb"))?)*+\r\n"
)
_DIGITS = re.compile(rb"[0-9]++")

_PROTOCOL = b"HTTP/1."
_CONTENT_LENGTH = b"content-length"
_TRANSFER_ENCODING = b"transfer-encoding"
_CHUNKED = b"chunked"
_SWITCHING_PROTOCOLS = 101
_STATUSES_WITHOUT_BODY = (204, 304)
_MAX_SHOWN = 60
"""Number of bytes of a line that an error shows."""


class MalformedMessage(ValueError):
    """Bytes are no message of HTTP/1.1."""


class BodyFraming(NamedTuple):
    """Where a body ends, as its head says."""

    is_chunked: bool
    length: int | None
    """Length in bytes; None without one."""


def read_framing(
    fields: Iterable[tuple[bytes, bytes]], *, is_http_1_0: bool
) -> BodyFraming:
    """Return where a body ends: RFC 9112, section 6.3.

    Args:
        fields: Names and values of a head.
        is_http_1_0: Whether the version is HTTP/1.0, which has no chunks.

    Raises:
        MalformedMessage: The fields contradict each other, or name another transfer
            coding than chunks: no other one is offered or understood.
    """
    coding = length = None
    for name, value in fields:
        name, value = name.lower(), value.strip(b"\t ")
        if name not in (_CONTENT_LENGTH, _TRANSFER_ENCODING):
            continue
        if length is not None or coding is not None:
            raise _malformed("second field for the length of the body", value)
        if name == _CONTENT_LENGTH:
            length = _parse_size("length of the body", value, 10)
        elif value.lower() != _CHUNKED or is_http_1_0:
            raise _malformed("transfer coding", value)
        else:
            coding = value
    return BodyFraming(coding is not None, length)


class ChunkLine(NamedTuple):
    """The line that begins a chunk."""

    digits: bytes
    """The size as it was written."""
    size: int
    """Bytes of the chunk; 0 for the last one."""


def read_chunk_line(line: bytes) -> ChunkLine:
    """Read the line that begins a chunk; extensions are ignored.

    Args:
        line: The line with its end.

    Raises:
        MalformedMessage: The line does not begin a chunk.
    """
    match = _CHUNK_LINE.fullmatch(line)
    if match is None:
        raise _malformed("beginning of a chunk", line)
    return ChunkLine(match["size"], _parse_size("size of a chunk", match["size"], 16))


def check_field_line(what: str, line: bytes) -> None:
    """Check a field line with its end.

    Args:
        what: Name of such a line in errors.
        line: The line.

    Raises:
        MalformedMessage: The line is no field line.
    """
    if not _FIELD_LINE.fullmatch(line):
        raise _malformed(what, line)


class _Part(Enum):
    """Part of a message that arrives next."""

    START_LINE = auto()
    FIELDS = auto()
    BODY = auto()
    """The rest of a body with a length, or of a chunk."""
    CHUNK_LINE = auto()
    CHUNK_END = auto()
    TRAILERS = auto()
    UNTIL_CLOSE = auto()
    """A body that the end of the connection ends."""
    ENDED = auto()


class ResponseGrammar:
    """Checks one response, and the interim responses before it, as they arrive.

    Heads and the framing of chunks are held back until they are complete. Bytes after
    the end of the response are not checked.
    """

    MAX_HEADS_APART = 8
    """Number of heads in one segment that are returned one by one."""

    def __init__(self, *, has_body: bool = True) -> None:
        """Create the check of the response to one request.

        Args:
            has_body: False for the response to a HEAD request.
        """
        self._has_body = has_body
        self._part = _Part.START_LINE
        self._head = bytearray()
        """Received part of the head."""
        self._checked = 0
        """Length of its lines that were checked."""
        self._line = bytearray()
        """Received part of a line of the body's framing."""
        self._left = 0
        """Bytes that the body or the chunk still lacks."""
        self._status = 0
        self._is_http_1_0 = False
        self._fields: list[tuple[bytes, bytes]] = []
        """Names and values of the fields of the head that is arriving."""
        self._is_chunked = False

    def feed(self, data: bytes) -> list[bytes]:
        """Check received bytes.

        Returns:
            The bytes to parse, in order: each complete head by itself, then those of
            the body.

        Raises:
            MalformedMessage: The bytes are no response. The part of it that earlier
                calls returned is malformed as well.
        """
        pieces: list[list[bytes]] = []
        if self._part in (_Part.START_LINE, _Part.FIELDS):
            data = self._read_heads(data, pieces)
        if data and (body := self._read_body(data)):
            pieces.append([body])
        return [b"".join(piece) for piece in pieces]

    def _read_heads(self, data: bytes, pieces: list[list[bytes]]) -> bytes:
        """Add complete heads to `pieces`; return what follows the response's own."""
        received = len(self._head)
        self._head += data
        begin, line_begin = 0, self._checked
        while self._part in (_Part.START_LINE, _Part.FIELDS):
            end = self._head.find(b"\n", max(line_begin, received)) + 1
            if end == 0:
                self._check_beginning(line_begin)
                del self._head[:begin]
                self._checked = line_begin - begin
                return b""
            line = bytes(self._head[line_begin:end])
            line_begin = end
            if self._part is _Part.START_LINE:
                self._read_status_line(line)
            elif line != LINE_END:
                self._read_field(line)
            else:
                self._begin_body()
                if len(pieces) < self.MAX_HEADS_APART:
                    pieces.append([])
                pieces[-1].append(bytes(self._head[begin:end]))
                begin = end
        rest = bytes(self._head[begin:])
        self._head.clear()
        self._checked = 0
        return rest

    def _check_beginning(self, line_begin: int) -> None:
        """Refuse an incomplete status line that can't become one."""
        begun = bytes(self._head[line_begin : line_begin + len(_PROTOCOL)])
        if self._part is _Part.START_LINE and not _PROTOCOL.startswith(begun):
            raise _malformed("status line", begun)

    def _read_status_line(self, line: bytes) -> None:
        match = _STATUS_LINE.fullmatch(line)
        if match is None:
            raise _malformed("status line", line)
        self._status = int(match["status"])
        self._is_http_1_0 = match["minor"] == b"0"
        self._fields.clear()
        self._part = _Part.FIELDS

    def _read_field(self, line: bytes) -> None:
        match = _FIELD_LINE.fullmatch(line)
        if match is None:
            raise _malformed("field line", line)
        self._fields.append((match["name"], match["value"]))

    def _begin_body(self) -> None:
        framing = read_framing(self._fields, is_http_1_0=self._is_http_1_0)
        self._is_chunked = framing.is_chunked
        self._left = framing.length or 0
        if self._status == _SWITCHING_PROTOCOLS:
            raise MalformedMessage("the sender switches protocols unasked")
        if self._status < 200:
            self._part = _Part.START_LINE
        elif not self._has_body or self._status in _STATUSES_WITHOUT_BODY:
            self._part = _Part.ENDED
        elif framing.is_chunked:
            self._part = _Part.CHUNK_LINE
        elif framing.length is None:
            self._part = _Part.UNTIL_CLOSE
        else:
            self._part = _Part.BODY if self._left else _Part.ENDED

    def _read_body(self, data: bytes) -> bytes:
        """Read a part of a body; return the bytes to parse.

        Lines of the framing are held back until they are complete.
        """
        parts: list[bytes] = []
        copied = position = 0
        while position < len(data):
            if self._part is _Part.BODY:
                position += self._skip_body(len(data) - position)
            elif self._part in (_Part.ENDED, _Part.UNTIL_CLOSE):
                break
            else:
                end = data.find(b"\n", position) + 1 or len(data)
                self._line += data[position:end]
                parts += (data[copied:position], self._read_framing())
                copied = position = end
        if not parts:
            return data
        parts.append(data[copied:])
        return b"".join(parts)

    def _skip_body(self, received: int) -> int:
        """Return how many of the bytes that were received belong to the body."""
        skipped = min(self._left, received)
        self._left -= skipped
        if self._left == 0:
            self._part = _Part.CHUNK_END if self._is_chunked else _Part.ENDED
        return skipped

    def _read_framing(self) -> bytes:
        """Read the line that has arrived; return it, or nothing if it is incomplete."""
        if self._part is _Part.CHUNK_END and not LINE_END.startswith(self._line):
            raise _malformed("end of a chunk", bytes(self._line))
        if not self._line.endswith(b"\n"):
            return b""
        line = bytes(self._line)
        self._line.clear()
        if self._part is _Part.CHUNK_END:
            self._part = _Part.CHUNK_LINE
        elif self._part is _Part.CHUNK_LINE:
            return self._begin_chunk(line)
        elif line == LINE_END:
            self._part = _Part.ENDED
        else:
            check_field_line("trailer", line)
        return line

    def _begin_chunk(self, line: bytes) -> bytes:
        """Return the line without extensions; a parser may refuse blanks in them."""
        chunk = read_chunk_line(line)
        self._left = chunk.size
        self._part = _Part.BODY if self._left else _Part.TRAILERS
        return chunk.digits + LINE_END


def _parse_size(what: str, digits: bytes, base: int) -> int:
    if base == 10 and not _DIGITS.fullmatch(digits):
        raise _malformed(what, digits)
    significant = digits.lstrip(b"0") or b"0"
    # Converting very many digits takes long.
    if len(significant) > len(str(MAX_BODY_BYTES)):
        raise _malformed(what, digits)
    size = int(significant, base)
    if size > MAX_BODY_BYTES:
        raise _malformed(what, digits)
    return size


def _malformed(what: str, found: bytes) -> MalformedMessage:
    shown = repr(found[:_MAX_SHOWN])[1:]
    return MalformedMessage(f"malformed {what}: {shown}")
