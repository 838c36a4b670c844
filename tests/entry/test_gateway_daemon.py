"""Tests of how the gateway daemon applies changes from the store."""

from __future__ import annotations

from types import SimpleNamespace

import pytest

from fakes_gateway import ENGINES, backend, gateway_settings
from guavajunction.clock import ManualClock
from guavajunction.errors import DocumentInvalid
from guavajunction.storage import Changes, RowChange, position
from guavajunction_entry.gateway import (
    GatewayDaemon,
    RowAddress,
)


def decode(name, body):
    if body == b"broken":
        raise DocumentInvalid(f"entry {name!r} is broken")
    return backend(name, report_number=int(body))


@pytest.fixture
def daemon():
    deployment = SimpleNamespace(
        table=None,
        feed=None,
        caller=None,
        orders=None,
        configuration_row=RowAddress("configuration", "head"),
        backends_partition="backends",
        decode_backend=decode,
    )
    return GatewayDaemon(gateway_settings(), deployment, ManualClock())


def apply_changes(daemon, *rows, complete=False, era=0):
    changes = tuple(
        RowChange(name, body, position(era, n)) for n, (name, body) in enumerate(rows)
    )
    version = position(era, len(rows))
    daemon._apply_backend_changes(Changes(changes, version, complete))
    return sorted(r.name for r in daemon._registry.of_service(ENGINES))


class TestBackendChanges:
    """Changes of backend servers are applied in order, and decoded once each."""

    def test_server_written_and_removed_in_one_answer_is_removed(self, daemon):
        assert apply_changes(daemon, ("e1", b"1"), ("e2", b"1")) == ["e1", "e2"]
        assert apply_changes(daemon, ("e1", b"2"), ("e1", None)) == ["e2"]

    def test_server_removed_and_written_in_one_answer_is_kept(self, daemon):
        apply_changes(daemon, ("e1", b"1"))
        assert apply_changes(daemon, ("e1", None), ("e1", b"2")) == ["e1"]

    def test_malformed_entry_does_not_affect_the_others(self, daemon):
        assert apply_changes(daemon, ("e1", b"1"), ("x", b"broken"), ("e2", b"1")) == [
            "e1",
            "e2",
        ]

    def test_complete_list_replaces_all_known_servers(self, daemon):
        apply_changes(daemon, ("e1", b"1"))
        assert apply_changes(daemon, ("e2", b"1"), complete=True) == ["e2"]

    def test_entry_is_decoded_once_for_the_registry_and_the_followers(
        self, daemon, monkeypatch
    ):
        decoded = []

        def count(name, body):
            decoded.append((name, body))
            return decode(name, body)

        monkeypatch.setattr(daemon._deployment, "decode_backend", count)
        for number in (b"1", b"2", b"3"):
            rows = (RowChange("e1", number, int(number)),)
            changes = Changes(rows, int(number), complete=number == b"1")
            daemon._publish_to_followers("backends", changes)
            daemon._apply_backend_changes(changes)
        assert decoded == [("e1", b"1"), ("e1", b"2"), ("e1", b"3")]


class TestStoreComesBackFromACopy:
    """Backend servers that the copy lacks are kept until they should be back."""

    @pytest.mark.parametrize("complete", [True, False])
    def test_missing_server_is_kept_for_a_while(self, daemon, complete):
        apply_changes(daemon, ("e1", b"1"), ("e2", b"1"))
        lost = [("e2", b"1")] if complete else [("e1", None)]
        assert apply_changes(daemon, *lost, complete=complete, era=1) == ["e1", "e2"]
        daemon._clock.advance(daemon._registry.RETURN_SECONDS)
        daemon._registry.expire()
        assert apply_changes(daemon, era=1) == ["e2"]

    def test_server_removed_later_in_the_era_is_removed_at_once(self, daemon):
        apply_changes(daemon, ("e1", b"1"), ("e2", b"1"), era=1)
        assert apply_changes(daemon, ("e1", None), era=1) == ["e2"]
