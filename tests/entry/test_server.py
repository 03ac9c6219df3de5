import asyncio
import socket
import struct
from datetime import timedelta
from unittest import mock

import asyncpg
import psycopg
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from pygwire.messages import Query, SSLRequest, StartupMessage

from hickorywind.configuration.model import Limits
from hickorywind.entry import callerstream, server
from hickorywind.entry.acceptrate import AcceptRateLimiter
from hickorywind.protocol.messages import AnswerCredit, AnswerEnd, AnswerPart, TransactionState
from hickorywind.results import Result
from hickorywind.util.clock import ManualClock
from tests.entry.fakepool import columns, command_complete, ready_for_query, row
from tests.entry.harness import SERVICE, EntryTestCase

STARTUP = StartupMessage({"user": "crew", "database": SERVICE}).to_wire()
WRITE = "INSERT INTO t VALUES (1)"


class RawTestCase(EntryTestCase):
    async def open_raw(self, *data: bytes):
        reader, writer = await asyncio.open_connection(self.address.host, self.address.port)
        self.addCleanup(writer.close)
        for piece in data:
            writer.write(piece)
        return reader, writer

    async def read_all(self, reader) -> bytes:
        async with asyncio.timeout(5):
            try:
                return await reader.read(-1)
            except ConnectionResetError:
                return b""

    async def assert_alive(self):
        connection = await self.connect()
        self.assertTrue(await self.fetch_value(connection, "SELECT 1"))


class MisbehavingCallersTest(RawTestCase):
    async def test_encryption_request_is_answered_and_startup_goes_on(self):
        reader, _ = await self.open_raw(SSLRequest().to_wire(), STARTUP)
        self.assertEqual(await reader.readexactly(2), b"NR")

    async def test_malformed_startup_packets_end_only_their_connection(self):
        for packet in (
            b"GET / HTTP/1.1\r\n\r\n",
            struct.pack("!II", 8, 0x00020000),
            struct.pack("!II", 2**31, 0x00030000),
            struct.pack("!II", 12, 0x00030000) + b"user",
        ):
            with self.subTest(packet=packet):
                reader, _ = await self.open_raw(packet)
                answer = await self.read_all(reader)
                self.assertIn(b"[1001]", answer)
        await self.assert_alive()

    async def test_oversized_message_ends_only_its_connection(self):
        reader, _ = await self.open_raw(STARTUP, b"Q" + struct.pack("!I", 2**30))
        self.assertIn(b"[1003]", await self.read_all(reader))
        await self.assert_alive()

    async def test_unknown_message_ends_only_its_connection(self):
        reader, _ = await self.open_raw(STARTUP, b"\x7f\0\0\0\4")
        self.assertIn(b"[1002]", await self.read_all(reader))
        await self.assert_alive()

    async def test_incomplete_message_and_disconnect_are_harmless(self):
        for data in (STARTUP[:10], STARTUP + b"Q\0\0\1\0SELECT", STARTUP + b"P"):
            reader, writer = await self.open_raw(data)
            await asyncio.sleep(0.02)
            writer.close()
        await self.assert_alive()
        await self.wait_for(lambda: self.components.server.session_count <= 1)

    async def test_slow_senders_are_disconnected(self):
        limit = timedelta(milliseconds=200)
        with (
            mock.patch.object(server, "_STARTUP_TIMEOUT", limit),
            mock.patch.object(callerstream, "MESSAGE_TIMEOUT", limit),
        ):
            slow_start, _ = await self.open_raw(STARTUP[:5])
            slow_message, _ = await self.open_raw(STARTUP, b"Q\0\0\0\x20SEL")
            self.assertEqual(await self.read_all(slow_start), b"")
            self.assertIn(b"[1002]", await self.read_all(slow_message))
        await self.assert_alive()

    async def test_caller_that_reads_nothing_is_disconnected(self):
        async def answer_endlessly(pool, peer, execute):
            for sequence in range(400):
                frames = (columns() if sequence == 0 else b"") + row("x" * 1000) * 60
                await pool.send(peer, AnswerPart(execute.request_id, sequence, frames))

        self.replica_pool.handler = answer_endlessly
        with mock.patch.object(callerstream, "WRITE_TIMEOUT", timedelta(milliseconds=300)):
            await self.open_raw(STARTUP, Query("SELECT 1").to_wire())
            await self.wait_for(lambda: self.replica_pool.executed)
            await self.wait_for(lambda: self.components.server.session_count == 0)

    async def test_garbage_never_ends_the_process(self):
        @settings(
            max_examples=60,
            suppress_health_check=list(HealthCheck),
        )
        @given(st.booleans(), st.binary(max_size=200))
        def collect(with_startup, data):
            samples.append((STARTUP if with_startup else b"") + data)

        samples: list[bytes] = []
        collect()
        for data in samples:
            reader, writer = await self.open_raw(data)
            writer.write_eof()
            await self.read_all(reader)
            writer.close()
        await self.assert_alive()
        await self.wait_for(lambda: self.components.server.session_count <= 1)

    async def test_malformed_messages_after_startup_cause_no_internal_error(self):
        kinds = b"BCDEPQF"
        for kind in kinds:
            for payload in (b"", b"\0", b"\xff\xff\0", b"S", b"a\0b"):
                frame = bytes((kind,)) + struct.pack("!I", len(payload) + 4) + payload
                reader, writer = await self.open_raw(STARTUP, frame, b"S\0\0\0\4", b"X\0\0\0\4")
                answer = await self.read_all(reader)
                with self.subTest(frame=frame):
                    self.assertNotIn(b"[9001]", answer)
        await self.assert_alive()


