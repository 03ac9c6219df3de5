"""Session values and prepared statements whose setup a backend server refuses or fails."""

import unittest

from tests.host.harness import HostTestCase


class Refusal:
    """Refusal of the next statements that begin with a word."""

    def __init__(self, word, code, count=1):
        self.word = word
        self.code = code
        self.count = count

    def __call__(self, text):
        if not self.count or text.split(" ")[0] != self.word:
            return None
        self.count -= 1
        return self.code


class RefusedSetupTest(HostTestCase):
    @property
    def primary(self):
        return self.group.primary

    async def test_statement_runs_with_its_values_after_a_refused_set(self):
        for code in ("BUSY", "FAILED", "READONLY", "MALFORMED", "TIMEOUT"):
            caller = await self.caller("bookings")
            await caller.ask(f"SET lang {code}")
            self.primary.refuse = Refusal("SET", code)
            await caller.ask("READ x")
            self.assertEqual((await caller.ask("READ x"))[0], f"ROW none lang={code}")
            self.assertEqual(self.primary.refuse.count, 0)

    async def test_write_does_not_run_where_its_values_were_refused(self):
        caller = await self.caller("bookings")
        await caller.ask("SET lang bn")
        self.primary.refuse = Refusal("SET", "BUSY", 100)
        lines = await caller.ask("WRITE kiln 1")
        self.assertEqual(lines[0].split(" ")[:2], ["ERROR", "BUSY"])
        self.assertEqual(self.group.commits, [])

    async def test_values_of_another_session_are_gone_after_a_refused_reset(self):
        first, second = await self.caller("bookings"), await self.caller("bookings")
        await first.ask("SET lang bn")
        await first.ask("READ x")
        self.primary.refuse = Refusal("RESET", "BUSY")
        self.assertEqual((await second.ask("READ x"))[0], "ROW none")
        self.assertEqual(self.primary.refuse.count, 0)

    async def test_statement_is_prepared_after_a_refused_prepare(self):
        for code in ("BUSY", "FAILED"):
            caller = await self.caller("bookings")
            await caller.ask(f"PREPARE s1 READ shape{code}")
            self.primary.refuse = Refusal("PREPARE", code)
            self.primary.statements.clear()
            await caller.ask("EXECUTE s1 x")
            self.assertEqual((await caller.ask("EXECUTE s1 x"))[0], "ROW none")
            kinds = [text.split(" ")[0] for text in self.primary.statements]
            self.assertEqual(kinds.count("PREPARE"), 2)
            self.assertNotIn("EXECUTE", kinds[: kinds.index("PREPARE") + 2])

    async def test_transaction_begins_with_its_values_after_a_refused_set(self):
        caller = await self.caller("bookings")
        await caller.ask("SET lang bn")
        await caller.ask("BEGIN")
        self.primary.refuse = Refusal("SET", "BUSY")
        self.assertEqual((await caller.ask("READ x"))[0], "ROW none lang=bn")
        self.assertEqual((await caller.ask("COMMIT"))[-1], "READY I -")

    async def test_value_refused_inside_a_transaction_is_not_left_to_the_next_session(self):
        """A primary that has lost its lead refuses every statement of an open transaction."""
        first = await self.caller("bookings")
        await first.ask("BEGIN")
        await first.ask("READ x")
        await first.ask("SET lang bn")
        self.primary.refuse = Refusal("SET", "READONLY")
        lines = await first.ask("READ x")
        self.assertEqual(lines[0].split(" ")[:2], ["ERROR", "ABORTED"])
        self.assertEqual(await first.ask("ROLLBACK"), ["COMPLETE -", "READY I -"])
        self.assertEqual((await first.ask("READ x"))[0], "ROW none lang=bn")

    async def test_write_whose_setup_lost_its_connection_is_proven_not_run(self):
        caller = await self.caller("bookings")
        await caller.ask("READ x")
        await caller.ask("SET lang bn")
        for server in self.group.servers.values():
            server.refuse = self._drop_connection
        lines = await caller.ask("WRITE kiln 1")
        self.assertEqual(lines[0].split(" ")[:2], ["ERROR", "BUSY"])
        self.assertEqual(self.group.commits, [])

    def _drop_connection(self, text):
        if text.startswith("SET"):
            raise ConnectionError
        return None

    async def test_statement_forgotten_by_the_server_is_prepared_again(self):
        caller = await self.caller("bookings")
        await caller.ask("PREPARE s1 READ shape")
        await caller.ask("EXECUTE s1 x")
        for connection in self.primary._connections:
            connection.prepared_statements.clear()
        self.assertEqual((await caller.ask("EXECUTE s1 x"))[0], "ROW none")


class StatementNamesTest(HostTestCase):
    async def test_template_with_blanks_is_not_taken_for_another_one(self):
        caller = await self.caller("bookings")
        await caller.ask("PREPARE s1 WRITE q")
        await caller.ask("PREPARE s2 WRITE q kiln")
        self.assertEqual((await caller.ask("EXECUTE s1 oven 1"))[0], "COMPLETE s.q3")
        self.assertEqual((await caller.ask("EXECUTE s2 oven 2"))[0], "COMPLETE s.q4")
        self.assertEqual(self.group.commits, [("oven", "1"), ("oven", "2")])

    async def test_template_as_long_as_a_message_allows_is_prepared(self):
        caller = await self.caller("bookings")
        template = "q" * 600_000
        await caller.ask(f"PREPARE s1 READ {template}")
        self.assertEqual((await caller.ask("EXECUTE s1 x"))[0], "ROW none")


if __name__ == "__main__":
    unittest.main()
