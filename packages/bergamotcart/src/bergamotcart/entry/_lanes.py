"""Connections and concurrency per target."""

from collections import deque
from collections.abc import Callable
from typing import Final

from bergamotcart.discovery import TargetKey
from bergamotcart.entry._actions import LimitConnections
from bergamotcart.entry._requests import Request
from bergamotcart.entry._workspace import Workspace
from bergamotcart.messages import QuotaUse

MAX_QUEUED_READS: Final = 500


class Lane:
    """Statements running and queued at one target.

    :param limit: connections that this entry may use, without the one for probes.
    """

    __slots__ = ('base', 'in_flight', 'key', 'limit', 'open_connections', 'queue', 'reads', 'told')

    def __init__(self, key: TargetKey) -> None:
        """Start without connections."""
        self.key = key
        self.base = 1
        self.limit = 1
        self.in_flight = 0
        self.reads = 0
        self.open_connections = 0
        self.told = 0
        self.queue: deque[tuple[Request, int]] = deque()

    @property
    def has_room(self) -> bool:
        """Whether another statement may be sent now."""
        return self.in_flight < self.limit

    @property
    def load(self) -> float:
        """Statements running and queued per allowed connection."""
        return (self.in_flight + len(self.queue)) / self.limit

    def has_room_for_read(self, share: float) -> bool:
        """Tell whether a read may be sent to this primary.

        :param share: share of the primary's concurrency left to reads.
        """
        return self.has_room and self.reads < max(1, int(self.limit * share))


class Lanes:
    """All lanes, with the connection quotas of this entry."""

    __slots__ = ('_lanes', '_on_room', '_work')

    def __init__(self, work: Workspace, on_room: Callable[[Lane], None]) -> None:
        """Start without lanes.

        :param on_room: called when a lane may take another statement.
        """
        self._work = work
        self._on_room = on_room
        self._lanes: dict[TargetKey, Lane] = {}

    def get(self, key: TargetKey) -> Lane:
        """Return the lane of a target."""
        lane = self._lanes.get(key)
        if lane is None:
            lane = Lane(key)
            self._lanes[key] = lane
        return lane

    def release(self, lane: Lane, *, is_read: bool) -> None:
        """Give back the place of a statement that ended."""
        lane.in_flight -= 1
        lane.reads -= int(is_read)
        self._on_room(lane)

    def forget(self, key: TargetKey) -> None:
        """Remove the lane of a target that is gone, unless statements still run there."""
        lane = self._lanes.get(key)
        if lane is not None and not lane.in_flight and not lane.queue:
            self._lanes.pop(key)

    def update_limits(self) -> None:
        """Set the limits from the announcements, the document and the lease."""
        lent = {}
        if self._work.lease_valid:
            quotas = self._work.lease.quotas
            lent = {TargetKey(quota.group, quota.instance): quota.lent for quota in quotas}
        for target in self._work.table:
            lane = self.get(target.key)
            lane.base = self._base_quota(target.key, target.announcement.connection_limit)
            self._set_limit(lane, lane.base + lent.get(target.key, 0), target.announcement.address)

    def quota_use(self) -> tuple[QuotaUse, ...]:
        """Return the use of lent connections, for the lease request."""
        return tuple(
            QuotaUse(
                group=lane.key.group,
                instance=lane.key.instance,
                lent_in_use=max(0, max(lane.open_connections, lane.in_flight) - lane.base),
                demand=max(0, lane.in_flight + len(lane.queue) - lane.base),
            )
            for lane in self._lanes.values()
            if lane.limit > lane.base or lane.in_flight + len(lane.queue) > lane.base
        )

    def _base_quota(self, key: TargetKey, connection_limit: int) -> int:
        settings = self._work.view.document.group(key.group)
        entries = settings.entries_limit if settings else self._work.view.entries_limit
        # One connection of the quota is kept for probes.
        return max(1, connection_limit // entries - 1)

    def _set_limit(self, lane: Lane, limit: int, address: str) -> None:
        if lane.told == limit:
            return
        grown = limit > lane.limit
        lane.limit = limit
        lane.told = limit
        self._work.actions.append(LimitConnections(lane.key, address, limit))
        if grown:
            self._on_room(lane)
