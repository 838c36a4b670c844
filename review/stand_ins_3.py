"""Stand-ins for the cases of the third review: store, runners, clients, processes.

Only the standard library is used, so that nothing has to be installed. The stand-ins
speak what the users' PROTOCOL page says. Instances of the system are started with the
`run` line of `deploy/system.toml`, each on a loopback address of its own.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
import os
import random
import shutil
import signal
import socket
import struct
import subprocess
import tempfile
import time
import tomllib
from collections import Counter
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-the-ordinary-tenant"
OTHER_KEY = "key-of-the-other-tenant"
LIMIT_SECONDS = 110.0
READY_SECONDS = 30.0
HEAD_END = b"\r\n\r\n"
MAX_HEAD = 262_144


class Unusable(Exception):
    """The case could not run."""


class Message(NamedTuple):
    """An HTTP message as it was received."""

    start: str
    fields: list[tuple[bytes, bytes]]
    body: bytes
    raw_head: bytes

    def get(self, name: str) -> str | None:
        """Return the first value of a field, decoded as Latin-1."""
        wanted = name.lower().encode()
        for key, value in self.fields:
            if key.lower() == wanted:
                return value.decode("latin-1")
        return None

    @property
    def status(self) -> int:
        """Return the status of a response."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader, *, is_response: bool) -> Message:
    """Read one message; a body is complete or `IncompleteReadError` is raised."""
    head = await reader.readuntil(HEAD_END)
    lines = head[: -len(HEAD_END)].split(b"\r\n")
    fields = []
    for line in lines[1:]:
        name, _, value = line.partition(b":")
        fields.append((name, value.strip(b" \t")))
    message = Message(lines[0].decode("latin-1"), fields, b"", head)
    if message.get("transfer-encoding"):
        body = bytearray()
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if size == 0:
                break
        return message._replace(body=bytes(body))
    length = message.get("content-length")
    if length is not None:
        return message._replace(body=await reader.readexactly(int(length)))
    if is_response and message.status not in (204, 304):
        return message._replace(body=await reader.read())
    return message


