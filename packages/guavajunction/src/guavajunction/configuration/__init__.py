"""The configuration document: checks, acceptance, distribution and operator API.

Operators submit a document through the operator API. The `ConfigurationEditor` writes
a change to the store, which accepts or refuses it. The `ConfigurationManager` of each
instance installs the accepted version.
"""

from __future__ import annotations

from ._build import build
from ._document import Document, check_sections, parse_document
from ._editor import ConfigurationEditor
from ._fault import Fault
from ._head import Head, SectionRef
from ._manager import ConfigurationManager, InstanceVersion
from ._model import (
    EMPTY_CONFIGURATION,
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
from ._operator_dependencies import OperatorDependencies
from ._protocols import ChangeAnnouncer, Explainer, StoreReadObserver
from ._store import Accepted, Change, ConfigurationStore
from ._tables import SECTION_NAMES, Section, Sections

__all__ = [
    "EMPTY_CONFIGURATION",
    "SECTION_NAMES",
    "Accepted",
    "Adapter",
    "BackendServer",
    "Change",
    "Configuration",
    "ConfigurationEditor",
    "ConfigurationManager",
    "ConfigurationStore",
    "StoreReadObserver",
    "Customer",
    "Document",
    "Explainer",
    "Fault",
    "Head",
    "InstanceVersion",
    "KeyRecord",
    "Model",
    "Objective",
    "OperatorDependencies",
    "ChangeAnnouncer",
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
