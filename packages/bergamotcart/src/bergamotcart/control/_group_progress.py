"""Progress of a leader in the current phase of a group."""

import enum
from dataclasses import dataclass

from bergamotcart import messages
from bergamotcart.discovery import Position


@enum.unique
class OneTimeDecision(enum.StrEnum):
    """Decisions that are published once in each phase, instead of in each step."""

    paused = 'paused'
    too_few_instances = 'too_few_instances'
    waiting_for_leases = 'waiting_for_leases'
    waiting_for_replica = 'waiting_for_replica'
    no_successor = 'no_successor'
    catch_up_given_up = 'catch_up_given_up'
    writes_covered = 'writes_covered'
    writes_not_covered = 'writes_not_covered'


@dataclass(slots=True)
class GroupProgress:
    """Progress of this leader in the current phase of a group; all times are in seconds.

    :param phase_and_term: phase and term that this progress belongs to.
    :param phase_started_at: time at which this leader began to handle the phase.
    :param proposed_term: in a frozen group, term of the orders to stop following, and of the
        promotion that is proposed.
    :param freeze_completed_at: in a frozen group, time at which no entry could write any more.
    :param catch_up_finished: whether a switchover need not wait for a replica any more.
    :param successor: in a switchover, an instance that is not leaving and has caught up.
    :param stop_started_at: time from which the instances may be ordered to stop following.
    :param required_position: position of a leaving primary, once no entry could write any more.
    :param opened_at: time at which this leader found the group open after another phase, or
        ``None`` if it did not see the change.
    :param earlier_call_until: time until which a call of the authority for an earlier decision may
        take effect, if the authority has not answered a later one.
    :param waiting_for: what the phase waits for, as the status shows it.
    :param published_decisions: decisions that were already published in this phase.
    """

    phase_and_term: tuple[messages.GroupPhase, int]
    phase_started_at: float
    proposed_term: int
    freeze_completed_at: float | None = None
    catch_up_finished: bool = False
    successor: str | None = None
    stop_started_at: float | None = None
    required_position: Position | None = None
    opened_at: float | None = None
    earlier_call_until: float = float('-inf')
    waiting_for: str = ''
    published_decisions: frozenset[OneTimeDecision] = frozenset()

    def mark_published(self, decision: OneTimeDecision) -> bool:
        """Mark a decision as published in this phase.

        :param decision: the decision.
        :returns: whether it had not been marked before.
        """
        if decision in self.published_decisions:
            return False
        self.published_decisions |= {decision}
        return True
