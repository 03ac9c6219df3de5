import unittest

from hickorywind.pool.frontend import message
from hickorywind.pool.replies import OutgoingMessage, ReplyTracker
from hickorywind.pool.statementcache import PreparedStatementCache
from hickorywind.postgres.frames import Frame
from hickorywind.protocol.messages import PreparedStatement
from tests.pool import extended


def frame(kind: str, payload: bytes = b"") -> Frame:
    return Frame(kind.encode(), message(kind.encode(), payload))


def track(sent: str, replies: str, skips_until_sync: bool = False) -> tuple[ReplyTracker, str]:
    tracker = ReplyTracker([OutgoingMessage(frame(kind)) for kind in sent], skips_until_sync)
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
                tracker, relayed = track(sent, replies)
                self.assertTrue(tracker.is_complete)
                self.assertEqual(relayed, replies)
                if replies:
                    self.assertFalse(track(sent, replies[:-1])[0].is_complete)

    def test_error_skips_to_the_next_sync(self) -> None:
        tracker, _ = track("PBESPBES", "1E")
        self.assertFalse(tracker.is_complete)
        for kind in "Z12CZ":
            self.assertFalse(tracker.is_complete)
            tracker.accept(frame(kind))
        self.assertTrue(tracker.is_complete)
        self.assertFalse(tracker.skips_until_sync)

    def test_error_in_a_batch_without_sync_makes_later_batches_skip(self) -> None:
        tracker, _ = track("PBEH", "1E")
        self.assertTrue(tracker.is_complete)
        self.assertTrue(tracker.skips_until_sync)
        skipped, _ = track("PBEH", "", skips_until_sync=True)
        self.assertTrue(skipped.is_complete)
        self.assertTrue(skipped.skips_until_sync)
        synced, relayed = track("PBES", "Z", skips_until_sync=True)
        self.assertTrue(synced.is_complete)
        self.assertEqual(relayed, "Z")
        self.assertFalse(synced.skips_until_sync)


class PreparedStatementCacheTest(unittest.TestCase):
    def test_missing_statement_is_parsed_once_and_its_reply_is_not_relayed(self) -> None:
        cache = PreparedStatementCache()
        statement = PreparedStatement("s", parse_frame("s").data)
        batch = cache.add_missing([frame("B"), frame("S")], (statement,))
        self.assertEqual([item.frame.kind for item in batch], [b"P", b"B", b"S"])
        tracker = ReplyTracker(batch)
        relayed = "".join(kind for kind in "12Z" if tracker.accept(frame(kind)))
        self.assertEqual(relayed, "2Z")
        cache.record_confirmed(tracker.prepared_names, tracker.closed_names)
        self.assertEqual(len(cache.add_missing([frame("S")], (statement,))), 1)

    def test_statement_whose_parse_failed_is_not_cached(self) -> None:
        cache = PreparedStatementCache()
        statement = PreparedStatement("s", parse_frame("s").data)
        tracker = ReplyTracker(cache.add_missing([frame("S")], (statement,)))
        for kind in "EZ":
            tracker.accept(frame(kind))
        cache.record_confirmed(tracker.prepared_names, tracker.closed_names)
        self.assertNotIn("s", cache)

    def test_parse_of_a_cached_name_closes_the_old_statement_first(self) -> None:
        cache = PreparedStatementCache()
        cache.record_confirmed(["s"], [])
        batch = cache.add_missing([parse_frame("s"), frame("S")], ())
        self.assertEqual([item.frame.kind for item in batch], [b"C", b"P", b"S"])
        tracker = ReplyTracker(batch)
        relayed = "".join(kind for kind in "31Z" if tracker.accept(frame(kind)))
        self.assertEqual(relayed, "1Z")
        cache.record_confirmed(tracker.prepared_names, tracker.closed_names)
        self.assertIn("s", cache)

    def test_second_parse_of_a_name_in_one_batch_closes_the_first_statement(self) -> None:
        batch = PreparedStatementCache().add_missing([parse_frame("s"), parse_frame("s")], ())
        self.assertEqual([item.frame.kind for item in batch], [b"P", b"C", b"P"])

    def test_least_recently_used_statement_is_evicted(self) -> None:
        cache = PreparedStatementCache(limit=2)
        cache.record_confirmed(["a", "b"], [])
        wanted = [PreparedStatement(name, parse_frame(name).data) for name in ("a", "c")]
        batch = cache.add_missing([frame("S")], wanted)
        closed = [item.closed_name for item in batch if item.closed_name]
        self.assertEqual(closed, ["b"])
