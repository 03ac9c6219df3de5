"""Roads by which a server or a caller could still get what nobody asked for."""

import asyncio
import contextlib
import unittest
from datetime import timedelta

from hickorywind.host.backendconnection import ConnectionLostError
from hickorywind.platform.documents import CONFIGURATION_KEY
from tests.host.harness import SERVICE, HostTestCase, configuration
from tests.host.test_backendconnection import ANSWER, TIMEOUT, ScriptedServerTestCase

BIG = b"QUERY q1 WRITE x " + b"y" * 8_000_000 + b"\r\n"
SETUP_ANSWER = b"COMPLETE -\r\nREADY I -\r\n"


class CutTest(ScriptedServerTestCase):
    async def test_statement_cut_by_an_unexpected_answer_is_not_ended_in_order(self):
        connection = await self.connect()
        exchange = asyncio.create_task(connection.exchange(BIG, 1, TIMEOUT, is_signed=True))
        await asyncio.sleep(0.02)
        self.writer.write(ANSWER + ANSWER)
        with self.assertRaises(ConnectionLostError):
            await exchange
        with self.assertRaises(ConnectionResetError):
            while await self.reader.read(1_000_000):
                pass

    async def test_answer_before_the_statement_was_sent_is_not_its_answer(self):
        connection = await self.connect()
        exchange = asyncio.create_task(connection.exchange(BIG, 1, TIMEOUT, is_signed=True))
        await asyncio.sleep(0.02)
        self.assertGreater(connection._transport.get_write_buffer_size(), 0)
        self.writer.write(ANSWER)
        with self.assertRaises(ConnectionLostError):
            await exchange

    async def test_late_answer_too_many_does_not_shift_the_answers_of_later_statements(self):
        first, second = (b"ROW %d\r\nCOMPLETE s.q%d\r\nREADY I -\r\n" % (n, n) for n in (1, 2))
        # The server has answered the setup twice; its second answer is late.
        connection = await self.connect(SETUP_ANSWER, SETUP_ANSWER, first, second)
        await connection.exchange(b"QUERY - SET a 1\r\n", 1, TIMEOUT)
        rows = []
        with contextlib.suppress(ConnectionLostError):
            for request_id in (b"q1", b"q2", b"q3"):
                payload = b"QUERY %s READ x\r\n" % request_id
                (answer,) = await connection.exchange(payload, 1, TIMEOUT, is_signed=True)
                rows.append((request_id, answer.rows, answer.completion_tag))
        self.assertEqual(rows, [])


