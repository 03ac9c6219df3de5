"""A controller beside malformed entries of the store and malformed messages."""

import asyncio
import json
import random
import unittest

import zmq
import zmq.asyncio

from hickorywind.controller.events import ConfigRead, PlatformListRead
from hickorywind.controller.role import ControllerRole
from hickorywind.ids import AvailabilityZone, HostId, Region, Revision, Role
from hickorywind.observability.metrics import Metrics
from hickorywind.protocol.codec import decode, encode
from hickorywind.protocol.messages import PROTOCOL_VERSION, Refused, StatusReply, StatusRequest
from hickorywind.settings.schema import ControllerSettings, DaemonSettings
from hickorywind.store.interface import StoredValue
from hickorywind.util.clock import MonotonicClock
from tests.controller.test_config import configuration, stored
from tests.ports import free_address
from tests.util.test_decoding import DEEP

HUGE = "9" * 400
ENTRY = '{"host": "h9", "state": "live", "controller": "127.0.0.1:1"}'
ENTRIES = (
    b'{"host": "h9", "state": "live", "x": ' + DEEP + b"}",
    DEEP,
    b"\xff",
    *(
        ENTRY.replace("127.0.0.1:1", address).encode()
        for address in ("127.0.0.1:0", "127.0.0.1:99999999999", "no host:5", f"127.0.0.1:{HUGE}")
    ),
)
WAIT_SECONDS = 5


class ControllerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.address = free_address()
        settings = DaemonSettings(
            HostId("h0"),
            AvailabilityZone("a"),
            Region("r"),
            Role.CONTROLLER,
            controller=ControllerSettings(str(self.address)),
        )
        self.controller = ControllerRole.from_settings(
            settings, MonotonicClock(), random.Random(1), None, Metrics.with_own_registry()
        )
        self.task = asyncio.create_task(self.controller.run())
        self.socket = zmq.asyncio.Context.instance().socket(zmq.DEALER)
        self.socket.connect(f"tcp://{self.address}")

    async def asyncTearDown(self):
        self.socket.close(linger=0)
        self.task.cancel()
        await asyncio.wait((self.task,))

    async def exchange(self, data):
        """Send bytes and return the answer to them."""
        await self.socket.send(data)
        answer = asyncio.ensure_future(self.socket.recv())
        await asyncio.wait(
            (self.task, answer), timeout=WAIT_SECONDS, return_when=asyncio.FIRST_COMPLETED
        )
        self.check_running()
        return decode(await answer)

    def check_running(self):
        """Fail with the controller's own error if it has ended."""
        if self.task.done():
            self.task.result()

    async def test_controller_uses_the_other_entries_of_the_platform_list(self):
        entries = [
            StoredValue(f"/platform/hosts/{number}", value, Revision(1))
            for number, value in enumerate((*ENTRIES, ENTRY.encode()))
        ]
        await self.controller._events.put(PlatformListRead(tuple(entries)))
        await asyncio.sleep(2)  # the first messages to the hosts of the list
        self.check_running()
        self.assertIsInstance(await self.exchange(encode(StatusRequest())), StatusReply)
        self.assertEqual(
            [str(seed) for seed in self.controller._gossip._prober.seeds], ["127.0.0.1:1"]
        )

    async def test_malformed_configuration_keeps_the_one_in_force(self):
        good = stored(5, configuration("p"))
        document = json.loads(good.value)
        document["document"]["services"][0]["ranks"][0]["timeout_ms"] = 10**20
        values = (good.value[:-1] + b', "x": ' + DEEP + b"}", json.dumps(document).encode())
        await self.controller._events.put(ConfigRead(good))
        for number, value in enumerate(values):
            await self.controller._events.put(
                ConfigRead(StoredValue(good.key, value, Revision(6 + number)))
            )
        reply = await self.exchange(encode(StatusRequest()))
        self.assertEqual(reply.revision_in_force, 5)
        self.check_running()

    async def test_malformed_message_is_refused(self):
        version = bytes((PROTOCOL_VERSION,))
        deep = b"\x91" * 50_000 + b"\x90"
        for data in (b"\x92\xa2sr" + deep, b"\x92\xa2l\xff", b"\xc1", deep, b""):
            self.assertIsInstance(await self.exchange(version + data), Refused)
        self.assertIsInstance(await self.exchange(encode(StatusRequest())), StatusReply)
        self.check_running()
