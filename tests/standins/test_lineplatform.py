"""Tests of the stand-in for backend servers that speak the platform's line protocol."""

from __future__ import annotations

import asyncio
import unittest

from hickorywind.ids import HostId
from hickorywind.ports.coordination import FencingToken, PromotionOutcome
from standins.lineplatform.group import LineGroup, LineServer


class Session:
    """Connection to a stand-in server."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer

    @classmethod
    async def open(cls, server: LineServer) -> Session:
        """Connect to a server."""
        session = cls(*await asyncio.open_connection(server.address.host, server.address.port))
        await session._exchange(f"CONNECT kusi50a test {server.backend}")
        return session

    async def query(self, text: str) -> list[str]:
        """Send a statement and return the lines of its answer."""
        return await self._exchange(f"QUERY q1 {text}")

    async def _exchange(self, line: str) -> list[str]:
        self._writer.write(f"{line}\r\n".encode())
        lines = [(await self._reader.readline()).decode().rstrip()]
        while not lines[-1].startswith("READY"):
            lines.append((await self._reader.readline()).decode().rstrip())
        return lines

    def close(self) -> None:
        """Close the connection."""
        self._writer.transport.abort()


class LineServerTest(unittest.IsolatedAsyncioTestCase):
    """A primary of a lower term steps down and refuses the work of its lead."""

    async def asyncSetUp(self) -> None:
        self.group = LineGroup("kusi50a", ("i-a", "i-b"))
        await self.group.start()
        self.addAsyncCleanup(self.group.stop)
        self.primary, self.replica = self.group.servers.values()

    async def open_session(self) -> Session:
        session = await Session.open(self.primary)
        self.addCleanup(session.close)
        return session

    async def test_a_primary_of_a_lower_term_steps_down_and_returns_its_status(self) -> None:
        session = await self.open_session()
        await session.query("WRITE 1a 5")
        answer = await session.query("STEPDOWN 2")
        self.assertEqual(answer, ["ROW replica 1 1.1 0 0 1", "COMPLETE -", "READY I 1.1"])
        self.assertEqual(await session.query("WRITE 1a 6"), ["ERROR READONLY i-a", "READY I 1.1"])
        self.assertIs(self.group.primary, self.primary)

    async def test_a_primary_of_this_or_a_newer_term_keeps_its_lead(self) -> None:
        session = await self.open_session()
        self.primary.term = 2
        for term in (1, 2):
            answer = await session.query(f"STEPDOWN {term}")
            self.assertEqual(answer[0], "ROW primary 2 2.0 0 0 1")
        self.assertEqual((await session.query("WRITE 1a 6"))[0], "COMPLETE s.q1")

    async def test_the_platform_does_not_promote_again_a_primary_that_stepped_down(self) -> None:
        await (await self.open_session()).query("STEPDOWN 2")
        backend, token = self.primary.backend, FencingToken(1)
        outcome = await self.group.promote(self.group.service, backend, HostId("h1"), token)
        self.assertIs(outcome, PromotionOutcome.ACCEPTED)
        self.assertEqual(self.primary.role, "replica")

    async def test_a_transaction_whose_server_lost_the_lead_fails(self) -> None:
        session = await self.open_session()
        for statement, state in (("READ 1a", "E"), ("SET v 1", "E"), ("ROLLBACK", "I")):
            with self.subTest(statement):
                self.primary.role = "primary"
                await session.query("BEGIN")
                self.primary.role = "replica"
                answer = await session.query(statement)
                self.assertEqual(answer, ["ERROR READONLY i-a", f"READY {state} 1.0"])
                await session.query("ROLLBACK")

    async def test_a_server_that_lost_the_lead_commits_nothing_but_reads(self) -> None:
        session = await self.open_session()
        for statement, first_line in (
            ("READ 1a", "COMPLETE s.q1"),
            ("WRITE 1a 5", "ERROR READONLY i-a"),
        ):
            with self.subTest(statement):
                self.primary.role = "primary"
                await session.query("BEGIN")
                await session.query(statement)
                self.primary.role = "replica"
                answer = await session.query("COMMIT")
                self.assertEqual(answer, [first_line, "READY I 1.0"])
        self.assertEqual(self.primary.data, {})

    async def test_a_transaction_that_only_reads_outlives_the_lead(self) -> None:
        session = await self.open_session()
        await session.query("BEGIN READ")
        await session.query("STEPDOWN 2")
        self.assertEqual((await session.query("READ 1a"))[0], "ROW none")
        self.assertEqual((await session.query("COMMIT"))[0], "COMPLETE s.q1")
