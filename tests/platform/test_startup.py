import contextlib
import io
import os
import socket
import subprocess
import sys
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from unittest import mock

import yaml

from hickorywind.platform import __main__ as entry
from tests.ports import free_address

SLOW_TO_IMPORT = {"aiohttp", "asyncio", "prometheus_client", "zmq", "hickorywind.host"}


class StartupTest(unittest.TestCase):
    """A host that starts makes its callers wait a moment; it does not refuse them."""

    def setUp(self):
        folder = TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.yaml"
        self.callers = free_address()
        addresses = ("readiness_listen", "peers_listen", "metrics_listen", "store", "control")
        settings = {key: str(free_address()) for key in addresses}
        settings |= {"host": "h", "availability_zone": "z", "region": "r", "zones": {"z": "r"}}
        settings["callers_listen"] = str(self.callers)
        self.path.write_text(yaml.safe_dump(settings))

    def start(self, load_program):
        variables = {entry.SETTINGS_VARIABLE: str(self.path)}
        loading = mock.patch.object(entry.importlib, "import_module", load_program)
        with mock.patch.dict(os.environ, variables), loading:
            return entry.main()

    def test_callers_connect_before_the_program_is_imported(self):
        connected = []

        def connect_and_fake(name):
            with socket.create_connection((self.callers.host, self.callers.port), timeout=1):
                connected.append(name)
            program = mock.Mock()
            program.run = lambda settings, path, listener, entered: listener.close() or 7
            return program

        self.assertEqual(self.start(connect_and_fake), 7)
        self.assertEqual(connected, ["hickorywind.platform.program"])

    def test_nothing_slow_is_imported_before_listening(self):
        code = "import sys, hickorywind.platform.__main__; print(*sys.modules)"
        done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True)
        self.assertEqual(SLOW_TO_IMPORT & set(done.stdout.split()), set(), done.stderr)
        self.assertIn("hickorywind.settings.host", done.stdout.split())

    def test_taken_address_is_an_error_of_one_line(self):
        with socket.socket() as taken, contextlib.redirect_stderr(io.StringIO()) as errors:
            taken.bind((self.callers.host, self.callers.port))
            taken.listen()
            self.assertEqual(self.start(mock.Mock()), 2)
        (line,) = errors.getvalue().splitlines()
        self.assertIn(f"callers_listen: can't listen at {self.callers}", line)
