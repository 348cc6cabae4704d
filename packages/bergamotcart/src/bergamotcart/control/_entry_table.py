"""State of the entries that the leader derives from their lease requests."""

import msgspec

from bergamotcart import messages


class EntryKey(msgspec.Struct, frozen=True):
    """Identifies one incarnation of an entry."""

    name: str
    incarnation: str


class Observation(msgspec.Struct, frozen=True):
    """Reachability of a target as an entry observes it.

    :param since: time on the leader's clock since which the entry has observed it, in seconds.
    """

    reachability: messages.Reachability
    since: float


class EntryStatus(msgspec.Struct):
    """Last known state of one entry; times are in seconds.

    :param applied_index: newest state index that the entry has acknowledged.
    :param revision: newest document revision that the entry has acknowledged.
    :param lease_end: time after which no lease granted by this leader can exist.
    :param last_request_at: time at which the newest lease request arrived.
    :param announcements_pulled_at: time at which this leader last asked the entry for its
        announcements.
    :param pushed_index: state index of the newest update sent to the entry.
    :param pushed_at: time at which that update was sent.
    :param newest_sent_at: time on the entry's clock at which it sent its newest request.
        Requests that it sent before do not change the observations any more.
    :param reports_version: version of the reports that the observations come from.
    :param suspect_groups: groups with an instance that the entry cannot reach.
    :param needs_whole_state: whether the entry could not apply an update with changed rows only.
    """

    key: EntryKey
    address: str
    availability_zone: str
    applied_index: int = 0
    revision: int = 0
    draining: bool = False
    lease_end: float = 0
    last_request_at: float = 0
    announcements_pulled_at: float = float('-inf')
    pushed_index: int = 0
    pushed_at: float = float('-inf')
    observations: dict[tuple[str, str], Observation] = msgspec.field(default_factory=dict)
    quota_use: tuple[messages.QuotaUse, ...] = ()
    newest_sent_at: float = float('-inf')
    reports_version: int = 0
    suspect_groups: frozenset[str] = frozenset()
    needs_whole_state: bool = False


class EntryTable:
    """Status of each entry, and the leases that entries may hold.

    :param former_lease_end: time in seconds until which each entry in the roster may hold a
        lease that a former leader granted.
    """

    __slots__ = ('_changed_groups', '_statuses', 'former_lease_end')

    def __init__(self) -> None:
        """Create an empty table."""
        self._statuses: dict[EntryKey, EntryStatus] = {}
        self._changed_groups: set[str] = set()
        self.former_lease_end: float = 0

    @property
    def statuses(self) -> tuple[EntryStatus, ...]:
        """Statuses of all entries."""
        return tuple(self._statuses.values())

    def clear(self, former_lease_end: float) -> None:
        """Remove all statuses when this member becomes the leader."""
        self._statuses.clear()
        self.former_lease_end = former_lease_end

    def find(self, name: str, incarnation: str) -> EntryStatus | None:
        """Return the status of one incarnation, or ``None``."""
        return self._statuses.get(EntryKey(name, incarnation))

    def remove(self, key: EntryKey) -> None:
        """Remove the status of an entry if there is one."""
        self._statuses.pop(key, None)

    def record_request(
        self,
        envelope: messages.Envelope,
        request: messages.LeaseRequest,
        now: float,
    ) -> EntryStatus:
        """Update the status of an entry from its lease request.

        :param envelope: envelope of the request; its sender is the entry.
        :param request: the request.
        :param now: seconds.
        :returns: the status of the entry.
        """
        key = EntryKey(envelope.sender, envelope.incarnation)
        entry_status = self._statuses.get(key)
        if entry_status is None:
            entry_status = EntryStatus(key, request.address, request.availability_zone)
            self._statuses[key] = entry_status
        entry_status.address = request.address
        entry_status.draining = request.draining
        entry_status.last_request_at = now
        entry_status.quota_use = request.quota_use
        entry_status.needs_whole_state = request.needs_whole_state
        if request.sent_at >= entry_status.newest_sent_at:
            entry_status.newest_sent_at = request.sent_at
            self._store_reports(entry_status, request, now)
        raise_applied_index(entry_status, request.applied_index, request.revision)
        return entry_status

    def pop_changed_groups(self) -> set[str]:
        """Return and clear the groups for which an entry sent new reports since the last call."""
        changed = self._changed_groups
        self._changed_groups = set()
        return changed

    def applied_index(self, row: messages.EntryRow) -> int:
        """Return the state index that an entry has acknowledged, or 0."""
        entry_status = self.find(row.name, row.incarnation)
        return entry_status.applied_index if entry_status else 0

    def lease_end(self, row: messages.EntryRow) -> float:
        """Return the time in seconds after which an entry of the roster holds no lease."""
        entry_status = self.find(row.name, row.incarnation)
        granted = entry_status.lease_end if entry_status else 0
        return max(granted, self.former_lease_end)

    def _store_reports(
        self,
        entry_status: EntryStatus,
        request: messages.LeaseRequest,
        now: float,
    ) -> None:
        if request.reports is None:
            return
        self._changed_groups |= entry_status.suspect_groups
        entry_status.reports_version = request.reports_version
        entry_status.observations = {
            (report.group, report.instance): Observation(report.reachability, now - report.for_s)
            for report in request.reports
        }
        entry_status.suspect_groups = frozenset(
            report.group
            for report in request.reports
            if report.reachability is not messages.Reachability.reachable
        )
        self._changed_groups |= entry_status.suspect_groups


def raise_applied_index(entry_status: EntryStatus, applied_index: int, revision: int) -> None:
    """Raise the acknowledged state index; messages that arrive out of order never lower it."""
    if applied_index >= entry_status.applied_index:
        entry_status.applied_index = applied_index
        entry_status.pushed_index = max(entry_status.pushed_index, applied_index)
        entry_status.revision = max(entry_status.revision, revision)
