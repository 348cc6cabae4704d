"""Entries as the leader knows them from their lease requests."""

from dataclasses import dataclass, field

from bergamotcart import messages


@dataclass(frozen=True, slots=True)
class EntryKey:
    """Names one start of an entry."""

    name: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Observation:
    """What an entry observes of a target, and since when on the leader's clock."""

    reachability: messages.Reachability
    since: float


@dataclass(slots=True)
class EntryContact:
    """Last known state of one entry.

    :param lease_until: time from which no lease granted by this leader can exist.
    :param heard_at: time of the newest lease request.
    :param pulled_at: time of the newest pull of its sightings.
    :param pushed_index: index of the newest state update sent to it.
    :param asked_at: entry's clock at its newest request, which orders its requests.
    :param reports_version: version of the reports that the observations come from.
    :param suspects: groups of which the entry cannot reach some instance.
    """

    key: EntryKey
    address: str
    availability_zone: str
    applied_index: int = 0
    revision: int = 0
    draining: bool = False
    lease_until: float = 0
    heard_at: float = 0
    pulled_at: float = float('-inf')
    pushed_index: int = 0
    observations: dict[tuple[str, str], Observation] = field(default_factory=dict)
    quota_use: tuple[messages.QuotaUse, ...] = ()
    asked_at: float = float('-inf')
    reports_version: int = 0
    suspects: frozenset[str] = frozenset()


class EntryTable:
    """Contacts by entry, and the leases that they may hold.

    :param assumed_until: time until which each entry in the roster may hold a lease that
        a former leader granted.
    """

    __slots__ = ('_changed', '_rows', 'assumed_until')

    def __init__(self) -> None:
        """Start without any contact."""
        self._rows: dict[EntryKey, EntryContact] = {}
        self._changed: set[str] = set()
        self.assumed_until: float = 0

    @property
    def contacts(self) -> tuple[EntryContact, ...]:
        """All contacts."""
        return tuple(self._rows.values())

    def clear(self, assumed_until: float) -> None:
        """Forget all contacts at the start of a leadership."""
        self._rows.clear()
        self.assumed_until = assumed_until

    def find(self, name: str, incarnation: str) -> EntryContact | None:
        """Return the contact of one incarnation."""
        return self._rows.get(EntryKey(name, incarnation))

    def remove(self, key: EntryKey) -> None:
        """Forget an entry."""
        self._rows.pop(key, None)

    def note_request(
        self,
        envelope: messages.Envelope,
        request: messages.LeaseRequest,
        now: float,
    ) -> EntryContact:
        """Store what a lease request reports.

        :param envelope: names the sender.
        :param request: the request.
        :param now: seconds.
        :returns: the contact.
        """
        key = EntryKey(envelope.sender, envelope.incarnation)
        contact = self._rows.get(key)
        if contact is None:
            contact = EntryContact(key, request.address, request.availability_zone)
            self._rows[key] = contact
        contact.address = request.address
        contact.draining = request.draining
        contact.heard_at = now
        contact.quota_use = request.quota_use
        if request.sent_at >= contact.asked_at:
            contact.asked_at = request.sent_at
            self._observe(contact, request, now)
        note_applied(contact, request.applied_index, request.revision)
        return contact

    def take_changed(self) -> set[str]:
        """Return and forget the groups of which an entry reported something new."""
        changed = self._changed
        self._changed = set()
        return changed

    def applied_index(self, row: messages.EntryRow) -> int:
        """Return the index that an entry has confirmed, or 0."""
        contact = self.find(row.name, row.incarnation)
        return contact.applied_index if contact else 0

    def lease_until(self, row: messages.EntryRow) -> float:
        """Return the time from which an entry of the roster certainly holds no lease."""
        contact = self.find(row.name, row.incarnation)
        granted = contact.lease_until if contact else 0
        return max(granted, self.assumed_until)

    def _observe(
        self,
        contact: EntryContact,
        request: messages.LeaseRequest,
        now: float,
    ) -> None:
        if request.reports is None:
            return
        self._changed |= contact.suspects
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
        self._changed |= contact.suspects


def note_applied(contact: EntryContact, applied_index: int, revision: int) -> None:
    """Raise the confirmed index; late messages never lower it."""
    if applied_index >= contact.applied_index:
        contact.applied_index = applied_index
        contact.pushed_index = max(contact.pushed_index, applied_index)
        contact.revision = max(contact.revision, revision)
