import unittest

from hickorywind.pool.backendconnection import BackendConnection, error_field
from hickorywind.pool.frontend import message, query
from hickorywind.pool.idempotency import Claimed, IdempotentWrite
from hickorywind.postgres.frames import Frame
from hickorywind.results import Outcome, ResultCode
from tests.pool import extended
from tests.pool.harness import running_pool
from tests.pool.scriptedbackend import ScriptedBackend, complete, error

TABLE = "CREATE TABLE t (id int primary key, v text)"
INSERT = "INSERT INTO t VALUES (1, 'a')"


class FirstKeyTest(unittest.IsolatedAsyncioTestCase):
    """A backend server that lacks the table of keys."""

    async def respond(self, frame, writer) -> None:
        sql = bytes(frame.payload).rstrip(b"\0").decode()
        if sql.startswith("INSERT") and self.backend.queries.count(sql) == 1:
            writer.write(error("42P01") + message(b"Z", b"E"))
        else:
            is_open = sql.startswith(("BEGIN", "INSERT"))
            writer.write(complete(sql) + message(b"Z", b"T" if is_open else b"I"))

    async def test_transaction_is_begun_again_as_its_caller_began_it(self) -> None:
        begin = "BEGIN ISOLATION LEVEL SERIALIZABLE"
        frames = (Frame(b"Q", query(begin)),)
        async with ScriptedBackend(self.respond) as self.backend:
            connection = await BackendConnection.open(self.backend.login)
            self.addCleanup(connection.abort)
            await connection.run_simple(begin)
            claim = IdempotentWrite(connection, "k").claim_open_transaction(frames, ())
            self.assertIsInstance(await claim, Claimed)
            statements = [sql.split(" (")[0] for sql in self.backend.queries]
            insert = "INSERT INTO hickorywind_requests"
            create = "CREATE TABLE IF NOT EXISTS hickorywind_requests"
            self.assertEqual(statements, [begin, insert, "ROLLBACK", create, begin, insert])


class IdempotentWriteTest(unittest.IsolatedAsyncioTestCase):
    async def test_second_run_with_a_key_returns_the_first_answer(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            add = "INSERT INTO t SELECT count(*) + 1, 'a' FROM t"
            first = await entry.run(add, idempotency_key="k'1")
            self.assertEqual(first.result.code, ResultCode.OK)
            second = await entry.run(add, idempotency_key="k'1")
            self.assertEqual(second.result.code, ResultCode.ALREADY_RAN)
            self.assertEqual(second.frames, first.frames)
            self.assertTrue(second.end.position.contains(first.end.position))
            self.assertEqual((await entry.run("SELECT count(*) FROM t")).rows, ["1"])

    async def test_extended_protocol_is_replayed_message_by_message(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            batch = extended.parse("", "INSERT INTO t VALUES ($1, 'a')") + extended.bind("", ("1",))
            batch += extended.describe() + extended.execute() + extended.SYNC
            first = await entry.run(batch, idempotency_key="k")
            self.assertEqual(first.kinds, "12nCZ")
            second = await entry.run(batch, idempotency_key="k")
            self.assertEqual(second.frames, first.frames)

    async def test_sql_error_is_relayed_and_leaves_the_key_unused(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            await entry.run(INSERT)
            failed = await entry.run(INSERT, idempotency_key="k")
            self.assertEqual(failed.kinds, "EZ")
            self.assertEqual(error_field(failed.frames[0], b"C"), "23505")
            self.assertEqual(failed.result.code, ResultCode.OK)
            again = await entry.run("INSERT INTO t VALUES (2, 'b')", idempotency_key="k")
            self.assertEqual((again.kinds, again.result.code), ("CZ", ResultCode.OK))

    async def test_concurrent_requests_with_one_key_run_once(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            add = "INSERT INTO t SELECT count(*) + 1, 'a' FROM t"
            messages = [entry.make_request(add, idempotency_key="k") for _ in range(3)]
            for message in messages:
                await entry.link.send(message)
            answers = [await entry.collect(message.request_id) for message in messages]
            codes = sorted(answer.result.code for answer in answers)
            self.assertEqual(codes, [ResultCode.OK, ResultCode.ALREADY_RAN, ResultCode.ALREADY_RAN])
            self.assertEqual((await entry.run("SELECT count(*) FROM t")).rows, ["1"])

    async def test_transaction_opened_with_a_key_commits_once(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            begun = await entry.run("BEGIN", idempotency_key="k")
            key = begun.end.transaction_id
            self.assertEqual(begun.kinds, "CZ")
            await entry.run(INSERT, transaction_id=key)
            await entry.run("COMMIT", transaction_id=key)
            again = await entry.run("BEGIN", idempotency_key="k")
            self.assertEqual(again.result.code, ResultCode.ALREADY_RAN)
            self.assertEqual(again.kinds, "EZ")
            self.assertIsNone(again.end.transaction_id)

    async def test_rolled_back_transaction_leaves_its_key_unused(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            for _ in range(2):
                begun = await entry.run("BEGIN", idempotency_key="k")
                self.assertEqual((begun.kinds, begun.result.code), ("CZ", ResultCode.OK))
                await entry.run("ROLLBACK", transaction_id=begun.end.transaction_id)

    async def test_batch_that_holds_a_whole_transaction_runs_once(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            batch = "BEGIN; INSERT INTO t SELECT count(*) + 1, 'a' FROM t; COMMIT"
            first = await entry.run(batch, idempotency_key="k")
            self.assertEqual(first.result.code, ResultCode.OK)
            self.assertEqual(first.kinds.replace("N", ""), "CCCZ")
            second = await entry.run(batch, idempotency_key="k")
            self.assertEqual(second.result.code, ResultCode.ALREADY_RAN)
            self.assertEqual((await entry.run("SELECT count(*) FROM t")).rows, ["1"])

    async def test_batch_that_leaves_a_transaction_with_statements_open_is_not_run(self) -> None:
        async with running_pool() as (_, entry):
            await entry.set_up(TABLE)
            pipelined = b"".join(
                extended.parse("", sql) + extended.bind() + extended.execute()
                for sql in ("BEGIN", INSERT)
            )
            flushed = extended.parse("", INSERT) + extended.bind() + extended.execute()
            for batch in (
                f"BEGIN; {INSERT}",
                pipelined + extended.SYNC,
                flushed + extended.FLUSH,
            ):
                refused = await entry.run(batch, idempotency_key="k")
                self.assertEqual(refused.result.code, ResultCode.UNSUPPORTED_STATEMENT)
                self.assertIs(refused.result.outcome, Outcome.NOT_RUN)
            self.assertEqual((await entry.run("SELECT count(*) FROM t")).rows, ["0"])
