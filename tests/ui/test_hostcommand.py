import unittest

from hickorywind.protocol.hoststatus import HostStatus, PeerStatus
from hickorywind.ui.hostcommand import format_host

FLEET_SIZE = 195


def make_peer(number, heard_ms=None, is_leaving=False, is_alive=True):
    return PeerStatus(f"h{number}", f"z{number % 6}", heard_ms, is_leaving, True, is_alive)


class HostCommandTest(unittest.TestCase):
    def test_large_fleet_is_shown_by_zone_with_neighbours_and_outliers(self):
        peers = [make_peer(number) for number in range(1, FLEET_SIZE)]
        peers[0] = make_peer(1, heard_ms=420)
        peers[5] = make_peer(6, is_alive=False)
        peers[9] = make_peer(10, is_leaving=True)
        status = HostStatus("h0", 1, "z0", True, False, 6500, 9, 25, tuple(peers), ())
        lines = format_host(status).splitlines()
        self.assertIn("host h0 in z0: ready", lines[0])
        self.assertLess(len(lines), 30)
        rows = [line.split() for line in lines]
        self.assertIn(["z0", "32", "31", "0", "0"], rows)
        self.assertIn(["z1", "33", "33", "0", "1"], rows)
        self.assertIn(["z4", "32", "32", "1", "0"], rows)
        names = [row[0] for row in rows if row and row[0].startswith("h") and row[0] != "host"]
        self.assertEqual(names, ["h1", "h6", "h10"])


if __name__ == "__main__":
    unittest.main()
