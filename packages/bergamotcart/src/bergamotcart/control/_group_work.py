"""Progress of a leader's work on one group."""

import enum
from dataclasses import dataclass

from bergamotcart import messages
from bergamotcart.discovery import Position


@enum.unique
class Note(enum.StrEnum):
    """Decisions that are published once for each phase, not once for each tick."""

    paused = 'paused'
    too_few_instances = 'too_few_instances'
    waiting_for_leases = 'waiting_for_leases'
    waiting_for_replica = 'waiting_for_replica'
    no_successor = 'no_successor'
    catch_up_given_up = 'catch_up_given_up'


@dataclass(slots=True)
class GroupWork:
    """What this leader has done for a group in its present phase.

    :param phase: phase and term that this work belongs to.
    :param since: time at which this leader began with the phase.
    :param attempt_term: term of the orders that stop following, in a frozen group.
    :param frozen_complete_at: time at which no entry could write any more, in a frozen group.
    :param caught_up: a planned replacement need not wait for a replica any more.
    :param floor: position of a leaving primary once no entry could write any more.
    :param opened_at: time at which this leader saw the group open after a change.
    :param waiting_for: what the phase waits for, as the status shows it.
    """

    phase: tuple[messages.GroupPhase, int]
    since: float
    attempt_term: int
    frozen_complete_at: float | None = None
    caught_up: bool = False
    floor: Position | None = None
    opened_at: float | None = None
    waiting_for: str = ''
    notes: frozenset[Note] = frozenset()

    def note_once(self, note: Note) -> bool:
        """Return true the first time that a note is made in this phase."""
        if note in self.notes:
            return False
        self.notes |= {note}
        return True