def response(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return a response with a length."""
    lines = [f"HTTP/1.1 {status} X", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode("latin-1") + HEAD_END + body


def json_response(status: int, content: Any) -> bytes:
    """Return a response with a JSON body."""
    body = json.dumps(content).encode()
    return response(status, {"Content-Type": "application/json"}, body)


class Server:
    """An HTTP server on a loopback address."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, ip: str, port: int = 0) -> None:
        """Listen on a port, a free one if it is 0."""
        self._server = await asyncio.start_server(self._serve, ip, port, limit=MAX_HEAD)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def reset(self) -> None:
        """Listen no more, and reset all channels."""
        if self._server is not None:
            self._server.close()
        for writer in self._writers:
            sock = writer.get_extra_info("socket")
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                message = await read_message(reader, is_response=False)
                await self.answer(message, writer)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # Only the end of the case cancels; asyncio would log it as an error.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Write the answer to a request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: rows with versions, conditional writes and a feed."""

    def __init__(self) -> None:
        super().__init__()
        self._rows: dict[str, dict[str, tuple[int, str | None]]] = {}
        self._ver = 0
        self._changed = asyncio.Event()
        self.reads_by_peer: dict[str, int] = {}

    def put(self, table: str, key: str, value: str | None) -> None:
        """Write or drop a row; the value is in base64."""
        self._ver += 1
        self._rows.setdefault(table, {})[key] = (self._ver, value)
        self._changed.set()
        self._changed = asyncio.Event()

    def put_json(self, table: str, key: str, content: Any) -> None:
        """Write a row as the operator or a runner does."""
        self.put(table, key, base64.b64encode(json.dumps(content).encode()).decode())

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a call of the system."""
        _, target, _ = message.start.split(" ")
        path, _, query_text = target.partition("?")
        query = {}
        for pair in query_text.split("&"):
            name, _, value = pair.partition("=")
            query[name] = _unquote(value)
        if path == "/rows-tx":
            writer.write(self._transact(json.loads(message.body)))
        elif path == "/rows-get":
            writer.write(self._get(query))
        elif path == "/rows-feed":
            writer.write(await self._feed(query))
        else:
            writer.write(json_response(404, {}))

    def _transact(self, body: dict[str, Any]) -> bytes:
        for row in body.get("precondition", []):
            known = self._rows.get(row["table"], {}).get(row["key"], (0, None))
            if (known[0] if known[1] is not None else 0) != row["ver"]:
                return json_response(412, {"rows": [], **self._common()})
        for row in body.get("writes", []):
            self.put(row["table"], row["key"], row["value"])
        for row in body.get("remove", []):
            self.put(row["table"], row["key"], None)
        return json_response(200, self._common())

    def _get(self, query: dict[str, str]) -> bytes:
        first, last = query.get("from", ""), query.get("to")
        rows = [
            self._wire(query["table"], key, row)
            for key, row in sorted(self._rows.get(query["table"], {}).items())
            if row[1] is not None and key >= first and (last is None or key < last)
        ]
        return json_response(200, {"rows": rows, "truncated": False, **self._common()})

    async def _feed(self, query: dict[str, str]) -> bytes:
        table, after = query["table"], int(query["after"])
        ends_at = time.monotonic() + int(query.get("waitMs", "0")) / 1000
        while True:
            rows = [
                self._wire(table, key, row)
                for key, row in self._rows.get(table, {}).items()
                if row[0] > after
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0:
                rows.sort(key=lambda row: row["ver"])
                content = {"rows": rows, "truncated": False, **self._common()}
                return json_response(200, content)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left)

    def _wire(self, table: str, key: str, row: tuple[int, str | None]) -> dict:
        common = {"table": table, "part": "", "key": key, "ver": row[0]}
        if row[1] is None:
            return {**common, "tombstone": True}
        return {**common, "value": row[1]}

    def _common(self) -> dict[str, int]:
        return {"ver": self._ver, "nowMs": int(time.monotonic() * 1000)}


def _unquote(text: str) -> str:
    from urllib.parse import unquote_plus

    return unquote_plus(text)


class Arrival(NamedTuple):
    """A request that a runner began to run."""

    at: float
    message: Message


class Runner(Server):
    """A sound runner: an engine with resident models, or a plain application."""

    HEARTBEAT_SECONDS = 1.2
    EVENTS = 3
    """Events of a stream."""

    def __init__(
        self, store: Store, name: str, service: str, models: list[str]
    ) -> None:
        super().__init__()
        self.store = store
        self.name = name
        self.service = service
        self.models = models
        self.slots = 32 if models else 6
        self.work_seconds = 0.002
        self._places = asyncio.Semaphore(self.slots)
        self.runs: list[Arrival] = []
        self.events = self.EVENTS
        self.keep_runs = True
        self.run_count = 0
        self._sequence = 0
        self._born = int(time.time() * 1000)
        self._beat: asyncio.Task[None] | None = None

    async def register(self, ip: str) -> None:
        """Listen, and write the entry again and again."""
        await self.start(ip)
        self._write_entry()
        self._beat = asyncio.create_task(self._heartbeats())

    async def crash(self, seconds: float) -> None:
        """End, and start again after a while under the same id, with all models."""
        ip, _, port = self.address.partition(":")
        if self._beat is not None:
            self._beat.cancel()
        self.reset()
        await asyncio.sleep(seconds)
        self._born, self._sequence = int(time.time() * 1000), 0
        await self.start(ip, int(port))
        self._write_entry()
        self._beat = asyncio.create_task(self._heartbeats())

    async def _heartbeats(self) -> None:
        while True:
            await asyncio.sleep(self.HEARTBEAT_SECONDS)
            self._write_entry()

    def _wire_models(self) -> list[dict[str, Any]]:
        return [{"name": m, "version": 1, "adapters": []} for m in self.models]

    def _write_entry(self) -> None:
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "here",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "models": self._wire_models(),
            "atHand": {"inMemory": self.models, "onDisk": self.models},
            "sequence": self._sequence,
            "born": self._born,
        }
        self.store.put_json("servers", self.name, entry)

    async def answer(self, message: Message, writer: asyncio.StreamWriter) -> None:
        """Answer a call of the system or run a request."""
        method, target, _ = message.start.split(" ", 2)
        wanted = message.get("x-target-instance")
        if wanted is not None and wanted != self.name:
            writer.write(self._not_run(421, message))
        elif (method, target) == ("GET", "/report"):
            writer.write(json_response(200, self._report()))
        elif target == "/order":
            # Every model of the case is resident from the start.
            writer.write(json_response(409, {}))
        elif message.get("x-attempt-id") is None:
            writer.write(self._not_run(400, message))
        elif self.models and _model(message) not in self.models:
            writer.write(self._not_run(421, message))
        else:
            await self._run(message, writer)

    def _report(self) -> dict[str, Any]:
        return {
            "stage": "colocated",
            "models": self._wire_models(),
            "busy": False,
            "sequence": 0,
            "waiting": 0,
            "running": 0,
            "kvUsed": 0,
            "kvTotal": 123_041,
            "handles": 0,
            "coming": [],
        }

    def _identity(self, message: Message) -> dict[str, str]:
        return {
            "X-Attempt-Id": message.get("x-attempt-id") or "",
            "X-Instance-Id": self.name,
        }

    def _not_run(self, status: int, message: Message) -> bytes:
        fields = {**self._identity(message), "X-Not-Executed": "1"}
        return response(status, fields)

    async def _run(self, message: Message, writer: asyncio.StreamWriter) -> None:
        self.run_count += 1
        if self.keep_runs:
            self.runs.append(Arrival(time.monotonic(), message))
        async with self._places:
            await self._work(message, writer)

    async def _work(self, message: Message, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(self.work_seconds)
        if not self.models:
            writer.write(response(200, self._sealed(message), b"done"))
            return
        self._begin_stream(message, writer)
        for number in range(1, self.events + 1):
            event = f"id: {number}\ndata: token {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            await writer.drain()
            await asyncio.sleep(self.work_seconds)
        writer.write(b"0\r\n\r\n")

    def _sealed(self, message: Message) -> dict[str, str]:
        return {**self._identity(message), "X-Server-Seal": f"{self.name}.seal"}

    def _begin_stream(self, message: Message, writer: asyncio.StreamWriter) -> None:
        fields = self._sealed(message)
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Transfer-Encoding: chunked\r\nX-Weight-Versions: 1\r\n"
            + head.encode("latin-1")
            + b"\r\n"
        )


def _model(message: Message) -> str:
    return (message.get("x-model") or "").partition("/")[0]


class Answer(NamedTuple):
    """What a client saw."""

    status: int
    """0 if the connection ended without a complete answer, -1 after a time-out."""
    message: Message | None
    seconds: float
    error: str = ""

    @property
    def is_served(self) -> bool:
        """Return whether it is a runner's complete success."""
        return (
            self.status == 200
            and self.message is not None
            and self.message.get("x-server-seal") is not None
        )


class Instance:
    """One process of the system."""

    def __init__(self, name: str, ip: str) -> None:
        self.name = name
        self.ip = ip
        self.ports = _free_ports(ip)
        self.process: subprocess.Popen[bytes] | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Return the address for clients."""
        return self.ip, self.ports[0]

    @property
    def ready(self) -> tuple[str, int]:
        """Return the address for readiness checks."""
        return self.ip, self.ports[1]

    @property
    def directory(self) -> tuple[str, int]:
        """Return the address of the directory."""
        return self.ip, self.ports[2]

    def memory_mb(self) -> float:
        """Return the resident memory."""
        assert self.process is not None
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in text.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


def _free_ports(ip: str) -> list[int]:
    """Return three free ports, and two free ones in a row."""
    with contextlib.ExitStack() as stack:
        found: list[int] = []
        while len(found) < 3:
            found.append(_bind(stack, ip, 0))
        while True:
            first = _bind(stack, ip, 0)
            with contextlib.suppress(OSError):
                return [*found, first, _bind(stack, ip, first + 1)]


def _bind(stack: contextlib.ExitStack, ip: str, port: int) -> int:
    sock = stack.enter_context(socket.socket())
    sock.bind((ip, port))
    return sock.getsockname()[1]


class Deployment:
    """A store, runners and instances of the system."""

    MEMORY_MB = 300

    def __init__(
        self, folder: Path, instances: int = 2, runner_type: type[Runner] | None = None
    ) -> None:
        self.folder = folder
        self._runner_type = runner_type or Runner
        self.store = Store()
        self.runners: list[Runner] = []
        self.ip_base = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self.instances = [
            Instance(f"front-here-{n}", f"{self.ip_base}.{n}")
            for n in range(1, instances + 1)
        ]
        self.routes = [
            _route("draft", "/draft/", "streaming", "engines", 15_000),
            _route("long", "/long/", "streaming", "engines", 25_000, resumable=True),
            _route("book", "/book/", "unsafe", "bookings", 1_500),
            _route("look", "/look/", "safe", "bookings", 1_500, attempts=2),
        ]
        self._log_path = folder / "instances.log"
        self._sent = 0

    async def start(self) -> None:
        """Start everything, and wait until all instances are ready."""
        runner_ip = f"{self.ip_base}.200"
        await self.store.start(f"{self.ip_base}.201")
        self.store.put_json("op", "config", self._configuration())
        for name, service, models in (
            ("i-engine-1", "engines", ["m1", "m2"]),
            ("i-engine-2", "engines", ["m1", "m2"]),
            ("i-engine-3", "engines", ["m1", "m2"]),
            ("i-engine-4", "engines", ["m1", "m2"]),
            ("i-booking-1", "bookings", []),
            ("i-booking-2", "bookings", []),
        ):
            runner = self._runner_type(self.store, name, service, models)
            await runner.register(runner_ip)
            self.runners.append(runner)
        for instance in self.instances:
            self._start_instance(instance)
        ends_at = time.monotonic() + READY_SECONDS
        for instance in self.instances:
            while not await self.is_ready(instance):
                if time.monotonic() > ends_at:
                    raise Unusable(f"{instance.name} was not ready")
                await asyncio.sleep(0.1)
        # Peers find each other, and limits take effect.
        await asyncio.sleep(3.0)

    def _start_instance(self, instance: Instance) -> None:
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["gateway"]["run"].split(" ")
        program = shutil.which(words[0])
        if program is None:
            raise Unusable(f"no program {words[0]}")
        path = self.folder / f"{instance.name}.json"
        path.write_text(json.dumps(self._settings(instance)))
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env["GUAVAJUNCTION_NODE_FILE"] = str(path)
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        with self._log_path.open("ab") as log:
            instance.process = subprocess.Popen(
                [program, *words[1:]],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def _settings(self, instance: Instance) -> dict[str, Any]:
        front, ready, directory, first, last = instance.ports
        return {
            "node": instance.name,
            "role": "gateway",
            "machineClass": "front",
            "serves": ["front", "directory"],
            "ip": instance.ip,
            "zone": "here",
            "region": "region",
            "zones": {"here": "region"},
            "listen": {
                "front": f"{instance.ip}:{front}",
                "ready": f"{instance.ip}:{ready}",
                "directory": f"{instance.ip}:{directory}",
            },
            "internalPortRange": [first, last],
            "seeds": [],
            "bootstrap": True,
            "inTolerance": True,
            "limits": {
                "cpuShare": 0.537,
                "cores": 2,
                "memoryMb": self.MEMORY_MB,
                "maxFds": 4100,
                "linkMbps": 1000.0,
                "diskMb": 0,
            },
            "dataDir": None,
            "discovery": "platform",
            "entry": "directory",
            "heartbeatMs": 1200,
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0},
            "bounds": {
                "contactMs": 3000,
                "drainMs": 2000,
                "graceS": 8,
                "configApplyMs": 2000,
                "retryBudgetRatio": 0.2,
                "budgetWindowS": 10,
                "budgetSlack": 56,
                "quotaWindowS": 8,
                "quotaOvershoot": 0.1,
                "quotaSlack": 11000,
                "leaseMs": 3000,
                "ceilingWindowS": 5,
                "ttl_max_s": 5,
            },
            "platform": {
                "address": self.store.address,
                "form": "table",
                "writesPerS": 400,
                "readsPerS": 2000,
                "historyS": 20,
            },
        }

    def _configuration(self) -> dict[str, Any]:
        models = [
            {
                "name": name,
                "weightsMb": 65_500.0,
                "loadS": 7.8,
                "adapters": 0,
                "adapterMb": 40.0,
                "warmS": 0.57,
                "diskS": 1.6,
            }
            for name in ("m1", "m2")
        ]
        engine = {
            "slots": 32,
            "kvCapacityTokens": 123_041,
            "models": models,
            "weightsMb": 200_000.0,
            "adapterSlots": 8,
            "loadsPerS": 2.2,
        }
        services = [
            {"name": "engines", "healthCheck": "/health", "maxConnections": 240},
            {"name": "bookings", "healthCheck": "/health", "maxConnections": 110},
        ]
        return {
            "version": 7,
            "routes": self.routes,
            "services": [services[0] | {"engine": engine}, services[1]],
            "limits": {
                "maxHeaderBytes": 16_384,
                "maxBodyBytes": 4_194_304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15_000,
            },
            "tenants": [
                {
                    "name": name,
                    "apiKeys": [key],
                    "priority": 1,
                    "unit": "tokens",
                    "plainTokens": 200,
                    "ratePerS": 46_652,
                    "burst": 46_652,
                }
                for name, key in (("ordinary", KEY), ("other", OTHER_KEY))
            ],
        }

    async def is_ready(self, instance: Instance) -> bool:
        """Ask for the readiness of an instance as the platform does."""
        head = b"GET /readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        return (await exchange(instance.ready, head, 1.0)).status == 200

    async def addresses(self, instance: Instance) -> list[str]:
        """Ask an instance's directory, as a client does."""
        head = (
            f"GET /resolve?name={HOST}&region=region&zone=here HTTP/1.1\r\n"
            "Host: x\r\nConnection: close\r\n\r\n"
        ).encode()
        found = await exchange(instance.directory, head, 1.0)
        if found.status != 200 or found.message is None:
            return []
        return json.loads(found.message.body)["addresses"]

    def next_id(self) -> str:
        """Return a new attempt id."""
        self._sent += 1
        return f"{self._sent:016x}"

    async def call(
        self, instance: Instance, path: str, *, timeout: float = 5.0, **kwargs: Any
    ) -> Answer:
        """Send a request on a new channel, as a client does."""
        fields = {"Connection": "close"} | kwargs.pop("fields", {})
        data = self.request(path, fields=fields, **kwargs)
        return await exchange(instance.front, data, timeout)

    def request(
        self,
        path: str,
        *,
        fields: dict[str, str] | None = None,
        model: str | None = None,
        deadline: str = "3000",
        key: str = KEY,
        method: str = "POST",
        body: bytes = b"a body",
    ) -> bytes:
        """Return the bytes of a request; `fields` replaces some of its fields."""
        all_fields = {
            "Host": HOST,
            "X-Attempt-Id": self.next_id(),
            "X-Deadline-Ms": deadline,
            "Authorization": f"Token {key}",
            "Content-Length": str(len(body)),
        }
        if model is not None:
            all_fields |= {
                "X-Model": model,
                "X-Token-Count": "120,20",
                "X-Prompt-Prefix": f"5c1e07a2:80,{all_fields['X-Attempt-Id']}:40",
            }
        all_fields |= fields or {}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in all_fields.items()]
        return "\r\n".join(lines).encode("latin-1") + HEAD_END + body

    async def stop(self) -> None:
        """End every process that was started."""
        for instance in self.instances:
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGKILL)
                instance.process.wait()


