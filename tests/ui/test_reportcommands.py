import json

from hickorywind.ids import Address
from hickorywind.observability.metrics import start_metrics_server
from hickorywind.report.samples import append_samples, read_samples
from tests.report.test_burn import record_overload
from tests.report.test_samples import make_metrics
from tests.ui.commandrunner import run_tool
from tests.ui.test_configcommands import EXAMPLES, CleanEnvironmentCase

DOCUMENT = EXAMPLES / "stepclean.yaml"


class ReportCommandsTest(CleanEnvironmentCase):
    def test_burn_from_a_series(self):
        series = self.directory / "series.jsonl"
        append_samples(series, record_overload())
        plot = self.directory / "burn.svg"
        arguments = ("report", "burn", "--samples", series, "--config", DOCUMENT)
        result = run_tool(*arguments, "--plot", plot, "--output", "json")
        rows = [row for row in json.loads(result.out) if row["window_seconds"] == 300]
        (row,) = [row for row in rows if row["objective"].startswith("sign-offs urgent")]
        self.assertEqual((row["good"], row["bad"]), (350, 150))
        self.assertAlmostEqual(row["burn_rate"], 300.0)
        self.assertIn(b"<svg", plot.read_bytes())
        self.assertIn("sign-offs urgent 99.9% in 200 ms", run_tool(*arguments).out)

    def test_malformed_series(self):
        series = self.write("series.jsonl", "{}\n")
        result = run_tool("report", "burn", "--samples", series, "--config", DOCUMENT)
        self.assertEqual(result.code, 1)
        self.assertIn("line 1", result.err)

    def test_record(self):
        server = start_metrics_server(Address("127.0.0.1", 0), make_metrics())
        self.addCleanup(server.close)
        series = self.directory / "series.jsonl"
        arguments = ("report", "record", "--out", series, "--timeout-ms", 500)
        rounds = ("--interval-s", 1, "--count", 2)
        result = run_tool(*arguments, *rounds, "--metrics", server.address, "127.0.0.1:1")
        self.assertEqual((result.code, result.out), (0, "2 samples written, 2 failed\n"))
        self.assertIn("127.0.0.1:1: ", result.err)
        self.assertEqual(len(read_samples(series)), 2)
        result = run_tool(*arguments, "--count", 1, "--metrics", "127.0.0.1:1")
        self.assertEqual(result.code, 3)
