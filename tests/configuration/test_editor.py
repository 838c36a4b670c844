"""Tests of the editor, which announces changes and gets them accepted."""

from __future__ import annotations

import asyncio

import pytest

from fakes_configuration import (
    Fleet,
    change_of,
    example_sections,
    lose_head_writes,
    rate_change,
)
from guavajunction.errors import (
    AcceptanceUnknown,
    EntryUnknown,
    PeerTimeout,
    StoreUnavailable,
)


@pytest.fixture
async def fleet():
    fleet = Fleet("a", "b", "c")
    await fleet.accept_example()
    return fleet


class TestEditor:
    """Changes are announced first, retried on conflicts and can be rolled back."""

    async def test_nothing_is_written_without_a_majority(self, fleet):
        node = fleet.nodes[0]
        node.membership.majority = False
        with pytest.raises(PeerTimeout):
            await node.editor.apply(rate_change(7, "c"))
        assert (await node.store.read_head()).version == 1

    async def test_nothing_is_written_under_an_expired_announcement(self, fleet):
        node = fleet.nodes[0]
        node.membership.expired = True
        with pytest.raises(AcceptanceUnknown):
            await node.editor.apply(rate_change(7, "c"))
        assert (await node.store.read_head()).version == 1

    @pytest.mark.parametrize("lost", ["bodies", "history"])
    async def test_lost_answer_to_other_writes_closes_announcement(self, fleet, lost):
        node = fleet.nodes[0]
        if lost == "bodies":
            fleet.objects.lose_answers = 99
        else:
            node.table.faults = iter(["lose_requests"] * 99)
        with pytest.raises(StoreUnavailable):
            await node.editor.apply(rate_change(7, "c"))
        assert node.membership.open == 0

    async def test_announcement_outlives_an_unknown_outcome(self, fleet):
        node = fleet.nodes[0]
        lose_head_writes(node)
        with pytest.raises(AcceptanceUnknown):
            await node.editor.apply(rate_change(7, "c"))
        assert node.membership.open == 1

    async def test_keys_issued_at_once_are_all_kept(self, fleet):
        def add(key_id):
            digest = key_id * 64
            return lambda keys: keys.update(
                {key_id: {"customer": "returns", "digest": digest}}
            )

        edits = [
            node.editor.edit("keys", add(key_id), "aino", key_id)
            for node, key_id in zip(fleet.nodes, "abc", strict=True)
        ]
        await asyncio.gather(*edits)
        head = await fleet.nodes[0].store.read_head()
        sections = await fleet.nodes[0].store.load_sections(head)
        assert set(sections["keys"]) == set("abc")

    async def test_unedited_stale_section_is_no_conflict(self, fleet):
        a, b, _ = fleet.nodes
        whole = example_sections()
        whole["objectives"]["live"]["max_wait"] = 9.0
        based_on = dict.fromkeys(whole, 1)
        await a.editor.apply(rate_change(7, "c"))
        change = change_of(whole, attempt_id="w", based_on=based_on)
        assert (await b.editor.apply(change)).version == 3
        assert b.manager.current.customers["returns"].rate == 7
        assert b.manager.current.objectives["live"].max_wait == 9.0

    async def test_roll_back_is_a_higher_version_and_keeps_keys(self, fleet):
        node = fleet.nodes[0]
        key = {"k": {"customer": "returns", "digest": "0" * 64}}
        await node.editor.edit("keys", lambda keys: keys.update(key), "aino", "k")
        await node.editor.apply(rate_change(7, "c"))
        accepted = await node.editor.roll_back(1, "aino", "back")
        assert accepted.version == 4
        assert node.manager.current.customers["returns"].rate == 1500
        assert len(node.manager.current.keys) == 1

    async def test_roll_back_to_an_unknown_version_is_refused(self, fleet):
        with pytest.raises(EntryUnknown):
            await fleet.nodes[0].editor.roll_back(5, "aino", "back")
