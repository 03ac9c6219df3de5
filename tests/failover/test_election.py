import random
import unittest
from datetime import timedelta

from hickorywind.failover.actions import AcceptTerm, PromoteBackend, PublishGroup
from hickorywind.failover.election import Election
from hickorywind.failover.policy import FailoverPolicy
from hickorywind.groups.status import BackendStatus
from hickorywind.ids import InstanceRole, LogPosition

NOW = timedelta(seconds=100)
NAMES = ("db-a", "db-b", "db-c")


def status(backend, role, term):
    log = LogPosition(1, 7)
    return BackendStatus(backend, "ledger", role, term, "p", log, log, log, 0.0, False, 0, 9)


class ReturnedPrimaryTest(unittest.TestCase):
    def test_primary_of_an_old_term_is_published_only_once_it_leads_the_accepted_term(self):
        election = Election("ledger", "p", FailoverPolicy(), random.Random(1))
        asked = list(election.start(NOW, 2, NAMES, timedelta(0)))
        self.assertEqual({action.term for action in asked if isinstance(action, AcceptTerm)}, {3})
        actions = []
        for name in NAMES[:2]:
            answer = status(name, InstanceRole.REPLICA, 3)
            actions += election.handle_accept_answer(NOW, name, 3, answer)
        (order,) = actions
        self.assertIsInstance(order, PromoteBackend)
        old = status(order.backend, InstanceRole.PRIMARY, 1)
        self.assertEqual(list(election.handle_promote_answer(NOW, order.backend, 3, old)), [])
        new = status(order.backend, InstanceRole.PRIMARY, 3)
        (published,) = election.handle_promote_answer(NOW, order.backend, 3, new)
        self.assertIsInstance(published, PublishGroup)
