import asyncio
import unittest
import unittest.mock

from hickorywind.admission.dispatch import FAILING_TIME_MAX
from hickorywind.host.autocommit import AutocommitStatement
from tests.host.harness import CONFIGURATION_KEY, HostTestCase, configuration


class EndToEndTest(HostTestCase):
    async def test_write_then_read_with_each_read_policy(self):
        for database in ("bookings", "orders"):
            caller = await self.caller(database)
            self.assertEqual(caller.greeting, "READY I -")
            written = await caller.ask(f"WRITE {database} fired")
            self.assertEqual(written, ["COMPLETE s.q1", "READY I -"])
            read = await caller.ask(f"READ {database}")
            self.assertEqual(read, ["ROW fired", "COMPLETE s.q2", "READY I -"])

    async def test_reads_that_wait_for_the_primary_run_at_replicas_once_its_position_is_known(self):
        """After a start no position is known, so all reads need the primary at first."""
        service = self.hosts["h0"].role._services["ledger"]
        callers = [await self.caller("views") for _ in range(30)]
        service.samples.clear()
        for server in self.group.servers.values():
            server.delay_seconds = 0.1
            server.statements.clear()
        started = self.loop.time()
        answers = await asyncio.gather(*(caller.ask("READ x") for caller in callers))
        self.assertEqual({answer[0] for answer in answers}, {"ROW none"})
        # The primary alone takes 30 reads, 3 at a time: 1 s.
        self.assertLess(self.loop.time() - started, 0.8)
        for name in ("i-b", "i-c"):
            reads = [text for text in self.group.servers[name].statements if "READ x" in text]
            self.assertGreater(len(reads), 5)

    async def test_unknown_database_is_refused(self):
        caller = await self.caller("nowhere")
        self.assertTrue(caller.greeting.startswith("ERROR NODB [1006]"), caller.greeting)
        self.assertEqual(await caller.reader.read(), b"")

    async def test_failure_is_logged_with_its_client_account(self):
        caller = await self.caller("bookings")
        with self.assertLogs("hickorywind.host.requestlog", "INFO") as logs:
            await caller.ask("EXECUTE nothing 1")
        (record,) = logs.records
        self.assertEqual(record.getMessage(), "request_failed")
        self.assertEqual((record.client, record.request_id), ("u1", "q1"))

    async def test_refusals_of_an_unknown_database_show_the_configuration_and_its_age(self):
        open_session = await self.caller("views")
        await self.store.put(CONFIGURATION_KEY, configuration(2, ("bookings",)))
        fleet = self.hosts["h0"].role._fleet
        await self.wait_until(lambda: fleet.configuration.version == 2)
        await asyncio.sleep(0.5)
        with self.assertLogs("hickorywind.host.requestlog", "INFO") as logs:
            await open_session.ask("READ kiln")
            await self.caller("views")
        self.assertEqual([each.msg for each in logs.records], ["request_failed", "request_refused"])
        for record in logs.records:
            self.assertEqual(record.code, 1006)
            self.assertEqual(record.config_version, 2)
            self.assertEqual(record.config_revision, fleet.configuration.revision)
            self.assertEqual(record.config_source, "store")
            self.assertAlmostEqual(record.config_age_ms, 500, delta=50)
            self.assertLessEqual(record.store_contact_ms, 1_100)
            self.assertTrue(record.watches_store)
            self.assertIsNone(record.newer_revision)
            self.assertIsNone(record.behind_ms)

    async def test_statement_that_arrives_while_the_host_process_is_blocked_is_not_too_late(self):
        caller = await self.caller("bookings")
        await caller.ask("BEGIN")
        await caller.ask("WRITE kiln 1")
        answer = asyncio.create_task(caller.ask("COMMIT"))
        await asyncio.sleep(0)
        # Blocks the whole process for longer than the transaction idle timeout of 800 ms.
        self.loop.advance(1.0)
        self.assertEqual((await answer)[0], "COMPLETE s.q3")

    async def test_waiting_statement_is_not_run_after_its_caller_disconnects(self):
        host = self.hosts["h0"]
        host.coordinator.is_cut = True
        host.role._fleet.permits.revoke(host.role._fleet.now())
        waiting = await self.caller("bookings")
        waiting.writer.write(b"QUERY q1 WRITE kiln 1\r\n")
        await asyncio.sleep(0.05)
        self.assertEqual(self.group.commits, [])
        waiting.close()
        host.coordinator.is_cut = False
        other = await self.caller("bookings")
        self.assertEqual((await other.ask("WRITE kiln 2"))[0], "COMPLETE s.q1")
        await asyncio.sleep(0.3)
        self.assertEqual(self.group.commits, [("kiln", "2")])

    async def test_refusal_without_a_permit_does_not_claim_a_change_of_primary(self):
        host = self.hosts["h0"]
        host.coordinator.is_cut = True
        host.role._fleet.permits.revoke(host.role._fleet.now())
        caller = await self.caller("bookings")
        lines = await caller.ask("WRITE kiln 1")
        self.assertIn("this host holds no permit for primaries", lines[0])
        self.assertEqual(self.group.commits, [])

    async def test_removed_route_refuses_the_next_statement(self):
        caller = await self.caller("orders")
        await caller.ask("READ x")
        await self.store.put(CONFIGURATION_KEY, configuration(2, ("bookings",)))
        await self.wait_until(lambda: self.hosts["h0"].role._fleet.configuration.version == 2)
        lines = await caller.ask("READ x")
        self.assertTrue(lines[0].startswith("ERROR NODB"), lines)

    async def test_older_configuration_never_replaces_a_newer_one(self):
        fleet = self.hosts["h0"].role._fleet
        await self.store.put(CONFIGURATION_KEY, configuration(9))
        await self.wait_until(lambda: fleet.configuration.version == 9)
        await self.store.put(CONFIGURATION_KEY, configuration(3))
        await asyncio.sleep(0.1)
        self.assertEqual(fleet.configuration.version, 9)

    async def test_unreadable_configuration_keeps_the_current_one_in_force(self):
        fleet = self.hosts["h0"].role._fleet
        await self.store.put(CONFIGURATION_KEY, b"{not json")
        await self.store.put(CONFIGURATION_KEY, configuration(4))
        await self.wait_until(lambda: fleet.configuration.version == 4)

    async def test_transaction_uses_one_connection_and_commits(self):
        caller = await self.caller("bookings")
        self.assertEqual(await caller.ask("BEGIN"), ["COMPLETE -", "READY T -"])
        self.assertEqual(await caller.ask("WRITE kiln 7"), ["COMPLETE s.q2", "READY T -"])
        other = await self.caller("bookings")
        self.assertEqual((await other.ask("READ kiln"))[0], "ROW none")
        self.assertEqual(await caller.ask("COMMIT"), ["COMPLETE s.q3", "READY I -"])
        self.assertEqual((await other.ask("READ kiln"))[0], "ROW 7")

    async def test_rolled_back_transaction_changes_nothing(self):
        caller = await self.caller("bookings")
        await caller.ask("BEGIN")
        await caller.ask("WRITE kiln 7")
        self.assertEqual(await caller.ask("ROLLBACK"), ["COMPLETE -", "READY I -"])
        self.assertEqual((await caller.ask("READ kiln"))[0], "ROW none")

    async def test_transaction_of_a_disconnected_caller_is_rolled_back(self):
        caller = await self.caller("bookings")
        await caller.ask("BEGIN")
        await caller.ask("WRITE kiln 7")
        caller.close()
        other = await self.caller("bookings")
        await asyncio.sleep(0.1)
        self.assertEqual((await other.ask("READ kiln"))[0], "ROW none")
        self.assertEqual(self.group.commits, [])

    async def test_internal_error_leaves_no_request_without_an_answer(self):
        caller = await self.caller("bookings")
        with unittest.mock.patch.object(AutocommitStatement, "run", side_effect=KeyError("x")):
            with self.assertLogs("hickorywind.host.session", "ERROR"):
                answer = await caller.ask("WRITE x 1")
        self.assertEqual(answer[0].split(" ")[:2], ["ERROR", "INDOUBT"])
        self.assertEqual(answer[1:], ["READY I -"])
        self.assertEqual((await caller.ask("WRITE x 2"))[0], "COMPLETE s.q2")

    async def test_session_values_apply_only_to_their_session(self):
        first, second = await self.caller("bookings"), await self.caller("bookings")
        await first.ask("SET lang bengali script")
        for _ in range(3):
            self.assertEqual((await first.ask("READ x"))[0], "ROW none lang=bengali script")
            self.assertEqual((await second.ask("READ x"))[0], "ROW none")

    async def test_prepared_statement_names_are_private_to_a_session(self):
        first, second = await self.caller("orders"), await self.caller("orders")
        await first.ask("PREPARE s1 WRITE shapeA")
        await second.ask("PREPARE s1 READ shapeB")
        self.assertEqual(await first.ask("EXECUTE s1 crock 4"), ["COMPLETE s.q2", "READY I -"])
        self.assertEqual((await second.ask("EXECUTE s1 crock"))[0], "ROW 4")
        await second.ask("DEALLOCATE s1")
        lines = await second.ask("EXECUTE s1 crock")
        self.assertTrue(lines[0].startswith("ERROR NOSTMT"), lines)

    async def test_idle_transaction_is_rolled_back_and_the_caller_is_told(self):
        caller = await self.caller("bookings")
        await caller.ask("BEGIN")
        await caller.ask("WRITE kiln 7")
        await asyncio.sleep(1.2)
        lines = await caller.ask("COMMIT")
        self.assertTrue(lines[0].startswith("ERROR ABORTED [2005]"), lines)
        self.assertEqual(lines[-1], "READY I -")
        self.assertEqual(self.group.commits, [])

    async def test_malformed_input_closes_only_its_own_connection(self):
        bystander = await self.caller("orders")
        for payload in (b"NONSENSE x\r\n", b"QUERY q1 READ \xff\xfe\r\n", b"QUERY\r\n"):
            caller = await self.caller("orders")
            caller.writer.write(payload)
            answer = (await caller.reader.readline()).decode()
            self.assertTrue(answer.startswith("ERROR MALFORMED [1002]"), answer)
        caller = await self.caller("orders")
        caller.writer.write(b"QUERY q1 WRITE x " + b"y" * 1_100_000)
        answer = (await caller.reader.readline()).decode()
        self.assertTrue(answer.startswith("ERROR TOOLARGE [1003]"), answer)
        self.assertEqual((await bystander.ask("READ x"))[-1], "READY I -")

    async def test_reads_go_to_replicas_with_the_required_log_position(self):
        caller = await self.caller("orders")
        await caller.ask("WRITE x 1")
        for _ in range(6):
            self.assertEqual((await caller.ask("READ x"))[0], "ROW 1")
        at_replicas = [
            text
            for name in ("i-b", "i-c")
            for text in self.group.servers[name].statements
            if "READ x" in text
        ]
        self.assertTrue(at_replicas)
        self.assertTrue(all(text.startswith("AFTER 1.1 ") for text in at_replicas), at_replicas)

    async def test_reads_see_own_writes_while_replicas_receive_nothing(self):
        for name in ("i-b", "i-c"):
            self.group.servers[name].is_receiving = False
        caller = await self.caller("orders")
        for number in range(5):
            await caller.ask(f"WRITE x {number}")
            self.assertEqual((await caller.ask("READ x"))[0], f"ROW {number}")