class StateTest(HostTestCase):
    @property
    def primary(self):
        return self.group.primary

    def in_flight(self):
        service = self.hosts["h0"].role._services[SERVICE]
        return {name: each.load.limit.in_flight for name, each in service.backends.items()}

    def connections(self):
        return [each for server in self.group.servers.values() for each in server._connections]

    async def test_write_does_not_run_outside_of_a_transaction_that_ended_in_the_setup(self):
        caller = await self.caller("bookings")
        await caller.ask("BEGIN")
        await caller.ask("READ x")
        await caller.ask("SET lang bn")

        def end_transaction(text):
            if text.startswith("SET"):
                for connection in self.primary._connections:
                    connection.transaction = None

        self.primary.refuse = end_transaction
        lines = await caller.ask("WRITE kiln 1")
        self.assertEqual(self.group.commits, [], lines)

    async def test_statement_does_not_run_where_the_setup_left_a_transaction_open(self):
        caller = await self.caller("bookings")
        await caller.ask("READ x")
        await caller.ask("SET lang bn")

        def open_transaction(text):
            if text.startswith("SET"):
                for connection in self.primary._connections:
                    connection.transaction = []
                self.primary.refuse = lambda text: None

        self.primary.refuse = open_transaction
        lines = await caller.ask("WRITE kiln 1")
        if lines[0].startswith("COMPLETE"):
            self.assertEqual(self.group.commits, [("kiln", "1")], lines)

    async def test_slots_are_balanced_after_refused_and_lost_setups(self):
        for code in ("BUSY", "FAILED", "READONLY", "DROP"):
            for kind in ("bookings", "views", "orders"):
                for in_transaction in (False, True, None):
                    caller = await self.caller(kind)
                    await caller.ask(f"SET lang {code}{kind}{in_transaction}")
                    if in_transaction is not False:
                        await caller.ask("BEGIN")
                    if in_transaction is None:
                        await caller.ask("READ x")
                        await caller.ask(f"SET lang x{code}{kind}")

                    def refuse(text, code=code):
                        if text.split(" ")[0] not in ("SET", "RESET", "PREPARE"):
                            return None
                        if code == "DROP":
                            raise ConnectionError
                        return code

                    for server in self.group.servers.values():
                        server.refuse = refuse
                    lines = await caller.ask("READ x")
                    self.assertTrue(lines[0].startswith("ERROR"), (code, kind, lines))
                    for server in self.group.servers.values():
                        server.refuse = lambda text: None
                    if in_transaction is not False:
                        await caller.ask("ROLLBACK")
                    caller.close()
                    await asyncio.sleep(1.0)
                    self.assertEqual(set(self.in_flight().values()), {0}, (code, kind))
                    self.assertFalse([each for each in self.connections() if each.transaction])

    async def test_caller_who_leaves_in_the_setup_of_a_write(self):
        caller = await self.caller("bookings")
        await caller.ask("READ x")
        await caller.ask("SET lang bn")
        self.primary.delay_seconds = 0.1
        caller.writer.write(b"QUERY w1 WRITE kiln 1\r\n")
        await asyncio.sleep(0.05)
        caller.close()
        await asyncio.sleep(1.0)
        self.assertEqual(self.group.commits, [])
        self.assertEqual(set(self.in_flight().values()), {0})

    async def test_caller_who_leaves_in_the_setup_inside_a_transaction(self):
        for word in ("WRITE kiln 1", "COMMIT", "ROLLBACK"):
            caller = await self.caller("bookings")
            await caller.ask("BEGIN")
            await caller.ask("WRITE oven 1")
            await caller.ask("SET lang bn")
            self.primary.delay_seconds = 0.1
            caller.writer.write(f"QUERY w1 {word}\r\n".encode())
            await asyncio.sleep(0.05)
            caller.close()
            await asyncio.sleep(1.0)
            self.primary.delay_seconds = 0
            self.assertEqual(set(self.in_flight().values()), {0})
            self.assertFalse([each for each in self.connections() if each.transaction is not None])
            if word != "COMMIT":
                self.assertEqual(self.group.commits, [])
            self.group.commits.clear()

    async def test_transaction_abandoned_in_its_setup_commits_nothing(self):
        service = self.hosts["h0"].role._services[SERVICE]
        for text in ("WRITE kiln 1", "COMMIT"):
            for delay in (0.01, 0.05, 0.1, 0.1001, 0.15):
                caller = await self.caller("bookings")
                await caller.ask("BEGIN")
                await caller.ask("WRITE oven 1")
                await caller.ask(f"SET lang {delay}")
                self.primary.delay_seconds = 0.1
                question = asyncio.create_task(caller.ask(text))
                await asyncio.sleep(delay)
                for work in list(service._primary_work):
                    work.abandon()
                lines = await question
                self.primary.delay_seconds = 0
                if "ABORTED" in lines[0] or "BUSY" in lines[0]:
                    self.assertEqual(self.group.commits, [], (text, delay, lines))
                caller.close()
                await asyncio.sleep(1.5)
                self.assertEqual(set(self.in_flight().values()), {0})
                self.group.commits.clear()
                await self.wait_until(self.is_open)

    async def test_write_is_not_sent_once_the_primary_was_closed_in_its_setup(self):
        caller = await self.caller("bookings")
        await caller.ask("READ x")
        await caller.ask("SET lang bn")
        role = self.hosts["h0"].role
        self.primary.delay_seconds = 0.1
        question = asyncio.create_task(caller.ask("WRITE kiln 1"))
        await asyncio.sleep(0.05)
        permits = role._fleet.permits
        permits.is_valid, kept = (lambda now: False), permits.is_valid
        await asyncio.sleep(0.3)
        self.assertNotIn("WRITE kiln 1", self.primary.statements)
        permits.is_valid = kept
        await question

    async def test_transaction_that_begins_while_the_primary_is_closed_runs_nothing_later(self):
        service = self.hosts["h0"].role._services[SERVICE]
        permits = self.hosts["h0"].role._fleet.permits
        for delay in (0.02, 0.15, 0.25, 0.35):
            caller = await self.caller("bookings")
            await caller.ask("READ x")
            await caller.ask(f"SET lang {delay}")
            await caller.ask("BEGIN")
            self.primary.statements.clear()
            self.primary.delay_seconds = 0.1
            question = asyncio.create_task(caller.ask(f"WRITE kiln {delay}"))
            await asyncio.sleep(delay)
            revision = permits.leadership(SERVICE).revision
            permits.stop_new_work(SERVICE, revision)
            await service.drain_primary_work()
            permits.stop_using(SERVICE, revision)
            stopped = len(self.primary.statements)
            await question
            lines = await caller.ask("COMMIT")
            late = self.primary.statements[stopped:]
            self.assertFalse([t for t in late if t.startswith(("WRITE", "COMMIT"))], (delay, lines))
            self.primary.delay_seconds = 0
            del permits._use_stopped_at[SERVICE], permits._new_work_stopped_at[SERVICE]
            caller.close()
            await asyncio.sleep(0.5)
            await self.wait_until(self.is_open)

    async def test_stop_ends_in_time_beside_callers_who_read_nothing(self):
        writer = await self.caller("orders")
        await writer.ask("WRITE big " + "y" * 200_000)
        role = self.hosts["h0"].role
        callers = []
        for first in ("READ big", "BEGIN"):
            caller = await self.caller("orders")
            caller.writer.transport.pause_reading()
            for number, text in enumerate([first, *["READ big"] * 100, "COMMIT"]):
                caller.writer.write(f"QUERY s{number} {text}\r\n".encode())
            callers.append(caller)
        await asyncio.sleep(0.5)
        self.assertEqual(len(role._sessions), 3)
        started = self.loop.time()
        await role.drain()
        self.assertLess(self.loop.time() - started, 2.05)
        await asyncio.sleep(0.1)
        self.assertEqual([each for each in self.connections() if each.transaction], [])

    async def test_queued_requests_are_all_answered_in_order_after_a_pause(self):
        caller = await self.caller("bookings")
        caller.reader._limit = 2**20
        texts = ["BEGIN"] + ["READ x", "SET a 1"] * 300 + ["COMMIT", "READ x"]
        for number, text in enumerate(texts):
            caller.writer.write(f"QUERY s{number} {text}\r\n".encode())
        ready = 0
        async with asyncio.timeout(60):
            while ready < len(texts):
                line = await caller.reader.readline()
                self.assertTrue(line)
                ready += line.startswith(b"READY")

    async def test_half_closed_caller_with_a_full_queue_is_released(self):
        caller = await self.caller("bookings")
        caller.writer.write(b"QUERY s0 BEGIN\r\n")
        for number in range(1, 500):
            caller.writer.write(f"QUERY s{number} READ x\r\n".encode())
        caller.writer.write_eof()
        role = self.hosts["h0"].role
        await self.wait_until(lambda: not role._sessions, 30)
        await asyncio.sleep(2.0)
        self.assertEqual([e for e in self.connections() if e.transaction is not None], [])
        self.assertEqual(set(self.in_flight().values()), {0})

    async def test_silent_server_in_the_setup_leaks_neither_slot_nor_connection(self):
        for kind in ("bookings", "views"):
            caller = await self.caller(kind)
            await caller.ask("READ x")
            await caller.ask("SET lang bn")
            for server in self.group.servers.values():
                server.is_silent = True
            question = asyncio.create_task(caller.ask("READ x"))
            await asyncio.sleep(0.3)
            caller.close()
            await asyncio.sleep(3.0)
            question.cancel()
            for server in self.group.servers.values():
                server.is_silent = False
            await asyncio.sleep(3.0)
            await self.wait_until(self.is_open)
            self.assertEqual(set(self.in_flight().values()), {0})


