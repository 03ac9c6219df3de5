import unittest

from hickorywind.host.sessionstate import (
    PrepareStep,
    ResetStep,
    SessionState,
    SetStep,
    StatementTemplate,
)
from hickorywind.ids import AccessMode
from hickorywind.ports.replies import Answer, BackendError, BackendErrorKind, TransactionState

READ = StatementTemplate(AccessMode.READ, "q")
DONE = Answer((), "-", None, TransactionState.IDLE, None)


def refused(kind):
    return Answer((), "", BackendError(kind, kind.value), TransactionState.IDLE, None)


class SessionStateTest(unittest.TestCase):
    def setUp(self):
        self.state = SessionState()
        steps = self.state.plan({"lang": "bn"}, READ)
        self.assertEqual(steps, [SetStep("lang", "bn"), PrepareStep("p1", READ)])
        self.assertIsNone(self.state.record_answers(steps, [DONE, DONE]))

    def test_confirmed_state_needs_no_setup(self):
        self.assertEqual(self.state.plan({"lang": "bn"}, READ), [])
        self.assertEqual(self.state.cost({"lang": "bn"}), 0)

    def test_value_that_the_session_lacks_needs_a_reset(self):
        self.assertEqual(self.state.plan({}, READ), [ResetStep(), PrepareStep("p2", READ)])

    def test_refused_steps_change_nothing(self):
        steps = self.state.plan({"zone": "z1"}, None)
        answers = [refused(BackendErrorKind.BUSY), DONE]
        self.assertIsNotNone(self.state.record_answers(steps, answers))
        self.assertEqual(self.state.values, {"lang": "bn", "zone": "z1"})
        self.assertEqual(self.state.plan({"lang": "bn", "zone": "z1"}, READ), [])

    def test_failed_step_leads_to_a_reset(self):
        steps = self.state.plan({"lang": "en"}, None)
        self.state.record_answers(steps, [refused(BackendErrorKind.FAILED)])
        again = self.state.plan({"lang": "en"}, READ)
        self.assertEqual(again[:2], [ResetStep(), SetStep("lang", "en")])

    def test_steps_of_a_transaction_that_was_rolled_back_are_done_again(self):
        steps = self.state.plan({"lang": "en"}, None)
        self.state.record_answers(steps, [DONE])
        self.state.forget([*steps, PrepareStep("p1", READ)])
        expected = [SetStep("lang", "en"), PrepareStep("p2", READ)]
        self.assertEqual(self.state.plan({"lang": "en"}, READ), expected)
        self.assertEqual(self.state.plan({}, None), [ResetStep()])


if __name__ == "__main__":
    unittest.main()
