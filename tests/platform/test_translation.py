"""Tests of the adapter's decoders and of the boundary around its wire names."""

from __future__ import annotations

import json
import re
import subprocess
import sys
from pathlib import Path

import pytest

from guavajunction.errors import DocumentInvalid, SettingsInvalid
from guavajunction.gateway import RequestKind
from guavajunction_fakes.deployment import _wire as wire
from guavajunction_platform._backend_records import decode_backend
from guavajunction_platform._configuration import decode_configuration
from guavajunction_platform._deployment import decode_evacuation
from guavajunction_platform._settings import decode_settings

ROOT = Path(__file__).resolve().parents[2]


def settings(**changes):
    content = wire.settings(
        name="front-1",
        ip="127.0.0.1",
        store="127.0.0.1:1",
        grace_seconds=8,
        ports=[1] * 4,
    )
    return json.dumps(content | changes).encode()


class TestSettings:
    """Each field of the platform's settings file is checked."""

    def test_known_fields_are_decoded_and_unknown_ones_ignored(self):
        decoded = decode_settings(settings(somethingNew={"a": 1}), "boot.json")
        assert decoded.instance == "front-1"
        assert str(decoded.front) == "127.0.0.1:1"
        assert decoded.grace_seconds == 8

    @pytest.mark.parametrize(
        ("changes", "message"),
        [
            ({"node": 7}, r"boot.json: .*str.*int.*\$\.node"),
            ({"listen": {"front": "10.0.0.1:1"}}, r"boot.json: .*ready"),
            (
                {"listen": {"front": "a", "ready": "10.0.0.1:1"}},
                r"boot.json: field 'listen.front': expected `host:port`, found 'a'",
            ),
        ],
    )
    def test_malformed_field_is_named(self, changes, message):
        with pytest.raises(SettingsInvalid, match=message):
            decode_settings(settings(**changes), "boot.json")

    def test_zones_are_mapped_to_regions(self):
        zones = {"here": "north", "there": "south"}
        decoded = decode_settings(settings(zones=zones), "boot.json")
        assert decoded.regions == zones
        decoded = decode_settings(settings(region="north", zones={}), "boot.json")
        assert decoded.regions == {"here": "north"}

    @pytest.mark.parametrize("text", ["", "{", "[]", "null"])
    def test_malformed_file_is_a_typed_error(self, text):
        with pytest.raises(SettingsInvalid):
            decode_settings(text.encode(), "boot.json")

    @pytest.mark.parametrize("content", [None, "{"])
    def test_program_ends_with_2_and_one_line(self, tmp_path, content):
        path = tmp_path / "boot.json"
        if content is not None:
            path.write_text(content)
        done = subprocess.run(
            [sys.executable, str(ROOT / "platform" / "serve.py")],
            env={"GUAVAJUNCTION_NODE_FILE": str(path)},
            capture_output=True,
            text=True,
            check=False,
        )
        assert done.returncode == 2
        assert done.stderr.count("\n") == 1
        assert str(path) in done.stderr


class TestConfiguration:
    """The operator's configuration is decoded to a catalogue."""

    def _document(self, **changes):
        content = wire.configuration(
            7,
            [wire.route("draft", "/draft/", "streaming", "engines")],
            [
                wire.engine_service(
                    "engines", {"m1": 60.0}, memory_mb=100, load_seconds=8
                )
            ],
            [wire.customer("atelier", ["k"], rate=5, burst=6)],
        )
        return json.dumps(content | changes).encode()

    def test_routes_services_and_customers(self):
        catalogue = decode_configuration(self._document())
        (route,) = catalogue.routes
        assert route.kind is RequestKind.STREAM
        assert (route.timeout_seconds, route.target_seconds) == (5.0, 0.5)
        assert route.patience_seconds == 2.0
        engine = catalogue.services["engines"].engine
        assert engine.models["m1"].memory_load_seconds == 4.0
        assert (catalogue.customers[0].rate, catalogue.customers[0].burst) == (5, 6)

    @pytest.mark.parametrize(
        ("regions", "homes"),
        [(["n", "s"], {"n", "s"}), ([], set()), (None, set())],
    )
    def test_regions_of_routes_and_tenants_are_homes(self, regions, homes):
        route = wire.route("draft", "/draft/", "safe", "engines")
        tenant = wire.customer("atelier", ["k"])
        for part in (route, tenant):
            part["allowedRegions"] = regions
        body = self._document(routes=[route], tenants=[tenant])
        decoded = decode_configuration(body)
        assert decoded.routes[0].homes == decoded.customers[0].homes == homes
        assert decoded.has_homes is bool(homes)

    @pytest.mark.parametrize("regions", ["n", [1], {"n": 1}])
    def test_malformed_regions_are_a_typed_error(self, regions):
        """Guards against a restriction that is read as none."""
        route = wire.route("draft", "/draft/", "safe", "engines")
        body = self._document(routes=[route | {"allowedRegions": regions}])
        with pytest.raises(DocumentInvalid):
            decode_configuration(body)

    def test_patience_grows_with_the_latency_objective(self):
        route = wire.route("draft", "/draft/", "streaming", "engines")
        route["targetLatencyMs"] = 6000
        catalogue = decode_configuration(self._document(routes=[route]))
        assert catalogue.routes[0].patience_seconds == 24.0

    def _cold_limit(self, **figures):
        service = wire.plain_service("engines") | figures
        return (
            decode_configuration(self._document(services=[service]))
            .services["engines"]
            .cold
        )

    def test_cold_figures_of_a_service(self):
        assert self._cold_limit(coldStartS=2.5, coldPerS=13) == (13.0, 2.5)

    @pytest.mark.parametrize("figures", [{}, {"coldPerS": 0}, {"coldPerS": None}])
    def test_service_without_a_cold_rate_has_no_limit(self, figures):
        assert self._cold_limit(**figures).rate == 0.0

    @pytest.mark.parametrize("field", ["coldPerS", "coldStartS"])
    def test_negative_cold_figure_makes_the_configuration_invalid(self, field):
        with pytest.raises(DocumentInvalid):
            self._cold_limit(**{field: -0.1})

    def test_split_routes_name_several_services(self):
        route = wire.route("draft", "/draft/", "safe", "engines")
        route["trafficSplit"] = [
            {"service": "a", "weight": 90},
            {"service": "b", "weight": 10},
        ]
        (decoded,) = decode_configuration(self._document(routes=[route])).routes
        assert [(s.service, s.weight) for s in decoded.services] == [
            ("a", 90),
            ("b", 10),
        ]

    @pytest.mark.parametrize("body", [b"", b"{", b"{}", b'{"version": "7"}'])
    def test_malformed_configuration_is_a_typed_error(self, body):
        with pytest.raises(DocumentInvalid):
            decode_configuration(body)


