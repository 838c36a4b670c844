"""Stand-ins of the platform and a small fleet of the program, for the cases.

Only Python's library is used, so nothing has to be built. The store, the backend
servers and the callers do what the users' pages say, and nothing else.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HOST = "here.example"
KEY = "a-key"
TENANT = "school"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""Whether the case plays its disruption."""

BROKEN, HELD, NOT_RUN = 1, 0, 2


class CaseFailed(Exception):
    """The case could not be played."""


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began:9.3f}  {text}\n")
        self._file.flush()


class Message(NamedTuple):
    """A request or an answer."""

    first: str
    """Request line or status line."""
    fields: dict[str, str]
    """Names in lower case."""
    body: bytes = b""


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of a message, or None if the connection has ended."""
    try:
        text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = text.strip("\r\n").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    return Message(first, {name.lower(): value.strip() for name, _, value in pairs})


async def read_request(reader: asyncio.StreamReader) -> Message | None:
    """Return a whole request, or None if the connection has ended."""
    head = await read_head(reader)
    if head is None:
        return None
    try:
        length = int(head.fields.get("content-length", "0"))
        return head._replace(body=await reader.readexactly(length))
    except (asyncio.IncompleteReadError, OSError):
        return None


def encode_answer(status: int, fields: dict[str, str], body: bytes = b"") -> bytes:
    """Return an answer with a length."""
    lines = [f"HTTP/1.1 {status} Answer"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


STREAM_END = b"0\r\n\r\n"


def encode_stream_head(attempt: str) -> bytes:
    """Return the head of a stream of events in chunks."""
    fields = {
        "X-Attempt-Id": attempt,
        "X-Server-Seal": f"seal-{attempt}",
        "Content-Type": "text/event-stream",
        "Transfer-Encoding": "chunked",
    }
    lines = ["HTTP/1.1 200 OK", *(f"{k}: {v}" for k, v in fields.items()), "", ""]
    return "\r\n".join(lines).encode()


def encode_event(text: str) -> bytes:
    """Return an event as a chunk."""
    return b"%x\r\n%s\r\n" % (len(text), text.encode())


class Server:
    """Listens on a loopback address and answers requests."""

    def __init__(self) -> None:
        self.address = ""
        self._server: asyncio.Server | None = None
        self._tasks: dict[asyncio.Task[None], asyncio.StreamWriter] = {}

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._accept, host, int(port))
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def stop(self) -> None:
        """Reset all connections and refuse new ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for task, writer in list(self._tasks.items()):
            reset(writer)
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks[task] = writer
        try:
            while (req := await read_request(reader)) is not None:
                if not await self.answer(req, writer):
                    break
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.pop(task, None)
            writer.close()

    async def answer(self, req: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection is kept."""
        raise NotImplementedError


def reset(writer: asyncio.StreamWriter) -> None:
    """Reset a connection."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        with contextlib.suppress(OSError):
            no_linger = b"\1\0\0\0\0\0\0\0"
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, no_linger)
    writer.transport.abort()


