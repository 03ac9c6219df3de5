import unittest

from hickorywind.report.explanation import NoExplanation, explain_request, parse_line

LINES = [
    "event=primary_unreachable level=warning ts=2026-12-04T10:00:00.000Z host=a service=s1",
    "event=primary_unreachable level=warning ts=2026-12-04T10:00:00.500Z host=a service=s2",
    "event=promotion_ordered level=info ts=2026-12-04T10:00:01.000Z host=b service=s1 backend=i-2",
    "event=store_lost level=warning ts=2026-12-04T10:00:01.500Z host=b call=watch",
    "event=request_failed level=info ts=2026-12-04T10:00:02.000Z host=a request_id=q7 service=s1"
    ' code=4001 outcome=unknown reason="the primary \\"x\\" was replaced"',
    "event=primary_changed level=info ts=2026-12-04T10:00:03.000Z host=b service=s1",
    "event=store_lost level=warning ts=2026-12-04T09:59:40.000Z host=a call=watch",
]


class ExplanationTest(unittest.TestCase):
    def test_explanation_has_earlier_state_changes_and_the_cause(self):
        explanation = explain_request("q7", reversed(LINES))
        events = [line.event for line in explanation.lines]
        self.assertEqual(events, ["primary_unreachable", "promotion_ordered", "request_failed"])
        self.assertTrue(explanation.cause.startswith("[4001]"), explanation.cause)

    def test_quoted_values_are_unquoted(self):
        line = parse_line(LINES[4])
        self.assertEqual(line.fields["reason"], 'the primary "x" was replaced')

    def test_unknown_request_has_no_explanation(self):
        explanation = explain_request("nobody", LINES)
        self.assertIsInstance(explanation, NoExplanation)

    def test_truncated_and_other_lines_are_ignored(self):
        texts = [*LINES, LINES[4][:30], "Traceback (most recent call last):", ""]
        texts.append("event=log_lines_dropped count=12")
        explanation = explain_request("q7", texts)
        self.assertEqual(len(explanation.lines), 3)
        self.assertEqual(explanation.dropped, 12)

    def test_missing_primary_names_the_missing_permit_or_the_reason(self):
        refused = LINES[4].replace("code=4001", "code=3001").replace("s1", "s1 permit_ms=0")
        self.assertIn("held no permit", explain_request("q7", [refused]).cause)
        replaced = refused.replace("permit_ms=0", "permit_ms=6100")
        cause = explain_request("q7", [replaced]).cause
        self.assertNotIn("permit", cause)
        self.assertIn('the primary "x" was replaced', cause)

    def test_error_of_a_backend_server_is_reported_as_cause(self):
        line = LINES[4].replace("code=4001", "code=0").replace("the primary", "FAILED i-1")
        explanation = explain_request("q7", [line])
        self.assertIn("FAILED i-1", explanation.cause)
