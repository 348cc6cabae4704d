"""State per group: queues, waiting requests and positions of the primary."""

import heapq
import itertools
from collections.abc import Iterator
from typing import Final

from bergamotcart.admission import FairQueue
from bergamotcart.discovery import Position, PrimaryPositionHistory, TargetKey
from bergamotcart.entry._requests import Request
from bergamotcart.routing import InstanceWeights

MAX_PRIMARY_QUEUE_LENGTH: Final = 1000


class PositionWaits:
    """Requests that wait until an instance reaches a position, ordered by position.

    An item whose wait generation differs from that of its request is out of date and ignored.
    """

    __slots__ = ('_heap', '_sequence')

    def __init__(self) -> None:
        """Start without waits."""
        self._heap: list[tuple[Position, int, int, Request]] = []
        self._sequence = itertools.count()

    @property
    def lowest(self) -> Position | None:
        """Lowest position that a request waits for, or ``None`` if none waits."""
        heap = self._heap
        while heap and heap[0][2] != heap[0][3].wait_generation:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def add(self, position: Position, request: Request) -> None:
        """Add a request that waits for a position."""
        heapq.heappush(
            self._heap, (position, next(self._sequence), request.wait_generation, request)
        )

    def pop_reached(self, position: Position) -> list[Request]:
        """Remove and return the requests that wait for at most this position."""
        reached: list[Request] = []
        lowest = self.lowest
        while lowest is not None and lowest <= position:
            reached.append(heapq.heappop(self._heap)[3])
            lowest = self.lowest
        return reached

    def pop_all(self) -> list[Request]:
        """Remove and return all requests that still wait."""
        waiting = [
            request
            for _, _, wait_generation, request in self._heap
            if wait_generation == request.wait_generation
        ]
        self._heap.clear()
        return waiting


class ReportWaits:
    """Requests that wait for the report of a probe that is sent after a time.

    An item whose wait generation differs from that of its request is out of date and ignored.
    """

    __slots__ = ('_waits',)

    def __init__(self) -> None:
        """Start without waits."""
        self._waits: list[tuple[float, int, Request]] = []

    def add(self, after: float, request: Request) -> None:
        """Add a request that waits for the report of a probe.

        :param after: time after which the probe must be sent, in seconds.
        """
        self._waits.append((after, request.wait_generation, request))

    def pop_answered(self, sent_at: float) -> list[Request]:
        """Remove and return the requests that a report satisfies.

        :param sent_at: send time of the probe that returned the report, in seconds.
        """
        if not self._waits:
            return []
        current = [wait for wait in self._waits if wait[1] == wait[2].wait_generation]
        self._waits = [wait for wait in current if wait[0] >= sent_at]
        return [wait[2] for wait in current if wait[0] < sent_at]

    def pop_all(self) -> list[Request]:
        """Remove and return all requests that still wait."""
        return self.pop_answered(float('inf'))


class GroupState:
    """Queues, waiting requests and positions of the primary of one group.

    :param primary_queue: queue of the requests that must be sent to the primary.
    :param catch_up_waits: reads that wait until a replica has reached their floor.
    :param awaiting_acknowledgement: writes that wait until enough replicas have them.
    :param awaiting_lease: completed writes of routes that may be acknowledged only with a lease.
    :param awaiting_position: completed writes whose position a probe of the primary must supply.
    :param primary_waits: reads that wait for a report of the primary.
    :param instance_waits: reads that wait for a report of an instance, by instance.
    :param primary_positions: positions of the primary, with the times at which they were read.
    :param instance_weights: what the instances serve, compared with each other.
    :param open_term: newest term at which this entry knew the group to be open.
    :param open_since: time at which this entry learnt of that term, in seconds.
    :param unusable_since: time at which the primary was first found unusable, in seconds, or
        ``None`` while it is usable.
    """

    __slots__ = (
        'catch_up_waits',
        'awaiting_acknowledgement',
        'awaiting_lease',
        'primary_positions',
        'instance_waits',
        'instance_weights',
        'name',
        'open_since',
        'open_term',
        'primary_waits',
        'awaiting_position',
        'primary_queue',
        'unusable_since',
    )

    def __init__(self, name: str) -> None:
        """Create the state of a group without waiting requests."""
        self.name = name
        self.primary_queue = FairQueue(MAX_PRIMARY_QUEUE_LENGTH)
        self.catch_up_waits = PositionWaits()
        self.awaiting_acknowledgement = PositionWaits()
        self.awaiting_lease: list[Request] = []
        self.primary_waits = ReportWaits()
        self.awaiting_position = ReportWaits()
        self.instance_waits: dict[TargetKey, ReportWaits] = {}
        self.primary_positions = PrimaryPositionHistory()
        self.instance_weights = InstanceWeights()
        self.open_term: int | None = None
        self.open_since = float('-inf')
        self.unusable_since: float | None = None

    def wait_for_instance(self, key: TargetKey, after: float, request: Request) -> None:
        """Add a read that waits for a report of an instance.

        :param after: time after which the probe must be sent, in seconds.
        """
        self.instance_waits.setdefault(key, ReportWaits()).add(after, request)

    def pop_awaiting_lease(self) -> list[Request]:
        """Remove and return the completed writes that wait for a lease."""
        waiting = self.awaiting_lease
        self.awaiting_lease = []
        return waiting

    def pop_reads(self) -> list[Request]:
        """Remove and return all waiting reads, except those that are queued for one target."""
        reads = self.catch_up_waits.pop_all() + self.primary_waits.pop_all()
        for waits in self.instance_waits.values():
            reads.extend(waits.pop_all())
        return reads


class GroupTable:
    """States of all groups, by name."""

    __slots__ = ('_groups',)

    def __init__(self) -> None:
        """Create an empty table."""
        self._groups: dict[str, GroupState] = {}

    def __iter__(self) -> Iterator[GroupState]:
        """Iterate over the groups that have been used."""
        return iter(self._groups.values())

    def get(self, name: str) -> GroupState:
        """Return the state of a group; create it if necessary."""
        group = self._groups.get(name)
        if group is None:
            group = GroupState(name)
            self._groups[name] = group
        return group
