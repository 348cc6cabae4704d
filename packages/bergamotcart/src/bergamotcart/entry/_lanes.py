"""Limits on the connections and concurrent statements of this entry, per target."""

import hashlib
from collections.abc import Callable
from typing import Final

from bergamotcart.admission import (
    Backoff,
    ConcurrencyLimit,
    ConcurrencySettings,
    ConnectionQuota,
    FairQueue,
)
from bergamotcart.discovery import KnownTarget, TargetKey
from bergamotcart.documents import GroupSettings
from bergamotcart.entry._actions import LimitConnections
from bergamotcart.entry._workspace import EngineContext
from bergamotcart.messages import QuotaUse

MAX_QUEUED_READS: Final = 500
# If the share of each entry is smaller than this number of connections, connections to the target
# are scarce and entries close those that they do not use: one connection serves the probes, and a
# transaction holds one while its caller is idle.
_SCARCE_SHARE: Final = 4
# Connections, with the one for probes, that an entry may use at once while they are scarce. The
# quota shrinks down to the minimum while the target refuses connections.
_MAX_SCARCE_QUOTA: Final = 4
_MIN_SCARCE_QUOTA: Final = 2
# Growth of the quota per sweep without a refusal. There are four sweeps a second, so the quota
# grows by one connection per second.
_SCARCE_QUOTA_STEP: Final = 0.25
# Bounds of the time for which an unused connection is kept while connections are scarce. It grows
# while the target accepts all connections and shrinks once the target refuses some even at the
# minimum quota. Opening a connection costs the target as much as a short statement.
_MIN_IDLE_S: Final = 0.05
_MAX_IDLE_S: Final = 1.6
_INITIAL_IDLE_S: Final = 0.4
_IDLE_GROWTH_FACTOR: Final = 1.1
_IDLE_SHRINK_FACTOR: Final = 0.5
# Pause before opening another connection to a target that has refused a connection or its
# statement. If all entries reconnected at once, they would use up its connections again.
_CONNECT_BACKOFF: Final = Backoff(first_s=0.05, greatest_s=0.8)
_RANK_BYTES: Final = 4


class Lane:
    """Limits of one target, with its running statements and the reads queued for it.

    :param base_quota: connections that the entry may use without a grant, with the one for probes.
    :param queue: reads that wait for a free slot.
    :param reads_in_flight: running reads.
    :param sent_limits: connection limit, and idle time in seconds or ``None``, that were last sent
        to the adapter.
    :param is_scarce: whether connections are scarce, so that unused ones are closed early.
    :param reported: number of open connections that the adapter last reported.
    :param rank: tie-breaker between instances that are otherwise equal, from 0 to 1; it differs
        between entries, so that they do not all choose the same instance.
    :param idle_s: seconds for which an unused connection is kept while connections are scarce.
    :param scarce_quota: connections that may be used at once while connections are scarce.
    :param refusals: number of consecutive refusals of a connection or its statement.
    :param was_refused: whether the target has refused one since the last sweep.
    :param is_pausing: whether opening another connection is on hold after a refusal.
    """

    __slots__ = (
        'base_quota',
        'concurrency',
        'idle_s',
        'is_pausing',
        'is_scarce',
        'key',
        'queue',
        'quota',
        'rank',
        'reads_in_flight',
        'refusals',
        'reported',
        'scarce_quota',
        'sent_limits',
        'was_refused',
    )

    def __init__(self, key: TargetKey, now: float, entry: str) -> None:
        """Start with a quota of one connection.

        :param now: monotonic clock, in seconds.
        :param entry: name of the entry, which determines the rank.
        """
        self.key = key
        self.rank = _rank(key, entry)
        self.idle_s = _INITIAL_IDLE_S
        self.scarce_quota = float(_MAX_SCARCE_QUOTA)
        self.refusals = 0
        self.was_refused = False
        self.is_pausing = False
        self.base_quota = 1
        self.is_scarce = False
        self.quota = ConnectionQuota(1)
        self.concurrency = ConcurrencyLimit(now, 1, ConcurrencySettings())
        self.queue = FairQueue(MAX_QUEUED_READS)
        self.reads_in_flight = 0
        self.reported = 0
        self.sent_limits: tuple[int, float | None] = (0, None)

    @property
    def has_room(self) -> bool:
        """Whether another statement may be sent to the target now."""
        needs_opening = self.concurrency.in_flight >= self.reported
        return self.concurrency.has_room and not (self.is_pausing and needs_opening)

    @property
    def load(self) -> float:
        """Running and queued statements, relative to the concurrency limit."""
        return (self.concurrency.in_flight + len(self.queue)) / self.concurrency.limit

    def has_room_for_read(self, share: float) -> bool:
        """Tell whether a read may be sent to this target as the primary.

        :param share: fraction of the concurrency of the primary that reads may use.
        """
        return self.has_room and self.reads_in_flight < max(1, int(self.concurrency.limit * share))

    def adjust_scarce_limits(self) -> None:
        """Adjust the scarce quota and idle time to whether the target has refused connections."""
        was_refused = self.was_refused
        self.was_refused = False
        if was_refused and self.scarce_quota > _MIN_SCARCE_QUOTA:
            self.scarce_quota = max(self.scarce_quota - 1, float(_MIN_SCARCE_QUOTA))
        elif was_refused:
            self.idle_s = max(self.idle_s * _IDLE_SHRINK_FACTOR, _MIN_IDLE_S)
        else:
            self.scarce_quota = min(
                self.scarce_quota + _SCARCE_QUOTA_STEP, float(_MAX_SCARCE_QUOTA)
            )
            self.idle_s = min(self.idle_s * _IDLE_GROWTH_FACTOR, _MAX_IDLE_S)

    def acquire_slot(self, *, is_read: bool) -> None:
        """Occupy a slot for a statement or transaction; one must be free.

        :param is_read: whether it counts as a read.
        """
        self.concurrency.start()
        self.reads_in_flight += int(is_read)


