"""What backend servers say of themselves in their answers."""

from __future__ import annotations

from ._server_statements import ServerStatements

__all__ = ["ServerStatements"]
