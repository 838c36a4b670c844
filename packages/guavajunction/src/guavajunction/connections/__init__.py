"""HTTP connections that never let an incomplete body pass for a complete one."""

from __future__ import annotations

from ._bounded_app_runner import BoundedAppRunner
from ._bounded_server import BoundedConnection, BoundedServer, limit_kernel_buffers
from ._message_grammar import MalformedMessage, ResponseGrammar
from ._read_body import BodyTooLarge, is_chunked, iter_body, read_body
from ._relayed_response import RelayedResponse
from ._second_head import SecondHeadDetector
from ._server_bounds import ServerBounds
from ._sockets import (
    NO_LINGER,
    close_in_order,
    open_socket,
    reset,
    reset_when_closed,
    set_timers,
)
from ._streams import Stream, open_stream, serve_streams
from ._strict_connection import (
    InvalidResponse,
    MalformedResponse,
    StrictConnection,
    WrongResponse,
)
from ._strict_connector import StrictConnector

__all__ = [
    "BoundedAppRunner",
    "BoundedConnection",
    "BoundedServer",
    "BodyTooLarge",
    "InvalidResponse",
    "MalformedMessage",
    "MalformedResponse",
    "NO_LINGER",
    "RelayedResponse",
    "ResponseGrammar",
    "SecondHeadDetector",
    "ServerBounds",
    "Stream",
    "StrictConnection",
    "StrictConnector",
    "WrongResponse",
    "close_in_order",
    "is_chunked",
    "iter_body",
    "limit_kernel_buffers",
    "open_socket",
    "open_stream",
    "read_body",
    "reset",
    "reset_when_closed",
    "serve_streams",
    "set_timers",
]
