"""Messages between entries and control members, and the rows that they carry."""

import enum

import msgspec


@enum.unique
class GroupPhase(enum.StrEnum):
    """Phase of a group in the replacement of its primary."""

    open = 'open'
    frozen = 'frozen'
    promoting = 'promoting'


@enum.unique
class Reachability(enum.StrEnum):
    """What an entry observes of a target."""

    reachable = 'reachable'
    silent = 'silent'
    refusing = 'refusing'


class GroupRow(msgspec.Struct, frozen=True, kw_only=True):
    """Committed state of a database group.

    :param primary: instance that takes writes; ``None`` before the first placement.
    :param branch_points: (log term, highest position kept of that term) for each ended term.
    :param modified_index: log index of the last change of this row.
    :param decided_by: control member that decided on the primary, if an authority promotes it.
    :param decided_in: control term in which it decided.
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


class SectionRow(msgspec.Struct, frozen=True, kw_only=True):
    """Committed section of the operator document; ``body`` is its YAML text."""

    name: str
    kind: str
    version: int
    body: str
    modified_index: int = 0


class EntryRow(msgspec.Struct, frozen=True, kw_only=True):
    """An entry in the roster.

    :param address: inter-process address.
    """

    name: str
    incarnation: str
    availability_zone: str
    address: str
    modified_index: int = 0


class ControlMemberRow(msgspec.Struct, frozen=True, kw_only=True):
    """A control member as the entries know it."""

    name: str
    incarnation: str
    availability_zone: str
    address: str
    voter: bool
    modified_index: int = 0


class TargetReport(msgspec.Struct, frozen=True, kw_only=True):
    """Reachability of one target as an entry observes it.

    :param for_s: seconds for which this observation has held without a break.
    """

    group: str
    instance: str
    reachability: Reachability
    for_s: float


class QuotaUse(msgspec.Struct, frozen=True, kw_only=True):
    """Connections to one target that an entry holds beyond its base quota, and those it could use."""

    group: str
    instance: str
    lent_in_use: int
    demand: int


class QuotaGrant(msgspec.Struct, frozen=True, kw_only=True):
    """Connections to one target lent beyond the base quota until the lease ends."""

    group: str
    instance: str
    lent: int


class LeaseRequest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Asks control to renew an entry's lease.

    :param sent_at: clock of the entry, in seconds; the holder counts its lease from here.
    :param applied_index: index of the control state that the entry has applied.
    :param revision: revision of the operator document in force at the entry.
    :param reports: reachability of all targets, or ``None`` if control holds this version.
    :param reports_version: raised by the entry with each change of its reports.
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


class PrimaryHead(msgspec.Struct, frozen=True, kw_only=True):
    """Head of a primary as the leader of control was told by that instance itself.

    :param age_s: seconds since the leader asked for it, when the message was made.
    """

    group: str
    log_term: int
    position: int
    age_s: float


class LeaseGrant(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Grants a lease that the holder counts from ``echo_sent_at``.

    :param duration_s: length of the lease, in seconds.
    :param renew_after_s: seconds between renewals.
    :param current_index: index of the newest committed control state.
    :param reports_version: version of the entry's reports that the leader holds.
    :param heads: heads of primaries whose answers carry positions.
    :param suspects: groups whose primary someone cannot reach; the holder is to look for itself.
    """

    echo_sent_at: float
    duration_s: float
    renew_after_s: float
    control_term: int
    current_index: int
    quotas: tuple[QuotaGrant, ...] = ()
    reports_version: int = 0
    heads: tuple[PrimaryHead, ...] = ()
    suspects: tuple[str, ...] = ()


class LeaseRefusal(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The member cannot grant leases; ``leader`` is the leader it knows, if any.

    :param leader_address: its inter-process address, since a started entry knows only the members
        in its settings; empty if it is not known.
    """

    echo_sent_at: float
    leader: str | None
    leader_address: str = ''


class StateUpdate(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Rows of the control state that changed after ``from_index``.

    :param from_index: 0 means that the update carries all rows and replaces the state.
    :param to_index: index that the state has after the update.
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
    """The entry has applied the state up to ``applied_index``; this acknowledges a freeze."""

    applied_index: int
    revision: int
