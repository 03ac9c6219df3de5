"""Limits on what the repository tracks."""

import subprocess
import unittest
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
MAX_FILE_SIZE_BYTES = 1_000_000


class TrackedFilesTest(unittest.TestCase):
    def test_no_large_file_is_tracked_outside_the_journal(self):
        listing = subprocess.run(
            ["git", "ls-files", "-z", "--", ".", ":!journal/"],
            cwd=ROOT,
            check=True,
            capture_output=True,
            text=True,
        )
        paths = [ROOT / name for name in listing.stdout.split("\0") if name]
        self.assertGreater(len(paths), 100)
        large = [
            str(path.relative_to(ROOT))
            for path in paths
            if path.exists() and path.stat().st_size > MAX_FILE_SIZE_BYTES
        ]
        self.assertEqual(large, [])