class Lanes:
    """The lanes of all targets, with the connection quotas of this entry."""

    __slots__ = ('_lanes', '_on_room', '_context')

    def __init__(self, context: EngineContext, on_room: Callable[[Lane], None]) -> None:
        """Start without lanes.

        :param on_room: called when a lane may have room for another statement.
        """
        self._context = context
        self._on_room = on_room
        self._lanes: dict[TargetKey, Lane] = {}

    def get(self, key: TargetKey) -> Lane:
        """Return the lane of a target; create it if necessary."""
        lane = self._lanes.get(key)
        if lane is None:
            lane = Lane(key, self._context.now, self._context.config.name)
            self._lanes[key] = lane
        return lane

    def release(self, lane: Lane, *, is_read: bool, answer_s: float | None = None) -> None:
        """Release the slot of a statement or transaction that ended.

        :param is_read: whether it counted as a read.
        :param answer_s: time that the target took to answer a statement, in seconds, or ``None``.
        """
        lane.concurrency.finish(self._context.now, answer_s)
        lane.reads_in_flight -= int(is_read)
        self._on_room(lane)

    def record_refusal(self, lane: Lane) -> None:
        """Record that a target had no capacity, and pause before opening another connection."""
        lane.was_refused = True
        lane.refusals += 1
        if lane.is_pausing:
            return
        lane.is_pausing = True
        self._context.call_later(
            _CONNECT_BACKOFF.pause_s(lane.refusals, self._context.random),
            lambda: self._end_pause(lane),
        )

    def remove_unused(self, key: TargetKey) -> None:
        """Remove the lane of a removed target unless statements run or wait there."""
        lane = self._lanes.get(key)
        if lane is not None and not lane.concurrency.in_flight and not len(lane.queue):
            self._lanes.pop(key)

    def adapt(self) -> None:
        """Adjust the scarce quota and idle time of each lane; called at each sweep."""
        for lane in self._lanes.values():
            lane.adjust_scarce_limits()

    def update_limits(self) -> None:
        """Recalculate the limits from the announcements, the document and the lease."""
        lent: dict[TargetKey, int] = {}
        if self._context.lease_valid:
            quotas = self._context.lease.quotas
            lent = {TargetKey(quota.group, quota.instance): quota.lent for quota in quotas}
        for target in self._context.targets:
            lane = self.get(target.key)
            share = self._base_quota(target)
            lane.is_scarce = share < _SCARCE_SHARE and self._may_exceed_share(target.key.group)
            lane.base_quota = int(lane.scarce_quota) if lane.is_scarce else max(share, 1)
            lane.quota.change_base(lane.base_quota)
            lane.quota.apply_grant(self._context.now, lent.get(target.key, 0))
            self._send_limits(lane, target.announcement.address)

    def quota_use(self) -> tuple[QuotaUse, ...]:
        """Return the use of and demand for lent connections, for the lease request."""
        quota_uses = [self._lane_quota_use(lane) for lane in self._lanes.values()]
        return tuple(use for use in quota_uses if use.lent_in_use or use.demand)

    def _end_pause(self, lane: Lane) -> None:
        lane.is_pausing = False
        self._on_room(lane)

    def _lane_quota_use(self, lane: Lane) -> QuotaUse:
        own_quota = max(lane.base_quota - 1, 1)
        in_flight = lane.concurrency.in_flight
        waiting = len(lane.queue)
        row = self._context.control_view.groups.get(lane.key.group)
        if row is not None and row.primary == lane.key.instance:
            waiting += len(self._context.groups.get(lane.key.group).writes)
        return QuotaUse(
            group=lane.key.group,
            instance=lane.key.instance,
            lent_in_use=max(max(lane.reported, in_flight) - own_quota, 0),
            demand=max(in_flight + waiting - own_quota, 0),
        )

    def _base_quota(self, target: KnownTarget) -> int:
        settings = self._context.control_view.document.group(target.key.group)
        entries = self._entry_count(settings)
        limit = target.announcement.connection_limit
        if settings is not None:
            limit = settings.usable_connections(limit)
        return limit // entries

    def _may_exceed_share(self, group: str) -> bool:
        """Tell whether entries may use more connections than their share.

        That is so if the group sets no limit on the number of entries, since few of them use
        connections at the same time.
        """
        settings = self._context.control_view.document.group(group)
        return settings is not None and settings.entries_limit is None

    def _entry_count(self, settings: GroupSettings | None) -> int:
        if settings is None:
            return self._context.control_view.entries_limit
        return settings.entries_limit or max(len(self._context.control_view.entries), 1)

    def _send_limits(self, lane: Lane, address: str) -> None:
        limit = lane.quota.limit
        idle_s = lane.idle_s if lane.is_scarce else None
        if lane.sent_limits == (limit, idle_s):
            return
        lane.sent_limits = (limit, idle_s)
        lane.concurrency.change_quota(limit)
        self._context.actions.append(LimitConnections(lane.key, address, limit, idle_s))
        self._on_room(lane)


def _rank(key: TargetKey, entry: str) -> float:
    label = f'{entry} {key.group} {key.instance}'
    digest = hashlib.blake2s(label.encode(), digest_size=_RANK_BYTES).digest()
    return int.from_bytes(digest) / (1 << (8 * _RANK_BYTES))
