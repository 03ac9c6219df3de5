import unittest

from hickorywind.pool.frontend import message
from hickorywind.pool.replies import Outgoing, ReplyTracker
from hickorywind.pool.statements import StatementNames
from hickorywind.postgres.frames import Frame
from hickorywind.protocol.messages import PreparedStatement
from tests.pool import extended


def frame(kind: str, payload: bytes = b"") -> Frame:
    return Frame(kind.encode(), message(kind.encode(), payload))


def follow(sent: str, replies: str, skipping: bool = False) -> tuple[ReplyTracker, str]:
    tracker = ReplyTracker([Outgoing(frame(kind)) for kind in sent], skipping)
    relayed = [kind for kind in replies if tracker.accept(frame(kind))]
    return tracker, "".join(relayed)


def parse_frame(name: str) -> Frame:
    return Frame(b"P", extended.parse(name, "SELECT 1"))


class ReplyTrackerTest(unittest.TestCase):
    def test_batch_ends_with_the_reply_to_its_last_message(self) -> None:
        for sent, replies in (
            ("Q", "TDDCTDCZ"),
            ("PBDES", "12TDDCZ"),
            ("PDH", "1tT"),
            ("BEH", "2DDs"),
            ("BEBES", "2C2DCZ"),
            ("CS", "3Z"),
            ("QS", "CZZ"),
            ("H", ""),
        ):
            with self.subTest(sent=sent):
                tracker, relayed = follow(sent, replies)
                self.assertTrue(tracker.done)
                self.assertEqual(relayed, replies)
                if replies:
                    self.assertFalse(follow(sent, replies[:-1])[0].done)

    def test_error_skips_to_the_next_sync(self) -> None:
        tracker, _ = follow("PBESPBES", "1E")
        self.assertFalse(tracker.done)
        for kind in "Z12CZ":
            self.assertFalse(tracker.done)
            tracker.accept(frame(kind))
        self.assertTrue(tracker.done)
        self.assertFalse(tracker.skipping)

    def test_error_in_a_batch_without_sync_makes_later_batches_skip(self) -> None:
        tracker, _ = follow("PBEH", "1E")
        self.assertTrue(tracker.done)
        self.assertTrue(tracker.skipping)
        skipped, _ = follow("PBEH", "", skipping=True)
        self.assertTrue(skipped.done)
        self.assertTrue(skipped.skipping)
        synced, relayed = follow("PBES", "Z", skipping=True)
        self.assertTrue(synced.done)
        self.assertEqual(relayed, "Z")
        self.assertFalse(synced.skipping)


class StatementNamesTest(unittest.TestCase):
    def test_missing_statement_is_parsed_once_and_its_reply_is_kept_back(self) -> None:
        names = StatementNames()
        statement = PreparedStatement("s", parse_frame("s").data)
        batch = names.complete([frame("B"), frame("S")], (statement,))
        self.assertEqual([item.frame.kind for item in batch], [b"P", b"B", b"S"])
        tracker = ReplyTracker(batch)
        relayed = "".join(kind for kind in "12Z" if tracker.accept(frame(kind)))
        self.assertEqual(relayed, "2Z")
        names.settle(tracker.defined, tracker.undefined)
        self.assertEqual(len(names.complete([frame("S")], (statement,))), 1)

    def test_name_that_was_not_confirmed_is_parsed_again(self) -> None:
        names = StatementNames()
        statement = PreparedStatement("s", parse_frame("s").data)
        tracker = ReplyTracker(names.complete([frame("S")], (statement,)))
        for kind in "EZ":
            tracker.accept(frame(kind))
        names.settle(tracker.defined, tracker.undefined)
        self.assertNotIn("s", names)

    def test_parse_of_a_held_name_closes_it_first(self) -> None:
        names = StatementNames()
        names.settle(["s"], [])
        batch = names.complete([parse_frame("s"), frame("S")], ())
        self.assertEqual([item.frame.kind for item in batch], [b"C", b"P", b"S"])
        tracker = ReplyTracker(batch)
        relayed = "".join(kind for kind in "31Z" if tracker.accept(frame(kind)))
        self.assertEqual(relayed, "1Z")
        names.settle(tracker.defined, tracker.undefined)
        self.assertIn("s", names)

    def test_least_recently_used_name_makes_room(self) -> None:
        names = StatementNames(limit=2)
        names.settle(["a", "b"], [])
        wanted = [PreparedStatement(name, parse_frame(name).data) for name in ("a", "c")]
        batch = names.complete([frame("S")], wanted)
        closed = [item.undefines for item in batch if item.undefines]
        self.assertEqual(closed, ["b"])
