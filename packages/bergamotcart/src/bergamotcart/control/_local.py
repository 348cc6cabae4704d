"""Tables that a leader keeps for itself; a new leader builds its own."""

from dataclasses import dataclass, field

from bergamotcart.admission import TargetLender
from bergamotcart.control._entry_table import EntryTable
from bergamotcart.control._group_work import GroupWork
from bergamotcart.control._order_book import OrderBook
from bergamotcart.control._proposals import Proposals
from bergamotcart.control._sightings import SightingTable


@dataclass(slots=True)
class LocalTables:
    """Unreplicated tables of one member.

    :param looked_at: time of the last look at each group.
    :param pushed_index: index of the state that was last pushed to all known entries.
    :param cleaned_at: time at which old rows were last removed.
    :param suspects: groups of which some entry cannot reach an instance, in this tick.
    :param suspected_primaries: groups whose primary this leader or some entry cannot reach.
    :param assumed_instances: instances of the replicated state were taken over.
    :param members_pulled_at: time of the newest pull from the other members.
    :param heads_polled_at: time at which the primaries were last asked for their heads.
    :param led_since: time at which this member's leadership began.
    """

    proposals: Proposals
    entries: EntryTable = field(default_factory=EntryTable)
    sightings: SightingTable = field(default_factory=SightingTable)
    orders: OrderBook = field(default_factory=OrderBook)
    lenders: dict[tuple[str, str], TargetLender] = field(default_factory=dict)
    groups: dict[str, GroupWork] = field(default_factory=dict)
    looked_at: dict[str, float] = field(default_factory=dict)
    suspects: frozenset[str] = frozenset()
    suspected_primaries: frozenset[str] = frozenset()
    assumed_instances: bool = False
    led_since: float = 0
    pushed_index: int = 0
    cleaned_at: float = 0
    members_pulled_at: float = 0
    heads_polled_at: float = 0

    def restart(self, now: float, assumed_until: float) -> None:
        """Begin a leadership without any memory of a former one.

        :param now: seconds.
        :param assumed_until: time until which entries may hold leases of a former leader.
        """
        self.proposals.clear()
        self.entries.clear(assumed_until)
        self.sightings.clear()
        self.orders.clear()
        self.lenders.clear()
        self.groups.clear()
        self.looked_at.clear()
        self.assumed_instances = False
        self.led_since = now
        self.pushed_index = 0
        self.cleaned_at = now
        self.members_pulled_at = 0
        self.heads_polled_at = 0
        self.suspected_primaries = frozenset()
