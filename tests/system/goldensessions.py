"""Caller sessions whose transcripts are stored as golden files.

``python -m tests.system.goldensessions`` runs them on a new cluster and rewrites the files; review
the difference before committing it.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tempfile
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from pathlib import Path

from pygwire.messages import Bind, Close, Describe, Execute, Parse, Query, Sync

from hickorywind.ids import Address
from standins.cluster import Cluster
from standins.demo import wait_until_served
from tests.system.rawcaller import RawCaller, Transcript

GOLDEN_FOLDER = Path(__file__).resolve().parent / "golden"
EXAMPLE = Path(__file__).resolve().parent.parent.parent / "examples" / "stepclean.py"
_FRESH = "/* hickorywind max_staleness_ms=0 */"


@dataclass(frozen=True)
class SessionTarget:
    """Addresses and service that a session connects to."""

    entries: tuple[Address, ...]
    service: str

    def parameters(self, **options: str) -> dict[str, str]:
        """Return startup parameters; ``options`` are names without the prefix ``hickorywind.``."""
        named = {f"hickorywind.{name}": value for name, value in options.items()}
        return {"user": "crew", "database": self.service, **named}


SessionScript = Callable[[Transcript, SessionTarget], Awaitable[None]]


async def run_simple_session(transcript: Transcript, target: SessionTarget) -> None:
    """Run statements by the simple query protocol."""
    parameters = target.parameters(session_id="simple")
    caller, _ = await transcript.open("first", target.entries[0], parameters)
    for text in (
        "CREATE TABLE simple_steps (unit text, step int4)",
        "INSERT INTO simple_steps VALUES ('mall-3', 17), ('mall-3', NULL)",
        "SELECT unit, step FROM simple_steps ORDER BY step",
        "UPDATE simple_steps SET step = 18 WHERE step = 17",
        "SELECT step FROM simple_steps WHERE unit = 'nowhere'",
        "INSERT INTO simple_steps VALUES ('a', 1); SELECT count(*) FROM simple_steps",
        "",
        "SELECT * FROM no_such_table",
        "SELEC 1",
        "DO $$ BEGIN RAISE NOTICE 'brush head worn'; END $$",
        "DELETE FROM simple_steps RETURNING unit",
        "DROP TABLE simple_steps",
    ):
        await transcript.query(caller, text)
    await transcript.close("first", caller)


async def run_extended_session(transcript: Transcript, target: SessionTarget) -> None:
    """Run statements by the extended query protocol."""
    parameters = target.parameters(session_id="extended")
    caller, _ = await transcript.open("first", target.entries[0], parameters)
    await transcript.query(caller, "CREATE TABLE extended_steps (unit text, step int4)")
    insert = "INSERT INTO extended_steps VALUES ($1, $2)"
    await transcript.send_messages(caller, Parse("add", insert, []), Describe("S", "add"), Sync())
    for step in (b"1", b"2", b"3"):
        bind = Bind(statement="add", param_values=[b"airport", step])
        await transcript.send_messages(caller, bind, Execute(), Sync())
    select = "SELECT step FROM extended_steps WHERE unit = $1 ORDER BY step"
    read = (Parse("", select, []), Bind(param_values=[b"airport"]), Describe("P"))
    await transcript.send_messages(caller, *read, Execute(), Sync())
    await transcript.send_messages(caller, *read, Execute(max_rows=2), Execute(max_rows=2), Sync())
    pipeline = [Bind(statement="add", param_values=[b"tower", b"9"]), Execute()] * 2
    await transcript.send_messages(caller, *pipeline, Sync())
    wrong = Parse("", "SELECT missing FROM extended_steps", [])
    await transcript.send_messages(caller, wrong, Bind(), Execute(), Sync())
    await transcript.send_messages(caller, Close("S", "add"), Sync())
    await transcript.query(caller, "DROP TABLE extended_steps")
    await transcript.close("first", caller)


async def run_transaction_session(transcript: Transcript, target: SessionTarget) -> None:
    """Run transactions that commit, roll back and fail."""
    parameters = target.parameters(session_id="transaction")
    caller, _ = await transcript.open("first", target.entries[0], parameters)
    for text in (
        "CREATE TABLE booked (kiln text PRIMARY KEY)",
        "BEGIN",
        "INSERT INTO booked VALUES ('one')",
        "SELECT kiln FROM booked",
        "COMMIT",
        "BEGIN",
        "INSERT INTO booked VALUES ('two')",
        "ROLLBACK",
        "BEGIN",
        "INSERT INTO booked VALUES ('three')",
        "INSERT INTO booked VALUES ('three')",
        "SELECT 1",
        "COMMIT",
        "COMMIT",
        "SELECT kiln FROM booked",
        "DROP TABLE booked",
    ):
        await transcript.query(caller, text)
    await transcript.close("first", caller)


async def run_refusals_session(transcript: Transcript, target: SessionTarget) -> None:
    """Send requests that hickorywind refuses with a result code."""
    parameters = target.parameters(session_id="refusals")
    caller, _ = await transcript.open("first", target.entries[0], parameters)
    for text in (
        "COPY steps TO STDOUT",
        "LISTEN crew",
        "PREPARE p AS SELECT 1",
        "CREATE TEMP TABLE t (a int4)",
        "SET search_path = other",
        "SELECT pg_advisory_lock(1)",
        "PREPARE TRANSACTION 'x'",
        "/* hickorywind timeout_ms=soon */ SELECT 1",
        "/* hickorywind read_kind=unheard-of */ SELECT 1",
        "SET hickorywind.priority = 'whatever'",
        "SHOW hickorywind.priority",
        "RESET ALL",
        "SELECT 1 AS still_served",
    ):
        await transcript.query(caller, text)
    await transcript.send_messages(caller, Bind(statement="never"), Execute(), Sync())
    await transcript.close("first", caller)
    wrong = {**target.parameters(session_id="refusals"), "database": "nothing"}
    await transcript.open("unknown service", target.entries[0], wrong)
    wrong = target.parameters(session_id="refusals", token="changed")
    await transcript.open("changed token", target.entries[0], wrong)


async def run_roaming_session(transcript: Transcript, target: SessionTarget) -> None:
    """Move a session between entries, by token and by session id alone."""
    first, second = target.entries[0], target.entries[1]
    parameters = target.parameters(session_id="roaming")
    caller, _ = await transcript.open("first", first, parameters)
    await transcript.query(caller, "CREATE TABLE moved (step int4)")
    reported = await transcript.query(caller, "INSERT INTO moved VALUES (17)")
    await transcript.close("first", caller)
    token = reported["hickorywind.token"]
    caller, _ = await transcript.open(
        "second", second, target.parameters(session_id="roaming", token=token)
    )
    await transcript.query(caller, "SELECT step FROM moved")
    await transcript.query(caller, "INSERT INTO moved VALUES (18)")
    await transcript.close("second", caller)
    caller, _ = await transcript.open("first again", first, parameters)
    await transcript.query(caller, "SELECT step FROM moved ORDER BY step")
    await transcript.query(caller, "DROP TABLE moved")
    await transcript.close("first again", caller)


async def run_at_most_once_session(transcript: Transcript, target: SessionTarget) -> None:
    """Repeat a request id through the same entry and through another entry."""
    parameters = target.parameters(session_id="at-most-once")
    caller, _ = await transcript.open("first", target.entries[0], parameters)
    await transcript.query(caller, "CREATE TABLE signed (step int4)")
    insert = "/* hickorywind request_id=golden-1 */ INSERT INTO signed VALUES (17)"
    await transcript.query(caller, insert)
    await transcript.query(caller, insert)
    await transcript.close("first", caller)
    caller, _ = await transcript.open("second", target.entries[1], parameters)
    await transcript.query(caller, insert)
    await transcript.query(caller, f"{_FRESH} SELECT count(*) FROM signed")
    await transcript.query(caller, "DROP TABLE signed")
    await transcript.close("second", caller)


SESSIONS: dict[str, SessionScript] = {
    "simple": run_simple_session,
    "extended": run_extended_session,
    "transaction": run_transaction_session,
    "refusals": run_refusals_session,
    "roaming": run_roaming_session,
    "at_most_once": run_at_most_once_session,
}
COMPARABLE = ("simple", "extended", "transaction")


async def run_session(script: SessionScript, target: SessionTarget) -> str:
    """Run a session and return its transcript."""
    transcript = Transcript()
    await script(transcript, target)
    return transcript.text


async def send_statement(address: Address, service: str, text: str) -> None:
    """Run one statement without recording it in a transcript."""
    caller = await RawCaller.connect(address)
    await caller.startup({"user": "crew", "database": service})
    await caller.exchange([Query(query_string=text)])
    await caller.close()


async def _write_all(target: SessionTarget) -> None:
    for name, script in SESSIONS.items():
        (GOLDEN_FOLDER / f"{name}.txt").write_text(await run_session(script, target))


def main() -> int:
    """Run all sessions on a new cluster and rewrite the golden files."""
    with tempfile.TemporaryDirectory(prefix="hickorywind-golden-") as folder:
        cluster = Cluster.from_script(EXAMPLE, Path(folder), rng=random.Random())
        try:
            cluster.start()
            wait_until_served(cluster)
            service = cluster.configuration.services[0].name
            asyncio.run(_write_all(SessionTarget(cluster.entries, service)))
        finally:
            cluster.stop()
    return 0


if __name__ == "__main__":
    sys.exit(main())
