"""Malformed and sound forms of HTTP/1.1 responses.

`{id}` stands for the header line that names the request.
"""

from __future__ import annotations

MALFORMED_HEADS = {
    "status 000": b"HTTP/1.1 000 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "status 099": b"HTTP/1.1 099 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "status 600": b"HTTP/1.1 600 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "status 999": b"HTTP/1.1 999 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "status of two digits": b"HTTP/1.1 20 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "status of four digits": b"HTTP/1.1 2000 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "negative status": b"HTTP/1.1 -20 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "status in other digits": (
        "HTTP/1.1 ٢٠٠ OK\r\n{id}Content-Length: 4\r\n\r\nbody".encode()
    ),
    "no status": b"HTTP/1.1 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "two blanks before the status": (
        b"HTTP/1.1  200 OK\r\n{id}Content-Length: 4\r\n\r\nbody"
    ),
    "tab before the status": b"HTTP/1.1\t200 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "control byte in the reason": (
        b"HTTP/1.1 200 O\x01K\r\n{id}Content-Length: 4\r\n\r\nbody"
    ),
    "bare CR in the reason": b"HTTP/1.1 200 O\rK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "version 2.0": b"HTTP/2.0 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "version 0.9": b"HTTP/0.9 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "version of two digits": b"HTTP/1.10 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "version in lower case": b"http/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "other protocol": b"ICY 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "blank before the status line": (
        b" HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody"
    ),
    "empty line before the status line": (
        b"\r\nHTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody"
    ),
    "status line ends with LF": b"HTTP/1.1 200 OK\n{id}Content-Length: 4\r\n\r\nbody",
    "field ends with LF": b"HTTP/1.1 200 OK\r\n{id}Content-Length: 4\n\r\nbody",
    "head ends with LF": b"HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\nbody",
    "all lines end with LF": b"HTTP/1.1 200 OK\n{id}Content-Length: 4\n\nbody",
    "blank after a name": b"HTTP/1.1 200 OK\r\n{id}Content-Length : 4\r\n\r\nbody",
    "tab after a name": b"HTTP/1.1 200 OK\r\n{id}Content-Length\t: 4\r\n\r\nbody",
    "blank in a name": b"HTTP/1.1 200 OK\r\n{id}Content Length: 4\r\n\r\nbody",
    "blank after another name": (
        b"HTTP/1.1 200 OK\r\n{id}X-Other : 1\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "control byte in a name": (
        b"HTTP/1.1 200 OK\r\n{id}X-\x01Other: 1\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "NUL in a name": (
        b"HTTP/1.1 200 OK\r\n{id}X\x00Y: 1\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "byte over 127 in a name": (
        b"HTTP/1.1 200 OK\r\n{id}X-\xe9: 1\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "separator in a name": (
        b"HTTP/1.1 200 OK\r\n{id}X(Y): 1\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "empty name": b"HTTP/1.1 200 OK\r\n{id}: 1\r\nContent-Length: 4\r\n\r\nbody",
    "no colon": b"HTTP/1.1 200 OK\r\n{id}X-Other\r\nContent-Length: 4\r\n\r\nbody",
    "blank before the first name": (
        b"HTTP/1.1 200 OK\r\n X-Other: 1\r\n{id}Content-Length: 4\r\n\r\nbody"
    ),
    "folded value": (
        b"HTTP/1.1 200 OK\r\n{id}X-Other: 1\r\n 2\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "NUL in a value": (
        b"HTTP/1.1 200 OK\r\n{id}X-Other: 1\x002\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "control byte in a value": (
        b"HTTP/1.1 200 OK\r\n{id}X-Other: 1\x1b2\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "DEL in a value": (
        b"HTTP/1.1 200 OK\r\n{id}X-Other: 1\x7f2\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "bare CR in a value": (
        b"HTTP/1.1 200 OK\r\n{id}X-Other: 1\r2\r\nContent-Length: 4\r\n\r\nbody"
    ),
    "two lengths": (
        b"HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\nContent-Length: 2\r\n\r\nbody"
    ),
    "list of lengths": b"HTTP/1.1 200 OK\r\n{id}Content-Length: 4, 2\r\n\r\nbody",
    "signed length": b"HTTP/1.1 200 OK\r\n{id}Content-Length: +4\r\n\r\nbody",
    "negative length": b"HTTP/1.1 200 OK\r\n{id}Content-Length: -4\r\n\r\nbody",
    "hexadecimal length": b"HTTP/1.1 200 OK\r\n{id}Content-Length: 0x4\r\n\r\nbody",
    "blank in a length": b"HTTP/1.1 200 OK\r\n{id}Content-Length: 0 4\r\n\r\nbody",
    "empty length": b"HTTP/1.1 200 OK\r\n{id}Content-Length:\r\n\r\nbody",
    "length beyond 64 bits": (
        b"HTTP/1.1 200 OK\r\n{id}Content-Length: 18446744073709551620\r\n\r\nbody"
    ),
    "length and chunks": (
        b"HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n"
        b"Transfer-Encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "chunks twice": (
        b"HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked, chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "unknown transfer coding": (
        b"HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: xchunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "chunks in HTTP/1.0": (
        b"HTTP/1.0 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "switch of protocols": (
        b"HTTP/1.1 101 Switching Protocols\r\n{id}Upgrade: x\r\n"
        b"Connection: upgrade\r\n\r\nbody"
    ),
    "malformed interim head": (
        b"HTTP/1.1 103 Early\r\nX-Other : 1\r\n\r\n"
        b"HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody"
    ),
}
"""Heads that no server writes."""

