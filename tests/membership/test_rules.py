"""The rules of membership one by one, on plain values."""

from __future__ import annotations

import pytest

from guavajunction.membership import MembershipConfig
from guavajunction.membership._announcer import _enough
from guavajunction.membership._messages import Pending, Status
from guavajunction.membership._model import Member, MemberRow, State, View
from guavajunction.membership._observer import MemberObserver
from guavajunction.membership._pending_notes import NoteBook
from guavajunction.membership._standing import StandingRule
from guavajunction.peers import PeerId
from guavajunction.storage import InstanceRecord

CFG = MembershipConfig()
A, B, C = (PeerId(name, f"{name}-1") for name in "abc")
RECORD = InstanceRecord("x", "dc", "10.0.0.1", 80, 81, "live")


def member(peer: PeerId, version: int, state: State = "live") -> Member:
    return Member(peer, version, MemberRow(RECORD, version, state))


class TestStandingRule:
    """A majority of the voters of one view."""

    @pytest.fixture
    def rule(self) -> StandingRule:
        rule = StandingRule(A, lambda: 1, CFG)
        rule.view = View(4, (A, B, C))
        rule.renewed_at = 100.0
        return rule

    def vote(self, rule: StandingRule, peer: PeerId, *, view: int = 4) -> None:
        rule.on_status(peer, Status(None, 1, view, True, ()), 100.0)

    def test_peer_of_the_same_view_completes_a_majority(
        self, rule: StandingRule
    ) -> None:
        assert not rule.majority(100.0, blocked=False)
        self.vote(rule, B)
        assert rule.majority(100.0, blocked=False)

    def test_peers_of_other_views_do_not_count(self, rule: StandingRule) -> None:
        self.vote(rule, B, view=3)
        self.vote(rule, C, view=5)
        assert not rule.majority(100.0, blocked=False)

    def test_only_voters_count_and_stand(self, rule: StandingRule) -> None:
        self.vote(rule, PeerId("d", "d-1"))
        self.vote(rule, PeerId("b", "b-2"))
        assert not rule.majority(100.0, blocked=False)
        rule.view = View(4, (B, C))
        self.vote(rule, B)
        self.vote(rule, C)
        assert not rule.majority(100.0, blocked=False)

    def test_status_without_an_echo_says_nothing(self, rule: StandingRule) -> None:
        rule.on_status(B, Status(0.0, 1, 4, True, ()), None)
        assert not rule.majority(100.0, blocked=False)


class TestNoteBook:
    """When a note ends."""

    def test_read_ends_an_unsettled_note_only_after_the_bound(self) -> None:
        notes = NoteBook(CFG)
        assert notes.hold(Pending("n", "view", 1), 10.0)
        notes.on_confirmed(10.0 + CFG.settle_bound - 0.1)
        assert notes.blocked
        notes.on_confirmed(10.0 + CFG.settle_bound)
        assert not notes.blocked

    def test_settled_note_ends_with_the_next_read(self) -> None:
        notes = NoteBook(CFG)
        notes.hold(Pending("n", "view", 1), 10.0)
        notes.settle("n", 11.0, effect=True)
        notes.on_confirmed(10.9)
        assert notes.blocked
        notes.on_confirmed(11.0)
        assert not notes.blocked

    def test_note_that_arrives_after_its_end_is_refused(self) -> None:
        notes = NoteBook(CFG)
        notes.settle("n", 10.0, effect=False)
        assert not notes.hold(Pending("n", "view", 1), 11.0)


class TestMemberObserver:
    """How long a row has stayed as it is."""

    @pytest.fixture
    def observer(self) -> MemberObserver:
        return MemberObserver(max_gap=3.0)

    def test_silence_counts_between_reads(self, observer: MemberObserver) -> None:
        for at in (0.0, 2.0, 4.0):
            observer.note(at, at + 1.0, [member(A, 7)], View(1, (A,)))
        assert observer.silent_for(A) == 3.0

    def test_silence_begins_anew_after_a_gap(self, observer: MemberObserver) -> None:
        observer.note(0.0, 0.0, [member(A, 7)], View(1, (A,)))
        observer.note(60.0, 60.0, [member(A, 7)], View(1, (A,)))
        assert observer.silent_for(A) == 0.0

    def test_older_read_does_not_replace_a_newer_one(
        self, observer: MemberObserver
    ) -> None:
        observer.note(2.0, 2.5, [member(A, 8)], View(1, (A,)))
        observer.note(1.0, 3.0, [member(A, 7)], View(1, (A,)))
        assert observer.members[A].version == 8
        assert observer.read_at == 2.0

    def test_return_to_the_view_ends_the_time_outside(
        self, observer: MemberObserver
    ) -> None:
        views = [View(1, ()), View(1, ()), View(2, (A,)), View(3, ()), View(3, ())]
        for at, view in enumerate(views):
            observer.note(at, at, [member(A, 7, "revoked")], view)
        assert observer.in_state_for(A, "revoked") == 4.0
        assert observer.outside_for(A) == 1.0


class TestEnough:
    """How many voters must hold a note."""

    @pytest.mark.parametrize(
        ("voters", "held", "gone", "enough"),
        [
            (1, 1, 0, True),
            (3, 1, 0, False),
            (3, 2, 0, True),
            (4, 2, 0, False),
            (3, 1, 1, False),
            (3, 1, 2, True),
            (5, 2, 1, False),
            (5, 2, 2, True),
            (5, 0, 5, False),
            (0, 0, 0, False),
        ],
    )
    def test_holders_outnumber_those_that_remain(
        self, voters: int, held: int, gone: int, enough: bool
    ) -> None:
        view = View(1, tuple(PeerId(str(n), "1") for n in range(voters)))
        assert _enough(held, gone, view) is enough
