"""Tests of what the gateway's daemon makes of changes in the store."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from fakes_gateway import ENGINES, backend
from guavajunction.clock import ManualClock
from guavajunction.errors import DocumentInvalid
from guavajunction.gateway import AllowanceBounds, RetryBounds
from guavajunction.storage import Changes, RowChange
from guavajunction_entry.gateway import (
    GatewayDaemon,
    GatewaySettings,
    ListenAddress,
    OrderBounds,
    RowAddress,
    StoreSettings,
)

ADDRESS = ListenAddress("127.0.0.1", 1)


def decode(name, body):
    if body == b"broken":
        raise DocumentInvalid(f"entry {name!r} is broken")
    return backend(name, report_number=int(body))


@pytest.fixture
def daemon():
    settings = GatewaySettings(
        instance="front-1",
        address="127.0.0.1",
        data_centre="here",
        front=ADDRESS,
        readiness=ADDRESS,
        directory=None,
        peer_port=1,
        store=StoreSettings("127.0.0.1:1"),
        grace_seconds=8.0,
        directory_ttl_seconds=2.0,
        retries=RetryBounds(0.2, 10.0, 50.0),
        allowances=AllowanceBounds(8.0, 0.1, 1000.0),
        orders=OrderBounds(3.0, 5.0),
    )
    deployment = SimpleNamespace(
        table=None,
        feed=None,
        caller=None,
        orders=None,
        configuration_row=RowAddress("configuration", "head"),
        backends_partition="backends",
        decode_backend=decode,
    )
    return GatewayDaemon(settings, deployment, ManualClock())


def take(daemon, *rows, complete=False):
    changes = tuple(RowChange(name, body, n) for n, (name, body) in enumerate(rows))
    daemon._take_backends(Changes(changes, len(rows), complete))
    return sorted(r.name for r in daemon._book.of_service(ENGINES))


class TestBackendChanges:
    """Changes of backend servers are applied in their order."""

    def test_write_and_removal_in_one_answer_leave_nothing(self, daemon):
        assert take(daemon, ("e1", b"1"), ("e2", b"1")) == ["e1", "e2"]
        assert take(daemon, ("e1", b"2"), ("e1", None)) == ["e2"]

    def test_removal_and_return_in_one_answer_leave_the_later(self, daemon):
        take(daemon, ("e1", b"1"))
        assert take(daemon, ("e1", None), ("e1", b"2")) == ["e1"]

    def test_broken_entry_names_none_and_the_others_hold(self, daemon):
        assert take(daemon, ("e1", b"1"), ("x", b"broken"), ("e2", b"1")) == [
            "e1",
            "e2",
        ]

    def test_complete_list_replaces_what_was_known(self, daemon):
        take(daemon, ("e1", b"1"))
        assert take(daemon, ("e2", b"1"), complete=True) == ["e2"]
