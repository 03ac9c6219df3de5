import unittest

from hickorywind.ids import HostId, Incarnation
from hickorywind.pool.entries import EntryTable
from hickorywind.protocol.channel import PeerId
from hickorywind.util.clock import ManualClock, milliseconds

ONE = PeerId(b"one")
TWO = PeerId(b"two")


class EntryTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.clock = ManualClock()
        self.entries = EntryTable()
        self.entries.hear(ONE, self.clock.now())

    def sweep_for(self, duration_ms: int) -> list[PeerId]:
        silent = []
        for _ in range(duration_ms // 100):
            self.clock.advance(milliseconds(100))
            silent.extend(self.entries.sweep(self.clock.now()))
        return silent

    def test_entry_is_presumed_dead_after_two_seconds_of_silence(self) -> None:
        self.assertEqual(self.sweep_for(1_900), [])
        self.entries.hear(ONE, self.clock.now())
        self.assertEqual(self.sweep_for(1_900), [])
        self.assertEqual(self.sweep_for(300), [ONE])
        self.assertEqual(self.sweep_for(3_000), [])

    def test_pause_of_the_pool_itself_is_not_held_against_entries(self) -> None:
        self.sweep_for(500)
        self.clock.advance(milliseconds(10_000))
        self.assertEqual(self.entries.sweep(self.clock.now()), [])
        self.assertEqual(self.sweep_for(1_900), [])
        self.assertEqual(self.sweep_for(300), [ONE])

    def test_new_connection_of_an_entry_keeps_the_old_one_alive(self) -> None:
        for peer in (ONE, TWO):
            self.entries.identify(peer, HostId("e"), Incarnation(1), self.clock.now())
        self.assertEqual(len(self.entries), 1)
        self.sweep_for(1_500)
        self.assertEqual(self.entries.hear(TWO, self.clock.now()), ONE)
        self.assertEqual(self.sweep_for(1_900), [])

    def test_restarted_entry_is_another(self) -> None:
        self.entries.identify(ONE, HostId("e"), Incarnation(1), self.clock.now())
        self.entries.identify(TWO, HostId("e"), Incarnation(2), self.clock.now())
        self.assertEqual(self.entries.hear(TWO, self.clock.now()), TWO)
        self.assertEqual(self.entries.address_of(ONE), ONE)
