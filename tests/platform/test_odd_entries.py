"""Tests of entries that another writer left among those of the backend servers."""

from __future__ import annotations

import asyncio
import json
import math

import pytest
from hypothesis import given
from hypothesis import strategies as st

from guavajunction.errors import DocumentInvalid
from guavajunction_fakes.deployment import (
    BOOKING_SERVICE,
    FakeRunner,
    LocalDeployment,
    RunnerSpec,
)
from guavajunction_platform._backend_records import decode_backend
from platform_calls import call, wait_until

from .conftest import PORTS

ENTRY = {
    "service": BOOKING_SERVICE,
    "address": "127.0.0.1:8243",
    "zone": "here",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "sequence": 7,
    "born": 1_790_000_000_000,
}
ODD_ADDRESSES = [
    "127.0.0.1:70000",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 30,
    "127.0.0.1",
    "127.0.0.1:",
    "nohost:8243",
    ":8243",
    " : ",
    "127.0.0.1 :8243",
    "127.0.0.1:8243\x00",
    "127.0.0.1:٨٠",
    "0.0.0.0:8243",
    "224.0.0.1:8243",
    "127.0.0.1:8243/../order",
    "",
]
ODD_CHANGES = [
    *({"address": address} for address in ODD_ADDRESSES),
    *({"slots": slots} for slots in (0, -1, 10**30)),
    *({"sequence": number} for number in (-1, 2**64)),
    *({"born": at} for at in (-1, 10**30)),
    *({"coldRemainingMs": ms} for ms in (-1, "900", None, 10**30)),
]
DEEP = b'{"models":' + b"[" * 100_000
DEEP_UNKNOWN = b'{"unknown":' + b"[" * 100_000
NOT_UTF8 = json.dumps(ENTRY).encode().replace(b"here", b"\xff\xfe")


class TestDecoding:
    """An entry that names no usable backend server is refused with a typed error."""

    @pytest.mark.parametrize(
        "change", ODD_CHANGES, ids=lambda change: repr(change)[:40]
    )
    def test_value_out_of_range_is_refused(self, change):
        with pytest.raises(DocumentInvalid):
            decode_backend("odd", json.dumps(ENTRY | change).encode())

    @pytest.mark.parametrize("body", [DEEP, DEEP_UNKNOWN, NOT_UTF8, b"", b"\x00"])
    def test_unreadable_bytes_are_refused(self, body):
        with pytest.raises(DocumentInvalid):
            decode_backend("odd", body)

    @given(
        st.dictionaries(
            st.sampled_from([*ENTRY, "models", "atHand"]),
            st.recursive(
                st.none()
                | st.booleans()
                | st.integers()
                | st.text()
                | st.floats(allow_nan=False, allow_infinity=False),
                lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
            ),
        )
    )
    def test_any_entry_is_decoded_or_refused(self, changes):
        try:
            record = decode_backend("odd", json.dumps(ENTRY | changes).encode())
        except DocumentInvalid:
            return
        assert 1 <= record.slots < math.inf
        assert 0 < int(record.address.rpartition(":")[2]) < 65536

    @given(st.binary())
    def test_any_bytes_are_refused(self, body):
        with pytest.raises(DocumentInvalid):
            decode_backend("odd", body)


@pytest.fixture
async def deployment(tmp_path):
    async with LocalDeployment(tmp_path, ports=PORTS) as running:
        yield running


async def call_all(deployment, rounds):
    """Send bookings to all instances in turn; return the statuses."""
    statuses = []
    for _ in range(rounds):
        for name in deployment.instances:
            statuses.append((await call(deployment, "/book/1", name=name)).status)
    return statuses


class TestFleet:
    """Odd entries change nothing for the sound backend servers and their callers."""

    async def test_new_server_serves_among_odd_entries_after_the_others_left(
        self, deployment
    ):
        store = deployment.store
        for number, change in enumerate(ODD_CHANGES):
            store.write("servers", f"odd-{number}", ENTRY | change)
        for number, body in enumerate((DEEP, DEEP_UNKNOWN, NOT_UTF8)):
            store.write("servers", f"unreadable-{number}", body)
        await asyncio.sleep(0.5)
        assert set(await call_all(deployment, 10)) == {200}
        new = FakeRunner(RunnerSpec("booking-new", BOOKING_SERVICE), store)
        async with new.serve() as url:
            new.register(url)
            for name in ("booking-1", "booking-2"):
                deployment.runners[name].drain()
                deployment.runners[name].deregister()
            await wait_until(lambda: _serves(deployment, new))
            assert set(await call_all(deployment, 20)) == {200}
        for process in deployment.instances.values():
            process.raise_if_ended()

    async def test_entries_without_a_listener_are_not_preferred(self, deployment):
        for number in range(1, 7):
            entry = ENTRY | {"address": f"127.0.0.1:{number}"}
            deployment.store.write("servers", f"dead-{number}", entry)
        await asyncio.sleep(0.5)
        statuses = []
        for _ in range(5):
            statuses += await call_all(deployment, 5)
            await asyncio.sleep(0.5)
        assert set(statuses) == {200}


async def _serves(deployment, runner):
    before = len(runner.runs)
    await call_all(deployment, 1)
    return len(runner.runs) - before == len(deployment.instances)
