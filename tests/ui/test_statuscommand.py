import asyncio
import json
import socket
import tempfile
import threading
import unittest
from pathlib import Path

import zmq

from hickorywind.configuration.sections import digest_sections, split_sections
from hickorywind.ids import (
    Address,
    AvailabilityZone,
    BackendId,
    HostId,
    Incarnation,
    Revision,
    ServiceName,
    Term,
)
from hickorywind.placement.rendezvous import owner_of
from hickorywind.protocol.channel import ChannelKeys, Listener
from hickorywind.protocol.messages import (
    DrainReply,
    DrainRequest,
    Refused,
    StatusReply,
    StatusRequest,
)
from hickorywind.protocol.records import (
    ConfigHeadRecord,
    ConfigRecord,
    GroupRecord,
    LeavingRecord,
    MemberRecord,
    MemberState,
)
from hickorywind.results import Outcome, Result, ResultCode
from tests.configuration.samples import make_account_configuration, make_configuration
from tests.ui.commandrunner import run_tool

REVISION = Revision(41)
UNREACHABLE = Address("127.0.0.1", 1)


def make_records(controllers, configuration=None):
    sections = split_sections(configuration or make_configuration())
    records = [ConfigRecord(name, REVISION, text) for name, text in sections.items()]
    records.append(ConfigHeadRecord(REVISION, digest_sections(sections)))
    records.append(GroupRecord(ServiceName("ledger"), Term(3), BackendId("ledger-a")))
    records.append(LeavingRecord(BackendId("ledger-b"), 1, True))
    for host, address in controllers.items():
        zone = AvailabilityZone(host[0])
        pool = Address("10.0.0.1", 7100)
        records.append(
            MemberRecord(HostId(host), zone, Incarnation(1), MemberState.ALIVE, address, pool)
        )
    return tuple(records)


class FakeController:
    """Answer status and drain requests from a thread with an event loop of its own."""

    def __init__(self, keys=None):
        self.records = ()
        self.drained = []
        self.refuse = None
        self._keys = keys
        self._ready = threading.Event()
        self._thread = threading.Thread(target=lambda: asyncio.run(self._serve()))
        self._thread.start()
        if not self._ready.wait(timeout=10):
            raise RuntimeError("fake controller did not start")

    async def _serve(self):
        self._loop = asyncio.get_running_loop()
        self._stop = asyncio.Event()
        listener = self._bind()
        answering = asyncio.create_task(self._answer(listener))
        self._ready.set()
        await self._stop.wait()
        answering.cancel()
        await asyncio.wait((answering,))
        listener.close()

    def _bind(self):
        while True:
            with socket.socket() as probe:
                probe.bind(("127.0.0.1", 0))
                self.address = Address(*probe.getsockname())
            try:
                return Listener(self.address, self._keys)
            except zmq.ZMQError:
                # Another process took the port in between.
                continue

    async def _answer(self, listener):
        while True:
            received = await listener.receive()
            await listener.send(received.peer, self._reply_to(received.message))

    def _reply_to(self, message):
        if self.refuse is not None:
            return Refused(self.refuse)
        match message:
            case StatusRequest():
                return StatusReply(self.records, REVISION, False)
            case DrainRequest(host):
                self.drained.append(host)
                return DrainReply(Result.ok())

    def close(self):
        self._loop.call_soon_threadsafe(self._stop.set)
        self._thread.join()


class ControllerCase(unittest.TestCase):
    def setUp(self):
        self.one, self.other = self.start(), self.start()
        controllers = {"a1": self.one.address, "b1": self.other.address, "b2": UNREACHABLE}
        self.one.records = make_records(controllers)

    def start(self, keys=None):
        controller = FakeController(keys)
        self.addCleanup(controller.close)
        return controller

    def run_at(self, controller, *arguments):
        return run_tool(*arguments, "--controller", str(controller.address), "--timeout-ms", "500")


class StatusTest(ControllerCase):
    def test_json(self):
        shown = json.loads(self.run_at(self.one, "status", "--output", "json").out)
        hosts = {line["host"]: line["revision_in_force"] for line in shown["hosts"]}
        self.assertEqual(hosts, {"a1": 41, "b1": 41, "b2": None})
        self.assertEqual(shown["groups"], [{"service": "ledger", "term": 3, "primary": "ledger-a"}])
        backends = {line["backend"]: line for line in shown["backends"]}
        self.assertEqual(backends["ledger-a"]["home"], "a1")
        self.assertEqual(backends["ledger-a"]["role"], "primary")
        self.assertEqual(backends["ledger-b"]["home"], owner_of("ledger-b", ("b1", "b2")))
        self.assertTrue(backends["ledger-b"]["leaving"])
        self.assertFalse(shown["store_reachable"])

    def test_text(self):
        result = self.run_at(self.one, "status")
        self.assertEqual(result.code, 0)
        self.assertIn("revision in force 41, store not reachable", result.out)
        self.assertRegex(result.out, r"(?m)^b2 +b +alive +- ")
        self.assertRegex(result.out, r"(?m)^ledger +3 +ledger-a$")

    def test_accounts_are_shown_with_their_quotas_if_there_are_any(self):
        self.assertNotIn("account", self.run_at(self.one, "status").out)
        self.one.records = make_records({"a1": self.one.address}, make_account_configuration())
        text = self.run_at(self.one, "status").out
        self.assertRegex(text, r"(?m)^archive +background +- +- +1$")
        self.assertRegex(text, r"(?m)^workshop +urgent +50 +100 +2$")
        shown = json.loads(self.run_at(self.one, "status", "--output", "json").out)
        self.assertEqual(
            shown["accounts"][1],
            {
                "account": "workshop",
                "priority": "urgent",
                "rate_per_s": 50.0,
                "burst": 100,
                "users": ["Crew", "office"],
            },
        )

    def test_controller_without_configuration_yet(self):
        result = self.run_at(self.other, "status")
        self.assertEqual(result.code, 0)

    def test_unreachable_controller(self):
        result = run_tool("status", "--controller", str(UNREACHABLE), "--timeout-ms", "100")
        self.assertEqual(result.code, 3)
        self.assertRegex(result.err, r"^hickorywind: 6004 [^\n]*\n$")

    def test_refusal_keeps_its_result_code(self):
        self.one.refuse = Result(ResultCode.VERSION_REFUSED, Outcome.NOT_RUN, "old")
        result = self.run_at(self.one, "status")
        self.assertEqual(result.code, 1)
        self.assertIn("6001 old", result.err)


class DrainTest(ControllerCase):
    def test_host_is_drained_by_its_own_controller(self):
        result = self.run_at(self.one, "drain", "b1")
        self.assertEqual(result.code, 0)
        self.assertEqual((self.one.drained, self.other.drained), ([], ["b1"]))

    def test_unknown_and_unreachable_hosts(self):
        result = self.run_at(self.one, "drain", "zz")
        self.assertEqual(result.code, 1)
        self.assertIn("zz is not known", result.err)
        self.assertEqual(self.run_at(self.one, "drain", "b2").code, 3)


class KeysTest(ControllerCase):
    def test_controller_with_keys_answers_only_those_who_hold_them(self):
        public, secret = zmq.curve_keypair()
        guarded = self.start(ChannelKeys(public, secret))
        with tempfile.TemporaryDirectory() as directory:
            path = Path(directory) / "keys.yaml"
            path.write_text(f"public: '{public.decode()}'\nsecret: '{secret.decode()}'\n")
            self.assertEqual(self.run_at(guarded, "status", "--keys", path).code, 0)
        self.assertEqual(self.run_at(guarded, "status").code, 3)
