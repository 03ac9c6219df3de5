import signal
import subprocess
import sys
import tempfile
import unittest
from datetime import timedelta
from pathlib import Path

import psycopg
import yaml

from hickorywind.groups.client import CallFailed, CallRefused, GroupClient
from hickorywind.ids import Address, InstanceRole, LogPosition, Term
from tests.standins.support import local_address


class BackendProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.listen = local_address()
        self.config = Path(folder.name) / "backend.yaml"
        settings = {
            "backend": "db0",
            "service": "dispatch",
            "listen": self.listen,
            "replication_listen": local_address(),
            "initial_primary": True,
            "data_dir": folder.name + "/data",
        }
        self.config.write_text(yaml.safe_dump(settings))
        self.process = self.start()
        self.client = GroupClient(Address.from_text(self.listen), timedelta(seconds=1))
        self.addCleanup(self.client.close)

    def start(self):
        arguments = [sys.executable, "-m", "standins.backend", "--config", str(self.config)]
        process = subprocess.Popen(arguments, stdout=subprocess.PIPE, text=True)
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        self.assertEqual(process.stdout.readline(), f"ready {self.listen}\n")
        return process

    def connect(self):
        host, _, port = self.listen.partition(":")
        return psycopg.connect(f"host={host} port={port} user=crew", autocommit=True)

    async def test_killed_instance_keeps_its_log_and_accepted_term(self):
        with self.connect() as connection:
            connection.execute("CREATE TABLE firing (id int)")
            connection.execute("INSERT INTO firing VALUES (1)")
        await self.client.accept_term(Term(4), "x", timedelta(0))
        self.process.kill()
        self.process.wait()
        self.assertIsInstance(await self.client.status(), CallFailed)
        self.process = self.start()
        status = await self.client.status()
        self.assertEqual((status.role, status.term), (InstanceRole.REPLICA, 4))
        self.assertEqual(status.received, LogPosition(Term(1), 2))
        refused = await self.client.accept_term(Term(4), "y", timedelta(0))
        self.assertIsInstance(refused, CallRefused)
        await self.client.promote(Term(4), "x")
        with self.connect() as connection:
            self.assertEqual(connection.execute("SELECT id FROM firing").fetchall(), [(1,)])

    async def test_paused_instance_fails_calls_and_comes_back(self):
        self.process.send_signal(signal.SIGSTOP)
        self.assertIsInstance(await self.client.status(), CallFailed)
        self.process.send_signal(signal.SIGCONT)
        self.assertIs((await self.client.status()).role, InstanceRole.PRIMARY)

    async def test_terminated_instance_exits_cleanly_with_connections_open(self):
        with self.connect():
            self.process.terminate()
            self.assertEqual(self.process.wait(timeout=10), 0)
