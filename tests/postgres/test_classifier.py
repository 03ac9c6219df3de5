import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from hickorywind.postgres.classifier import classify
from hickorywind.postgres.sqltokenizer import tokenize
from hickorywind.postgres.statementkinds import (
    Begin,
    Commit,
    Deallocate,
    Empty,
    NoOperation,
    Read,
    Rollback,
    SetHint,
    ShowHint,
    TransactionSetting,
    UnsupportedStatement,
    Write,
)

READS = (
    "SELECT 1",
    "select count(*), max(a) from t where a in (1, 2)",
    "/* a /* nested */ comment */ SELECT a FROM t -- insert",
    "SELECT 'insert into t', \"update\" FROM t",
    "SELECT $$ ; nextval('x') $$",
    "SELECT E'it\\'s; fine'",
    "(SELECT 1) UNION (SELECT 2)",
    "WITH a AS (SELECT 1) SELECT * FROM a",
    "VALUES (1)",
    "TABLE t",
    "EXPLAIN SELECT 1",
    "SELECT 1; SELECT 2;",
    "SELECT substring(a from 1 for 2) FROM t",
)
WRITES = (
    "INSERT INTO t VALUES (1)",
    "SELECT * FROM t FOR UPDATE",
    "SELECT * FROM t FOR NO KEY UPDATE",
    "SELECT * FROM t FOR SHARE",
    "SELECT a INTO b FROM t",
    "SELECT nextval('s')",
    "SELECT \"nextval\"('s')",
    "SELECT my_function(1)",
    "WITH a AS (DELETE FROM t RETURNING *) SELECT * FROM a",
    "EXPLAIN ANALYZE DELETE FROM t",
    "SELECT 1; DELETE FROM t",
    "SELECT 'unterminated",
    "SELECT /* unterminated",
    "CREATE TABLE t (a int)",
    "DO $$ BEGIN END $$",
    "SAVEPOINT a",
    "ROLLBACK TO SAVEPOINT a",
    "nonsense",
)
UNSUPPORTED = (
    "COPY t TO STDOUT",
    "LISTEN a",
    "NOTIFY a",
    "SET search_path = a",
    "SET SESSION statement_timeout TO 5",
    "CREATE TEMP TABLE t (a int)",
    "CREATE OR REPLACE TEMPORARY VIEW t AS SELECT 1",
    "SELECT a INTO TEMP b FROM t",
    "SELECT pg_advisory_lock(1)",
    "SELECT pg_try_advisory_xact_lock(1)",
    "UPDATE t SET a = set_config('x', 'y', false)",
    "DECLARE c CURSOR WITH HOLD FOR SELECT 1",
    "PREPARE a AS SELECT 1",
    "EXECUTE a",
    "LOAD 'x'",
    "PREPARE TRANSACTION 'x'",
    "COMMIT PREPARED 'x'",
    "SELECT 1; COPY t FROM STDIN",
    "SET hickorywind.priority = urgent; SELECT 1",
)
OTHER_STATEMENTS = (
    ("", Empty()),
    ("-- only a comment", Empty()),
    ("BEGIN", Begin(False)),
    ("START TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ ONLY", Begin(True)),
    ("COMMIT", Commit()),
    ("END", Commit()),
    ("ROLLBACK", Rollback()),
    ("SET LOCAL statement_timeout = 5", TransactionSetting()),
    ("SET TRANSACTION READ ONLY", TransactionSetting()),
    ("SET hickorywind.priority TO 'urgent'", SetHint("priority", "urgent")),
    ("SET SESSION hickorywind.max_staleness_ms = 500", SetHint("max_staleness_ms", "500")),
    ("SET hickorywind.priority TO DEFAULT", SetHint("priority", None)),
    ("RESET hickorywind.priority", SetHint("priority", None)),
    ("SHOW hickorywind.token", ShowHint("token")),
    ("SHOW server_version", Read("show")),
    ("RESET ALL", NoOperation("RESET")),
    ("UNLISTEN *", NoOperation("UNLISTEN")),
    ("DISCARD ALL", Deallocate(None)),
    ("DEALLOCATE ALL", Deallocate(None)),
    ('DEALLOCATE PREPARE "_pg3_0"', Deallocate("_pg3_0")),
    ("SET client_encoding TO 'UTF-8'", NoOperation("SET")),
)


class ClassifyTest(unittest.TestCase):
    def assert_all(self, texts, kind):
        for text in texts:
            with self.subTest(text=text):
                self.assertIsInstance(classify(text), kind)

    def test_reads(self):
        self.assert_all(READS, Read)

    def test_statements_that_may_change_data_are_writes(self):
        self.assert_all(WRITES, Write)

    def test_statements_with_session_state_are_unsupported(self):
        self.assert_all(UNSUPPORTED, UnsupportedStatement)

    def test_other_statements(self):
        for text, expected in OTHER_STATEMENTS:
            with self.subTest(text=text):
                self.assertEqual(classify(text), expected)

    @settings(max_examples=300)
    @given(st.text(alphabet="ab1'\"$/*-;() \\eE\n", max_size=40))
    def test_any_text_is_classified_and_no_hidden_write_is_a_read(self, text):
        list(tokenize(text))
        classify(text)
        self.assertNotIsInstance(classify(f"SELECT 1 /* {text.replace('*', '')} */; DELETE "), Read)
