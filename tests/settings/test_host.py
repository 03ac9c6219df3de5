import json
import tempfile
import unittest
from pathlib import Path

from hickorywind.results import ResultCode, UserError
from hickorywind.settings.host import HostSettings, load_host_settings

ROOT = Path(__file__).parents[2]
VALID = {
    "host": "front-adum-1",
    "availability_zone": "adum",
    "region": "ashanti",
    "callers_listen": "10.1.0.8:8784",
    "readiness_listen": "10.1.0.8:8785",
    "peers_listen": "10.1.0.8:7440",
    "metrics_listen": "10.1.0.8:9464",
    "store": "10.200.1.7:8783",
    "control": "10.200.0.160:8783",
    "zones": {"adum": "ashanti", "tema": "greater-accra"},
    "stop_grace_seconds": 6,
}


class HostSettingsTest(unittest.TestCase):
    def load(self, **changes):
        document = {key: value for key, value in {**VALID, **changes}.items() if value is not None}
        with tempfile.NamedTemporaryFile("w", suffix=".yaml") as file:
            file.write(json.dumps(document))
            file.flush()
            return load_host_settings(file.name)

    def assert_rejected(self, key, **changes):
        with self.assertRaises(UserError) as caught:
            self.load(**changes)
        self.assertEqual(caught.exception.code, ResultCode.SETTINGS_INVALID)
        self.assertIn(f": {key}:", str(caught.exception))
        self.assertNotIn("\n", str(caught.exception))

    def test_valid_settings(self):
        settings = self.load()
        self.assertEqual(settings.address("store").port, 8783)
        self.assertEqual(settings.stop_grace_seconds, 6.0)

    def test_unknown_keys_are_ignored(self):
        self.assertEqual(self.load(later="x").host, "front-adum-1")

    def test_missing_and_wrong_values_name_file_and_key(self):
        for key in VALID:
            if key != "stop_grace_seconds":
                self.assert_rejected(key, **{key: None})
        self.assert_rejected("store", store="nowhere")
        self.assert_rejected("stop_grace_seconds", stop_grace_seconds=0.2)
        self.assert_rejected("backend_leaving_ms", backend_leaving_ms=0)
        self.assert_rejected("zones", zones={"tema": "x"})
        self.assert_rejected("log_bytes_per_second", log_bytes_per_second=0)
        self.assert_rejected("log.level", log={"level": "loud"})

    def test_status_address_must_be_loopback(self):
        self.assertEqual(self.load(status_listen="127.0.0.1:9465").status_listen, "127.0.0.1:9465")
        self.assert_rejected("status_listen", status_listen="10.1.0.8:9465")
        self.assert_rejected("status_listen", status_listen="localhost")

    def test_missing_file(self):
        with self.assertRaises(UserError):
            load_host_settings("/nonexistent/host.yaml")

    def test_deployed_template_names_only_known_keys(self):
        lines = (ROOT / "deploy" / "host.yaml").read_text().splitlines()
        keys = {line.split(":")[0] for line in lines if line and not line.startswith("#")}
        self.assertLessEqual(keys, set(HostSettings.__struct_fields__))
