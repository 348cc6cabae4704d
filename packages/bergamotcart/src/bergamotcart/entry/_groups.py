"""Per-group queues, waits and proofs."""

import heapq
import itertools
from collections.abc import Iterator
from typing import Final

from bergamotcart.admission import FairQueue
from bergamotcart.discovery import HeadHistory, Position, TargetKey
from bergamotcart.entry._requests import Request

MAX_QUEUED_WRITES: Final = 1000


class PositionWaits:
    """Requests that wait until an instance reaches a position, lowest first."""

    __slots__ = ('_count', '_heap')

    def __init__(self) -> None:
        """Start without waits."""
        self._heap: list[tuple[Position, int, int, Request]] = []
        self._count = itertools.count()

    @property
    def lowest(self) -> Position | None:
        """Lowest position that a request waits for."""
        heap = self._heap
        while heap and heap[0][2] != heap[0][3].ticket:
            heapq.heappop(heap)
        return heap[0][0] if heap else None

    def add(self, position: Position, request: Request) -> None:
        """Let a request wait for a position."""
        heapq.heappush(self._heap, (position, next(self._count), request.ticket, request))

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
        waiting = [request for _, _, ticket, request in self._heap if ticket == request.ticket]
        self._heap.clear()
        return waiting


class ReportWaits:
    """Requests that wait for an answer to a probe sent after a time."""

    __slots__ = ('_waits',)

    def __init__(self) -> None:
        """Start without waits."""
        self._waits: list[tuple[float, int, Request]] = []

    def add(self, after: float, request: Request) -> None:
        """Let a request wait for a probe that is sent after a time."""
        self._waits.append((after, request.ticket, request))

    def pop_answered(self, sent_at: float) -> list[Request]:
        """Remove and return the requests for which this probe was sent late enough."""
        if not self._waits:
            return []
        current = [wait for wait in self._waits if wait[1] == wait[2].ticket]
        self._waits = [wait for wait in current if wait[0] >= sent_at]
        return [wait[2] for wait in current if wait[0] < sent_at]

    def pop_all(self) -> list[Request]:
        """Remove and return all requests that still wait."""
        return self.pop_answered(float('inf'))


class GroupWork:
    """Queues, waits and proofs of one group.

    :param writes: requests that wait for the primary to take a write.
    :param catch_up: reads that wait until a replica reaches their floor.
    :param confirming: writes that wait until enough replicas have them.
    :param unplaced: completed writes whose position a probe of the primary must supply.
    :param open_term: newest term at which this entry knew the group to be open.
    :param open_since: time at which it learnt that, in seconds.
    """

    __slots__ = (
        'catch_up',
        'confirming',
        'heads',
        'instance_waits',
        'name',
        'open_since',
        'open_term',
        'primary_waits',
        'unplaced',
        'writes',
    )

    def __init__(self, name: str) -> None:
        """Start with nothing waiting."""
        self.name = name
        self.writes = FairQueue(MAX_QUEUED_WRITES)
        self.catch_up = PositionWaits()
        self.confirming = PositionWaits()
        self.primary_waits = ReportWaits()
        self.unplaced = ReportWaits()
        self.instance_waits: dict[TargetKey, ReportWaits] = {}
        self.heads = HeadHistory()
        self.open_term: int | None = None
        self.open_since = float('-inf')

    def wait_for_instance(self, key: TargetKey, after: float, request: Request) -> None:
        """Let a read wait for the position of an instance after a time."""
        self.instance_waits.setdefault(key, ReportWaits()).add(after, request)

    def pop_reads(self) -> list[Request]:
        """Remove and return all reads that wait for anything but a place in a lane."""
        reads = self.catch_up.pop_all() + self.primary_waits.pop_all()
        for waits in self.instance_waits.values():
            reads.extend(waits.pop_all())
        return reads


class Groups:
    """Work of all groups by name."""

    __slots__ = ('_groups',)

    def __init__(self) -> None:
        """Start without groups."""
        self._groups: dict[str, GroupWork] = {}

    def __iter__(self) -> Iterator[GroupWork]:
        """Iterate over the groups that have been used."""
        return iter(self._groups.values())

    def get(self, name: str) -> GroupWork:
        """Return the work of a group."""
        group = self._groups.get(name)
        if group is None:
            group = GroupWork(name)
            self._groups[name] = group
        return group
