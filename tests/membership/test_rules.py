"""Unit tests of the rules of membership."""

from __future__ import annotations

import pytest

from guavajunction.membership import MembershipConfig
from guavajunction.membership._announcer import _acks_suffice
from guavajunction.membership._messages import Pending, Status
from guavajunction.membership._model import Member, MemberRow, State, View
from guavajunction.membership._observer import MemberObserver
from guavajunction.membership._pending_notes import PendingNotes
from guavajunction.membership._standing import StandingRule
from guavajunction.peers import PeerId
from guavajunction.storage import InstanceRecord

CFG = MembershipConfig()
A, B, C = (PeerId(name, f"{name}-1") for name in "abc")
RECORD = InstanceRecord("x", "dc", "10.0.0.1", 80, 81, "live")


def member(peer: PeerId, version: int, state: State = "live") -> Member:
    return Member(peer, version, MemberRow(RECORD, version, state))


class TestStandingRule:
    """Rule 2: which peers count towards a majority."""

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

    def test_only_voters_count_and_have_standing(self, rule: StandingRule) -> None:
        self.vote(rule, PeerId("d", "d-1"))
        self.vote(rule, PeerId("b", "b-2"))
        assert not rule.majority(100.0, blocked=False)
        rule.view = View(4, (B, C))
        self.vote(rule, B)
        self.vote(rule, C)
        assert not rule.majority(100.0, blocked=False)

    def test_status_without_an_echo_is_ignored(self, rule: StandingRule) -> None:
        rule.on_status(B, Status(0.0, 1, 4, True, ()), None)
        assert not rule.majority(100.0, blocked=False)


class TestPendingNotes:
    """How long a note is held."""

    def test_read_ends_an_unsettled_note_only_after_the_bound(self) -> None:
        notes = PendingNotes(CFG)
        assert notes.hold(Pending("n", "view", 1), 10.0)
        notes.on_confirmed(10.0 + CFG.settle_bound - 0.1)
        assert notes.blocked
        notes.on_confirmed(10.0 + CFG.settle_bound)
        assert not notes.blocked

    def test_settled_note_ends_with_the_next_read(self) -> None:
        notes = PendingNotes(CFG)
        notes.hold(Pending("n", "view", 1), 10.0)
        notes.settle("n", 11.0, effect=True)
        notes.on_confirmed(10.9)
        assert notes.blocked
        notes.on_confirmed(11.0)
        assert not notes.blocked

    def test_note_that_arrives_after_its_end_is_refused(self) -> None:
        notes = PendingNotes(CFG)
        notes.settle("n", 10.0, effect=False)
        assert not notes.hold(Pending("n", "view", 1), 11.0)


class TestMemberObserver:
    """Durations for which a row is unchanged."""

    @pytest.fixture
    def observer(self) -> MemberObserver:
        return MemberObserver(max_gap=3.0)

    def test_time_without_renewal_runs_from_end_of_first_to_start_of_last_read(
        self, observer: MemberObserver
    ) -> None:
        for at in (0.0, 2.0, 4.0):
            observer.record_read(at, at + 1.0, [member(A, 7)], View(1, (A,)))
        assert observer.seconds_since_renewal(A) == 3.0

    def test_time_without_renewal_restarts_after_a_gap(
        self, observer: MemberObserver
    ) -> None:
        observer.record_read(0.0, 0.0, [member(A, 7)], View(1, (A,)))
        observer.record_read(60.0, 60.0, [member(A, 7)], View(1, (A,)))
        assert observer.seconds_since_renewal(A) == 0.0

    def test_older_read_does_not_replace_a_newer_one(
        self, observer: MemberObserver
    ) -> None:
        observer.record_read(2.0, 2.5, [member(A, 8)], View(1, (A,)))
        observer.record_read(1.0, 3.0, [member(A, 7)], View(1, (A,)))
        assert observer.members[A].version == 8
        assert observer.read_at == 2.0

    def test_return_to_the_view_restarts_the_time_outside(
        self, observer: MemberObserver
    ) -> None:
        views = [View(1, ()), View(1, ()), View(2, (A,)), View(3, ()), View(3, ())]
        for at, view in enumerate(views):
            observer.record_read(at, at, [member(A, 7, "revoked")], view)
        assert observer.seconds_in_state(A, "revoked") == 4.0
        assert observer.seconds_outside_view(A) == 1.0


class TestAcksSuffice:
    """How many acknowledgements prevent a majority in which no voter holds the note."""

    @pytest.mark.parametrize(
        ("voters", "held", "stopped", "enough"),
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
    def test_holders_are_a_majority_of_remaining_voters(
        self, voters: int, held: int, stopped: int, enough: bool
    ) -> None:
        view = View(1, tuple(PeerId(str(n), "1") for n in range(voters)))
        assert _acks_suffice(held, stopped, view) is enough