class TestEvacuationKeys:
    """Keys of rows in the configuration's table tell which zones are evacuated."""

    @pytest.mark.parametrize(
        ("key", "zone"),
        [("evacuate/z1", "z1"), ("evacuate/a/b", "a/b"), ("config", None), ("", None)],
    )
    def test_zone_of_a_key(self, key, zone):
        assert decode_evacuation(key) == zone

    @pytest.mark.parametrize("key", ["evacuate/", "evacuate"])
    def test_key_without_a_zone_is_a_typed_error(self, key):
        with pytest.raises(DocumentInvalid):
            decode_evacuation(key)


class TestBackendRecords:
    """Valid entries are decoded; entries of other programs are refused."""

    def _entry(self, **changes):
        entry = wire.runner_entry(
            zone="here",
            service="engines",
            address="10.0.0.1:1",
            slots=4,
            draining=False,
            started_ms=17,
            version="v1.1",
            heartbeat=12,
            models=[wire.model_entry("m1", ["a1"])],
            cached_models=["m1", "m2"],
        )
        return json.dumps(entry | changes).encode()

    def test_entry_fields_are_decoded(self):
        record = decode_backend("e1", self._entry())
        assert (record.incarnation, record.report_number) == (17, 12)
        assert record.models == {"m1": frozenset({"a1"})}
        assert record.on_disk == {"m1", "m2"}
        assert record.cold_seconds == 0.0

    def test_remaining_cold_time_is_decoded(self):
        record = decode_backend("e1", self._entry(coldRemainingMs=1800.5))
        assert record.cold_seconds == 1.8005

    @pytest.mark.parametrize(
        "changes",
        [{"state": "odd"}, {"slots": "4"}, {"address": None}, {"born": 1.5}],
    )
    def test_entry_with_invalid_fields_is_refused(self, changes):
        with pytest.raises(DocumentInvalid, match="'e1'"):
            decode_backend("e1", self._entry(**changes))

    def test_entry_that_is_not_json_is_refused(self):
        with pytest.raises(DocumentInvalid):
            decode_backend("e1", b"\xff\x00")


class TestBoundary:
    """Only the adapter uses the platform's wire names, and it calls no policy."""

    WIRE_NAMES = re.compile(
        r"x-attempt-id|x-server-seal|x-target-instance|x-not-executed|x-token-count"
        r"|x-prompt-prefix|rows-tx|rows-feed|rows-get|fencingToken|coldRemainingMs"
        r"|trafficSplit|maxAttempts|targetLatencyMs|heartbeatMs|ratePerS|apiKeys",
        re.IGNORECASE,
    )
    EXEMPT = "guavajunction-fakes/src/guavajunction_fakes/deployment/"

    def test_wire_names_stand_only_in_the_adapter(self):
        places = [
            f"{path.relative_to(ROOT)}:{number}"
            for path in sorted((ROOT / "packages").rglob("*.py"))
            if self.EXEMPT not in path.as_posix()
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if self.WIRE_NAMES.search(line)
        ]
        assert not places

    def test_adapter_imports_no_policy(self):
        """The adapter may build the inputs of policies but must not call a policy."""
        policies = re.compile(
            r"import .*(RequestQueue|RetryBudget\b|PooledRateLimit|choose|plan\b)"
        )
        places = [
            path.name
            for path in (ROOT / "platform").rglob("*.py")
            if policies.search(path.read_text())
        ]
        assert not places
