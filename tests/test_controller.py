"""Replicated state: one verdict for each patch id, versions, history, roster and losses."""

import unittest

import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from marjoramvalve.controller import ControllerState, JoinRoster, LeaveRoster, SubmitPatch
from marjoramvalve.controller.commands import COMMAND_ENCODER, SettleRoster
from marjoramvalve.controller.rosters import RosterPlanner
from marjoramvalve.controller.states import MAX_HISTORY_VERSIONS
from marjoramvalve.membership import FailureDetector
from marjoramvalve.wire.messages import Member, Poll


def patch(patch_id, base, body=b"{}", kind="merge"):
    """Returns a command that submits a patch."""
    return SubmitPatch(patch_id, base, kind, body, "op", 0.0)


def member(name, domain="d1", incarnation=1, revision=0):
    """Returns a roster member."""
    return Member(name, domain, "r", name, name, incarnation, (), revision)


def apply(state, command):
    """Encodes a command and applies it to a state; returns the verdict."""
    return state.apply(COMMAND_ENCODER.encode(command))


def accept_patches(state, count):
    """Applies `count` patches to an empty state; asserts that each is accepted."""
    for number in range(count):
        body = f'{{"customers":{{"c{number % 7}":{{"rate":{number + 1},"burst":5}}}}}}'
        assert apply(state, patch(f"p{number}", number, body.encode())).accepted


def check_resend_after_snapshot(state_class) -> None:
    """Checks that a resent patch gets its first verdict after a restore from a snapshot."""
    state = state_class()
    first = apply(state, patch("p", 0))
    restored = state_class()
    restored.restore(state.save())
    again = apply(restored, patch("p", 0))
    assert again == first, f"verdict changed from {first} to {again}"
    assert restored.version == 1


class VerdictlessState(ControllerState):
    """Omits the verdicts from snapshots."""

    def save(self):
        verdicts, self.verdicts = self.verdicts, {}
        raw = super().save()
        self.verdicts = verdicts
        return raw


class PatchTests(unittest.TestCase):
    """Patches against a base version."""

    def test_only_one_of_two_patches_on_the_same_base_is_accepted(self):
        state = ControllerState()
        first = apply(state, patch("a", 0))
        second = apply(state, patch("b", 0))
        self.assertTrue(first.accepted)
        self.assertFalse(second.accepted)
        self.assertEqual(second.current, 1)

    def test_resend_gets_the_first_verdict(self):
        state = ControllerState()
        refused = apply(state, patch("late", 5))
        accept_patches(state, 5)
        self.assertEqual(apply(state, patch("late", 5)), refused)
        self.assertEqual(state.version, 5)

    def test_patch_id_cannot_be_reused_for_another_patch(self):
        state = ControllerState()
        apply(state, patch("p", 0))
        other = apply(state, patch("p", 1, b'{"policy":{"chain_retries":1}}'))
        self.assertFalse(other.accepted)

    def test_verdicts_survive_snapshots(self):
        check_resend_after_snapshot(ControllerState)
        with self.assertRaises(AssertionError):
            check_resend_after_snapshot(VerdictlessState)

    def test_versions_in_history_can_be_read(self):
        state = ControllerState()
        accept_patches(state, MAX_HISTORY_VERSIONS + 20)
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
    def test_versions_grow_by_one_and_each_id_has_one_verdict(self, submissions):
        state = ControllerState()
        verdicts = {}
        for number, base in submissions:
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

    def test_losses_in_one_domain_do_not_raise_idempotency_floor(self):
        """A copy of each record survives in another failure domain."""
        state = self.state()
        apply(state, LeaveRoster(("n0", "n3"), 50.0))
        self.assertEqual(state.roster.idempotency_floor, 0.0)

    def test_losses_in_two_domains_raise_idempotency_floor(self):
        state = self.state()
        apply(state, LeaveRoster(("n0",), 50.0))
        apply(state, LeaveRoster(("n1",), 51.0))
        self.assertEqual(state.roster.idempotency_floor, 51.0)

    def test_settled_losses_do_not_raise_idempotency_floor(self):
        state = self.state()
        apply(state, LeaveRoster(("n0",), 50.0))
        apply(state, SettleRoster(state.roster.placement_epoch))
        apply(state, LeaveRoster(("n1",), 51.0))
        self.assertEqual(state.roster.idempotency_floor, 0.0)

    def test_restart_counts_as_a_loss(self):
        state = self.state()
        apply(state, LeaveRoster(("n1",), 50.0))
        apply(state, JoinRoster(member("n0", "d0", incarnation=2), 52.0))
        self.assertEqual(state.roster.idempotency_floor, 52.0)

    def test_planned_leave_waits_until_earlier_losses_are_settled(self):
        state = self.state()
        apply(state, LeaveRoster(("n0",), 50.0))
        planner = RosterPlanner(state)
        detector = FailureDetector(8.0, 0.0)
        for number in range(1, 6):
            item = member(f"n{number}", f"d{number % 3}")
            planner.record_poll(Poll(item, 0, 0, 0, 10, leaving=number == 1), detector, 1.0)
        self.assertEqual(planner.next_commands(detector, 1.0, 60.0), [])
        settled = state.roster.placement_epoch
        for number in range(1, 6):
            item = member(f"n{number}", f"d{number % 3}")
            planner.record_poll(Poll(item, 0, 0, settled, 11, leaving=number == 1), detector, 1.0)
        (settle,) = planner.next_commands(detector, 1.0, 60.0)
        apply(state, settle)
        (leave,) = planner.next_commands(detector, 3.0, 60.0)
        self.assertEqual(leave.names, ("n1",))

    def test_late_poll_does_not_cancel_a_leave(self):
        state = self.state()
        planner = RosterPlanner(state)
        detector = FailureDetector(8.0, 0.0)
        old = Poll(member("n1", "d1"), 0, 0, 0, 10)
        planner.record_poll(msgspec.structs.replace(old, nonce=11, leaving=True), detector, 1.0)
        planner.record_poll(old, detector, 1.1)
        self.assertEqual(planner.next_commands(detector, 1.2, 60.0)[0].names, ("n1",))


class SilenceTests(unittest.TestCase):
    """Removal of silent instances, with and without suspecting observers."""

    def test_removal_needs_two_observers_or_twice_the_silence(self):
        detector = FailureDetector(8.0, 0.0)
        self.assertEqual(detector.find_failed(("n",), 9.0), ())
        detector.record_heartbeat("a", 9.0, ("n",))
        self.assertEqual(detector.find_failed(("n",), 9.0), ())
        detector.record_heartbeat("b", 9.0, ("n",))
        self.assertEqual(detector.find_failed(("n",), 9.0), ("n",))
        self.assertEqual(FailureDetector(8.0, 0.0).find_failed(("n",), 16.0), ("n",))

    def test_suspicion_without_silence_removes_no_instance(self):
        detector = FailureDetector(8.0, 0.0)
        detector.record_heartbeat("n", 5.0, ())
        for observer in ("a", "b", "c"):
            detector.record_heartbeat(observer, 6.0, ("n",))
        self.assertEqual(detector.find_failed(("n",), 6.0), ())
