import unittest

from hickorywind.protocol.channel import Listener
from tests import ports
from tests.ports import free_address, free_port, wait_until_free

ROUNDS = 100
MANY = 3_000  # more than the blocks that a process may hold


class PortsTest(unittest.IsolatedAsyncioTestCase):
    async def test_address_of_a_closed_listener_can_be_bound_once_it_is_free(self):
        for _ in range(ROUNDS):
            address = free_address()
            Listener(address).close()
            await wait_until_free(address)
            Listener(address).close()

    def test_a_process_holds_few_blocks_however_many_ports_it_asks_for(self):
        recent = [free_port() for _ in range(MANY)][-ports._BLOCK_SIZE :]
        self.assertEqual(len(ports._blocks), ports._BLOCK_LIMIT)
        self.assertEqual(len(set(recent)), len(recent))