_CHUNKED = b"HTTP/1.1 200 OK\r\n{id}Transfer-Encoding: chunked\r\n\r\n"

MALFORMED_CHUNKS = {
    "size without digits": _CHUNKED + b"\r\nbody\r\n0\r\n\r\n",
    "size with a sign": _CHUNKED + b"+4\r\nbody\r\n0\r\n\r\n",
    "size with a prefix": _CHUNKED + b"0x4\r\nbody\r\n0\r\n\r\n",
    "blank before a size": _CHUNKED + b" 4\r\nbody\r\n0\r\n\r\n",
    "blank after a size": _CHUNKED + b"4 \r\nbody\r\n0\r\n\r\n",
    "size ends with LF": _CHUNKED + b"4\nbody\r\n0\r\n\r\n",
    "size beyond 64 bits": _CHUNKED + b"10000000000000004\r\nbody\r\n0\r\n\r\n",
    "control byte in an extension": _CHUNKED + b"4;a=\x01\r\nbody\r\n0\r\n\r\n",
    "extension without a name": _CHUNKED + b"4;=1\r\nbody\r\n0\r\n\r\n",
    "chunk ends with LF": _CHUNKED + b"4\r\nbody\n0\r\n\r\n",
    "chunk without an end": _CHUNKED + b"4\r\nbody0\r\n\r\n",
    "chunk longer than its size": _CHUNKED + b"3\r\nbody\r\n0\r\n\r\n",
    "chunk shorter than its size": _CHUNKED + b"5\r\nbody\r\n0\r\n\r\n",
    "blank after a trailer's name": _CHUNKED + b"4\r\nbody\r\n0\r\nX-T : 1\r\n\r\n",
    "control byte in a trailer": _CHUNKED + b"4\r\nbody\r\n0\r\nX-T: \x02\r\n\r\n",
    "trailer ends with LF": _CHUNKED + b"4\r\nbody\r\n0\r\nX-T: 1\n\r\n",
    "trailer without a colon": _CHUNKED + b"4\r\nbody\r\n0\r\nX-T\r\n\r\n",
}
"""Bodies in chunks that no server writes."""

SOUND = {
    "length": b"HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "length with zeros": b"HTTP/1.1 200 OK\r\n{id}Content-Length: 0004\r\n\r\nbody",
    "empty reason": b"HTTP/1.1 200 \r\n{id}Content-Length: 4\r\n\r\nbody",
    "no reason": b"HTTP/1.1 200\r\n{id}Content-Length: 4\r\n\r\nbody",
    "long reason": b"HTTP/1.1 200 Is\twell\xe9\r\n{id}Content-Length: 4\r\n\r\nbody",
    "unknown status 299": b"HTTP/1.1 299 Odd\r\n{id}Content-Length: 4\r\n\r\nbody",
    "unknown status 499": b"HTTP/1.1 499 Odd\r\n{id}Content-Length: 4\r\n\r\nbody",
    "unknown status 599": b"HTTP/1.1 599 Odd\r\n{id}Content-Length: 4\r\n\r\nbody",
    "HTTP/1.0": b"HTTP/1.0 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody",
    "no blanks around a value": b"HTTP/1.1 200 OK\r\n{id}Content-Length:4\r\n\r\nbody",
    "blanks around a value": (
        b"HTTP/1.1 200 OK\r\n{id}Content-Length: \t 4 \t\r\n\r\nbody"
    ),
    "empty value": b"HTTP/1.1 200 OK\r\n{id}X-Other:\r\nContent-Length: 4\r\n\r\nbody",
    "name in other case": b"HTTP/1.1 200 OK\r\n{id}CONTENT-length: 4\r\n\r\nbody",
    "all bytes of names": (
        b"HTTP/1.1 200 OK\r\n{id}!#$%&'*+-.^_`|~09azAZ: 1\r\nContent-Length: 4\r\n\r\n"
        b"body"
    ),
    "obsolete bytes in a value": (
        b"HTTP/1.1 200 OK\r\n{id}X-Other: caf\xe9 \xff\tend\r\n"
        b"Content-Length: 4\r\n\r\nbody"
    ),
    "interim heads": (
        b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 102 \r\n\r\n"
        b"HTTP/1.1 200 OK\r\n{id}Content-Length: 4\r\n\r\nbody"
    ),
    "chunks": _CHUNKED + b"3\r\nbod\r\n1\r\ny\r\n0\r\n\r\n",
    "chunks in other case": (
        b"HTTP/1.1 200 OK\r\n{id}transfer-encoding: Chunked\r\n\r\n"
        b"4\r\nbody\r\n0\r\n\r\n"
    ),
    "size with zeros": _CHUNKED + b"0004\r\nbody\r\n000\r\n\r\n",
    "extensions of chunks": (
        _CHUNKED + b'4;a;b=c ; d = "q \\" \xe9;\t"\r\nbody\r\n0;e=1\r\n\r\n'
    ),
    "trailers": _CHUNKED + b"4\r\nbody\r\n0\r\nX-T: caf\xe9\r\nX-U:\r\n\r\n",
    "no length": b"HTTP/1.1 200 OK\r\n{id}\r\nbody",
}
"""Responses with the body `body`; the last one ends with its connection."""