def _route(
    name: str,
    prefix: str,
    kind: str,
    service: str,
    timeout_ms: int,
    *,
    attempts: int = 1,
    resumable: bool = False,
) -> dict[str, Any]:
    return {
        "name": name,
        "host": HOST,
        "prefix": prefix,
        "kind": kind,
        "timeoutMs": timeout_ms,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 2 if resumable else attempts,
        "anonymous": False,
        "sessionAffinity": kind == "streaming",
        "resumable": resumable,
        "gapAimMs": 250,
    }


async def exchange(address: tuple[str, int], data: bytes, timeout: float) -> Answer:
    """Send bytes on a new channel and read one answer."""
    began = time.monotonic()
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(*address, limit=MAX_HEAD)
            writer.write(data)
            await writer.drain()
            message = await read_message(reader, is_response=True)
        return Answer(message.status, message, time.monotonic() - began)
    except TimeoutError:
        return Answer(-1, None, time.monotonic() - began, "no answer in time")
    except (OSError, asyncio.IncompleteReadError, ValueError) as exc:
        return Answer(0, None, time.monotonic() - began, type(exc).__name__)
    finally:
        if writer is not None:
            writer.close()


class Flood:
    """Sends requests at a rate on kept channels, and counts the answers."""

    CHANNELS = 24
    TIMEOUT_SECONDS = 5.0

    def __init__(self, instance: Instance, per_second: float) -> None:
        self.sent = 0
        self.statuses: Counter[int] = Counter()
        self._address = instance.front
        self._per_second = per_second

    async def run(self, make: Callable[[], bytes], seconds: float) -> None:
        """Send what `make` returns until the time is over."""
        began = time.monotonic()
        async with asyncio.TaskGroup() as tasks:
            for _ in range(self.CHANNELS):
                tasks.create_task(self._use_channel(make, began, began + seconds))

    async def _use_channel(
        self, make: Callable[[], bytes], began: float, ends_at: float
    ) -> None:
        streams = None
        while (now := time.monotonic()) < ends_at:
            due = began + self.sent / self._per_second
            if due > now:
                await asyncio.sleep(due - now)
                continue
            self.sent += 1
            try:
                async with asyncio.timeout(self.TIMEOUT_SECONDS):
                    if streams is None:
                        streams = await asyncio.open_connection(
                            *self._address, limit=MAX_HEAD
                        )
                    streams[1].write(make())
                    answer = await read_message(streams[0], is_response=True)
                self.statuses[answer.status] += 1
                is_kept = answer.get("connection") != "close"
            except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
                self.statuses[0] += 1
                is_kept = False
            if not is_kept and streams is not None:
                streams[1].close()
                streams = None
        if streams is not None:
            streams[1].close()


