"""Choice of the successor of a primary, and of the term above which it must lead.

A server that was primary, failed and came back may call itself primary in its old term although
another one led since. Its role alone therefore proves nothing; its term must be new.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from hickorywind.ids import BackendId, InstanceRole, LogPosition, Term
from hickorywind.ports.replies import ServerStatus

_EMPTY_LOG = LogPosition(Term(0), 0)


@dataclass(frozen=True, slots=True)
class Candidate:
    """Backend server that could become primary, with its status.

    ``distance`` is to this host. A server that ``is_leaving`` ends soon, by plan.
    """

    backend: BackendId
    status: ServerStatus
    distance: float
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class ReplicaSurvey:
    """Replicas of a service that gave their status, and those that did not."""

    candidates: tuple[Candidate, ...]
    unanswered: tuple[BackendId, ...]

    def covers_acknowledged(self, sync_replicas: int) -> bool:
        """Return whether some candidate holds each commit that ``sync_replicas`` have received.

        With asynchronous replication nothing proves that, so that there is nothing to wait for.
        """
        return sync_replicas == 0 or len(self.unanswered) < sync_replicas


@dataclass(frozen=True, slots=True)
class KnownTerms:
    """Terms known of a service whose primary is to be replaced.

    Hosts may have used a primary in terms up to ``used``, which is 0 if that is unknown. ``newest``
    is the highest term that a record, a status or a log position of the service has shown.
    """

    used: Term
    newest: Term

    def is_new_leader(self, status: ServerStatus) -> bool:
        """Return whether a server leads in the newest term, which no host has used.

        Its promotion took effect late. Each term has one leader, so this one is the present one.
        """
        is_newest = status.term == self.newest > self.used > 0
        return status.role is InstanceRole.PRIMARY and is_newest

    def claims_old_lead(self, status: ServerStatus) -> bool:
        """Return whether a server calls itself primary in a term that does not prove it."""
        return status.role is InstanceRole.PRIMARY and not self.is_new_leader(status)

    def ended_term(self, successor: ServerStatus) -> Term:
        """Return the term above which a successor with a given status must lead."""
        return Term(self.newest - 1) if self.is_new_leader(successor) else self.newest

    def choose_successor(
        self,
        candidates: Iterable[Candidate],
        passed_over: BackendId | None = None,
        acknowledged: LogPosition | None = None,
        preferred: BackendId | None = None,
    ) -> Candidate | None:
        """Return the candidate with the most advanced log, or None without candidates.

        A new leader comes first. A leaving server comes after one that stays, unless that one lacks
        more commits up to ``acknowledged``; of equal ones ``preferred`` comes first, else the one
        that has applied most, as a promoted server is used only then. A server that
        claims an old lead comes after equally advanced replicas, as the platform does not give a
        new term to a server that it takes for primary; it comes last if a newer term is known, or
        if it is ``passed_over`` for having stayed in its old term when it was to be promoted.
        """

        def preference(candidate: Candidate) -> tuple:
            status = candidate.status
            claims_old_lead = self.claims_old_lead(status)
            is_last = status.term < self.newest or candidate.backend == passed_over
            position = status.received_position
            return (
                self.is_new_leader(status),
                not (claims_old_lead and is_last),
                _EMPTY_LOG if acknowledged is None else min(position, acknowledged),
                candidate.backend == preferred,
                not candidate.is_leaving,
                position,
                not claims_old_lead,
                status.applied_position or position,
                -candidate.distance,
                candidate.backend,
            )

        return max(candidates, key=preference, default=None)
