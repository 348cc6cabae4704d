"""Context of one step of the control engine.

It is shared by the systems: the parts of the engine that handle leases, failover, members and the
document.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Decision, Send
from bergamotcart.control._events import ControlAction

if TYPE_CHECKING:
    from bergamotcart import documents
    from bergamotcart.control._configuration import ControlConfiguration
    from bergamotcart.control._local_tables import LocalTables
    from bergamotcart.control._state import ReplicatedState


class Leadership(msgspec.Struct, frozen=True):
    """Whether this member may act as the leader now, and who the leader is.

    :param may_act_as_leader: whether it is the leader, has applied the first record of its own term
        and receives answers from a majority.
    :param leader: name of the leader that this member knows of, if any.
    :param term: term of the replicated log.
    :param reason: why this member may not act as the leader; empty if it may.
    :param leader_address: inter-process address of the leader; empty if it is not known.
    """

    may_act_as_leader: bool
    leader: str | None
    term: int
    reason: str = ''
    leader_address: str = ''


class StepContext(msgspec.Struct):
    """Data that all systems use in one step, and the actions that they add.

    :param now: monotonic time in seconds.
    :param document: the operator document in force.
    :param next_step_at: time in seconds at which the next step is due if no input arrives before.
    """

    now: float
    configuration: ControlConfiguration
    state: ReplicatedState
    local: LocalTables
    document: documents.Document
    leadership: Leadership
    next_step_at: float
    actions: list[ControlAction] = msgspec.field(default_factory=list)

    def send(self, recipient: str, address: str, body: messages.Body) -> None:
        """Add a message to the actions of this step."""
        self.actions.append(Send(recipient, address, body))

    def publish_decision(self, decision: Decision) -> None:
        """Add a decision to the actions of this step, to be logged and counted."""
        self.actions.append(decision)

    def request_step_at(self, time: float) -> None:
        """Request that the next step takes place at this time in seconds, or earlier."""
        self.next_step_at = min(self.next_step_at, time)
