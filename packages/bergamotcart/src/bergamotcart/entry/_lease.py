"""Lease that this entry holds."""

import math
from typing import Final

from bergamotcart.messages import LeaseGrant, QuotaGrant

_MAX_REMEMBERED_REQUESTS: Final = 64
# Control counts as unreachable if requests have been unanswered for this time, and requests that
# need the lease are refused at once. It is longer than the lease and an election.
_CONTROL_LOST_AFTER_S: Final = 2.0


class LeaseHolder:
    """Validity of the lease, which starts at the time at which its request was sent.

    :param drift_margin: greatest share by which this clock may run slower than control's.
    """

    __slots__ = (
        '_unanswered_since',
        '_control_term',
        '_drift_margin',
        '_sent_requests',
        '_valid_until',
        'is_state_acknowledged',
        'quotas',
        'state_current_at',
    )

    def __init__(self, drift_margin: float) -> None:
        """Create the holder without a lease."""
        self._drift_margin = drift_margin
        self._valid_until = float('-inf')
        self._control_term = 0
        self._unanswered_since: float | None = None
        self._sent_requests: dict[float, None] = {}
        self.is_state_acknowledged = False
        # Time in seconds at which the applied state was last known to be current.
        self.state_current_at: float | None = None
        self.quotas: tuple[QuotaGrant, ...] = ()

    @property
    def valid_until(self) -> float:
        """Time at which the lease ends, in seconds."""
        return self._valid_until

    def is_valid(self, now: float) -> bool:
        """Tell whether the lease is valid and control has acknowledged the applied state once."""
        return now < self._valid_until and self.is_state_acknowledged

    def state_age(self, now: float) -> float:
        """Return the seconds since the applied state was known to be current, or infinity."""
        return math.inf if self.state_current_at is None else now - self.state_current_at

    def is_control_unreachable(self, now: float) -> bool:
        """Tell whether the lease is invalid and requests have been unanswered for too long."""
        if self._unanswered_since is None or self.is_valid(now):
            return False
        return now - self._unanswered_since > _CONTROL_LOST_AFTER_S

    def record_request(self, sent_at: float) -> None:
        """Remember the time of a request, by which grants and refusals are matched to it."""
        self._sent_requests[sent_at] = None
        if self._unanswered_since is None:
            self._unanswered_since = sent_at
        if len(self._sent_requests) > _MAX_REMEMBERED_REQUESTS:
            self._sent_requests.pop(next(iter(self._sent_requests)))

    def is_own_request(self, sent_at: float) -> bool:
        """Tell whether this process has lately sent a request with this time."""
        return sent_at in self._sent_requests

    def accept_grant(self, grant: LeaseGrant, control_term: int, applied_index: int) -> bool:
        """Extend the lease by a grant, unless the grant is outdated or answers no own request.

        :param grant: answer to a request of this process.
        :param control_term: newest control term that this entry knows.
        :param applied_index: index of the control state that this entry has applied.
        :returns: whether the grant was accepted.
        """
        newest_term = max(self._control_term, control_term)
        if not self.is_own_request(grant.echo_sent_at) or grant.control_term < newest_term:
            return False
        self._control_term = grant.control_term
        self._unanswered_since = None
        duration = grant.duration_s * (1 - self._drift_margin)
        valid_until = grant.echo_sent_at + duration
        if valid_until > self._valid_until:
            self._valid_until = valid_until
            self.quotas = grant.quotas
        # A delayed update can leave a restarted entry with an old state, so the state is
        # trusted only once a grant has shown that it is not behind control.
        if applied_index > 0 and grant.current_index <= applied_index:
            self.is_state_acknowledged = True
            self.state_current_at = max(self.state_current_at or 0, grant.echo_sent_at)
        return True
