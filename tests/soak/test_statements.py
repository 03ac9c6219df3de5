import unittest

from soak.statements import (
    CallerSession,
    CallerTransaction,
    ServerStatement,
    ServerTransaction,
    Shape,
    StatementChecker,
    StatementPromise,
)

ASKED, PINNED = StatementPromise.STATEMENT_ASKED, StatementPromise.STATEMENT_PINNED
SHAPE = Shape("READ", "q1")


class StatementCheckerTest(unittest.TestCase):
    """What a server runs differs from what its caller sent, or does not."""

    def setUp(self):
        self.found = []
        self.checker = StatementChecker(lambda promise, detail: self.found.append(promise))
        self.there = ServerTransaction("i-a", False)

    def expect(self, *promises):
        self.assertEqual(self.found, list(promises))
        self.found.clear()

    def play(self, sent, run, error="", shape=None, caller=None, there=None, **values):
        session = CallerSession({"tag": "s"}, {"s1": SHAPE}, caller)
        if sent is not None:
            self.checker.record_sent("1", sent, session)
        session.values["lang"] = "set later"
        self.arrive("1", run, error, values or {"tag": "s"}, shape, there)

    def arrive(self, request_id, text, error="", values=None, shape=None, there=None):
        self.checker.handle_statement(
            ServerStatement(request_id, "h0", "i-a", text, error, values or {}, shape, there)
        )

    def test_position_and_name_of_a_statement_may_change(self):
        self.play("READ x", "AFTER 3.14 READ x")
        self.play("EXECUTE s1 x y", "AFTER 3.14 EXECUTE rq1 x y", shape=SHAPE)
        self.expect()
        counts = self.checker.counts
        self.assertEqual((counts["compared text"], counts["compared values"]), (2, 2))
        self.assertEqual((counts["compared shapes"], counts["compared transactions"]), (1, 2))

    def test_statement_that_no_caller_sent_or_with_changed_text(self):
        for sent, run in (
            (None, "READ x"),
            ("READ x", "READ y"),
            ("WRITE x y", "WRITE x"),
            ("EXECUTE s1 x y", "EXECUTE rq1 x z"),
            ("READ x", "EXECUTE rq1 x"),
        ):
            self.play(sent, run, "BUSY")
            self.expect(ASKED)

    def test_own_statements_of_hosts(self):
        for text in ("SET a b", "PREPARE s1 READ q1 x"):
            self.checker.record_sent("1", text, CallerSession())
        for text in ("BEGIN", "AFTER 1.2 BEGIN READ", "ROLLBACK", "SET a b", "RESET", "STATUS"):
            self.arrive("-", text)
        self.arrive("-", "PREPARE rq1 READ q1 x", "BUSY")
        self.expect()
        self.assertEqual(self.checker.counts["own statements"], 7)
        self.assertEqual(self.checker.counts["refused PREPARE"], 1)
        texts = ("COMMIT", "READ x", "WRITE x y", "EXECUTE rq1 x", "SET a c", "SET b b")
        for text in (*texts, "PREPARE rq1 x READ q1 x", "PREPARE rq1 WRITE q1 x"):
            self.arrive("-", text)
            self.expect(ASKED)

    def test_values_of_another_session(self):
        self.play("READ x", "READ x", "BUSY", tag="other")
        self.expect()  # it did not run
        for values in ({"tag": "other"}, {"tag": "s", "lang": "other"}, {"lang": "other"}):
            self.play("READ x", "READ x", **values)
            self.expect(PINNED)

    def test_another_shape_or_an_unknown_name(self):
        self.play("EXECUTE s1 x", "EXECUTE rq1 x", shape=Shape("WRITE", "q1"))
        self.expect(PINNED)
        self.play("EXECUTE s1 x", "EXECUTE rq1 x", "NOSTMT")
        self.expect(PINNED)
        self.play("EXECUTE deallocated x", "EXECUTE rq1 x", "NOSTMT")
        self.expect()

    def test_place_of_a_statement(self):
        own, other = CallerTransaction(), CallerTransaction()
        for text in ("WRITE x y", "READ x", "COMMIT"):
            self.play(text, text, caller=own, there=self.there)
        self.expect()
        self.play("READ x", "READ x", caller=own)  # outside its transaction
        self.expect(PINNED)
        self.play("READ x", "READ x", there=self.there)  # inside a transaction
        self.expect(PINNED)
        self.play("READ x", "READ x", caller=other, there=self.there)
        self.expect(PINNED)
        self.play("READ x", "READ x", caller=own, there=ServerTransaction("i-b", False))
        self.expect(PINNED)

    def test_commit_of_writes_of_another_caller(self):
        self.there.append(("x", "y"))
        self.there.owner = CallerTransaction()
        self.play("COMMIT", "COMMIT", caller=CallerTransaction(), there=self.there)
        self.expect(ASKED)