class Store(Server):
    """The platform's store: rows with conditions, and a feed of changes."""

    def __init__(self) -> None:
        super().__init__()
        self.is_down = False
        """Whether each call is answered with 503: nothing was done."""
        self._rows: dict[tuple[str, str], tuple[int, str | None]] = {}
        self._version = 0
        self._changed = asyncio.Event()

    def write(self, table: str, key: str, value: Any) -> None:
        """Write a row as the operator or a backend server does; None removes it."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._put(
            table, key, None if value is None else base64.b64encode(data).decode()
        )

    def _put(self, table: str, key: str, value: str | None) -> None:
        self._version += 1
        self._rows[table, key] = self._version, value
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, req: Message, writer: asyncio.StreamWriter) -> bool:
        """Answer one call."""
        _, target, _ = req.first.split(" ")
        path, _, query_text = target.partition("?")
        query = dict(pair.split("=", 1) for pair in query_text.split("&") if pair)
        await asyncio.sleep(0.004)
        if self.is_down:
            status, content = 503, {}
        elif path == "/rows-tx":
            status, content = self._transact(json.loads(req.body))
        elif path == "/rows-feed":
            status, content = await self._feed(query)
        else:
            status, content = self._get(query)
        if self.is_down and status == 200 and path != "/rows-tx":
            status, content = 503, {}
        body = json.dumps(content).encode()
        writer.write(encode_answer(status, {"Content-Type": "application/json"}, body))
        await writer.drain()
        return True

    def _transact(self, call: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for wanted in call["precondition"]:
            version, value = self._rows.get((wanted["table"], wanted["key"]), (0, None))
            if (version if value is not None else 0) != wanted["ver"]:
                return 412, self._content([])
        for row in call["writes"]:
            self._put(row["table"], row["key"], row["value"])
        for row in call["remove"]:
            self._put(row["table"], row["key"], None)
        return 200, self._content([])

    def _get(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        first, last = (_unquote(query.get(name, "")) for name in ("from", "to"))
        rows = [
            self._wire(table, key)
            for table, key in sorted(self._rows)
            if table == query["table"]
            and key >= first
            and (not last or key < last)
            and self._rows[table, key][1] is not None
        ]
        return 200, self._content(rows)

    async def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after, ends_at = int(query["after"]), time.monotonic()
        ends_at += float(query["waitMs"]) / 1000
        while True:
            changed = self._changed
            rows = [
                self._wire(table, key)
                for (table, key), (version, _) in self._rows.items()
                if table == query["table"] and version > after
            ]
            left = ends_at - time.monotonic()
            if rows or left <= 0 or self.is_down:
                rows.sort(key=lambda row: row["ver"])
                return 200, self._content(rows)
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(changed.wait(), min(left, 0.1))

    def _wire(self, table: str, key: str) -> dict[str, Any]:
        version, value = self._rows[table, key]
        row = {"table": table, "part": "", "key": key, "ver": version}
        return row | ({"tombstone": True} if value is None else {"value": value})

    def _content(self, rows: list[dict[str, Any]]) -> dict[str, Any]:
        now = int(time.monotonic() * 1000)
        ver = self._version
        return {"rows": rows, "truncated": False, "ver": ver, "nowMs": now}


def _unquote(text: str) -> str:
    from urllib.parse import unquote_plus

    return unquote_plus(text)


class Run(NamedTuple):
    """A request that a backend server began to run."""

    id: str
    server: str
    version: str
    at: float


class Runner(Server):
    """A backend server of a plain service, with its entry in the store."""

    def __init__(
        self, name: str, service: str, store: Store, record: Record, version: str = "v1"
    ) -> None:
        super().__init__()
        self.name, self.service, self.version = name, service, version
        self.slots = 64
        self.runs: list[Run] = []
        self._store, self._record = store, record
        self._born, self._sequence = 0, 0
        self._beat: asyncio.Task[None] | None = None

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen, and write the entry as soon as the store takes it."""
        self._born, self._sequence = int(time.time() * 1000), 0
        await super().start(address)
        self._beat = asyncio.create_task(self._write_entries())

    async def stop(self) -> None:
        """End: all connections are reset, nothing more is written."""
        if self._beat is not None:
            self._beat.cancel()
        await super().stop()

    async def _write_entries(self) -> None:
        while True:
            self.write_entry()
            await asyncio.sleep(1.2 if not self._store.is_down else 0.2)

    def write_entry(self) -> None:
        """Write the entry, unless the store is down."""
        self._sequence += 1
        if not self._store.is_down:
            self._store.write("servers", self.name, self.entry())

    def entry(self) -> dict[str, Any]:
        """Return the entry in the store."""
        return {
            "service": self.service,
            "address": self.address,
            "zone": "here",
            "version": self.version,
            "slots": self.slots,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": self._sequence,
            "born": self._born,
            "models": [],
        }

    async def answer(self, req: Message, writer: asyncio.StreamWriter) -> bool:
        """Run a request, or say that it was not run."""
        method, target, _ = req.first.split(" ")
        attempt = req.fields.get("x-attempt-id")
        fields = {"X-Attempt-Id": attempt} if attempt else {}
        if method == "GET" and target == "/report":
            report = {
                "stage": "colocated",
                "models": [],
                "busy": False,
                "sequence": 0,
                "born": self._born,
            }
            writer.write(encode_answer(200, fields, json.dumps(report).encode()))
            return True
        if attempt is None:
            writer.write(encode_answer(400, {"X-Not-Executed": "1"}))
            return True
        if req.fields.get("x-target-instance", self.name) != self.name:
            fields |= {"X-Instance-Id": self.name, "X-Not-Executed": "1"}
            writer.write(encode_answer(421, fields))
            return True
        self.runs.append(Run(attempt, self.name, self.version, time.monotonic()))
        self._record(f"{self.name} ({self.version}) runs {attempt}: {req.first}")
        return await self.run(req, attempt, writer)

    async def run(
        self, req: Message, attempt: str, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request and answer it; return whether the connection is kept."""
        raise NotImplementedError


def route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "kind": kind,
        "timeoutMs": 15000,
        "targetLatencyMs": 500,
        "priority": 1,
        "service": service,
        "maxAttempts": 1,
        "anonymous": False,
        "resumable": False,
        "gapAimMs": 250,
    } | more


def write_config(
    store: Store, version: int, routes: list[dict[str, Any]], services: list[Any]
) -> None:
    """Write a configuration as the operator; a plain service needs only its name."""
    content = {
        "version": version,
        "routes": routes,
        "services": [
            {"name": one, "healthCheck": "/health", "maxConnections": 200}
            if isinstance(one, str)
            else one
            for one in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 5000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": TENANT, "apiKeys": [KEY], "ratePerS": 0, "burst": 0}],
    }
    store.write("op", "config", content)


GRACE_SECONDS = 8


_LIBC = ctypes.CDLL(None)
_PR_SET_PDEATHSIG = 1


def _end_with_parent() -> None:
    """Let the kernel end the process if the script is killed."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Instance:
    """One process of the program, started with the command of the deploy file."""

    def __init__(self, name: str, ip: str, store: Store, folder: Path) -> None:
        self.name, self.ip = name, ip
        self.front, self.ready = f"{ip}:8221", f"{ip}:8224"
        self._settings, self.log = folder / f"{name}.json", folder / f"{name}.log"
        self._settings.write_text(json.dumps(_settings(name, ip, store.address)))
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["gateway"]["run"].split(" ")
        env = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        env |= {
            "GUAVAJUNCTION_NODE_FILE": str(self._settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command,
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )

    def signal(self, number: int) -> None:
        """Send a signal, if the process runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def is_ready(self) -> bool:
        """Return whether the readiness check succeeds."""
        try:
            async with asyncio.timeout(1.0):
                host, _, port = self.ready.rpartition(":")
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                head = await read_head(reader)
                writer.close()
                return head is not None and " 200 " in head.first
        except (OSError, TimeoutError):
            return False

    async def wait_until_ready(self, seconds: float = 20.0) -> None:
        """Wait for the readiness check."""
        ends_at = time.monotonic() + seconds
        while not await self.is_ready():
            if time.monotonic() > ends_at:
                raise CaseFailed(f"{self.name} is not ready; log:\n{self.tail()}")
            await asyncio.sleep(0.05)

    async def wait_until_ended(self, seconds: float) -> float | None:
        """Wait for the end of the process; return its time on the steady clock."""
        ends_at = time.monotonic() + seconds
        while time.monotonic() < ends_at:
            if self.process is None or self.process.poll() is not None:
                return time.monotonic()
            await asyncio.sleep(0.005)
        return None

    def tail(self) -> str:
        """Return the end of the log."""
        return self.log.read_text(errors="replace")[-2000:] if self.log.exists() else ""


def _settings(name: str, ip: str, store: str) -> dict[str, Any]:
    return {
        "node": name,
        "role": "gateway",
        "machineClass": "front",
        "serves": ["front", "directory"],
        "ip": ip,
        "zone": "here",
        "region": "land",
        "zones": {"here": "land"},
        "listen": {
            "front": f"{ip}:8221",
            "ready": f"{ip}:8224",
            "directory": f"{ip}:8220",
        },
        "internalPortRange": [7600, 7615],
        "seeds": [],
        "bootstrap": True,
        "inTolerance": False,
        "limits": {
            "cpuShare": 0.537,
            "cores": 2,
            "memoryMb": 300,
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
            "addressReuseS": 2,
            "contactMs": 3000,
            "drainMs": 2000,
            "graceS": GRACE_SECONDS,
            "lossSlackMs": 200,
            "configApplyMs": 2000,
            "retryBudgetRatio": 0.2,
            "budgetWindowS": 10,
            "budgetSlack": 56,
            "quotaWindowS": 8,
            "quotaOvershoot": 0.1,
            "quotaSlack": 11000,
            "fencingEnforced": True,
            "leaseMs": 3000,
            "thawSlackMs": 300,
            "ceilingWindowS": 5,
            "ceilingOvershoot": 1.1,
            "ttl_max_s": 5,
        },
        "platform": {
            "address": store,
            "form": "table",
            "writesPerS": 400,
            "readsPerS": 2000,
            "txMs": 5.0,
            "partWritesPerS": 200,
            "rowBytes": 65536,
            "across": False,
            "historyS": 20,
        },
    }


class Fleet:
    """Instances of the program on a store, ended with the context."""

    def __init__(self, count: int, store: Store) -> None:
        self._store = store
        self._folder = Path(tempfile.mkdtemp(prefix="guava-case-"))
        net = f"127.{random.randrange(30, 220)}.{random.randrange(1, 250)}"
        self.instances = [
            Instance(f"front-{n}", f"{net}.{n}", store, self._folder)
            for n in range(1, count + 1)
        ]

    async def __aenter__(self) -> Fleet:
        for instance in self.instances:
            instance.start()
        try:
            for instance in self.instances:
                await instance.wait_until_ready()
        except BaseException:
            await self.__aexit__()
            raise
        await asyncio.sleep(3.0)
        return self

    async def __aexit__(self, *_: object) -> None:
        for instance in self.instances:
            instance.signal(signal.SIGCONT)
            instance.signal(signal.SIGKILL)
            if instance.process is not None:
                instance.process.wait()
        if keep := os.environ.get("KEEP_LOGS"):
            shutil.copytree(self._folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self._folder, ignore_errors=True)


def encode_request(
    target: str, attempt: str, *, method: str = "POST", body: bytes = b"", **more: str
) -> bytes:
    """Return a caller's request."""
    fields = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Deadline-Ms": "15000",
        "Authorization": f"Token {KEY}",
        "Content-Length": str(len(body)),
    } | {name.replace("_", "-"): value for name, value in more.items()}
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def play(case: Callable[[Record], Awaitable[bool]], script: str) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if neither."""
    record = Record(Path(script).with_name("record.txt"))
    record(f"the disruption is {'played' if TROUBLE else 'left out'}")
    try:
        is_broken = asyncio.run(asyncio.wait_for(case(record), 115))
    except Exception as exc:
        record(f"the case could not be played: {type(exc).__name__}: {exc}")
        print(f"not run: {type(exc).__name__}: {exc}", file=sys.stderr)
        sys.exit(NOT_RUN)
    record("the rule was broken" if is_broken else "the rule held")
    print("the rule was broken" if is_broken else "the rule held")
    sys.exit(BROKEN if is_broken else HELD)
