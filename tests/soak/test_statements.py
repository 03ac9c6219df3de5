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
        self.session = CallerSession({"tag": "s"}, {"s1": SHAPE})
        self.transaction = CallerTransaction()

    def send(self, request_id, text, transaction=None):
        self.session.transaction = transaction
        self.checker.record_sent(request_id, text, self.session)

    def run_at_server(self, request_id, text, error="", shape=None, transaction=None, **values):
        values = values or {"tag": "s"}
        statement = ServerStatement(
            request_id, "h0", "i-a", text, error, values, shape, transaction
        )
        self.checker.handle_statement(statement)

    def expect(self, *promises):
        self.assertEqual(self.found, list(promises))

    def test_position_and_name_of_a_statement_may_change(self):
        self.send("1", "READ x")
        self.run_at_server("1", "AFTER 3.14 READ x")
        self.send("2", "EXECUTE s1 x y")
        self.run_at_server("2", "AFTER 3.14 EXECUTE rq1 x y", shape=SHAPE)
        self.expect()
        counts = self.checker.counts
        self.assertEqual((counts["compared text"], counts["compared values"]), (2, 2))
        self.assertEqual((counts["compared shapes"], counts["compared transactions"]), (1, 2))

    def test_statement_that_no_caller_sent(self):
        self.run_at_server("1", "READ x")
        self.expect(ASKED)

    def test_changed_text(self):
        for sent, run in (
            ("READ x", "READ y"),
            ("WRITE x y", "WRITE x"),
            ("EXECUTE s1 x y", "EXECUTE rq1 x z"),
            ("READ x", "EXECUTE rq1 x"),
        ):
            self.found.clear()
            self.send("1", sent)
            self.run_at_server("1", run, error="BUSY")
            self.expect(ASKED)

    def test_own_statements_of_hosts(self):
        for text in ("BEGIN", "AFTER 1.2 BEGIN READ", "ROLLBACK", "SET a b", "RESET", "STATUS"):
            self.run_at_server("-", text)
        self.run_at_server("-", "PREPARE rq1 READ q1", error="BUSY")
        self.expect()
        self.assertEqual(self.checker.counts["own statements"], 7)
        self.assertEqual(self.checker.counts["refused PREPARE"], 1)
        for text in ("COMMIT", "READ x", "WRITE x y", "EXECUTE rq1 x"):
            self.run_at_server("-", text)
        self.expect(ASKED, ASKED, ASKED, ASKED)

    def test_values_of_another_session(self):
        self.send("1", "READ x")
        self.run_at_server("1", "READ x", error="BUSY", tag="other")
        self.expect()  # it did not run
        self.run_at_server("1", "READ x", tag="other")
        self.run_at_server("1", "READ x", tag="s", lang="other")
        self.expect(PINNED, PINNED)

    def test_values_that_change_after_a_statement_was_sent(self):
        self.send("1", "READ x")
        self.session.values["lang"] = "later"
        self.run_at_server("1", "READ x")
        self.expect()

    def test_another_shape_or_an_unknown_name(self):
        self.send("1", "EXECUTE s1 x")
        self.run_at_server("1", "EXECUTE rq1 x", shape=Shape("WRITE", "q1"))
        self.run_at_server("1", "EXECUTE rq1 x", error="NOSTMT")
        self.expect(PINNED, PINNED)

    def test_name_that_was_deallocated_is_unknown(self):
        del self.session.shapes["s1"]
        self.send("1", "EXECUTE s1 x")
        self.run_at_server("1", "EXECUTE rq1 x", error="NOSTMT")
        self.expect()

    def test_transaction_on_its_connection(self):
        there = ServerTransaction("i-a", False)
        for request_id, text in (("1", "WRITE x y"), ("2", "READ x"), ("3", "COMMIT")):
            self.send(request_id, text, self.transaction)
            self.run_at_server(request_id, text, transaction=there)
        self.expect()

    def test_outside_its_transaction_or_inside_a_transaction(self):
        self.send("1", "WRITE x y", self.transaction)
        self.run_at_server("1", "WRITE x y")
        self.send("2", "READ x")
        self.run_at_server("2", "READ x", transaction=ServerTransaction("i-a", False))
        self.expect(PINNED, PINNED)

    def test_inside_the_transaction_of_another_caller(self):
        there = ServerTransaction("i-a", False)
        self.send("1", "READ x", CallerTransaction())
        self.send("2", "READ x", self.transaction)
        self.run_at_server("1", "READ x", transaction=there)
        self.run_at_server("2", "READ x", transaction=there)
        self.expect(PINNED)

    def test_transaction_that_goes_on_at_another_connection(self):
        self.send("1", "READ x", self.transaction)
        self.send("2", "READ x", self.transaction)
        self.run_at_server("1", "READ x", transaction=ServerTransaction("i-a", False))
        self.run_at_server("2", "READ x", transaction=ServerTransaction("i-b", False))
        self.expect(PINNED)

    def test_commit_of_writes_of_another_caller(self):
        there = ServerTransaction("i-a", False)
        there.append(("x", "y"))
        there.owner = CallerTransaction()
        self.send("1", "COMMIT", self.transaction)
        self.run_at_server("1", "COMMIT", transaction=there)
        self.expect(ASKED)
