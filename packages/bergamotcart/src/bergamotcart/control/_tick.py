"""What the systems of the control engine share during one tick."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from bergamotcart import messages
from bergamotcart.actions import Decision, Send
from bergamotcart.control._events import ControlAction

if TYPE_CHECKING:
    from bergamotcart import documents
    from bergamotcart.control._config import ControlConfig
    from bergamotcart.control._local import LocalTables
    from bergamotcart.control._state import ReplicatedState


@dataclass(frozen=True, slots=True)
class Authority:
    """What this member may do now.

    :param leads: it leads, has applied its own first record and a majority answers it.
    :param reason: why it does not lead; empty if it does.
    :param leader_address: inter-process address of the leader; empty if it is not known.
    """

    leads: bool
    leader: str | None
    term: int
    reason: str = ''
    leader_address: str = ''


@dataclass(slots=True)
class Tick:
    """One run of the systems over the tables.

    :param now: seconds.
    :param document: the operator document in force.
    :param next_due: time of the next tick without any input.
    """

    now: float
    config: ControlConfig
    state: ReplicatedState
    local: LocalTables
    document: documents.Document
    authority: Authority
    next_due: float
    actions: list[ControlAction] = field(default_factory=list)

    def send(self, recipient: str, address: str, body: messages.Body) -> None:
        """Send a message."""
        self.actions.append(Send(recipient, address, body))

    def decide(self, decision: Decision) -> None:
        """Publish a decision."""
        self.actions.append(decision)

    def wake_at(self, time: float) -> None:
        """Ask for a tick at a time, in seconds."""
        self.next_due = min(self.next_due, time)
