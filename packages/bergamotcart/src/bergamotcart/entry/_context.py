"""Context that the components of the entry engine share."""

import random
from collections.abc import Callable
from typing import Final

from bergamotcart import messages
from bergamotcart.actions import Decision, Send
from bergamotcart.admission import CallerLimits
from bergamotcart.discovery import TargetTable
from bergamotcart.entry._actions import EntryAction
from bergamotcart.entry._configuration import EntryConfiguration
from bergamotcart.entry._control_view import ControlView
from bergamotcart.entry._group_state import GroupTable
from bergamotcart.entry._lease import LeaseHolder
from bergamotcart.entry._lease_watch import LeaseWatch
from bergamotcart.entry._sessions import Session
from bergamotcart.entry._timers import Timer, Timers
from bergamotcart.entry._zone_reads import ZoneReads
from bergamotcart.outcomes import NotRun, Reason
from bergamotcart.workspaces import CreditHolder

_CONTROL_RETRY_AFTER_S: Final = 1.0
# Reports of use begin at a random number, so that answers to a former incarnation are ignored.
_FIRST_REPORT_RANGE: Final = 1 << 32


class EngineContext:
    """Clock, timers, pending actions and tables that several components use.

    :param now: time of the current step, in seconds.
    :param actions: actions of the current step, in the order in which they must be done.
    :param draining: whether the process is shutting down.
    :param refuses_new_requests: whether the notice period of the shutdown is over.
    :param contact_points: name and inter-process address of each control member in the settings.
    """

    __slots__ = (
        'actions',
        'caller_limits',
        'configuration',
        'contact_points',
        'draining',
        'groups',
        'lease',
        'lease_watch',
        'now',
        'random',
        'refuses_new_requests',
        'targets',
        'timers',
        'control_view',
        'credits',
        'zone_reads',
    )

    def __init__(self, configuration: EntryConfiguration) -> None:
        """Create a context with empty tables."""
        self.configuration = configuration
        self.now = 0.0
        self.contact_points = configuration.control_members
        self.draining = False
        self.refuses_new_requests = False
        self.actions: list[EntryAction] = []
        self.timers = Timers()
        self.random = random.Random(configuration.seed)
        self.groups = GroupTable()
        self.caller_limits = CallerLimits()
        self.control_view = ControlView()
        self.lease = LeaseHolder(configuration.drift_margin)
        self.lease_watch = LeaseWatch()
        self.targets = TargetTable(configuration.target_expiry_s)
        first_number = self.random.randrange(1, _FIRST_REPORT_RANGE)
        self.credits = CreditHolder(configuration.drift_margin, first_number)
        self.zone_reads = ZoneReads(configuration.availability_zone, self.targets, self.random)

    @property
    def lease_valid(self) -> bool:
        """Whether this entry holds a valid lease, which it needs to use primaries."""
        return self.lease.is_valid(self.now)

    @property
    def state_age_s(self) -> float:
        """Seconds since control confirmed that the applied state was current; infinite before."""
        return self.lease.state_age(self.now)

    def find_state_refusal(self) -> NotRun | None:
        """Return the refusal of all new work while the applied state must not be used."""
        if not self.lease.is_state_acknowledged:
            return NotRun(Reason.not_configured, retry_after=_CONTROL_RETRY_AFTER_S)
        if self.lease.is_state_behind(self.now):
            return NotRun(
                Reason.configuration_unconfirmed,
                'the state of this entry is behind',
                retry_after=_CONTROL_RETRY_AFTER_S,
            )
        return None

    def refuse_unknown_name(self, name: str) -> NotRun:
        """Return the refusal of a name that the applied configuration does not have.

        Without a recent confirmation that this configuration is current, the name may have been
        added, so the caller should try again.
        """
        return self._refuse_unknown(Reason.unknown_group, name)

    def find_key_refusal(self, session: Session) -> NotRun | None:
        """Return the refusal of a session whose key no workspace holds, or ``None`` for others.

        As for an unknown name, the key may have been added.
        """
        if not session.is_unauthenticated:
            return None
        return self._refuse_unknown(Reason.unauthenticated, 'unknown key')

    def call_later(self, delay_s: float, callback: Callable[[], None]) -> Timer:
        """Schedule a callback after a delay in seconds."""
        return self.timers.schedule(self.now + delay_s, callback)

    def send(self, recipient: str, address: str, body: messages.Body) -> None:
        """Add an action that sends a message to a process."""
        self.actions.append(Send(recipient, address, body))

    def publish_decision(self, system: str, action: str, reason: str, **fields: object) -> None:
        """Add a decision for the log and the metrics."""
        self.actions.append(Decision(system=system, action=action, reason=reason, **fields))

    def _refuse_unknown(self, reason: Reason, detail: str) -> NotRun:
        if self.lease.is_state_current(self.now):
            return NotRun(reason, detail)
        retry_after = self.lease.renewal_interval_s
        if self.lease.is_control_unreachable(self.now):
            retry_after = _CONTROL_RETRY_AFTER_S
        return NotRun(Reason.configuration_unconfirmed, detail, retry_after=retry_after)
