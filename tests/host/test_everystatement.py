"""Every statement that a server runs, compared with what a caller sent, while servers refuse."""

import asyncio
import json
import os
import random
import unittest

from hickorywind.platform.documents import CONFIGURATION_KEY
from tests.host.harness import SERVICE, HostTestCase, configuration

CODES = ("BUSY", "FAILED", "READONLY", "TIMEOUT", "NOSTMT", "MALFORMED", "DROP")
SEEDS = [int(each) for each in os.environ.get("HICKORYWIND_STATEMENT_SEEDS", "1").split(",")]
PLAY_SECONDS = 6.0


class StatementsTest(HostTestCase):
    moves_primary = False

    async def play(self, seed, seconds=PLAY_SECONDS):
        self.rng = random.Random(seed)
        self.sent, self.problems, self.runs = {}, [], 0
        self.pins = {}
        for server in self.group.servers.values():
            self.watch(server)
        until = self.loop.time() + seconds
        changes = asyncio.create_task(self.change_primaries())
        await asyncio.gather(*(self.session(f"{seed}.{n}", until) for n in range(12)))
        changes.cancel()
        for server in self.group.servers.values():
            server.refuse, server.delay_seconds = (lambda text: None), 0.0
        await asyncio.sleep(4.0)

    async def change_primaries(self):
        while self.moves_primary:
            await asyncio.sleep(6.0)
            others = [each for each in self.group.servers.values() if each.role == "replica"]
            self.group.make_primary(self.rng.choice(others))
            for server in self.group.servers.values():
                await self.register(server)

    def watch(self, server):
        run = type(server)._run_statement

        def check(connection, request_id, text):
            if request_id == "-" or text.startswith("AFTER "):
                pass
            elif not getattr(connection, "nested", False):
                self.check(server, connection, request_id, text)
            if text.startswith("AFTER ") and request_id != "-":
                self.check(server, connection, request_id, text.split(" ", 2)[2])
            connection.nested = True
            try:
                return run(server, connection, request_id, text)
            finally:
                connection.nested = False

        # Nested runs of AFTER and EXECUTE go through the class, so each statement counts once.
        server._run_statement = lambda c, i, t: check(c, i, t)

        def refuse(text):
            word = text.split(" ")[0]
            share = {"SET": 0.06, "RESET": 0.2, "PREPARE": 0.1, "STATUS": 0.0}.get(word, 0.01)
            server.delay_seconds = self.rng.choice((0.0, 0.0, 0.002, 0.01))
            if self.rng.random() >= share:
                return None
            code = self.rng.choice(CODES)
            if code == "DROP":
                raise ConnectionError
            return code

        server.refuse = refuse

    def check(self, server, connection, request_id, text):
        self.runs += 1
        expected = self.sent.get(request_id)
        if expected is None:
            self.problems.append(("unasked", request_id, text))
            return
        sent_text, values, template, tx = expected
        if text.startswith("EXECUTE "):
            _, name, arguments = text.split(" ", 2)
            held = connection.prepared_statements.get(name)
            if held is not None and (held != template or sent_text.split(" ", 2)[2] != arguments):
                self.problems.append(("shape", request_id, text, held, template))
        elif text != sent_text:
            self.problems.append(("text", request_id, text, sent_text))
        if connection.settings != values:
            self.problems.append(("values", request_id, dict(connection.settings), values))
        if (connection.transaction is not None) != (tx is not None):
            self.problems.append(("transaction", request_id, text, connection.transaction))
        if tx is not None and self.pins.setdefault(tx, connection) is not connection:
            self.problems.append(("moved", request_id, text))
        if tx is not None and [t for t, c in self.pins.items() if c is connection][-1] != tx:
            self.problems.append(("other transaction", request_id, text))

    async def session(self, name, until):
        number = 0
        while self.loop.time() < until:
            number += 1
            try:
                await self.one_session(f"{name}.{number}", until)
            except (ConnectionError, EOFError):
                pass

    async def one_session(self, name, until):
        rng = self.rng
        host = rng.choice(list(self.hosts))
        caller = await self.caller(rng.choice(("bookings", "views", "orders")), host)
        values, templates, tx, number = {}, {}, None, 0
        for _ in range(rng.randrange(1, 30)):
            if self.loop.time() >= until:
                break
            number += 1
            request_id = f"{name}.{number}"
            word = rng.choices(
                ("SET", "PREPARE", "EXECUTE", "READ", "WRITE", "BEGIN", "COMMIT", "ROLLBACK",
                 "BEGIN READ", "LEAVE", "WAIT"),
                (2, 2, 5, 4, 2, 2, 1.5, 1, 1, 0.3, 1),
            )[0]  # fmt: skip
            if word == "WAIT":
                await asyncio.sleep(rng.choice((0.01, 0.3, 1.0)))
                continue
            if word.startswith("BEGIN") and tx or word in ("COMMIT", "ROLLBACK") and not tx:
                continue
            item = f"i{request_id}"
            template = None
            match word:
                case "SET":
                    text = f"SET {rng.choice('ab')} {request_id}"
                case "PREPARE":
                    shape = rng.choice("pqr") + rng.choice(("", " z"))
                    text = f"PREPARE {rng.choice('st')} {rng.choice(('READ', 'WRITE'))} {shape}"
                case "EXECUTE":
                    if not templates:
                        continue
                    prepared = rng.choice(list(templates))
                    template = templates[prepared]
                    text = f"EXECUTE {prepared} {item}"
                    text += " v" if template[0] == "WRITE" else ""
                case "READ":
                    text = f"READ {item}"
                case "WRITE":
                    text = f"WRITE {item} v"
                case _:
                    text = word
            leaves = word == "LEAVE" or rng.random() < 0.01
            if word == "LEAVE":
                text = f"WRITE {item} v"
            self.sent[request_id] = (text, dict(values), template, tx)
            caller.writer.write(f"QUERY {request_id} {text}\r\n".encode())
            if leaves:
                await asyncio.sleep(rng.choice((0, 0.003, 0.01)))
                break
            lines = []
            while not lines or not lines[-1].startswith("READY"):
                line = (await caller.reader.readline()).decode().strip()
                if not line:
                    return
                lines.append(line)
            done = lines[0].split(" ")[0] in ("ROW", "COMPLETE")
            if done and word == "SET":
                values[text.split(" ")[1]] = request_id
            if done and word == "PREPARE":
                _, prepared, mode, shape = text.split(" ", 3)
                templates[prepared] = (mode, shape)
            if done and word in ("READ", "WRITE", "EXECUTE", "COMMIT"):
                tag = next(each for each in lines if each.startswith("COMPLETE"))
                if tag != f"COMPLETE s.{request_id}":
                    self.problems.append(("mixed", request_id, lines))
            if word.startswith("BEGIN") and done:
                tx = request_id
            if lines[-1].startswith("READY I"):
                tx = None
            if lines[-1].startswith("READY E"):
                caller.writer.write(f"QUERY {request_id}r ROLLBACK\r\n".encode())
                while not (await caller.reader.readline()).startswith(b"READY"):
                    pass
                tx = None
        caller.close()

    async def test_every_statement_runs_as_its_caller_sent_it(self):
        for seed in SEEDS:
            await self.play(seed)
            self.assertEqual(self.problems[:5], [])
            in_flight = {
                (name, server): backend.load.limit.in_flight
                for name, host in self.hosts.items()
                for server, backend in host.role._services[SERVICE].backends.items()
            }
            self.assertEqual(set(in_flight.values()), {0}, in_flight)
            left = [
                each.transaction
                for server in self.group.servers.values()
                for each in server._connections
                if each.transaction is not None
            ]
            self.assertEqual(left, [])


class MovingPrimaryTest(StatementsTest):
    moves_primary = True


class SharedReadsTest(StatementsTest):
    host_count = 6
    settings_changes = {"share_reads": True}  # noqa: RUF012

    async def asyncSetUp(self):
        await super().asyncSetUp()
        document = json.loads(configuration(2))
        document["backends"] = [{"name": SERVICE, "max_conns": 10}]
        await self.store.put(CONFIGURATION_KEY, json.dumps(document).encode())
        await asyncio.sleep(4.0)


if __name__ == "__main__":
    unittest.main()
