"""What the operator routes work on."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import NamedTuple

from guavajunction.storage import InstanceRecord

from ._editor import ConfigurationEditor
from ._manager import ConfigurationKeeper
from ._model import KeyRecord
from ._operator_guard import Handler
from ._protocols import Explainer
from ._store import ConfigurationStore

OperatorRoute = tuple[str, str, Handler]
"""Method, path below ``/operator/`` and handler."""


class OperatorParts(NamedTuple):
    """Collaborators of the operator routes."""

    store: ConfigurationStore
    keeper: ConfigurationKeeper
    editor: ConfigurationEditor
    explainer: Explainer
    instances: Callable[[], Iterable[InstanceRecord]]
    """Returns the instances that should be there."""
    drain_instance: Callable[[], None]
    """Starts the graceful stop of this instance."""
    issue: Callable[[str], tuple[str, KeyRecord]]
    """Draws a new key for a customer: the key and what is kept of it."""
