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
        self.entries.record_activity(ONE, self.clock.now())

    def check_for(self, duration_ms: int) -> list[PeerId]:
        silent = []
        for _ in range(duration_ms // 100):
            self.clock.advance(milliseconds(100))
            silent.extend(self.entries.remove_silent(self.clock.now()))
        return silent

    def test_entry_is_presumed_dead_after_two_seconds_of_silence(self) -> None:
        self.assertEqual(self.check_for(1_900), [])
        self.entries.record_activity(ONE, self.clock.now())
        self.assertEqual(self.check_for(1_900), [])
        self.assertEqual(self.check_for(300), [ONE])
        self.assertEqual(self.check_for(3_000), [])

    def test_entries_are_not_presumed_dead_after_a_stall_of_the_pool(self) -> None:
        self.check_for(500)
        self.clock.advance(milliseconds(10_000))
        self.assertEqual(self.entries.remove_silent(self.clock.now()), [])
        self.assertEqual(self.check_for(1_900), [])
        self.assertEqual(self.check_for(300), [ONE])

    def test_new_connection_of_an_entry_keeps_its_id(self) -> None:
        for peer in (ONE, TWO):
            self.entries.identify(peer, HostId("e"), Incarnation(1), self.clock.now())
        self.assertEqual(len(self.entries), 1)
        self.check_for(1_500)
        self.assertEqual(self.entries.record_activity(TWO, self.clock.now()), ONE)
        self.assertEqual(self.check_for(1_900), [])

    def test_restarted_entry_gets_another_id(self) -> None:
        self.entries.identify(ONE, HostId("e"), Incarnation(1), self.clock.now())
        self.entries.identify(TWO, HostId("e"), Incarnation(2), self.clock.now())
        self.assertEqual(self.entries.record_activity(TWO, self.clock.now()), TWO)
        self.assertEqual(self.entries.peer_of(ONE), ONE)
