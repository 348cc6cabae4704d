"""What all systems of the entry engine share during a step."""

import random
from collections.abc import Callable

from bergamotcart import messages
from bergamotcart.actions import Decision, Send
from bergamotcart.admission import CallerLimits
from bergamotcart.discovery import TargetTable
from bergamotcart.entry._actions import EntryAction
from bergamotcart.entry._config import EntryConfig
from bergamotcart.entry._control_view import ControlView
from bergamotcart.entry._groups import Groups
from bergamotcart.entry._lease import LeaseHolder
from bergamotcart.entry._timers import Timer, Timers


class Workspace:
    """Clock, timers, actions and the tables that several systems read."""

    __slots__ = (
        'actions',
        'callers',
        'config',
        'contacts',
        'draining',
        'groups',
        'lease',
        'now',
        'random',
        'refuses_new',
        'table',
        'timers',
        'view',
    )

    def __init__(self, config: EntryConfig) -> None:
        """Start with empty tables."""
        self.config = config
        self.now = 0.0
        self.contacts = config.control_members
        self.draining = False
        self.refuses_new = False
        self.actions: list[EntryAction] = []
        self.timers = Timers()
        self.random = random.Random(config.seed)
        self.groups = Groups()
        self.callers = CallerLimits()
        self.view = ControlView()
        self.lease = LeaseHolder(config.drift_margin)
        self.table = TargetTable(config.target_expiry_s)

    @property
    def lease_valid(self) -> bool:
        """Whether this entry may work with primaries now."""
        return self.lease.is_valid(self.now)

    def after(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Run a callback after a delay in seconds."""
        return self.timers.schedule(self.now + delay_s, callback)

    def send(self, recipient: str, address: str, body: messages.Body) -> None:
        """Send a message to a process."""
        self.actions.append(Send(recipient, address, body))

    def decide(self, system: str, action: str, reason: str, **fields: object) -> None:
        """Report a decision."""
        self.actions.append(Decision(system=system, action=action, reason=reason, **fields))
