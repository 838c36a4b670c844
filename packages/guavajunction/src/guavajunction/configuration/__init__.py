"""The configuration document and the version of it that is in force."""

from __future__ import annotations

from ._build import build
from ._document import Document, check_sections, parse_document
from ._editor import ConfigurationEditor
from ._fault import Fault
from ._head import Head, SectionRef
from ._manager import ConfigurationKeeper, InstanceInForce
from ._model import (
    EMPTY,
    Adapter,
    BackendServer,
    Configuration,
    Customer,
    KeyRecord,
    Model,
    Objective,
    Route,
    Service,
)
from ._operator_api import operator_routes
from ._operator_dependencies import OperatorParts
from ._protocols import Confirmations, Explainer, PendingNotes
from ._store import Accepted, Change, ConfigurationStore
from ._tables import SECTION_NAMES, Section, Sections

__all__ = [
    "EMPTY",
    "SECTION_NAMES",
    "Accepted",
    "Adapter",
    "BackendServer",
    "Change",
    "Configuration",
    "ConfigurationEditor",
    "ConfigurationKeeper",
    "ConfigurationStore",
    "Confirmations",
    "Customer",
    "Document",
    "Explainer",
    "Fault",
    "Head",
    "InstanceInForce",
    "KeyRecord",
    "Model",
    "Objective",
    "OperatorParts",
    "PendingNotes",
    "Route",
    "Section",
    "SectionRef",
    "Sections",
    "Service",
    "build",
    "check_sections",
    "operator_routes",
    "parse_document",
]