class ForeignAnswerTest(HostTestCase):
    """Answers that can't be those of the statement under way."""

    def answer(self, word, body):
        """Let all servers answer statements that begin with a word by other lines."""
        for server in self.group.servers.values():
            run = server._run_statement

            def answer(connection, request_id, text, run=run):
                own = run(connection, request_id, text)
                return body if text.split(" ")[0] == word else own

            server._run_statement = answer

    async def test_success_without_signature_is_not_relayed(self):
        for word, text in (("READ", "READ x"), ("WRITE", "WRITE kiln 1")):
            for body in ("COMPLETE -\r\n", ""):
                with self.subTest(text, body=body):
                    caller = await self.caller("bookings")
                    self.answer(word, body)
                    lines = await caller.ask(text)
                    self.assertTrue(lines[0].startswith("ERROR"), lines)

    async def test_commit_without_signature_is_not_relayed(self):
        for body in ("COMPLETE -\r\n", ""):
            with self.subTest(body=body):
                caller = await self.caller("bookings")
                await caller.ask("BEGIN")
                await caller.ask("WRITE kiln 1")
                self.answer("COMMIT", body)
                lines = await caller.ask("COMMIT")
                self.assertTrue(lines[0].startswith("ERROR"), lines)

    async def test_setup_is_not_confirmed_by_the_answer_of_another_statement(self):
        for body in ("ROW 1\r\nCOMPLETE s.q1\r\n", ""):
            with self.subTest(body=body):
                caller = await self.caller("bookings")
                await caller.ask(f"SET lang {len(body)}")
                self.group.primary.statements.clear()
                self.answer("SET", body)
                lines = await caller.ask("WRITE kiln 1")
                self.assertNotIn("WRITE kiln 1", self.group.primary.statements, lines)


