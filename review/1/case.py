"""An instance ends while it passes on an answer without a length."""

from __future__ import annotations

import asyncio
import signal
from pathlib import Path

from review.kit import deployment
from review.kit.case import run
from review.kit.deployment import HOST, Fleet
from review.kit.http import Answer, Connection, Request, head, request
from review.kit.record import Record
from review.kit.runner import Runner
from review.kit.store import Store

PIECES = 110
PIECE_SECONDS = 0.1
REQUESTS = 8
SIGNAL_AFTER_SECONDS = 1.5


def piece(attempt: str, number: int) -> bytes:
    """Return one piece of a runner's answer."""
    return f"id: {number}\ndata: {attempt} token {number}\n\n".encode()


async def stream_without_length(
    runner: Runner, req: Request, conn: Connection, headers: dict[str, str]
) -> bool:
    """Answer with a stream that has no length and ends with its connection."""
    attempt = req.headers["x-attempt-id"]
    fields = headers | {"Content-Type": "text/event-stream", "Connection": "close"}
    conn.writer.write(head(200, fields, None))
    for number in range(1, PIECES + 1):
        await asyncio.sleep(PIECE_SECONDS)
        conn.writer.write(piece(attempt, number))
        await conn.writer.drain()
    return False


async def ask(fleet: Fleet, record: Record, attempt: str) -> Answer:
    """Send one generation request to the first instance."""
    headers = {
        "Host": HOST,
        "X-Attempt-Id": attempt,
        "X-Model": "m1",
        "X-Token-Count": "100,330",
        "X-Prompt-Prefix": "a1:50,b2:50",
        "X-Deadline-Ms": "15000",
        "Authorization": "Token key-of-atelier",
    }
    record.note("sent", id=attempt)
    answer = await request(
        fleet.front("front-1"), "POST", "/draft/x", headers, b"prompt"
    )
    record.note(
        "answered",
        id=attempt,
        status=answer.status,
        bytes=len(answer.body),
        end=answer.end,
        looks_complete=answer.complete,
    )
    return answer


async def end_while_answering(
    store_address: str, record: Record, number: int, signum: signal.Signals | None
) -> list[str]:
    """End an instance while clients read answers; compare what they got.

    Args:
        store_address: Address of the store.
        record: Takes what happens.
        number: Number of this round, for the ids of its requests.
        signum: Signal that ends the instance; None to let it go on.
    """
    fleet = Fleet(store_address, 1)
    try:
        fleet.start("front-1")
        await fleet.wait_until_ready()
        await asyncio.sleep(1.0)
        ids = [deployment.new_id(100 * number + one) for one in range(REQUESTS)]
        asking = [asyncio.ensure_future(ask(fleet, record, one)) for one in ids]
        await asyncio.sleep(SIGNAL_AFTER_SECONDS)
        if signum is not None:
            record.note(signum.name, instance="front-1")
            fleet.send_signal("front-1", signum)
        answers = await asyncio.gather(*asking)
    finally:
        fleet.close()
    broken = []
    for attempt, answer in zip(ids, answers, strict=True):
        whole = b"".join(piece(attempt, n) for n in range(1, PIECES + 1))
        if answer.status == 200 and answer.complete and answer.body != whole:
            broken.append(
                f"{attempt}: 200 that ended in order after {len(answer.body)} of the "
                f"runner's {len(whole)} bytes"
            )
        if signum is None and answer.body != whole:
            raise RuntimeError(f"{attempt} was not answered: {answer.end}")
    return broken


async def case(record: Record, with_trouble: bool) -> list[str]:
    """Kill an instance, then stop another one, while they answer."""
    store = Store()
    model = {"name": "m1", "weightsMb": 60.0, "loadS": 4.0}
    engine = {
        "slots": 16,
        "kvCapacityTokens": 100_000,
        "models": [model | {"adapters": 0, "adapterMb": 1.0}],
        "weightsMb": 130.0,
        "adapterSlots": 2,
        "loadsPerS": 2.0,
    }
    service = {"name": "writers", "healthCheck": "/health", "maxConnections": 100}
    configuration = deployment.configuration(
        4,
        [deployment.route("draft", "streaming", "writers")],
        [service | {"engine": engine}],
        [deployment.tenant("atelier")],
    )
    store.put("op", "config", configuration)
    runner = Runner(
        "i-1", "writers", store, record, stream_without_length, slots=16, models=("m1",)
    )
    broken = []
    async with store.listen("127.0.0.1") as address, runner.listen("127.0.0.1"):
        for number, signum in enumerate((signal.SIGKILL, signal.SIGTERM)):
            broken += await end_while_answering(
                address, record, number, signum if with_trouble else None
            )
    return broken


if __name__ == "__main__":
    run(case, Path(__file__).parent)
