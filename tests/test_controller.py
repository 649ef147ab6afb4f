"""Replicated state: one verdict for each patch id, versions, history, roster and losses."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.controller import ControllerState, JoinRoster, LeaveRoster, SubmitPatch
from marjoramvalve.controller.commands import COMMAND_ENCODER, SettleRoster
from marjoramvalve.controller.rosters import RosterKeeper
from marjoramvalve.controller.states import HISTORY_VERSIONS
from marjoramvalve.membership import FailureDetector
from marjoramvalve.wire.messages import Member, Poll


def patch(patch_id, base, body=b"{}", kind="merge"):
    """Returns a patch command."""
    return SubmitPatch(patch_id, base, kind, body, "op", 0.0)


def member(name, domain="d1", incarnation=1, revision=0):
    """Returns a member."""
    return Member(name, domain, "r", name, name, incarnation, (), revision)


def apply(state, command):
    """Applies a command to a state."""
    return state.apply(COMMAND_ENCODER.encode(command))


def fill(state, count):
    """Accepts `count` patches."""
    for number in range(count):
        body = f'{{"customers":{{"c{number % 7}":{{"rate":{number + 1},"burst":5}}}}}}'
        assert apply(state, patch(f"p{number}", number, body.encode())).accepted


def check_resend_after_snapshot(state_class) -> None:
    """A resent patch must get its first verdict after a snapshot and restart."""
    state = state_class()
    first = apply(state, patch("p", 0))
    restored = state_class()
    restored.restore(state.save())
    again = apply(restored, patch("p", 0))
    assert again == first, f"verdict changed from {first} to {again}"
    assert restored.version == 1


class ForgetsVerdicts(ControllerState):
    """Leaves the table of patch ids out of snapshots."""

    def save(self):
        verdicts, self.verdicts = self.verdicts, {}
        raw = super().save()
        self.verdicts = verdicts
        return raw


class PatchTests(unittest.TestCase):
    """Patches against a version."""

    def test_racing_patches_get_one_winner(self):
        state = ControllerState()
        first = apply(state, patch("a", 0))
        second = apply(state, patch("b", 0))
        self.assertTrue(first.accepted)
        self.assertFalse(second.accepted)
        self.assertEqual(second.current, 1)

    def test_resend_gets_the_first_verdict(self):
        state = ControllerState()
        refused = apply(state, patch("late", 5))
        fill(state, 5)
        self.assertEqual(apply(state, patch("late", 5)), refused)
        self.assertEqual(state.version, 5)

    def test_patch_id_is_not_taken_over_by_another_patch(self):
        state = ControllerState()
        apply(state, patch("p", 0))
        other = apply(state, patch("p", 1, b'{"policy":{"chain_retries":1}}'))
        self.assertFalse(other.accepted)

    def test_verdicts_outlive_snapshots(self):
        check_resend_after_snapshot(ControllerState)
        with self.assertRaises(AssertionError):
            check_resend_after_snapshot(ForgetsVerdicts)

    def test_kept_versions_can_be_shown(self):
        state = ControllerState()
        fill(state, HISTORY_VERSIONS + 20)
        restored = ControllerState()
        restored.restore(state.save())
        for version in (state.oldest_version, state.version - 100, state.version):
            document = restored.document_at(version)
            name = f"c{(version - 1) % 7}"
            self.assertEqual(document.customers[name].rate, version)
        self.assertIsNone(restored.document_at(3))
        self.assertEqual(len(restored.deltas(state.version - 3)), 3)

    @settings(derandomize=True, deadline=None, max_examples=60)
    @given(st.lists(st.tuples(st.integers(0, 6), st.integers(0, 4)), max_size=25))
    def test_versions_grow_by_one_and_each_id_has_one_verdict(self, tries):
        state = ControllerState()
        verdicts = {}
        for number, base in tries:
            before = state.version
            verdict = apply(state, patch(f"p{number}", base))
            self.assertIn(state.version, (before, before + 1))
            if base == 0 or number not in verdicts:
                verdicts.setdefault((number, base), verdict)
            if (number, base) in verdicts:
                self.assertEqual(verdicts[number, base].accepted, verdict.accepted)
            raw = state.save()
            state = ControllerState()
            state.restore(raw)


class RosterTests(unittest.TestCase):
    """Instances joining, leaving and being lost."""

    def state(self):
        state = ControllerState()
        for number in range(6):
            apply(state, JoinRoster(member(f"n{number}", f"d{number % 3}"), 1.0))
        return state

    def test_older_revisions_change_nothing(self):
        state = self.state()
        apply(state, JoinRoster(member("n0", "d0", revision=5), 1.0))
        epoch = state.roster.epoch
        apply(state, JoinRoster(member("n0", "d0", revision=4), 1.0))
        self.assertEqual(state.roster.epoch, epoch)

    def test_losses_in_one_domain_keep_a_copy_of_each_record(self):
        state = self.state()
        apply(state, LeaveRoster(("n0", "n3"), 50.0))
        self.assertEqual(state.roster.once_floor, 0.0)

    def test_losses_in_two_domains_raise_the_floor(self):
        state = self.state()
        apply(state, LeaveRoster(("n0",), 50.0))
        apply(state, LeaveRoster(("n1",), 51.0))
        self.assertEqual(state.roster.once_floor, 51.0)

    def test_settled_losses_count_no_more(self):
        state = self.state()
        apply(state, LeaveRoster(("n0",), 50.0))
        apply(state, SettleRoster(state.roster.placement_epoch))
        apply(state, LeaveRoster(("n1",), 51.0))
        self.assertEqual(state.roster.once_floor, 0.0)

    def test_restart_counts_as_a_loss(self):
        state = self.state()
        apply(state, LeaveRoster(("n1",), 50.0))
        apply(state, JoinRoster(member("n0", "d0", incarnation=2), 52.0))
        self.assertEqual(state.roster.once_floor, 52.0)

    def test_planned_leave_waits_until_earlier_losses_are_settled(self):
        state = self.state()
        apply(state, LeaveRoster(("n0",), 50.0))
        rosters = RosterKeeper(state)
        watch = FailureDetector(8.0, 0.0)
        for number in range(1, 6):
            item = member(f"n{number}", f"d{number % 3}")
            rosters.note(Poll(item, 0, 0, 0, 10, leaving=number == 1), watch, 1.0)
        self.assertEqual(rosters.due(watch, 1.0, 60.0), [])
        settled = state.roster.placement_epoch
        for number in range(1, 6):
            item = member(f"n{number}", f"d{number % 3}")
            rosters.note(Poll(item, 0, 0, settled, 11, leaving=number == 1), watch, 1.0)
        (settle,) = rosters.due(watch, 1.0, 60.0)
        apply(state, settle)
        (leave,) = rosters.due(watch, 3.0, 60.0)
        self.assertEqual(leave.names, ("n1",))

    def test_overtaken_polls_do_not_undo_a_leave(self):
        state = self.state()
        rosters = RosterKeeper(state)
        watch = FailureDetector(8.0, 0.0)
        old = Poll(member("n1", "d1"), 0, 0, 0, 10)
        rosters.note(msgspec.structs.replace(old, nonce=11, leaving=True), watch, 1.0)
        rosters.note(old, watch, 1.1)
        self.assertEqual(rosters.due(watch, 1.2, 60.0)[0].names, ("n1",))


class SilenceTests(unittest.TestCase):
    """Suspicion before removal."""

    def test_two_observers_or_twice_the_time(self):
        watch = FailureDetector(8.0, 0.0)
        self.assertEqual(watch.find_failed(("n",), 9.0), ())
        watch.record_heartbeat("a", 9.0, ("n",))
        self.assertEqual(watch.find_failed(("n",), 9.0), ())
        watch.record_heartbeat("b", 9.0, ("n",))
        self.assertEqual(watch.find_failed(("n",), 9.0), ("n",))
        self.assertEqual(FailureDetector(8.0, 0.0).find_failed(("n",), 16.0), ("n",))

    def test_suspicion_alone_removes_nobody(self):
        watch = FailureDetector(8.0, 0.0)
        watch.record_heartbeat("n", 5.0, ())
        for observer in ("a", "b", "c"):
            watch.record_heartbeat(observer, 6.0, ("n",))
        self.assertEqual(watch.find_failed(("n",), 6.0), ())