class ContactTest(HostTestCase):
    """What a host says of how current its copies are."""

    def contact_age(self):
        role = self.hosts["h0"].role
        return role._watch_duty.contact_age(role._fleet.now())

    async def test_host_that_knows_of_a_newer_configuration_does_not_vouch_for_its_copy(self):
        role = self.hosts["h0"].role
        key = role._fleet.configuration_key
        await asyncio.sleep(2.0)
        newer = type(role._fleet.copies[key].changed_at)(role._fleet.copies[key].as_of + 1)
        role._fleet.record_peer_revision(key, newer, "h9")
        for _ in range(40):
            await asyncio.sleep(0.1)
            behind = role._fleet.behind(key)
            if behind is None:
                return
            self.assertGreaterEqual(self.contact_age() + timedelta(milliseconds=1), behind)

    async def test_host_whose_watch_answer_is_on_its_way_does_not_vouch_for_its_copy(self):
        host = self.hosts["h0"]
        await asyncio.sleep(2.0)
        host.coordinator.is_deaf = True
        await self.store.put(CONFIGURATION_KEY, configuration(2))
        changed = self.loop.time()
        for _ in range(40):
            await asyncio.sleep(0.1)
            if host.role._fleet.configuration.version == 2:
                return
            age = self.contact_age().total_seconds()
            self.assertGreaterEqual(age + 0.001, self.loop.time() - changed)


if __name__ == "__main__":
    unittest.main()
