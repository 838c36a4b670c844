"""Dependencies of the operator routes."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from guavajunction.storage import InstanceRecord

from ._editor import ConfigurationEditor
from ._manager import ConfigurationManager
from ._model import KeyRecord
from ._operator_guard import Handler
from ._protocols import Explainer
from ._store import ConfigurationStore

OperatorRoute = tuple[str, str, Handler]
"""Method, path below ``/operator/`` and handler."""


class OperatorDependencies(NamedTuple):
    """Objects that the handlers of the operator routes use."""

    store: ConfigurationStore
    manager: ConfigurationManager
    editor: ConfigurationEditor
    explainer: Explainer
    instances: Callable[[], Iterable[InstanceRecord]]
    """Returns the instances on the platform's instance list."""
    drain_instance: Callable[[], None]
    """Starts the graceful stop of this instance."""
    issue_key: Callable[[str], tuple[str, KeyRecord]]
    """Generates a key for a customer; returns the key and the record to store."""
