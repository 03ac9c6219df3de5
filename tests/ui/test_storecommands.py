import json
from unittest import mock

from tests.ui.commandrunner import run_tool
from tests.ui.fakestore import FakeStore
from tests.ui.test_configcommands import EXAMPLES, CleanEnvironmentCase

STORE = ("--store", "127.0.0.1:1")
DOCUMENT = EXAMPLES / "stepclean.yaml"


class StoreCommandsTest(CleanEnvironmentCase):
    def setUp(self):
        super().setUp()
        self.store = FakeStore()
        patcher = mock.patch(
            "hickorywind.store.etcd.EtcdStore.from_address", return_value=self.store
        )
        patcher.start()
        self.addCleanup(patcher.stop)

    def apply(self, reviewed, *more, document=DOCUMENT):
        return run_tool(
            *("config", "apply", document, "--reviewed-revision", reviewed),
            *("--author", "ama", "--note", "first", *STORE, *more),
        )

    def test_apply_show_diff_history(self):
        self.assertIn("accepted revision 1, change c1", self.apply(0, "--change-id", "c1").out)
        shown = run_tool("config", "show", *STORE)
        head, _, document = shown.out.partition("\n")
        self.assertEqual(head, "# revision 1, change c1 by ama")
        self.assertEqual(document, DOCUMENT.read_text())
        diff = run_tool("config", "diff", DOCUMENT, *STORE)
        self.assertEqual(diff.out, "against revision 1\nno changes\n")
        history = json.loads(run_tool("config", "history", *STORE, "--output", "json").out)
        self.assertEqual([entry["change_id"] for entry in history], ["c1"])

    def test_shown_document_can_be_applied_again(self):
        self.apply(0)
        path = self.write("shown.yaml", run_tool("config", "show", *STORE).out)
        self.assertEqual(self.apply(1, document=path).code, 0)

    def test_conflict_names_the_other_change(self):
        self.apply(0, "--change-id", "c1")
        result = self.apply(0)
        self.assertEqual((result.code, result.out), (1, ""))
        self.assertRegex(
            result.err, r"^hickorywind: 7002 .*revision 1 is current, change c1 by ama"
        )
        self.assertEqual(len(result.err.splitlines()), 1)

    def test_store_down(self):
        self.store.read_faults = 100
        result = self.apply(0)
        self.assertEqual(result.code, 3)
        self.assertIn("7003", result.err)
        self.assertEqual(self.store.values, {})
        for command in ("show", "history"):
            self.store.read_faults = 1
            self.assertEqual(run_tool("config", command, *STORE).code, 3)

    def test_unknown_outcome_is_resolved_by_applying_again(self):
        self.store.swap_faults = ["answer lost"]
        with mock.patch.object(self.store, "get", side_effect=self.fail_after_first()):
            with mock.patch("hickorywind.ui.applier.asyncio.sleep"):
                with mock.patch("hickorywind.ui.applier.Applier.__init__", patched_init):
                    result = self.apply(0, "--change-id", "c1")
        self.assertEqual(result.code, 4)
        self.assertIn("--change-id c1", result.err)
        self.assertEqual(self.apply(0, "--change-id", "c1").code, 0)
        self.assertEqual(self.store.swaps, 1)

    def fail_after_first(self):
        get = self.store.get
        calls = []

        async def failing(key):
            calls.append(key)
            self.store.read_faults = 1 if len(calls) > 1 else 0
            return await get(key)

        return failing

    def test_invalid_documents_never_reach_the_store(self):
        path = self.write("bad.yaml", DOCUMENT.read_text().replace("slots: 3", "slots: 0"))
        self.assertEqual(self.apply(0, document=path).code, 1)
        self.assertEqual(self.store.values, {})


def patched_init(self, store, prefix):
    async def sleep(seconds):
        pass

    self._store, self._prefix, self._sleep = store, prefix, sleep
