"""Tables of the leader that are not replicated; a new leader builds its own."""

from dataclasses import dataclass, field

from bergamotcart.admission import TargetLender
from bergamotcart.control._entry_table import EntryTable
from bergamotcart.control._group_progress import GroupProgress
from bergamotcart.control._known_instances import InstanceTable
from bergamotcart.control._orders import OrderTable
from bergamotcart.control._proposals import Proposals
from bergamotcart.control._roster_changes import RosterChanges
from bergamotcart.control._zone_traffic import ZoneTraffic
from bergamotcart.workspaces import CapLender


@dataclass(slots=True)
class LocalTables:
    """Tables of one member that are not replicated; times are in seconds.

    :param lenders: lender of the connections of each target, by group and instance.
    :param group_progress: progress of this leader in the current phase of each group.
    :param checked_at: time at which each group was last checked.
    :param suspect_groups: groups with an instance that some entry cannot reach, in this step.
    :param suspected_primaries: groups whose primary this leader or some entry cannot reach.
    :param replicated_instances_loaded: whether the replicated instances have been loaded.
    :param leader_since: time at which this member became the leader.
    :param pushed_index: state index that was last pushed to all known entries.
    :param last_cleanup_at: time at which old rows were last removed.
    :param members_pulled_at: time of the newest pull from the other members.
    :param members_heard_at: send time of the newest answered pull, by member.
    :param positions_polled_at: time at which the primaries were last asked for their positions.
    :param cap_lender: lender of the credits of capped workspaces, once the document has any.
    :param caps_revision: revision of the document whose caps it uses.
    :param former_term: term of the last record before those of the newest term.
    :param zone_traffic: shares of reads that leave their availability zone.
    """

    proposals: Proposals
    entries: EntryTable = field(default_factory=EntryTable)
    instances: InstanceTable = field(default_factory=InstanceTable)
    orders: OrderTable = field(default_factory=OrderTable)
    roster_changes: RosterChanges = field(default_factory=RosterChanges)
    lenders: dict[tuple[str, str], TargetLender] = field(default_factory=dict)
    group_progress: dict[str, GroupProgress] = field(default_factory=dict)
    checked_at: dict[str, float] = field(default_factory=dict)
    suspect_groups: frozenset[str] = frozenset()
    suspected_primary_groups: frozenset[str] = frozenset()
    replicated_instances_loaded: bool = False
    leader_since: float = 0
    pushed_index: int = 0
    last_cleanup_at: float = 0
    members_pulled_at: float = 0
    members_heard_at: dict[str, float] = field(default_factory=dict)
    positions_polled_at: float = 0
    cap_lender: CapLender | None = None
    caps_revision: int = 0
    former_term: int = 0
    zone_traffic: ZoneTraffic = field(default_factory=ZoneTraffic)

    def reset_for_leadership(self, now: float, former_lease_end: float) -> None:
        """Reset the tables when this member becomes the leader.

        :param now: monotonic time in seconds.
        :param former_lease_end: time in seconds until which entries may hold leases that a
            former leader granted.
        """
        self.proposals.clear()
        self.entries.clear(former_lease_end)
        self.instances.clear()
        self.orders.clear()
        self.roster_changes.clear()
        self.lenders.clear()
        self.group_progress.clear()
        self.checked_at.clear()
        self.replicated_instances_loaded = False
        self.leader_since = now
        self.pushed_index = 0
        self.last_cleanup_at = now
        self.members_pulled_at = 0
        self.positions_polled_at = 0
        self.zone_traffic.clear()
        self.suspected_primary_groups = frozenset()
        self.cap_lender = None