class LargeAnswerTest(EntryTestCase):
    async def test_ten_thousand_rows_and_ten_megabytes_are_streamed_with_credit(self):
        rows = row("x" * 1000) * 500

        async def answer_large(pool, peer, execute):
            for sequence in range(20):
                frames = (columns() if sequence == 0 else b"") + rows
                await pool.send(peer, AnswerPart(execute.request_id, sequence, frames))
            tail = command_complete("SELECT 10000") + ready_for_query(TransactionState.IDLE)
            await pool.send(peer, AnswerPart(execute.request_id, 20, tail))
            end = AnswerEnd(execute.request_id, 21, Result.ok(), TransactionState.IDLE)
            await pool.send(peer, end)

        self.replica_pool.handler = answer_large
        connection = await self.connect()
        found = await (await connection.execute("SELECT a FROM t")).fetchall()
        self.assertEqual(len(found), 10_000)
        credits = self.replica_pool.messages_of(AnswerCredit)
        granted = sum(credit.credit_bytes for credit in credits)
        self.assertGreater(granted, 9_000_000)


class PipelineTest(EntryTestCase):
    async def test_error_inside_a_pipeline_skips_to_the_sync(self):
        connection = await self.connect()
        with self.assertRaises(psycopg.errors.FeatureNotSupported):
            async with connection.pipeline():
                await connection.execute("SELECT %s::text", ("a",))
                await connection.execute("LISTEN crew")
                await connection.execute("SELECT %s::text", ("b",))
        self.assertTrue(await self.fetch_value(connection, "SELECT 1"))

    async def test_transaction_in_a_pipeline(self):
        connection = await self.connect()
        async with connection.pipeline():
            async with connection.transaction():
                cursor = await connection.execute("SELECT %s::text", ("a",))
            value = (await cursor.fetchone())[0]
        self.assertTrue(value.endswith("a"))
        status = connection.info.transaction_status
        self.assertEqual(status, psycopg.pq.TransactionStatus.IDLE)