class Service(NamedTuple):
    """How ordinary requests of two kinds were served."""

    drafts: int
    served_drafts: int
    bookings: int
    served_bookings: int

    @property
    def is_draft_starved(self) -> bool:
        """Return whether drafts are served less than a quarter as often as all."""
        all_share = (self.served_drafts + self.served_bookings) / (
            self.drafts + self.bookings
        )
        return self.served_drafts / self.drafts < all_share / 4


async def serve_ordinary(
    deployment: Deployment, record: Record, seconds: float
) -> Service:
    """Send a draft and a booking to each instance ten times a second."""
    drafts: list[asyncio.Task[Answer]] = []
    bookings: list[asyncio.Task[Answer]] = []
    ends_at = time.monotonic() + seconds
    while time.monotonic() < ends_at:
        for instance in deployment.instances:
            draft = deployment.call(instance, "/draft/1", model="m1", deadline="4000")
            drafts.append(asyncio.create_task(draft))
            booking = deployment.call(instance, "/book/1", deadline="1500")
            bookings.append(asyncio.create_task(booking))
        await asyncio.sleep(0.1)
    served = []
    for kind, tasks in (("drafts", drafts), ("bookings", bookings)):
        answers = await asyncio.gather(*tasks)
        statuses = Counter(answer.status for answer in answers)
        served.append(sum(answer.is_served for answer in answers))
        record(f"ordinary {kind}: {len(answers)} sent, answers {dict(statuses)}")
    return Service(len(drafts), served[0], len(bookings), served[1])


class Record:
    """The file `record.txt` of a case."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write a line with the time."""
        line = f"{time.monotonic() - self._began:7.2f} {text}"
        print(line, flush=True)
        self._file.write(line + "\n")
        self._file.flush()


Case = Callable[[Deployment, Record, bool], Awaitable[bool]]
"""Plays a case, with or without the disruption; returns whether the rule held."""


def run_case(
    folder: Path,
    case: Case,
    *,
    instances: int = 2,
    runner_type: type[Runner] | None = None,
) -> int:
    """Run a case and return the exit status of its script."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")

    async def play() -> bool:
        with tempfile.TemporaryDirectory() as temporary:
            deployment = Deployment(Path(temporary), instances, runner_type)
            try:
                async with asyncio.timeout(LIMIT_SECONDS):
                    await deployment.start()
                    record(f"{instances} instances are ready; trouble: {trouble}")
                    return await case(deployment, record, trouble)
            finally:
                await deployment.stop()

    try:
        held = asyncio.run(play())
    except (Unusable, TimeoutError, OSError) as exc:
        record(f"could not run: {type(exc).__name__} {exc}")
        return 2
    record("the rule held" if held else "the rule was broken")
    return 0 if held else 1
