import unittest

from tests import workers


class RunUnitTest(unittest.TestCase):
    def test_class_that_passes(self):
        results = workers.run_unit("tests.test_ids")
        self.assertTrue(results.passed)
        self.assertEqual(results.failures, {})
        self.assertEqual(len(results.durations), len(results.passed))

    def test_module_that_cannot_be_loaded_fails_under_its_name(self):
        results = workers.run_unit("tests.no_such_module")
        self.assertEqual(results.passed, [])
        (text,) = results.failures.values()
        self.assertIn("no_such_module", text)


class ListClassesTest(unittest.TestCase):
    def test_each_class_once_and_broken_modules_too(self):
        loader = unittest.TestLoader()
        suite = loader.loadTestsFromNames(["tests.test_workers", "tests.no_such_module"])
        names = workers.list_classes(suite)
        self.assertIn("tests.test_workers.ListClassesTest", names)
        self.assertIn("tests.test_workers.RunUnitTest", names)
        self.assertEqual(len(names), len(set(names)))
        self.assertTrue(any("no_such_module" in name for name in names), names)


class MergeTest(unittest.TestCase):
    def test_failures_of_all_units_are_kept(self):
        merged = workers.RunResults(["a"], {"b": "why"}, [(0.1, "a"), (0.2, "b")])
        merged.add(workers.RunResults(["c"], {"d": "why"}, [(0.3, "c")]))
        self.assertEqual(merged.passed, ["a", "c"])
        self.assertEqual(set(merged.failures), {"b", "d"})
        self.assertEqual(len(merged.durations), 3)
