"""Messages between entries and control members, and the rows that they contain."""

import enum

import msgspec

from bergamotcart.messages._caps import CapLoans, CapReport


@enum.unique
class GroupPhase(enum.StrEnum):
    """Phase of a database group during the replacement of its primary."""

    open = 'open'
    frozen = 'frozen'
    promoting = 'promoting'


@enum.unique
class Reachability(enum.StrEnum):
    """Reachability of a target as an entry observes it.

    ``resetting``: new connections are accepted and closed without an answer. A full target does so,
    and so does a relay in front of a target that has crashed.
    """

    reachable = 'reachable'
    silent = 'silent'
    refusing = 'refusing'
    resetting = 'resetting'


class GroupRow(msgspec.Struct, frozen=True, kw_only=True):
    """Committed state of a database group.

    :param primary: instance that accepts writes; ``None`` before the first placement.
    :param branch_points: (log term, highest position kept of that term) for each ended term.
    :param modified_index: log index of the last change of this row.
    :param decided_by: control member that chose the primary, if an authority promotes it.
    :param decided_in: control term in which that member chose it.
    :param promotion_unsettled: whether a call that asked the authority to promote this primary may
        still take effect.
    :param served_by: primary with which the group was last open; empty before the first placement.
    """

    name: str
    term: int
    phase: GroupPhase
    primary: str | None
    branch_points: tuple[tuple[int, int], ...] = ()
    read_only: bool = False
    modified_index: int = 0
    decided_by: str = ''
    decided_in: int = 0
    promotion_unsettled: bool = False
    served_by: str = ''


class SectionRow(msgspec.Struct, frozen=True, kw_only=True):
    """Committed section of the operator document; ``body`` is its YAML text."""

    name: str
    kind: str
    version: int
    body: str
    modified_index: int = 0


class EntryRow(msgspec.Struct, frozen=True, kw_only=True):
    """An entry in the roster, the list of registered entries.

    :param address: inter-process address.
    """

    name: str
    incarnation: str
    availability_zone: str
    address: str
    modified_index: int = 0


class ControlMemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """A control member, as reported to the entries."""

    name: str
    incarnation: str
    availability_zone: str
    address: str
    voter: bool
    modified_index: int = 0


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """Reachability of one target as an entry observes it.

    :param for_s: seconds for which the reachability has not changed.
    """

    group: str
    instance: str
    reachability: Reachability
    for_s: float


class QuotaUse(msgspec.Struct, frozen=True, kw_only=True):
    """Connections to one target that an entry uses beyond its base quota, and its demand."""

    group: str
    instance: str
    lent_in_use: int
    demand: int


class QuotaGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Connections to one target lent beyond the base quota until the lease ends."""

    group: str
    instance: str
    lent: int


class ZoneFigures(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Reads of one entry at the instances of one availability zone, since its last report.

    :param reads: reads that these instances have answered.
    :param wait_s: mean time from the choice of the instance to its answer, in seconds.
    :param waiting: reads that wait for a free slot.
    :param fastest_s: shortest time in which they answered a statement lately, in seconds, or
        ``None`` without an answer.
    """

    zone: str
    reads: int = 0
    wait_s: float = 0.0
    waiting: int = 0
    fastest_s: float | None = None


