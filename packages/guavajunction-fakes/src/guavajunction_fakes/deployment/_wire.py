"""Wire format of the platform; header names come from the platform adapter."""

from __future__ import annotations

from typing import Any, NamedTuple

from guavajunction_platform import _names as names


class Headers(NamedTuple):
    """Header names of requests and responses."""

    request_id: str = names.REQUEST_ID
    deadline: str = names.DEADLINE
    model: str = names.MODEL
    tokens: str = names.TOKEN_COUNT
    parts: str = names.PROMPT_PARTS
    customer: str = names.CUSTOMER
    target: str = names.TARGET
    not_run: str = names.NOT_RUN
    limit: str = names.SERVER_LIMIT
    leaving: str = names.SERVER_LEAVING
    brittle: str = names.SERVER_BRITTLE
    retry_after: str = names.RETRY_AFTER
    priority: str = names.PRIORITY
    last_event: str = names.LAST_EVENT_ID
    resumes: str = names.RESUMES
    seal: str = "X-Server-Seal"
    key: str = names.AUTHORIZATION


HOST = "here.example"
"""Host name of all routes in the operator's configuration."""

HEADERS = Headers()
KEY_SCHEME = names.KEY_SCHEME
STORE_ERA = names.STORE_ERA


def evacuation_key(zone: str) -> str:
    """Return the key of the row that evacuates a zone."""
    return f"evacuate/{zone}"


def model_entry(name: str, adapters: list[str]) -> dict[str, Any]:
    """Return the entry of a resident model in a runner's report or store entry."""
    return {"name": name, "version": 1, "adapters": sorted(adapters)}


def runner_entry(
    *,
    service: str,
    version: str,
    address: str,
    zone: str,
    slots: int,
    draining: bool,
    started_ms: int,
    heartbeat: int,
    models: list[dict[str, Any]],
    cached_models: list[str],
    cold_ms: float = 0,
) -> dict[str, Any]:
    """Return a runner's entry in the store.

    Args:
        service: Name of the service that the runner belongs to.
        version: Version of the runner's software.
        address: Address of the runner, `host:port`.
        zone: Zone in which the runner is.
        slots: Maximum number of concurrent requests.
        draining: Whether the runner is about to leave.
        started_ms: Start time of the runner in milliseconds since the epoch.
        heartbeat: Sequence number of the entry, counted from the runner's start.
        models: Resident models, as `model_entry` returns them.
        cached_models: Names of the models that the runner has cached.
        cold_ms: Time for which the runner is still cold, in milliseconds.
    """
    return {
        "service": service,
        "address": address,
        "zone": zone,
        "version": version,
        "slots": slots,
        "state": "draining" if draining else "ready",
        "coldRemainingMs": cold_ms,
        "models": models,
        "atHand": {"inMemory": cached_models, "onDisk": cached_models},
        "sequence": heartbeat,
        "born": started_ms,
    }


def runner_report(
    *, orders: int, busy: bool, running: int, models: list[dict[str, Any]]
) -> dict[str, Any]:
    """Return a runner's response to `GET /report`.

    Args:
        orders: Number of orders accepted since the start.
        busy: Whether an order is being executed.
        running: Number of running requests.
        models: Resident models, as `model_entry` returns them.
    """
    return {
        "stage": "colocated",
        "models": models,
        "busy": busy,
        "sequence": orders,
        "waiting": 0,
        "running": running,
        "kvUsed": 0,
        "kvTotal": 1,
        "handles": 0,
        "coming": [],
    }


class OrderBody(NamedTuple):
    """A decoded order."""

    operation: str
    model: str
    adapter: str
    holder: str
    """Instance that sent the order."""
    fence: int
    expected: int | None
    """Number of orders that the runner must have accepted so far; None for any."""


def order_body(body: dict[str, Any]) -> OrderBody:
    """Decode the body of an order."""
    return OrderBody(
        body["operation"],
        body["model"],
        body.get("adapter", ""),
        body["holder"],
        body["fencingToken"],
        body.get("precondition"),
    )


