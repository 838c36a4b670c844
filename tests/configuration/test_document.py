"""Tests of parsing and checking the configuration document."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes_configuration import EXAMPLE, example_sections
from guavajunction.configuration import build, check_sections, parse_document
from guavajunction.configuration._capacity import capacity_faults
from guavajunction.configuration._reference import reference_page
from guavajunction.configuration._toml import write_toml
from guavajunction.errors import DocumentInvalid

PAGE = Path(__file__).parents[2] / "docs/reference/configuration.md"


def faults(old: str = "", new: str = "", text: str = EXAMPLE) -> list[str]:
    """Return the faults of the example after replacing `old` by `new` in its text."""
    assert old in text
    with pytest.raises(DocumentInvalid) as caught:
        parse_document(text.replace(old, new, 1))
    return [str(fault) for fault in caught.value.faults]


class TestShape:
    """Every fault in keys, types and limits is reported with its path."""

    def test_all_faults_are_reported_together(self):
        text = """
            colours = 1
            [customers.a]
            rate = "fast"
            burst = nan
            brust = 1
            [backends.b]
            kind = "engin"
            address = "host:80"
            data_centre = "t"
            pool = true
            slots = 2.0
            [models."a@b"]
            [services.s]
            pool = "p"
            routes = [{prefix = "a/", methods = ["GET", "GET"], idempotent = 1}]
            [based_on]
            model = 1
            """
        assert faults(text=text) == [
            "based_on.model: found unknown section, expected one of customers, keys,"
            " models, backends, services, objectives",
            "colours: found unknown section, expected one of customers, keys, models,"
            " backends, services, objectives",
            "customers.a.brust: found unknown key, expected one of rate, burst, weight,"
            " models",
            "customers.a.rate: found 'fast', expected a number",
            "customers.a.burst: found nan, expected a number",
            "models.a@b: found 'a@b', expected letters, digits, `.`, `_` or `-`, at"
            " most 64",
            "models.a@b.version: found nothing, expected text",
            "models.a@b.pool: found nothing, expected text",
            "models.a@b.memory_mib: found nothing, expected a whole number",
            "backends.b.kind: found 'engin', expected one of `engine`, `service`",
            "backends.b.address: found 'host:80', expected an IP number and a port,"
            " `10.0.0.1:8000`",
            "backends.b.pool: found true, expected text",
            "backends.b.slots: found 2.0, expected a whole number",
            "services.s.routes[0].prefix: found 'a/', expected a path that starts with"
            " `/` and does not end with one",
            "services.s.routes[0].methods[1]: found 'GET' again, expected each value"
            " once",
            "services.s.routes[0].idempotent: found 1, expected true or false",
        ]

    def test_a_key_in_place_of_its_digest_is_not_shown(self):
        text = '[keys.k]\ncustomer = "a"\ndigest = "gj_1_secret"'
        assert faults(text=text) == [
            "keys.k.digest: found text of 11 characters, expected 64 hexadecimal digits"
        ]

    def test_text_that_is_not_toml(self):
        (fault,) = faults(text="[customers")
        assert fault.startswith("document: found")

    @settings(max_examples=40, deadline=None)
    @given(st.recursive(st.none() | st.integers() | st.text() | st.floats(), st.lists))
    def test_any_value_is_refused_or_built(self, value):
        sections = example_sections()
        sections["customers"]["lookbook"]["rate"] = value
        try:
            check_sections(sections)
        except DocumentInvalid:
            return
        assert build(1, sections).customers["lookbook"].rate > 0


class TestReferences:
    """Entries that contradict each other are refused."""

    @pytest.mark.parametrize(
        ("old", "new", "path"),
        [
            ('"retail"]', '"retial"]', "customers.lookbook.models[1]"),
            ("burst = 20000.0", "burst = 1.0", "customers.lookbook.burst"),
            ("adapters.retail", "adapters.drafts", "models.captions.adapters.drafts"),
            ("10.0.2.1:8000", "10.0.1.1:8000", "backends.runner-2.address"),
            ("memory_mib = 32000\n", "", "backends.runner-1.memory_mib"),
            ("mib = 8000\nchecks", "mib = 32000\nchecks", "backends.runner-1.kv_"),
            ('pool = "booking"\n\n[[', 'pool = "b"\n\n[[', "services.booking.pool"),
            ('"/bookings"\nmethods = ["POST"]', '"/availability"\nmethods = ["GET"]',
             "services.booking.routes[1]"),
            ("[objectives.batch]", "[objectives.bulk]", "objectives.bulk"),
            ("[models.captions]", '[keys.k]\ncustomer = "nobody"\ndigest = "'
             + "0" * 64 + '"\n[models.captions]', "keys.k.customer"),
        ],
    )  # fmt: skip
    def test_fault_names_its_place(self, old, new, path):
        assert any(fault.startswith(path) for fault in faults(old, new))

    def test_two_keys_with_one_digest(self):
        sections = example_sections()
        key = {"customer": "returns", "digest": "0" * 64}
        sections["keys"] = {"a": key, "b": key}
        with pytest.raises(DocumentInvalid, match=r"keys\.b\.digest: found that of"):
            check_sections(sections)


class TestCapacity:
    """A document is refused with the sums if its minimum does not fit the engines."""

    def pool(self, models: dict[str, tuple], engines: list[int]) -> list[str]:
        sections = {
            "models": {
                name: {
                    "pool": "p",
                    "memory_mib": mib,
                    "min_replicas": replicas,
                    "adapters": {f"{name}-a": {"memory_mib": adapter}},
                }
                for name, (mib, replicas, adapter) in models.items()
            },
            "backends": {
                str(i): {"kind": "engine", "pool": "p", "memory_mib": mib}
                for i, mib in enumerate(engines)
            },
        }
        return [str(fault) for fault in capacity_faults(sections)]

    def test_sum_exceeds_the_pool(self):
        assert self.pool({"m": (60, 2, 5), "n": (70, 1, 1)}, [100, 95]) == [
            "models, pool `p`: found m 2 x 60 + adapters 5 + n 1 x 70 + adapters 1"
            " = 196 MiB, expected at most 100 + 95 = 195 MiB"
        ]

    def test_more_replicas_than_engines(self):
        (fault,) = self.pool({"m": (10, 3, 1)}, [100, 100])
        assert fault.startswith("models.m.min_replicas: found 3, expected at most 2")

    def test_adapter_does_not_fit_beside_its_model(self):
        (fault,) = self.pool({"m": (95, 1, 6)}, [100, 50])
        assert "found 95 + 6 = 101, expected at most 100" in fault

    def test_adapters_do_not_fit_beside_their_model(self):
        adapter = {"version": "1", "memory_mib": 25}
        sections = example_sections()
        sections["models"]["drafts"] |= {
            "memory_mib": 23960,
            "adapters": {"a": adapter, "b": adapter},
        }
        with pytest.raises(DocumentInvalid, match=r"adapters 50 = 24010 MiB, expected"):
            check_sections(sections)

    def test_adapters_stay_with_the_only_replica(self):
        assert self.pool({"m": (60, 1, 20), "n": (20, 1, 15)}, [80, 35]) == []

    def test_large_replicas_need_one_engine_each(self):
        (fault,) = self.pool({"m": (51, 2, 1), "n": (52, 1, 1)}, [100, 100, 40])
        assert "3 replicas of more than 50 MiB" in fault

    def test_no_placement_though_the_sums_allow_it(self):
        models = dict.fromkeys("abcde", (40, 1, 1))
        (fault,) = self.pool(models, [105, 105])
        assert "no placement of 205 MiB" in fault

    def test_replicas_need_different_engines(self):
        (fault,) = self.pool({"m": (30, 2, 1)}, [100, 20])
        assert "no placement of 61 MiB" in fault

    def test_leaving_engine_does_not_count(self):
        old = 'address = "10.0.2.1:8000"'
        (fault,) = faults(old, f"{old}\nleaving = true")
        assert fault.startswith("models.captions.min_replicas: found 2")

    @given(
        st.dictionaries(
            st.sampled_from("abcdef"),
            st.tuples(st.integers(1, 60), st.integers(1, 3), st.integers(1, 9)),
            min_size=1,
        ),
        st.lists(st.integers(40, 120), min_size=1, max_size=4),
    )
    def test_accepted_demand_fits_the_total_memory(self, models, engines):
        if not self.pool(models, engines):
            needed = sum(mib * n + adapter for mib, n, adapter in models.values())
            assert needed <= sum(engines)


class TestText:
    """The reference page and the written TOML agree with the types."""

    def test_written_document_is_parsed_to_the_same_sections(self):
        sections = example_sections()
        text = write_toml(sections, {"models": 2})
        doc = parse_document(text)
        assert (doc.given, doc.based_on) == (sections, {"models": 2})

    def test_absent_sections_come_from_the_base(self):
        text = "[customers.returns]\nrate = 1\nburst = 2"
        base = example_sections()
        doc = parse_document(text, base)
        assert list(doc.given) == ["customers"]
        assert doc.merged_over(base)["models"] == base["models"]

    def test_reference_page_matches_the_types(self):
        assert PAGE.read_text() == reference_page()
