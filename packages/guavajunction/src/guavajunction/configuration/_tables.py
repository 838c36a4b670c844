"""Wire form of the document: one typed table for the entries of each section.

The reference page is generated from the docstrings and rules of these tables.
"""

from __future__ import annotations

from typing import Annotated, Any, Literal, NotRequired, TypedDict

from ._rule import ADDRESS, DIGEST, NAME, PREFIX, Rule

Method = Literal["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"]


class CustomerTable(TypedDict):
    """An organisation that sends requests with its own keys."""

    rate: Annotated[
        float, Rule("Tokens per second, over all instances together", above=0)
    ]
    burst: Annotated[
        float, Rule("Tokens that may be used at once; at least `rate`", above=0)
    ]
    weight: NotRequired[
        Annotated[float, Rule("Relative share of contended backend servers", above=0)]
    ]
    models: NotRequired[
        Annotated[
            list[str],
            Rule(
                "Models and adapters that the customer may use; empty for all",
                text_format=NAME,
            ),
        ]
    ]


class KeyTable(TypedDict):
    """An issued key, by its key id; managed with `guavactl keys`."""

    customer: Annotated[str, Rule("Customer that uses the key", text_format=NAME)]
    digest: Annotated[str, Rule("HMAC-SHA256 of the key", text_format=DIGEST)]


class AdapterTable(TypedDict):
    """A small set of weights on top of the base model `[models.NAME]`."""

    version: Annotated[str, Rule("Version that is deployed", text_format=NAME)]
    memory_mib: Annotated[int, Rule("Accelerator memory in MiB", at_least=1)]


class ModelTable(TypedDict):
    """A base model."""

    version: Annotated[str, Rule("Version that is deployed", text_format=NAME)]
    pool: Annotated[
        str, Rule("Pool of engines that may load the model", text_format=NAME)
    ]
    memory_mib: Annotated[int, Rule("Accelerator memory in MiB", at_least=1)]
    min_replicas: NotRequired[
        Annotated[
            int,
            Rule("Minimum number of engines that have the model loaded", at_least=1),
        ]
    ]
    adapters: NotRequired[
        Annotated[dict[str, AdapterTable], Rule("Adapters of the model, by name")]
    ]


class BackendTable(TypedDict):
    """A server that runs a model engine or a plain service."""

    kind: Annotated[Literal["engine", "service"], Rule("What the server runs")]
    address: Annotated[str, Rule("IP number and port", text_format=ADDRESS)]
    data_centre: Annotated[str, Rule("Data centre of the server", text_format=NAME)]
    pool: Annotated[str, Rule("Pool of the server", text_format=NAME)]
    accelerators: NotRequired[
        Annotated[int, Rule("Number of accelerators", at_least=0)]
    ]
    memory_mib: NotRequired[
        Annotated[int, Rule("Accelerator memory in MiB; engines only", at_least=0)]
    ]
    kv_reserve_mib: NotRequired[
        Annotated[
            int, Rule("Part of `memory_mib` reserved for the KV cache", at_least=0)
        ]
    ]
    slots: NotRequired[
        Annotated[int, Rule("Maximum number of concurrent requests", at_least=1)]
    ]
    checks_orders: NotRequired[
        Annotated[
            bool, Rule("Whether the engine refuses orders with an old fencing number")
        ]
    ]
    leaving: NotRequired[Annotated[bool, Rule("Whether the server gets no new work")]]


class RouteTable(TypedDict):
    """A path prefix of a plain service; the longest matching prefix applies."""

    prefix: Annotated[
        str, Rule("Path prefix, relative to the service", text_format=PREFIX)
    ]
    methods: Annotated[list[Method], Rule("Accepted methods", at_least=1)]
    idempotent: Annotated[bool, Rule("Whether a call may run more than once")]
    open_to_all: NotRequired[Annotated[bool, Rule("Whether calls need no key")]]
    cost: NotRequired[Annotated[float, Rule("Tokens charged for a call", at_least=0)]]


class ServiceTable(TypedDict):
    """An HTTP service that is not a model engine."""

    pool: Annotated[
        str, Rule("Pool of backend servers that run the service", text_format=NAME)
    ]
    routes: Annotated[list[RouteTable], Rule("Routes of the service", at_least=1)]


class ObjectiveTable(TypedDict):
    """Latency objectives of a class of requests, `live` or `batch`."""

    first_token: Annotated[
        float, Rule("Maximum time to the first token, in seconds", above=0)
    ]
    between_tokens: Annotated[
        float, Rule("Maximum time between tokens, in seconds", above=0)
    ]
    max_wait: Annotated[
        float, Rule("Maximum time in the queue, in seconds", at_least=0)
    ]


Section = dict[str, Any]
"""One section in its wire form: the table of each entry, by name."""

Sections = dict[str, Section]
"""A whole document in its wire form: every section by name."""

SECTION_TABLES: dict[str, type] = {
    "customers": CustomerTable,
    "keys": KeyTable,
    "models": ModelTable,
    "backends": BackendTable,
    "services": ServiceTable,
    "objectives": ObjectiveTable,
}
"""Type of the entries of each section, by name of the section."""

SECTION_NAMES = tuple(SECTION_TABLES)
"""Names of all sections, in the order of the document."""


def empty_sections() -> Sections:
    """Return a document without entries."""
    return {name: {} for name in SECTION_NAMES}