def settings(
    *,
    name: str,
    ip: str,
    store: str,
    grace_seconds: float,
    ports: list[int],
    limits: dict[str, float] | None = None,
) -> dict[str, Any]:
    """Return the content of an instance's settings file.

    Args:
        name: Name of the instance.
        ip: IP address of the instance.
        store: Address of the store, `host:port`.
        grace_seconds: Time that a planned stop allows running requests to end.
        ports: Front, readiness, directory and peer port.
        limits: Limits of the machine; none if omitted.
    """
    front, ready, directory, peer = ports
    return {
        "node": name,
        "role": "gateway",
        "machineClass": "front",
        "serves": ["front", "directory"],
        "ip": ip,
        "zone": "here",
        "region": "here",
        "zones": {"here": "here", "there": "there"},
        "listen": {
            "front": f"{ip}:{front}",
            "ready": f"{ip}:{ready}",
            "directory": f"{ip}:{directory}",
        },
        "internalPortRange": [peer, peer + 1],
        "bounds": {
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetSlack": 50,
            "quotaWindowS": 8,
            "quotaOvershoot": 0.1,
            "quotaSlack": 1000,
            "graceS": grace_seconds,
            "leaseMs": 600,
            "ceilingWindowS": 5,
            "ttl_max_s": 5,
        },
        "platform": {"address": store},
        **({"limits": limits} if limits else {}),
    }


def route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    *,
    attempts: int = 1,
    timeout_ms: int = 5000,
    resumable: bool = False,
) -> dict[str, Any]:
    """Return a route of the operator's configuration.

    Args:
        name: Name of the route.
        prefix: Path prefix of the route's requests.
        kind: `streaming`, `unsafe` or `safe`.
        service: Name of the service that serves the route.
        attempts: Maximum number of attempts for one request.
        timeout_ms: Timeout of a request.
        resumable: Whether an interrupted stream may be resumed.
    """
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": attempts,
        "anonymous": False,
        "sessionAffinity": kind == "streaming",
        "resumable": resumable,
        "gapAimMs": 250,
    }


def engine_service(
    name: str, models: dict[str, float], *, memory_mb: float, load_seconds: float
) -> dict[str, Any]:
    """Return a service of model runners.

    Args:
        name: Name of the service.
        models: Size of each model's weights in MB.
        memory_mb: Accelerator memory of one runner.
        load_seconds: Time to load a model from the weight store.
    """
    return {
        "name": name,
        "healthCheck": "/health",
        "maxConnections": 100,
        "engine": {
            "slots": 8,
            "kvCapacityTokens": 100000,
            "models": [
                {
                    "name": model,
                    "weightsMb": size,
                    "loadS": load_seconds,
                    "adapters": 4,
                    "adapterMb": 10.0,
                    "warmS": load_seconds / 2,
                    "diskS": load_seconds,
                }
                for model, size in models.items()
            ],
            "weightsMb": memory_mb,
            "adapterSlots": 2,
            "loadsPerS": 5,
        },
    }


def plain_service(name: str, *, cold_rate: float | None = None) -> dict[str, Any]:
    """Return a service whose runners have no models.

    Args:
        name: Name of the service.
        cold_rate: Requests a second to a runner that is cold; omitted for no limit.
    """
    content = {"name": name, "healthCheck": "/health", "maxConnections": 100}
    return content | ({} if cold_rate is None else {"coldPerS": cold_rate})


def customer(
    name: str, keys: list[str], *, rate: float = 0, burst: float = 0
) -> dict[str, Any]:
    """Return a customer of the operator's configuration.

    Args:
        name: Name of the customer.
        keys: The customer's API keys.
        rate: Tokens for each second; 0 sets no rate limit.
        burst: Size of the rate limit's token bucket.
    """
    return {
        "name": name,
        "apiKeys": keys,
        "priority": 1,
        "unit": "tokens",
        "plainTokens": 100,
        "ratePerS": rate,
        "burst": burst,
    }


def configuration(
    version: int,
    routes: list[dict[str, Any]],
    services: list[dict[str, Any]],
    customers: list[dict[str, Any]],
    *,
    max_body_bytes: int = 100_000,
) -> dict[str, Any]:
    """Return one version of the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": services,
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": max_body_bytes,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": customers,
    }
