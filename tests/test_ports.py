import unittest

from hickorywind.protocol.channel import Listener
from tests.ports import free_address, wait_until_free

ROUNDS = 100


class PortsTest(unittest.IsolatedAsyncioTestCase):
    async def test_address_of_a_closed_listener_can_be_bound_once_it_is_free(self):
        for _ in range(ROUNDS):
            address = free_address()
            Listener(address).close()
            await wait_until_free(address)
            Listener(address).close()
