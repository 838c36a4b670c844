"""Checks between entries: references, duplicates and bounds between values."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterator
from itertools import combinations

from ._fault import Fault
from ._tables import Section, Sections

_REQUEST_CLASSES = ("live", "batch")


def reference_faults(sections: Sections) -> Iterator[Fault]:
    """Yield every fault between entries of a document with a valid shape."""
    yield from _customer_faults(sections)
    yield from _key_faults(sections)
    yield from _artifact_faults(sections["models"])
    yield from _backend_faults(sections["backends"])
    yield from _service_faults(sections)
    yield from _objective_faults(sections)


def artifact_names(models: Section) -> list[str]:
    """Return the names of all models and adapters, including duplicates."""
    adapters = [name for model in models.values() for name in model.get("adapters", ())]
    return [*models, *adapters]


def _customer_faults(sections: Sections) -> Iterator[Fault]:
    known = set(artifact_names(sections["models"]))
    for name, customer in sections["customers"].items():
        path = f"customers.{name}"
        if customer["burst"] < customer["rate"]:
            expected = f"at least the rate, {customer['rate']:g}"
            yield Fault(f"{path}.burst", f"{customer['burst']:g}", expected)
        for index, model in enumerate(customer.get("models", ())):
            if model not in known:
                item_path = f"{path}.models[{index}]"
                yield Fault(item_path, f"`{model}`", "a model or adapter under models")


def _key_faults(sections: Sections) -> Iterator[Fault]:
    seen: dict[str, str] = {}
    for key_id, key in sections["keys"].items():
        path = f"keys.{key_id}"
        if key["customer"] not in sections["customers"]:
            found = f"`{key['customer']}`"
            yield Fault(f"{path}.customer", found, "a customer under customers")
        first = seen.setdefault(key["digest"], key_id)
        if first != key_id:
            yield Fault(f"{path}.digest", f"that of keys.{first}", "each digest once")


def _artifact_faults(models: Section) -> Iterator[Fault]:
    counts = Counter(artifact_names(models))
    for name, model in models.items():
        for adapter in model.get("adapters", ()):
            if counts[adapter] > 1:
                path = f"models.{name}.adapters.{adapter}"
                found = f"{counts[adapter]} models or adapters of this name"
                yield Fault(path, found, "one")


def _backend_faults(backends: Section) -> Iterator[Fault]:
    seen: dict[str, str] = {}
    for name, backend in backends.items():
        path = f"backends.{name}"
        first = seen.setdefault(backend["address"], name)
        if first != name:
            found = f"{backend['address']}, that of backends.{first}"
            yield Fault(f"{path}.address", found, "each address once")
        yield from _memory_faults(path, backend)


def _memory_faults(path: str, backend: Section) -> Iterator[Fault]:
    memory = backend.get("memory_mib", 0)
    reserve = backend.get("kv_reserve_mib", 0)
    if backend["kind"] == "service":
        if memory or reserve:
            yield Fault(f"{path}.memory_mib", str(memory), "0 for a service")
    elif memory <= 0:
        yield Fault(f"{path}.memory_mib", str(memory), "more than 0 for an engine")
    elif reserve >= memory:
        expected = f"less than memory_mib, {memory}"
        yield Fault(f"{path}.kv_reserve_mib", str(reserve), expected)


def _service_faults(sections: Sections) -> Iterator[Fault]:
    backends = sections["backends"].values()
    pools = {b["pool"] for b in backends if b["kind"] == "service"}
    for name, service in sections["services"].items():
        path = f"services.{name}"
        if service["pool"] not in pools:
            expected = "a pool with a backend server of kind `service`"
            yield Fault(f"{path}.pool", f"`{service['pool']}`", expected)
        yield from _route_faults(path, service["routes"])


def _route_faults(path: str, routes: list[Section]) -> Iterator[Fault]:
    for (i, first), (j, second) in combinations(enumerate(routes), 2):
        shared = set(first["methods"]) & set(second["methods"])
        if first["prefix"] == second["prefix"] and shared:
            found = (
                f"{first['prefix']} with {', '.join(sorted(shared))}, as routes[{i}]"
            )
            yield Fault(f"{path}.routes[{j}]", found, "each prefix and method once")


def _objective_faults(sections: Sections) -> Iterator[Fault]:
    objectives = sections["objectives"]
    for name in sorted(objectives.keys() - set(_REQUEST_CLASSES)):
        yield Fault(f"objectives.{name}", f"`{name}`", "`live` or `batch`")
    if not sections["models"]:
        return
    for name in _REQUEST_CLASSES:
        if name not in objectives:
            yield Fault(f"objectives.{name}", "nothing", "a table, as models are given")
