import tempfile
import unittest
from pathlib import Path

import zmq

from hickorywind.results import UserError
from hickorywind.settings.secrets import load_keys, load_password, load_users

SECRET = "hunter2hunter2"


class SecretsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = Path(directory.name) / "secret"

    def write(self, text):
        self.path.write_text(text)
        return self.path

    def test_good_files(self):
        public, secret = zmq.curve_keypair()
        text = f"public: '{public.decode()}'\nsecret: '{secret.decode()}'\n"
        keys = load_keys(self.write(text))
        self.assertEqual((keys.public, keys.secret), (public, secret))
        self.assertEqual(load_users(self.write("ama: abc\n")), {"ama": "abc"})
        self.assertEqual(load_password(self.write("a b\n")), "a b")

    def test_errors_never_contain_a_secret(self):
        long = (SECRET * 3)[:40]
        cases = [
            (load_keys, f"public: {SECRET}\nsecret: {SECRET}\n"),
            (load_keys, f"public: '{long}'\nsecret: '{long}'\n"),
            (load_keys, SECRET),
            (load_keys, f"public: x\nsecret: !{SECRET} 1\n"),
            (load_keys, f"public: x\nsecret: *{SECRET}\n"),
            (load_users, f"ama: [{SECRET}]\n"),
            (load_users, f"{SECRET}\n"),
            (load_users, f"ama: %{SECRET}\n"),
            (load_users, "ama: 12345\n"),
            (load_users, ""),
            (load_password, f"{SECRET}\n{SECRET}\n"),
        ]
        for load, text in cases:
            with self.subTest(text=text), self.assertRaises(UserError) as caught:
                load(self.write(text))
            self.assertNotIn(SECRET, str(caught.exception))
            self.assertNotIn("12345", str(caught.exception))
            self.assertIn(str(self.path), str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_mismatched_key_pair_is_rejected(self):
        public, _ = zmq.curve_keypair()
        _, secret = zmq.curve_keypair()
        text = f"public: '{public.decode()}'\nsecret: '{secret.decode()}'\n"
        with self.assertRaisesRegex(UserError, "public: does not belong"):
            load_keys(self.write(text))