class DrainTest(RawTestCase):
    async def test_drain_lets_running_requests_finish(self):
        async def answer_slowly(pool, peer, execute):
            await asyncio.sleep(0.3)
            await pool.answer_normally(peer, execute)

        self.replica_pool.handler = answer_slowly
        idle = await self.connect()
        busy = await self.connect()
        # A session counts as idle 0.2 s after its last answer.
        await asyncio.sleep(0.25)
        running = asyncio.ensure_future(self.fetch_value(busy, "SELECT 1"))
        await self.wait_for(lambda: self.replica_pool.executed)
        draining = asyncio.ensure_future(self.components.server.drain(timedelta(seconds=5)))
        with self.assertRaises(psycopg.OperationalError) as caught:
            await idle.execute("SELECT 1")
        self.assertIn("[5002]", str(caught.exception))
        self.assertTrue(await running)
        with self.assertRaises(psycopg.OperationalError):
            await self.connect()
        await draining

    async def test_no_answer_is_lost_by_callers_that_never_pause(self):
        refused = []
        answered = []

        async def write_repeatedly(connection: psycopg.AsyncConnection) -> None:
            while True:
                try:
                    await connection.execute(WRITE)
                    answered.append(1)
                except psycopg.OperationalError as error:
                    refused.append(str(error))
                    return

        connections = [await self.connect() for _ in range(12)]
        writing = asyncio.gather(*(write_repeatedly(connection) for connection in connections))
        await asyncio.sleep(0.3)
        await self.components.server.drain(timedelta(seconds=5))
        await writing
        self.assertEqual([text for text in refused if "[5002]" not in text], [])
        self.assertEqual(len(self.primary_pool.executed), len(answered))

    async def test_drain_refuses_callers_that_the_entry_has_not_accepted_yet(self):
        """Their connections are established by the system and would be reset at the stop."""
        waiting = [
            socket.create_connection((self.address.host, self.address.port)) for _ in range(3)
        ]
        for connection in waiting:
            self.addCleanup(connection.close)
            connection.sendall(STARTUP)
        await self.components.server.drain(timedelta(seconds=5))
        for connection in waiting:
            connection.settimeout(5)
            self.assertIn(b"[5002]", connection.recv(4096))

    async def test_drain_lets_an_open_transaction_finish(self):
        reader, writer = await self.open_raw(STARTUP, Query("BEGIN").to_wire())
        await reader.readuntil(ready_for_query(TransactionState.ACTIVE))
        draining = asyncio.ensure_future(self.components.server.drain(timedelta(seconds=5)))
        await asyncio.sleep(0.6)
        writer.write(Query(WRITE).to_wire())
        await reader.readuntil(ready_for_query(TransactionState.ACTIVE))
        writer.write(Query("COMMIT").to_wire())
        answer = await self.read_all(reader)
        self.assertTrue(answer.startswith(command_complete("COMMIT")))
        self.assertIn(b"C57P01\0M[5002]", answer)
        await draining

    async def test_drain_ends_at_its_timeout(self):
        connection = await self.connect()
        await connection.execute("BEGIN")
        loop = asyncio.get_running_loop()
        started = loop.time()
        await self.components.server.drain(timedelta(milliseconds=300))
        self.assertLess(loop.time() - started, 2)


class LimitsTest(EntryTestCase):
    limits = Limits(caller_connections_per_entry=2)

    async def test_connections_over_the_limit_are_refused_with_a_retry_delay(self):
        for _ in range(2):
            await self.connect()
        with self.assertRaises(psycopg.OperationalError) as caught:
            await self.connect()
        self.assertIn("[2007]", str(caught.exception))
        self.assertIn("retry_after_ms=", str(caught.exception))

    def test_burst_of_connections_is_delayed_and_limited(self):
        clock = ManualClock()
        limiter = AcceptRateLimiter(clock, per_second=100)
        waits = [limiter.reserve() for _ in range(1000)]
        granted = [wait for wait in waits if wait is not None]
        self.assertEqual(granted, sorted(granted))
        self.assertTrue(350 < len(granted) < 450)


class PasswordTest(EntryTestCase):
    users = {"crew": "brush"}

    async def connect_as(self, user: str, password: str) -> asyncpg.Connection:
        return await asyncpg.connect(
            host=self.address.host,
            port=self.address.port,
            user=user,
            password=password,
            database=SERVICE,
            ssl=False,
        )

    async def test_only_known_users_with_the_right_password_are_accepted(self):
        connection = await self.connect_as("crew", "brush")
        self.assertTrue(await connection.fetchval("SELECT 1"))
        await connection.close()
        for user, password in (("crew", "wrong"), ("nobody", "brush"), ("nobody", "")):
            with self.subTest(user=user), self.assertRaises(Exception) as caught:
                await self.connect_as(user, password)
            self.assertIn("[1009]", str(caught.exception))
