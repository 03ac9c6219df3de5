import unittest

from hickorywind.ids import Rank
from hickorywind.postgres.hints import NO_HINTS, Hints, collect_startup_settings, split_comment
from hickorywind.results import HickorywindError, ResultCode


class CommentTest(unittest.TestCase):
    def test_all_hints_are_parsed_and_the_comment_is_removed(self):
        hints, text = split_comment(
            "/* hickorywind priority=urgent max_staleness_ms=500 read_kind=crew_board "
            "idempotent=true request_id='a b' timeout_ms=900 */ SELECT 1"
        )
        self.assertEqual(hints, Hints(Rank.URGENT, 500, "crew_board", True, "a b", 900))
        self.assertEqual(text, " SELECT 1")

    def test_other_comments_are_kept(self):
        for text in ("/* other */ SELECT 1", "SELECT /* hickorywind priority=x */ 1"):
            self.assertEqual(split_comment(text), (NO_HINTS, text))

    def test_invalid_hints_raise_bad_hint(self):
        bodies = (
            "priority=now",
            "timeout_ms=0",
            "timeout_ms=-1",
            "max_staleness_ms=1e3",
            "idempotent=perhaps",
            "colour=blue",
            "priority",
            "request_id=" + "x" * 129,
            "timeout_ms=99999999999999999",
        )
        for body in bodies:
            with self.subTest(body=body), self.assertRaises(HickorywindError) as caught:
                split_comment(f"/* hickorywind {body} */ SELECT 1")
            self.assertIs(caught.exception.result.code, ResultCode.BAD_HINT)

    def test_merged_hints_take_precedence_over_the_base(self):
        own = Hints(priority=Rank.URGENT)
        base = Hints(priority=Rank.BACKGROUND, timeout_ms=5)
        self.assertEqual(own.merged_over(base), Hints(priority=Rank.URGENT, timeout_ms=5))


class StartupSettingsTest(unittest.TestCase):
    def test_settings_are_collected_from_parameters_and_options(self):
        parameters = {
            "user": "crew",
            "options": "-c hickorywind.priority=urgent --hickorywind.token=a -c other=1",
            "hickorywind.token": "b",
        }
        self.assertEqual(collect_startup_settings(parameters), {"priority": "urgent", "token": "b"})

    def test_malformed_options_are_refused(self):
        with self.assertRaises(HickorywindError):
            collect_startup_settings({"options": "-c 'open"})
