"""Tests of the search for another response in a body without a length."""

from __future__ import annotations

import time

import pytest

from guavajunction.connections import SecondHeadDetector, WrongResponse

ID_HEADER = "X-Id"
COPY = b"HTTP/1.1 200 OK\r\nX-Seal: s\r\nx-id: a\r\nContent-Length: 4\r\n\r\nbody"


@pytest.fixture
def detector():
    return SecondHeadDetector(ID_HEADER)


def feed_until_found(detector, chunks):
    """Return what the detector passes on before it finds a response."""
    passed = b""
    for chunk in chunks:
        try:
            passed += detector.feed(chunk)
        except WrongResponse:
            return passed
    pytest.fail("no response was found")


class TestCopies:
    """No byte of a response that follows in a body is passed on."""

    @pytest.mark.parametrize("body", [b"", b"a body", b"half of HTTP/", b"HTTP/1.1 "])
    @pytest.mark.parametrize("cut", range(1, len(COPY)))
    def test_copy_that_is_cut_anywhere(self, detector, body, cut):
        chunks = (body + COPY[:cut], COPY[cut:])
        assert body.startswith(feed_until_found(detector, chunks))

    def test_copy_in_chunks_of_one_byte(self, detector):
        data = b"a body" + COPY
        chunks = (data[number : number + 1] for number in range(len(data)))
        assert feed_until_found(detector, chunks) == b"a body"

    @pytest.mark.parametrize("cut", range(COPY.index(b"X-Seal"), COPY.index(b"body")))
    def test_copy_that_ends_inside_its_head(self, detector, cut):
        assert detector.feed(b"a body" + COPY[:cut]) == b"a body"
        with pytest.raises(WrongResponse):
            detector.flush()

    def test_copy_with_a_large_head(self, detector):
        line = b"X-Seal: " + b"s" * 1000 + b"\r\n"
        copy = COPY.replace(b"X-Seal: s\r\n", line * 10)
        chunks = (copy[at : at + 700] for at in range(0, len(copy), 700))
        assert feed_until_found(detector, chunks) == b""

    def test_copy_behind_something_like_a_head(self, detector):
        body = b"HTTP/1.1 200 OK\r\nX-Other: HTTP/1.1 200 OK\r\nno field "
        assert body.startswith(feed_until_found(detector, [body + COPY]))


class TestTime:
    """No body takes long, whatever it holds."""

    @pytest.mark.parametrize(
        "piece",
        [
            b"HTTP/",
            b"HTTP/1.1 200 ",
            b"HTTP/1.1 200 OK\n",
            b"a:HTTP/1.1 200 \r\n",
            b"HTTP/1.1 200 OK\r\n",
            b"a:\r\n",
        ],
    )
    @pytest.mark.parametrize("size", [32_768, 64])
    def test_hostile_body_does_not_block(self, detector, piece, size):
        body = b"HTTP/1.1 200 OK\r\n" + piece * (262_144 // len(piece))
        began = time.process_time()
        passed = b"".join(
            detector.feed(body[at : at + size]) for at in range(0, len(body), size)
        )
        assert time.process_time() - began < 0.5
        assert body.startswith(passed)
        assert len(passed) > len(body) - 2 * detector.MAX_HEAD_BYTES


class TestBodies:
    """A body that only speaks of responses is passed on whole."""

    @pytest.mark.parametrize(
        "body",
        [
            b"",
            b"ends with H",
            b"ends with HTTP/1.1 20",
            b"HTTP/1.1 200 OK\r\nX-Other: 1\r\n\r\nwithout an id",
            b"HTTP/1.1 200 OK\nX-Id: a\n\nother line ends",
            b"data: HTTP/1.1 200 OK\n\ndata: X-Id: a\n\n",
            b"HTTP/1.1 200 OK\r\nno field\r\nX-Id: a\r\n\r\n",
            b"HTTP/2 and HTTP/1.1 and HTTP/x",
        ],
    )
    @pytest.mark.parametrize("size", [1, 3, 1000])
    def test_body_is_passed_on_in_order(self, detector, body, size):
        passed = b""
        for start in range(0, len(body), size):
            passed += detector.feed(body[start : start + size])
        assert passed + detector.flush() == body

    def test_head_without_end_is_held_back_for_a_limited_time(self, detector):
        line = b"X-Id: a\r\n"
        count = 2 * detector.MAX_HEAD_BYTES // len(line)
        data = b"HTTP/1.1 200 OK\r\n" + line * count
        passed = b"".join(
            detector.feed(data[start : start + 1000])
            for start in range(0, len(data), 1000)
        )
        assert len(passed) > len(data) - detector.MAX_HEAD_BYTES
        assert passed + detector.flush() == data
