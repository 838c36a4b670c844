"""Tests of the cut of a caller's bytes into heads and bodies."""

from __future__ import annotations

import pytest

from guavajunction.connections import MalformedMessage
from guavajunction.connections._message_grammar import BodyFraming
from guavajunction.connections._request_splitter import HeadTooLarge, RequestSplitter

LIMIT = 16_384
LINE = b"GET /a HTTP/1.1\r\n"
CHUNKED = BodyFraming(is_chunked=True, length=None)


def take_all(splitter, data, framing=None):
    """Return the heads and the joined bodies of the bytes, as far as they arrived."""
    splitter.receive(data)
    heads, body = [], b""
    while (head := splitter.take_head(LIMIT)) is not None:
        heads.append(head)
        if framing is not None:
            splitter.begin_body(framing)
            body += splitter.take_body(LIMIT)
    return heads, body


def receive_slowly(splitter, data, take):
    """Receive bytes of which nothing is complete, in segments."""
    for start in range(0, len(data), 1_000):
        splitter.receive(data[start : start + 1_000])
        assert not take(LIMIT)


def head_of(size):
    """Return a head whose header lines have a size, most of them of four bytes."""
    fields = b"a:\r\n" * (size // 4 - 2)
    return LINE + fields + b"b:" + b"x" * (size - len(fields) - 4) + b"\r\n\r\n"


class TestHeads:
    """A head is returned once it is complete, and its size is that on the wire."""

    def test_head_is_found_wherever_it_is_cut(self):
        head = LINE + b"Host: x\r\nn: v\r\n\r\n"
        for cut in range(len(head)):
            splitter = RequestSplitter()
            assert take_all(splitter, b"\r\n" + head[:cut])[0] == []
            assert take_all(splitter, head[cut:] + head)[0] == [head, head]
            assert splitter.held == 0

    @pytest.mark.parametrize("cut", [0, 20, 5_000, LIMIT])
    def test_head_of_the_largest_size_is_accepted(self, cut):
        head, splitter = head_of(LIMIT), RequestSplitter()
        splitter.receive(head[:cut])
        assert splitter.take_head(LIMIT) is None
        assert take_all(splitter, head[cut:])[0] == [head]

    @pytest.mark.parametrize(
        "data",
        [
            head_of(LIMIT + 1),
            head_of(LIMIT + 2)[:-2],
            LINE + b"a:\r\n" * LIMIT,
            LINE + b"a:" + b"x" * LIMIT,
            b"GET /" + b"x" * 66_000,
            b"\r\n" * LIMIT,
        ],
    )
    def test_head_over_the_limit_is_refused_before_its_end(self, data):
        splitter = RequestSplitter()
        with pytest.raises(HeadTooLarge):
            receive_slowly(splitter, data, splitter.take_head)

    @pytest.mark.parametrize(
        "data",
        [
            b"\x16\x03\x01\x02",
            b" GET",
            b"no request\r\n",
            b"GET /a\r\nHost",
            LINE[:-2] + b"\nHost: x\n",
            LINE + b"Host: x\n",
        ],
    )
    def test_bytes_that_begin_no_head_are_refused_at_once(self, data):
        splitter = RequestSplitter()
        with pytest.raises(MalformedMessage):
            take_all(splitter, data)


class TestBodies:
    """Only the data of chunks is kept, as one chunk of each received part."""

    BODY = b"3;n=v\r\nabc\r\n05\r\ndefgh\r\n0\r\nt: 1\r\nu:\r\n\r\n"

    def test_chunks_are_joined_without_extensions_and_trailers(self):
        heads, body = take_all(RequestSplitter(), LINE + b"\r\n" + self.BODY, CHUNKED)
        assert (len(heads), body) == (1, b"8\r\nabcdefgh\r\n0\r\n\r\n")

    def test_end_of_chunks_is_found_wherever_they_are_cut(self):
        for cut in range(len(self.BODY)):
            splitter = RequestSplitter()
            _, body = take_all(splitter, LINE + b"\r\n" + self.BODY[:cut], CHUNKED)
            splitter.receive(self.BODY[cut:] + LINE + b"\r\n")
            body += splitter.take_body(LIMIT)
            data = b"".join(body.split(b"\r\n")[1::2])
            assert (data, body[-5:]) == (b"abcdefgh", b"0\r\n\r\n")
            assert splitter.take_head(LIMIT) == LINE + b"\r\n"

    def test_request_behind_a_body_with_a_length_is_found(self):
        framing = BodyFraming(is_chunked=False, length=4)
        data = (LINE + b"\r\nbody") * 3
        heads, body = take_all(RequestSplitter(), data, framing)
        assert (len(heads), body) == (3, b"body" * 3)

    @pytest.mark.parametrize(
        "data",
        [
            b"1;" + b"x" * 100_000,
            b"0\r\n" + b"a:\r\n" * 100_000,
            b"0\r\na: " + b"x" * 100_000,
        ],
    )
    def test_framing_without_end_is_refused(self, data):
        splitter = RequestSplitter()
        splitter.begin_body(CHUNKED)
        with pytest.raises(HeadTooLarge):
            receive_slowly(splitter, data, splitter.take_body)

    @pytest.mark.parametrize("data", [b"zz\r\n", b"1\r\nabc", b"0\r\nno field\r\n"])
    def test_malformed_chunks_are_refused(self, data):
        splitter = RequestSplitter()
        splitter.begin_body(CHUNKED)
        splitter.receive(data)
        with pytest.raises(MalformedMessage):
            splitter.take_body(LIMIT)
