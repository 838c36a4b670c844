"""HTTP connections that never let an incomplete body pass for a complete one."""

from __future__ import annotations

from ._read_body import BodyTooLarge, read_body
from ._sockets import NO_LINGER, open_socket, reset, set_timers
from ._streams import Stream, open_stream, serve_streams
from ._strict_connection import StrictConnection, WrongResponse
from ._strict_connector import StrictConnector
from ._unframed_response import UnframedResponse

__all__ = [
    "BodyTooLarge",
    "NO_LINGER",
    "Stream",
    "StrictConnection",
    "StrictConnector",
    "UnframedResponse",
    "WrongResponse",
    "open_socket",
    "open_stream",
    "read_body",
    "reset",
    "serve_streams",
    "set_timers",
]
