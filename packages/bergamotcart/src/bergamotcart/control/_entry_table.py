"""State of the entries that the leader derives from their lease requests."""

from dataclasses import dataclass, field

from bergamotcart import messages


@dataclass(frozen=True, slots=True)
class EntryKey:
    """Identifies one incarnation of an entry."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Observation:
    """Reachability of a target as an entry observes it.

    :param since: time on the leader's clock since which the entry has observed it, in seconds.
    """

    reachability: messages.Reachability
    since: float


@dataclass(slots=True)
class EntryContact:
    """Last known state of one entry; times are in seconds.

    :param applied_index: newest state index that the entry has confirmed.
    :param revision: newest document revision that the entry has confirmed.
    :param lease_until: time after which no lease granted by this leader can exist.
    :param last_request_at: time at which the newest lease request arrived.
    :param pulled_at: time at which this leader last asked the entry for its sightings.
    :param pushed_index: state index of the newest update sent to the entry.
    :param newest_sent_at: time on the entry's clock at which it sent its newest request.
        Requests that it sent before do not change the observations any more.
    :param reports_version: version of the reports that the observations come from.
    :param suspects: groups with an instance that the entry cannot reach.
    """

    key: EntryKey
    address: str
    availability_zone: str
    applied_index: int = 0
    revision: int = 0
    draining: bool = False
    lease_until: float = 0
    last_request_at: float = 0
    pulled_at: float = float('-inf')
    pushed_index: int = 0
    observations: dict[tuple[str, str], Observation] = field(default_factory=dict)
    quota_use: tuple[messages.QuotaUse, ...] = ()
    newest_sent_at: float = float('-inf')
    reports_version: int = 0
    suspects: frozenset[str] = frozenset()


class EntryTable:
    """Contacts by entry, and the leases that they may hold.

    :param former_lease_end: time in seconds until which each entry in the roster may hold a
        lease that a former leader granted.
    """

    __slots__ = ('_changed_groups', '_contacts', 'former_lease_end')

    def __init__(self) -> None:
        """Create an empty table."""
        self._contacts: dict[EntryKey, EntryContact] = {}
        self._changed_groups: set[str] = set()
        self.former_lease_end: float = 0

    @property
    def contacts(self) -> tuple[EntryContact, ...]:
        """Contacts of all entries."""
        return tuple(self._contacts.values())

    def clear(self, former_lease_end: float) -> None:
        """Remove all contacts when this member becomes the leader."""
        self._contacts.clear()
        self.former_lease_end = former_lease_end

    def find(self, name: str, incarnation: str) -> EntryContact | None:
        """Return the contact of one incarnation, or ``None``."""
        return self._contacts.get(EntryKey(name, incarnation))

    def remove(self, key: EntryKey) -> None:
        """Remove the contact of an entry if there is one."""
        self._contacts.pop(key, None)

    def record_request(
        self,
        envelope: messages.Envelope,
        request: messages.LeaseRequest,
        now: float,
    ) -> EntryContact:
        """Update the contact of an entry from its lease request.

        :param envelope: envelope of the request; its sender is the entry.
        :param request: the request.
        :param now: seconds.
        :returns: the contact of the entry.
        """
        key = EntryKey(envelope.sender, envelope.incarnation)
        contact = self._contacts.get(key)
        if contact is None:
            contact = EntryContact(key, request.address, request.availability_zone)
            self._contacts[key] = contact
        contact.address = request.address
        contact.draining = request.draining
        contact.last_request_at = now
        contact.quota_use = request.quota_use
        if request.sent_at >= contact.newest_sent_at:
            contact.newest_sent_at = request.sent_at
            self._store_reports(contact, request, now)
        raise_applied_index(contact, request.applied_index, request.revision)
        return contact

    def pop_changed_groups(self) -> set[str]:
        """Return and clear the groups for which an entry sent new reports since the last call."""
        changed = self._changed_groups
        self._changed_groups = set()
        return changed

    def applied_index(self, row: messages.EntryRow) -> int:
        """Return the state index that an entry has confirmed, or 0."""
        contact = self.find(row.name, row.incarnation)
        return contact.applied_index if contact else 0

    def lease_until(self, row: messages.EntryRow) -> float:
        """Return the time in seconds after which an entry of the roster holds no lease."""
        contact = self.find(row.name, row.incarnation)
        granted = contact.lease_until if contact else 0
        return max(granted, self.former_lease_end)

    def _store_reports(
        self,
        contact: EntryContact,
        request: messages.LeaseRequest,
        now: float,
    ) -> None:
        if request.reports is None:
            return
        self._changed_groups |= contact.suspects
        contact.reports_version = request.reports_version
        contact.observations = {
            (report.group, report.instance): Observation(report.reachability, now - report.for_s)
            for report in request.reports
        }
        contact.suspects = frozenset(
            report.group
            for report in request.reports
            if report.reachability is not messages.Reachability.reachable
        )
        self._changed_groups |= contact.suspects


def raise_applied_index(contact: EntryContact, applied_index: int, revision: int) -> None:
    """Raise the confirmed state index; messages that arrive out of order never lower it."""
    if applied_index >= contact.applied_index:
        contact.applied_index = applied_index
        contact.pushed_index = max(contact.pushed_index, applied_index)
        contact.revision = max(contact.revision, revision)