class OutcomeTest(HostTestCase):
    async def test_read_that_a_replica_failed_is_run_at_another_server(self):
        await (await self.caller("bookings")).ask("WRITE kiln 1")
        caller = await self.caller("views")
        for name in ("i-b", "i-c"):
            self.group.servers[name].fails_reads = True
            for _ in range(5):
                self.assertEqual((await caller.ask("READ kiln"))[0], "ROW 1")
            await asyncio.sleep(FAILING_TIME_MAX.total_seconds())
            self.group.servers[name].fails_reads = False
        for server in self.group.servers.values():
            server.fails_reads = True
        self.assertTrue((await caller.ask("READ kiln"))[0].startswith("ERROR FAILED"))

    async def test_lost_answer_to_a_write_is_in_doubt_and_not_retried(self):
        caller = await self.caller("bookings")
        await caller.ask("READ x")
        self.group.servers["i-a"].lose_answers = 1
        lines = await caller.ask("WRITE kiln 7")
        self.assertTrue(lines[0].startswith("ERROR INDOUBT [4002]"), lines)
        self.assertEqual(self.group.commits, [("kiln", "7")])

    async def test_lost_answer_to_a_commit_is_in_doubt(self):
        caller = await self.caller("bookings")
        await caller.ask("BEGIN")
        await caller.ask("WRITE kiln 7")
        self.group.servers["i-a"].lose_answers = 1
        lines = await caller.ask("COMMIT")
        self.assertTrue(lines[0].startswith("ERROR INDOUBT [4002]"), lines)
        self.assertEqual(lines[-1], "READY I -")

    async def test_lost_answer_inside_a_transaction_is_a_proven_abort(self):
        caller = await self.caller("bookings")
        await caller.ask("BEGIN")
        await caller.ask("READ x")
        self.group.servers["i-a"].lose_answers = 1
        lines = await caller.ask("WRITE kiln 7")
        self.assertTrue(lines[0].startswith("ERROR ABORTED [4004]"), lines)
        self.assertEqual(lines[-1], "READY E -")
        self.assertEqual(await caller.ask("ROLLBACK"), ["COMPLETE -", "READY I -"])
        await asyncio.sleep(0.05)
        self.assertEqual(self.group.commits, [])

    async def test_read_with_a_lost_answer_is_retried_on_another_server(self):
        caller = await self.caller("orders")
        await caller.ask("WRITE x 1")
        for server in self.group.servers.values():
            server.lose_answers = 1
        self.assertEqual((await caller.ask("READ x"))[0], "ROW 1")

    async def test_write_to_a_silent_server_ends_at_the_statement_timeout(self):
        caller = await self.caller("bookings")
        await caller.ask("READ x")
        self.group.servers["i-a"].is_silent = True
        started = self.loop.time()
        lines = await caller.ask("WRITE kiln 7")
        self.assertTrue(lines[0].startswith("ERROR INDOUBT"), lines)
        self.assertLess(self.loop.time() - started, 1.5)

    async def test_operations_wait_at_the_connection_limit_instead_of_failing(self):
        self.group.servers["i-a"].connection_limit = 1
        callers = [await self.caller("bookings") for _ in range(6)]
        replies = await asyncio.gather(*(each.ask("READ x") for each in callers))
        self.assertEqual([lines[0] for lines in replies], ["ROW none"] * 6)


if __name__ == "__main__":
    unittest.main()
