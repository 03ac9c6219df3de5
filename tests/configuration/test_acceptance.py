"""Acceptance of changes by concurrent operators, with lost, late and failed calls to the store."""

import random
import unittest
import zlib
from collections import Counter
from datetime import timedelta

from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from hickorywind.configuration.acceptance import (
    RECENT_CHANGES_KEPT,
    STORED_LIMIT_BYTES,
    Acceptance,
    ChangeId,
    Finished,
    Proposal,
    ReadCurrent,
    StoredEnvelope,
    SwapConflict,
    SwapCurrent,
    SwapDone,
    SwapUnknown,
    Verdict,
    decode_envelope,
    encode_envelope,
)
from hickorywind.ids import Revision
from hickorywind.results import UserError
from tests.configuration.samples import make_configuration

DOCUMENT = make_configuration()
OPERATORS = 3
FAULTS = ("fine", "fine", "answer lost", "request lost", "late", "unreadable")


class ModelStore:
    """Model of the store: current envelope, accepted change ids and writes still in flight."""

    def __init__(self):
        self.current = None
        self.accepted = []
        self.in_flight = []

    @property
    def revision(self):
        return self.current.revision if self.current is not None else Revision(0)

    def swap(self, action):
        if action.expected_revision != self.revision:
            return SwapConflict()
        # The store also counts writes to other keys, so revisions of one key have gaps.
        revision = Revision(self.revision + 3)
        self.current = StoredEnvelope(revision, action.envelope)
        self.accepted.append(action.envelope.change_id)
        return SwapDone(revision)

    def deliver(self):
        for action in self.in_flight:
            self.swap(action)
        self.in_flight.clear()


class Operator:
    """Operator that proposes one change after another; each step may meet a fault."""

    def __init__(self, name, store):
        self.name = name
        self.store = store
        self.number = 0
        self.verdicts = {}
        self._start()

    def _start(self):
        self.number += 1
        self.proposal = propose(f"{self.name}{self.number}", self.store.revision)
        self.acceptance = Acceptance(self.proposal)
        self.action = self.acceptance.start()

    def step(self, fault):
        self.action = self._answer(fault)
        if isinstance(self.action, Finished):
            self.verdicts[self.proposal.change_id] = self.action.verdict
            self._start()

    def _answer(self, fault):
        match self.action:
            case ReadCurrent() if fault == "unreadable":
                return self.acceptance.on_read_failed()
            case ReadCurrent():
                return self.acceptance.on_current(self.store.current)
            case SwapCurrent():
                return self.acceptance.on_swap_ended(self._swap(fault))

    def _swap(self, fault):
        match fault:
            case "answer lost":
                self.store.swap(self.action)
                return SwapUnknown()
            case "request lost" | "unreadable":
                return SwapUnknown()
            case "late":
                self.store.in_flight.append(self.action)
                return SwapUnknown()
            case _:
                return self.store.swap(self.action)


def propose(change_id, reviewed):
    return Proposal(ChangeId(change_id), "ama", "why", Revision(reviewed), DOCUMENT)


STEPS = st.lists(
    st.tuples(st.integers(0, OPERATORS - 1), st.sampled_from(FAULTS), st.booleans()),
    max_size=150,
)


class InterleavingTest(unittest.TestCase):
    @settings(max_examples=400)
    @given(STEPS)
    def test_every_verdict_is_true_and_nothing_is_accepted_twice(self, steps):
        store = ModelStore()
        operators = [Operator(name, store) for name in "xyz"]
        for index, fault, deliver in steps:
            operators[index].step(fault)
            if deliver:
                store.deliver()
        store.deliver()
        counts = Counter(store.accepted)
        self.assertLessEqual(max(counts.values(), default=0), 1)
        for operator in operators:
            for change_id, verdict in operator.verdicts.items():
                match verdict:
                    case Verdict.ACCEPTED | Verdict.SUPERSEDED:
                        self.assertEqual(counts[change_id], 1, verdict)
                    case Verdict.CONFLICT | Verdict.UNAVAILABLE:
                        self.assertEqual(counts[change_id], 0, verdict)

    @settings(max_examples=100)
    @given(STEPS)
    def test_each_change_replaces_exactly_the_reviewed_one(self, steps):
        store = ModelStore()
        operators = [Operator(name, store) for name in "xyz"]
        for index, fault, _ in steps:
            before = store.current
            operators[index].step(fault)
            if store.current is not before:
                reviewed = store.current.envelope.reviewed_revision
                self.assertEqual(reviewed, before.revision if before else 0)


