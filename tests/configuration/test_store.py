"""Tests of acceptance with concurrent changes, lost answers and stale reads."""

from __future__ import annotations

import asyncio
import random
from unittest.mock import patch

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from fakes_configuration import (
    Fleet,
    accept,
    change_of,
    example_sections,
    lose_head_writes,
    rate_change,
)
from guavajunction.configuration import Accepted, _store
from guavajunction.configuration._head import RECENT_ATTEMPTS
from guavajunction.errors import (
    AcceptanceUnknown,
    DocumentInvalid,
    ObjectCorrupt,
    ObjectNotFound,
    SectionConflict,
    StoreAnswerLost,
    StoreUnavailable,
)


@pytest.fixture
async def fleet():
    fleet = Fleet("a", "b")
    await fleet.accept_example()
    return fleet


def lose_answer_after_others(node, others):
    """Lose the answer to the next write of the head row.

    Changes of `others` are accepted before the node reads the head row again.
    """
    put = node.table.put

    async def put_then_lose_answer(partition, *args, **kwargs):
        row = await put(partition, *args, **kwargs)
        if partition == "configuration":
            node.table.put = put
            await others()
            raise StoreAnswerLost("no answer; the write took effect")
        return row

    node.table.put = put_then_lose_answer


class TestRaces:
    """Concurrent changes conflict only if they change the same section."""

    async def test_both_sections_survive_a_race(self, fleet):
        objectives = example_sections()["objectives"]
        objectives["live"]["max_wait"] = 9.0
        other = change_of(
            {"objectives": objectives}, attempt_id="o", based_on={"objectives": 1}
        )
        a, b = (node.store for node in fleet.nodes)
        results = await asyncio.gather(accept(a, rate_change(7, "c")), accept(b, other))
        assert sorted(accepted.version for accepted in results) == [2, 3]
        cfg = await a.load(await a.read_head())
        assert cfg.customers["returns"].rate == 7
        assert cfg.objectives["live"].max_wait == 9.0

    async def test_same_section_conflicts_and_names_the_other(self, fleet):
        a, b = (node.store for node in fleet.nodes)
        results = await asyncio.gather(
            accept(a, rate_change(7, "c")),
            accept(b, rate_change(8, "d")),
            return_exceptions=True,
        )
        (conflict,) = [r for r in results if isinstance(r, SectionConflict)]
        assert conflict.message == (
            "Section customers was changed by aino at 2023-11-14 22:13:20 UTC to"
            " version 2; the change was made from version 1."
        )
        assert (await a.read_head()).version == 2

    async def test_changes_that_are_invalid_only_together(self, fleet):
        customers = example_sections()["customers"]
        del customers["returns"]
        removal = change_of(
            {"customers": customers}, attempt_id="r", based_on={"customers": 1}
        )
        keys = {"k": {"customer": "returns", "digest": "0" * 64}}
        key = change_of({"keys": keys}, attempt_id="k", based_on={"keys": 1})
        a, b = (node.store for node in fleet.nodes)
        results = await asyncio.gather(
            accept(a, removal), accept(b, key), return_exceptions=True
        )
        assert [type(r) for r in results].count(DocumentInvalid) == 1
        assert (await a.read_head()).version == 2


class TestLostAnswers:
    """A change is accepted at most once, even if answers of the store are lost."""

    @pytest.mark.parametrize("fault", ["lose_answers", "lose_requests"])
    async def test_change_is_accepted_once(self, fleet, fault):
        node = fleet.nodes[0]
        setattr(node.table, fault, 3)
        accepted = await accept(node.store, rate_change(7, "c"))
        assert accepted.version == 2
        assert (await node.store.read_head()).version == 2

    async def test_recognised_after_another_change_was_accepted(self, fleet):
        a, b = fleet.nodes
        lose_answer_after_others(
            a, lambda: accept(b.store, rate_change(8, "d", version=2))
        )
        assert (await accept(a.store, rate_change(7, "c"))).version == 2
        assert (await b.store.read_head()).version == 3

    async def test_unknown_when_the_store_never_answers(self, fleet):
        lose_head_writes(fleet.nodes[0])
        with pytest.raises(AcceptanceUnknown, match="attempt c"):
            await accept(fleet.nodes[0].store, rate_change(7, "c"))

    async def test_unknown_when_later_writes_are_refused(self, fleet):
        table = fleet.nodes[0].table
        table.faults = iter([None, "lose_requests", *["refused"] * 99])
        with pytest.raises(AcceptanceUnknown):
            await accept(fleet.nodes[0].store, rate_change(7, "c"))

    async def test_not_accepted_when_the_store_was_never_reached(self, fleet):
        fleet.nodes[0].table.down = True
        with pytest.raises(StoreUnavailable):
            await accept(fleet.nodes[0].store, rate_change(7, "c"))

    async def test_repeat_at_another_instance_changes_nothing(self, fleet):
        a, b = (node.store for node in fleet.nodes)
        first = await accept(a, rate_change(7, "c"))
        again = await accept(b, rate_change(7, "c"))
        assert first.version == again.version == (await a.read_head()).version == 2

    async def test_old_attempt_is_found_in_the_history(self, fleet):
        a, b = fleet.nodes

        async def accept_many():
            for i in range(RECENT_ATTEMPTS + 1):
                await accept(b.store, rate_change(9 + i, f"d{i}", version=2 + i))

        lose_answer_after_others(a, accept_many)
        assert (await accept(a.store, rate_change(7, "c"))).version == 2
        with pytest.raises(SectionConflict):
            await accept(a.store, rate_change(7, "never sent"))


