import random
import unittest

from standins.ports import NoPortsError, PortBlock, PortSource

PORTS = range(31_200, 31_300)
SIZE = 20


class PortBlockTest(unittest.TestCase):
    """Blocks reserved at the same time never overlap, even before anything listens on them."""

    def claim(self, seed=1):
        block = PortBlock.claim(random.Random(seed), PORTS, SIZE)
        self.addCleanup(block.release)
        return block

    def test_blocks_of_one_seed_do_not_overlap(self):
        taken = [port for _ in range(4) for port in self.claim().ports]
        self.assertEqual(len(taken), len(set(taken)))
        self.assertTrue(set(taken) < set(PORTS))

    def test_released_block_can_be_claimed_again(self):
        blocks = [self.claim() for _ in range(4)]
        with self.assertRaises(NoPortsError):
            PortBlock.claim(random.Random(2), PORTS, SIZE)
        blocks[2].release()
        self.assertEqual(self.claim().ports, blocks[2].ports)

    def test_source_returns_each_port_once(self):
        source = PortSource(self.claim())
        first = source.reserve(5)
        others = [source.next_address().port for _ in range(SIZE - 5)]
        self.assertEqual(len({*range(first, first + 5), *others}), SIZE)