class AcceptanceTest(unittest.TestCase):
    def finish(self, acceptance, *events):
        action = acceptance.start()
        for event in events:
            match event:
                case SwapDone() | SwapConflict() | SwapUnknown():
                    action = acceptance.on_swap_ended(event)
                case "unreadable":
                    action = acceptance.on_read_failed()
                case current:
                    action = acceptance.on_current(current)
        return action

    def stored(self, change_id, revision, recent=()):
        acceptance = Acceptance(propose(change_id, 0))
        acceptance.start()
        envelope = acceptance.on_current(None).envelope
        return StoredEnvelope(
            Revision(revision),
            type(envelope)(
                change_id=ChangeId(change_id),
                author="kofi",
                note="why",
                reviewed_revision=Revision(0),
                recent_changes=tuple(map(ChangeId, recent)),
                document=DOCUMENT,
            ),
        )

    def test_verdict_is_unknown_when_recent_changes_no_longer_reach_back(self):
        recent = [f"n{number}" for number in range(RECENT_CHANGES_KEPT)]
        later = self.stored("last", 900, recent)
        acceptance = Acceptance(propose("mine", 5))
        finished = self.finish(acceptance, self.stored("base", 5), SwapUnknown(), later)
        self.assertEqual(finished.verdict, Verdict.UNKNOWN)

    def test_verdict_is_conflict_when_all_changes_in_between_are_listed(self):
        later = self.stored("last", 900, ["base", "n1"])
        acceptance = Acceptance(propose("mine", 5))
        finished = self.finish(acceptance, self.stored("base", 5), SwapUnknown(), later)
        self.assertEqual(finished.verdict, Verdict.CONFLICT)

    def test_attempts_and_waits_are_bounded(self):
        acceptance = Acceptance(propose("mine", 0))
        action = acceptance.start()
        waited = timedelta(0)
        for _ in range(100):
            match action:
                case Finished():
                    break
                case ReadCurrent(wait):
                    waited += wait
                    action = acceptance.on_current(None)
                case SwapCurrent():
                    action = acceptance.on_swap_ended(SwapUnknown())
        self.assertEqual(action.verdict, Verdict.UNKNOWN)
        self.assertLessEqual(waited, timedelta(seconds=10))

    def test_encoded_envelope_decodes_to_an_equal_one(self):
        envelope = self.stored("c1", 1, ["c0"]).envelope
        self.assertEqual(decode_envelope(encode_envelope(envelope)), envelope)

    def test_large_envelope_is_compressed(self):
        envelope = self.stored("c1", 1).envelope
        (service,) = DOCUMENT.services
        services = tuple(replace(service, name=f"ledger-{number}") for number in range(820))
        large = replace(envelope, document=replace(DOCUMENT, services=services))
        data = encode_envelope(large)
        self.assertLess(len(data), STORED_LIMIT_BYTES // 4)
        self.assertEqual(decode_envelope(data), large)

    def test_envelope_too_large_for_the_store_is_rejected(self):
        envelope = self.stored("c1", 1).envelope
        noise = random.Random(1).randbytes(STORED_LIMIT_BYTES).hex()
        with self.assertRaisesRegex(UserError, "the store holds up to"):
            encode_envelope(replace(envelope, note=noise * 2))

    def test_malformed_stored_data_raises_a_user_error(self):
        for data in (b"{}", b"", b"x", zlib.compress(b"{}"), zlib.compress(b"{}")[:-3]):
            with self.subTest(data=data), self.assertRaises(UserError):
                decode_envelope(data)