class TestObjects:
    """Bodies are used only if they match the digest in their name."""

    @pytest.mark.parametrize(
        ("fault", "failure"), [("hidden", ObjectNotFound), ("corrupt", ObjectCorrupt)]
    )
    async def test_stale_read_is_repeated_then_refused(self, fleet, fault, failure):
        store = fleet.start("c").store
        head = await store.read_head()
        names = getattr(fleet.objects, fault)
        names.update(fleet.objects.objects)
        with pytest.raises(failure):
            await store.load(head)
        task = asyncio.create_task(store.load(head))
        await asyncio.sleep(0)
        names.clear()
        assert (await task).version == 1

    async def test_body_is_stored_before_the_row_refers_to_it(self, fleet):
        fleet.objects.down = True
        with pytest.raises(StoreUnavailable):
            await accept(fleet.nodes[0].store, rate_change(7, "c"))
        assert (await fleet.nodes[0].store.read_head()).version == 1


class TestHistory:
    """Every accepted version is in the history before the next one replaces it."""

    async def test_versions_of_several_authors(self, fleet):
        for version in range(1, 4):
            store = fleet.nodes[version % 2].store
            await accept(store, rate_change(version, f"v{version}", version))
        heads = await store.history(3)
        assert [(h.version, h.changed) for h in heads] == [
            (version, ("customers",)) for version in (4, 3, 2)
        ]
        assert (await store.read_past_head(1)).attempts[-1].attempt_id == "first"


class TestAnyOrder:
    """Reported outcomes agree with the history for any lost or delayed writes."""

    @settings(max_examples=60, deadline=None)
    @given(
        changes=st.lists(
            st.tuples(st.sampled_from(["customers", "objectives"]), st.booleans()),
            min_size=2,
            max_size=5,
        ),
        faults=st.lists(
            st.sampled_from([None, "lose_answers", "lose_requests", "late", "refused"])
        ),
        seed=st.integers(0, 99),
    )
    def test_reports_agree_with_the_history(self, changes, faults, seed):
        with patch.object(_store, "ACCEPT_ATTEMPTS", 3):
            asyncio.run(self.race(changes, faults, random.Random(seed)))

    async def race(self, changes, faults, rng):
        fleet = Fleet("a", "b", "c")
        await fleet.accept_example()
        for node in fleet.nodes:
            node.table.rng, node.table.faults = rng, iter(faults)
        tasks = []
        for i, (section, repeated) in enumerate(changes):
            content = example_sections()[section]
            content["returns" if section == "customers" else "live"] |= (
                {"rate": 10.0 + i} if section == "customers" else {"max_wait": 9.0 + i}
            )
            change = change_of(
                {section: content}, attempt_id=f"t{i}", based_on={section: 1}
            )
            stores = [fleet.nodes[(i + j) % 3].store for j in range(1 + repeated)]
            tasks += [(change, accept(store, change)) for store in stores]
        results = await asyncio.gather(*[t for _, t in tasks], return_exceptions=True)
        late = [task for node in fleet.nodes for task in node.table.late]
        await asyncio.gather(*late, return_exceptions=True)
        history = await fleet.nodes[0].store.history(99)
        version_by_attempt = {h.attempts[-1].attempt_id: h.version for h in history}
        assert len(version_by_attempt) == len(history) <= 3
        answers_by_attempt: dict[str, list] = {}
        for (change, _), result in zip(tasks, results, strict=True):
            answers_by_attempt.setdefault(change.attempt_id, []).append(result)
        for attempt_id, answers in answers_by_attempt.items():
            self.check(version_by_attempt.get(attempt_id), answers)

    def check(self, version, answers):
        """Compare the results of all sends of an attempt with the history."""
        kinds = {type(answer) for answer in answers}
        versions = {a.version for a in answers if isinstance(a, Accepted)}
        assert versions <= {version}
        if SectionConflict in kinds or not kinds & {Accepted, AcceptanceUnknown}:
            assert version is None