class GrantedZoneShare(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Share of the reads of an availability zone that another zone serves.

    :param destination: zone that receives them; empty if all stay.
    :param share: from 0 to 1.
    """

    destination: str = ''
    share: float = 0.0


class ZoneReport(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Figures of one entry for the decision on the shares of reads that leave their zone.

    :param window_s: time that the figures cover, in seconds.
    :param arrived: reads of callers, wherever they were sent.
    :param applied: share that the entry was granted last, for a new leader.
    :param zones: figures of each zone with an instance that the entry can reach.
    """

    window_s: float
    arrived: int = 0
    applied: GrantedZoneShare = GrantedZoneShare()
    zones: tuple[ZoneFigures, ...] = ()


class LeaseRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks control to renew an entry's lease.

    :param sent_at: clock of the entry, in seconds; the lease starts at this time.
    :param applied_index: index of the control state that the entry has applied.
    :param revision: revision of the operator document in force at the entry.
    :param reports: reachability of all targets, or ``None`` if control has this version.
    :param reports_version: version of the reports; the entry raises it with each change.
    :param needs_whole_state: whether the entry could not apply an update with changed rows only.
    :param caps: use of credits; only sent where the document caps workspaces.
    :param zone_report: figures of reads by zone, if the last grant contained a share; left out of
        the encoded message otherwise.
    """

    sent_at: float
    address: str
    availability_zone: str
    applied_index: int
    revision: int
    draining: bool = False
    reports: tuple[TargetReport, ...] | None = ()
    reports_version: int = 0
    quota_use: tuple[QuotaUse, ...] = ()
    needs_whole_state: bool = False
    caps: CapReport | msgspec.UnsetType = msgspec.UNSET
    zone_report: ZoneReport | msgspec.UnsetType = msgspec.UNSET


class PrimaryPosition(msgspec.Struct, frozen=True, kw_only=True):
    """Newest log position of a primary, as that instance reported it to the control leader.

    :param age_s: seconds between the leader's request to the instance and this message.
    :param open_connections: client connections that the instance had open then, those of all entries
        together, or ``None`` if it does not report them.
    """

    group: str
    log_term: int
    position: int
    age_s: float
    open_connections: int | None = None


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Grants a lease that starts at ``echo_sent_at`` on the clock of the entry.

    :param duration_s: length of the lease, in seconds.
    :param renew_after_s: seconds between renewals.
    :param current_index: index of the newest committed control state, changes of the roster left out.
    :param reports_version: version of the entry's reports that the leader holds.
    :param heads: newest log positions of the primaries whose answers contain positions.
    :param suspects: groups whose primary the control leader or some entry cannot reach; the entry
        should probe it itself.
    :param caps: credits lent; only sent to an entry that has reported its use of them.
    :param zone_share: share of the entry's reads that leave its zone, if a price of traffic
        between zones is stated; left out of the encoded message otherwise.
    """

    echo_sent_at: float
    duration_s: float
    renew_after_s: float
    control_term: int
    current_index: int
    quotas: tuple[QuotaGrant, ...] = ()
    reports_version: int = 0
    heads: tuple[PrimaryPosition, ...] = ()
    suspects: tuple[str, ...] = ()
    caps: CapLoans | msgspec.UnsetType = msgspec.UNSET
    zone_share: GrantedZoneShare | msgspec.UnsetType = msgspec.UNSET


class LeaseRefusal(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Refuses a lease because this member cannot grant leases.

    :param leader: name of the leader that this member knows, if any.
    :param leader_address: inter-process address of the leader, empty if unknown; an entry that
        has just started knows only the members in its settings.
    """

    echo_sent_at: float
    leader: str | None
    leader_address: str = ''


class StateUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Rows of the control state that changed after ``from_index``.

    :param from_index: 0 if the update contains all rows and replaces the state.
    :param to_index: index of the state after the update.
    :param revision: log index of the last change of the operator document.
    :param removed_sections: names of sections removed after ``from_index``.
    """

    control_term: int
    from_index: int
    to_index: int
    revision: int
    entries_limit: int
    groups: tuple[GroupRow, ...] = ()
    sections: tuple[SectionRow, ...] = ()
    removed_sections: tuple[str, ...] = ()
    entries: tuple[EntryRow, ...] = ()
    removed_entries: tuple[str, ...] = ()
    members: tuple[ControlMemberRow, ...] = ()


class StateAck(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Reports that the entry has applied the state up to an index; acknowledges a freeze."""

    applied_index: int
    revision: int
