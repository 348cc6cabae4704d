"""Lease that this entry holds."""

from typing import Final

from bergamotcart.messages import LeaseGrant, QuotaGrant

_MAX_REMEMBERED_REQUESTS: Final = 64
# Control counts as unreachable if requests have been unanswered for this time, and requests that
# need the lease are refused at once. It is longer than the lease and an election.
_CONTROL_LOST_AFTER_S: Final = 2.0
_DEFAULT_RENEWAL_INTERVAL_S: Final = 0.25
# Age of the newest confirmation, in renewals, from which the applied state may be outdated.
_MAX_CONFIRMATION_AGE_RENEWALS: Final = 3
# Renewals without the update that a grant has shown, from which this entry counts as behind.
_MAX_UPDATE_DELAY_RENEWALS: Final = 8


class LeaseHolder:
    """Validity of the lease, which starts at the time at which its request was sent.

    :param drift_margin: greatest share by which this clock may run slower than control's.
    """

    __slots__ = (
        '_unanswered_since',
        '_awaited_index',
        '_confirmed_at',
        '_control_term',
        '_current_index',
        '_drift_margin',
        '_granted_request_at',
        '_outdated_since',
        '_sent_requests',
        '_valid_until',
        'is_state_acknowledged',
        'quotas',
        'renewal_interval_s',
    )

    def __init__(self, drift_margin: float) -> None:
        """Create the holder without a lease."""
        self._drift_margin = drift_margin
        self._valid_until = float('-inf')
        self._control_term = 0
        self._unanswered_since: float | None = None
        self._sent_requests: dict[float, None] = {}
        self._granted_request_at = float('-inf')
        self._current_index = 0
        # Index that this entry lacks, and since when a grant has shown it.
        self._awaited_index = 0
        self._outdated_since: float | None = None
        self._confirmed_at = float('-inf')
        self.renewal_interval_s = _DEFAULT_RENEWAL_INTERVAL_S
        self.is_state_acknowledged = False
        self.quotas: tuple[QuotaGrant, ...] = ()

    @property
    def valid_until(self) -> float:
        """Time at which the lease ends, in seconds."""
        return self._valid_until

    @property
    def control_term(self) -> int:
        """Control term of the newest accepted grant, or 0."""
        return self._control_term

    def is_state_current(self, now: float) -> bool:
        """Tell whether control has lately confirmed that the applied state is current."""
        return self.state_age(now) < self._max_confirmation_age_s

    def is_valid(self, now: float) -> bool:
        """Tell whether the lease is valid and control has acknowledged the applied state once."""
        return now < self._valid_until and self.is_state_acknowledged

    def state_age(self, now: float) -> float:
        """Return the seconds since control confirmed that the applied state was current."""
        return now - self._confirmed_at

    def is_state_behind(self, now: float) -> bool:
        """Tell whether control answers, but its updates have not been applied for too long.

        An entry that control does not answer is cut off instead.
        """
        if self._outdated_since is None:
            return False
        is_late = now - self._outdated_since > self.renewal_interval_s * _MAX_UPDATE_DELAY_RENEWALS
        return is_late and now - self._granted_request_at < self._max_confirmation_age_s

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
        if grant.echo_sent_at >= self._granted_request_at:
            self._granted_request_at = grant.echo_sent_at
            self.renewal_interval_s = grant.renew_after_s
        self._current_index = max(self._current_index, grant.current_index)
        self.confirm_state(applied_index)
        return True

    def confirm_state(self, applied_index: int) -> None:
        """Compare the applied state with the newest index that a grant has shown.

        A delayed update can leave a restarted entry with an old state, so the state is trusted
        only once a grant has shown that it is not behind control.
        """
        if self._control_term == 0:
            return
        if applied_index >= max(self._current_index, 1):
            self.is_state_acknowledged = True
            self._confirmed_at = self._granted_request_at
            self._outdated_since = None
        elif self._outdated_since is None:
            self._await_index()
        elif applied_index >= self._awaited_index:
            # The awaited changes are applied, but control has shown further ones meanwhile.
            self._confirmed_at = max(self._confirmed_at, self._outdated_since)
            self._await_index()

    @property
    def _max_confirmation_age_s(self) -> float:
        return self.renewal_interval_s * _MAX_CONFIRMATION_AGE_RENEWALS

    def _await_index(self) -> None:
        self._awaited_index = self._current_index
        self._outdated_since = self._granted_request_at
