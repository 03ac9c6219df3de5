import unittest
from datetime import UTC, datetime

import msgspec

from hickorywind.configuration.acceptance import (
    ChangeId,
    Proposal,
    Verdict,
    decode_envelope,
)
from hickorywind.configuration.history import ENTRY_LIMIT
from hickorywind.ids import Revision
from hickorywind.results import ResultCode
from hickorywind.ui.applier import Applier, read_current, read_history
from hickorywind.ui.applyerrors import error_for_outcome
from tests.configuration.samples import make_configuration
from tests.ui.fakestore import FakeStore

PREFIX = "/test"
NOW = datetime(2026, 12, 4, tzinfo=UTC)


def propose(change_id, reviewed=0, author="ama", name="Test"):
    document = msgspec.structs.replace(make_configuration(), name=name)
    return Proposal(ChangeId(change_id), author, "why", Revision(reviewed), document)


class ApplierTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = FakeStore()
        self.waits = []

    async def sleep(self, seconds):
        self.waits.append(seconds)

    async def apply(self, proposal):
        return await Applier(self.store, PREFIX, self.sleep).apply(proposal, NOW)

    def stored(self):
        return decode_envelope(self.store.values[f"{PREFIX}/config"].value)

    async def test_first_and_second_change(self):
        first = await self.apply(propose("c1"))
        second = await self.apply(propose("c2", first.revision, name="Other"))
        self.assertEqual(second.verdict, Verdict.ACCEPTED)
        self.assertGreater(second.revision, first.revision)
        self.assertEqual(self.stored().recent_changes, ("c1",))
        entries = await read_history(self.store, PREFIX)
        self.assertEqual([entry.change_id for entry in entries], ["c1", "c2"])
        self.assertEqual(entries[1].changes, ('~ name: "Test" -> "Other"',))

    async def test_loser_of_a_race_learns_of_the_other_change(self):
        first = await self.apply(propose("c1"))

        async def other():
            await self.apply(propose("c2", first.revision, author="kofi"))

        self.store.before_swap = other
        lost = propose("c3", first.revision)
        finished = await self.apply(lost)
        self.assertEqual(finished.verdict, Verdict.CONFLICT)
        error = error_for_outcome(finished, lost)
        self.assertEqual(error.code, ResultCode.CONFIG_CONFLICT)
        self.assertIn("c2 by kofi", str(error))
        self.assertEqual(self.stored().change_id, "c2")

    async def test_review_of_an_old_revision_is_refused_without_a_write(self):
        first = await self.apply(propose("c1"))
        await self.apply(propose("c2", first.revision))
        swaps = self.store.swaps
        finished = await self.apply(propose("c3", first.revision))
        self.assertEqual(finished.verdict, Verdict.CONFLICT)
        self.assertEqual(self.store.swaps, swaps)

    async def test_lost_answer_of_a_change_that_took_effect(self):
        self.store.swap_faults = ["answer lost"]
        finished = await self.apply(propose("c1"))
        self.assertEqual(finished.verdict, Verdict.ACCEPTED)
        self.assertEqual(self.store.swaps, 1)
        self.assertEqual(len(await read_history(self.store, PREFIX)), 1)

    async def test_lost_request_is_sent_again(self):
        self.store.swap_faults = ["request lost", "request lost"]
        finished = await self.apply(propose("c1"))
        self.assertEqual(finished.verdict, Verdict.ACCEPTED)
        self.assertEqual(self.store.swaps, 3)

    async def test_request_that_takes_effect_late_runs_once(self):
        first = await self.apply(propose("c1"))
        self.store.swap_faults = ["late"]
        finished = await self.apply(propose("c2", first.revision))
        self.assertEqual(finished.verdict, Verdict.ACCEPTED)
        self.assertEqual(self.stored().recent_changes, ("c1",))

    async def test_lost_answer_and_another_change_on_top(self):
        first = await self.apply(propose("c1"))
        self.store.swap_faults = ["answer lost"]
        original = self.sleep

        async def sleep(seconds):
            await original(seconds)
            current = await read_current(self.store, PREFIX)
            await self.apply(propose("c3", current.revision))

        finished = await Applier(self.store, PREFIX, sleep).apply(
            propose("c2", first.revision), NOW
        )
        self.assertEqual(finished.verdict, Verdict.SUPERSEDED)
        self.assertEqual(finished.current.envelope.change_id, "c3")

    async def test_lost_request_and_another_change_instead(self):
        first = await self.apply(propose("c1"))
        self.store.swap_faults = ["request lost"]

        async def sleep(seconds):
            await self.apply(propose("c3", first.revision))

        finished = await Applier(self.store, PREFIX, sleep).apply(
            propose("c2", first.revision), NOW
        )
        self.assertEqual(finished.verdict, Verdict.CONFLICT)

    async def test_store_down_from_the_start_changes_nothing(self):
        self.store.read_faults = 100
        finished = await self.apply(propose("c1"))
        self.assertEqual(finished.verdict, Verdict.UNAVAILABLE)
        self.assertEqual(self.store.values, {})
        self.assertEqual(len(self.waits), 2)

    async def test_one_failed_read_does_not_hide_that_another_change_came_first(self):
        for fails_before_swap in (True, False):
            with self.subTest(fails_before_swap=fails_before_swap):
                self.store = FakeStore()
                first = await self.apply(propose("c1"))

                async def other(revision=first.revision, fails_after_swap=not fails_before_swap):
                    await self.apply(propose("c2", revision, author="kofi"))
                    self.store.read_faults = int(fails_after_swap)

                self.store.before_swap = other
                self.store.read_faults = int(fails_before_swap)
                lost = propose("c3", first.revision)
                error = error_for_outcome(await self.apply(lost), lost)
                self.assertEqual(error.code, ResultCode.CONFIG_CONFLICT)
                self.assertIn("c2 by kofi", str(error))

    async def test_store_down_after_a_lost_answer_is_unknown_until_applied_again(self):
        self.store.swap_faults = ["answer lost"]

        async def sleep(seconds):
            self.store.read_faults = 1

        proposal = propose("c1")
        finished = await Applier(self.store, PREFIX, sleep).apply(proposal, NOW)
        self.assertEqual(finished.verdict, Verdict.UNKNOWN)
        error = error_for_outcome(finished, proposal)
        self.assertEqual(error.code, ResultCode.STORE_OUTCOME_UNKNOWN)
        self.assertIn("--change-id c1", str(error))
        again = await self.apply(proposal)
        self.assertEqual(again.verdict, Verdict.ACCEPTED)
        self.assertEqual(self.store.swaps, 1)

    async def test_change_id_is_bound_to_one_document(self):
        await self.apply(propose("c1"))
        other = propose("c1", name="Other")
        finished = await self.apply(other)
        self.assertEqual(finished.verdict, Verdict.CONFLICT)
        self.assertIn("another document", str(error_for_outcome(finished, other)))

    async def test_history_is_bounded(self):
        revision = 0
        for number in range(ENTRY_LIMIT + 5):
            revision = (await self.apply(propose(f"c{number}", revision))).revision
        entries = await read_history(self.store, PREFIX)
        self.assertEqual(len(entries), ENTRY_LIMIT)
        self.assertEqual(entries[-1].change_id, f"c{ENTRY_LIMIT + 4}")
