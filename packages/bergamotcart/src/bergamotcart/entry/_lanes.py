"""Connections and concurrency per target."""

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
from bergamotcart.entry._workspace import Workspace
from bergamotcart.messages import QuotaUse

MAX_QUEUED_READS: Final = 500
# With fewer connections than this for each entry, nobody keeps those that are not in use: one
# serves the probes, and a transaction holds one while its caller thinks.
_SCARCE_SHARE: Final = 4
# What an entry may then use at once, with the one for probes; fewer while the target refuses some.
_SCARCE_QUOTA: Final = 4
_LEAST_SCARCE_QUOTA: Final = 2
# One more after a second without a refusal.
_QUOTA_GROWTH: Final = 0.25
# How long an unused connection is then kept: long while the target accepts all, short once it
# refuses some of even the least quota. Opening one costs the target as much as a short statement.
_LEAST_IDLE_S: Final = 0.05
_GREATEST_IDLE_S: Final = 1.6
_FIRST_IDLE_S: Final = 0.4
_IDLE_GROWTH: Final = 1.1
_IDLE_CUT: Final = 0.5
# Pause before a further connection to a target that has refused one or its statement; all entries
# that come back at once would fill it again.
_PAUSE: Final = Backoff(first_s=0.05, greatest_s=0.8)
_RANK_BYTES: Final = 4


class Lane:
    """Statements running and queued at one target.

    :param base: base quota, with the connection for probes.
    :param queue: reads that wait for a place.
    :param told: connection limit that the adapter was told last.
    :param is_scarce: whether unused connections must be given back at once.
    :param reported: connections that the adapter reported last.
    :param rank: order among instances that are equal otherwise, from 0 to 1; entries differ in it,
        so that they do not all choose the same one.
    :param idle_s: seconds for which an unused connection is kept while they are scarce.
    :param scarce_quota: connections that may be used at once while they are scarce.
    :param refusals: times in a row that the target has refused a connection or its statement.
    :param was_refused: whether the target has done so since the last sweep.
    :param is_pausing: whether no further connection may be opened for a moment.
    """

    __slots__ = (
        'base',
        'concurrency',
        'idle_s',
        'is_pausing',
        'is_scarce',
        'key',
        'queue',
        'quota',
        'rank',
        'reads',
        'refusals',
        'reported',
        'scarce_quota',
        'told',
        'was_refused',
    )

    def __init__(self, key: TargetKey, now: float, entry: str) -> None:
        """Start with the least quota."""
        self.key = key
        self.rank = _rank(key, entry)
        self.idle_s = _FIRST_IDLE_S
        self.scarce_quota = float(_SCARCE_QUOTA)
        self.refusals = 0
        self.was_refused = False
        self.is_pausing = False
        self.base = 1
        self.is_scarce = False
        self.quota = ConnectionQuota(1)
        self.concurrency = ConcurrencyLimit(now, 1, ConcurrencySettings())
        self.queue = FairQueue(MAX_QUEUED_READS)
        self.reads = 0
        self.reported = 0
        self.told: tuple[int, float | None] = (0, None)

    @property
    def has_room(self) -> bool:
        """Whether another statement may be sent now."""
        needs_opening = self.concurrency.in_flight >= self.reported
        return self.concurrency.has_room and not (self.is_pausing and needs_opening)

    @property
    def load(self) -> float:
        """Statements running and queued per place."""
        return (self.concurrency.in_flight + len(self.queue)) / self.concurrency.limit

    def has_room_for_read(self, share: float) -> bool:
        """Tell whether a read may be sent to this primary.

        :param share: share of the primary's concurrency left to reads.
        """
        return self.has_room and self.reads < max(1, int(self.concurrency.limit * share))

    def adapt(self) -> None:
        """Use more connections and keep them longer, or fewer if the target has refused some."""
        was_refused = self.was_refused
        self.was_refused = False
        if was_refused and self.scarce_quota > _LEAST_SCARCE_QUOTA:
            self.scarce_quota = max(self.scarce_quota - 1, float(_LEAST_SCARCE_QUOTA))
        elif was_refused:
            self.idle_s = max(self.idle_s * _IDLE_CUT, _LEAST_IDLE_S)
        else:
            self.scarce_quota = min(self.scarce_quota + _QUOTA_GROWTH, float(_SCARCE_QUOTA))
            self.idle_s = min(self.idle_s * _IDLE_GROWTH, _GREATEST_IDLE_S)

    def take_place(self, *, is_read: bool) -> None:
        """Count a statement or a transaction that starts; there must be room for it."""
        self.concurrency.start()
        self.reads += int(is_read)


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
            lane = Lane(key, self._work.now, self._work.config.name)
            self._lanes[key] = lane
        return lane

    def release(self, lane: Lane, *, is_read: bool, answer_s: float | None = None) -> None:
        """Give back the place of a statement or transaction that ended.

        :param answer_s: seconds that a statement took, if it was answered.
        """
        lane.concurrency.finish(self._work.now, answer_s)
        lane.reads -= int(is_read)
        self._on_room(lane)

    def note_refused(self, lane: Lane) -> None:
        """Pause before the next connection to a target that is full."""
        lane.was_refused = True
        lane.refusals += 1
        if lane.is_pausing:
            return
        lane.is_pausing = True
        self._work.after(
            _PAUSE.pause_s(lane.refusals, self._work.random),
            lambda: self._end_pause(lane),
        )

    def forget(self, key: TargetKey) -> None:
        """Remove the lane of a target that is gone, unless statements still run there."""
        lane = self._lanes.get(key)
        if lane is not None and not lane.concurrency.in_flight and not len(lane.queue):
            self._lanes.pop(key)

    def adapt(self) -> None:
        """Adapt how many connections are used, and for how long unused ones are kept."""
        for lane in self._lanes.values():
            lane.adapt()

    def update_limits(self) -> None:
        """Set the limits from the announcements, the document and the lease."""
        lent: dict[TargetKey, int] = {}
        if self._work.lease_valid:
            quotas = self._work.lease.quotas
            lent = {TargetKey(quota.group, quota.instance): quota.lent for quota in quotas}
        for target in self._work.table:
            lane = self.get(target.key)
            share = self._base_quota(target)
            lane.is_scarce = share < _SCARCE_SHARE and self._is_shared_by_use(target.key.group)
            lane.base = int(lane.scarce_quota) if lane.is_scarce else max(share, 1)
            lane.quota.change_base(lane.base)
            lane.quota.apply_grant(self._work.now, lent.get(target.key, 0))
            self._tell(lane, target.announcement.address)

    def quota_use(self) -> tuple[QuotaUse, ...]:
        """Return the use of lent connections, for the lease request."""
        uses = [self._use(lane) for lane in self._lanes.values()]
        return tuple(use for use in uses if use.lent_in_use or use.demand)

    def _end_pause(self, lane: Lane) -> None:
        lane.is_pausing = False
        self._on_room(lane)

    def _use(self, lane: Lane) -> QuotaUse:
        own = max(lane.base - 1, 1)
        in_flight = lane.concurrency.in_flight
        waiting = len(lane.queue)
        row = self._work.view.groups.get(lane.key.group)
        if row is not None and row.primary == lane.key.instance:
            waiting += len(self._work.groups.get(lane.key.group).writes)
        return QuotaUse(
            group=lane.key.group,
            instance=lane.key.instance,
            lent_in_use=max(max(lane.reported, in_flight) - own, 0),
            demand=max(in_flight + waiting - own, 0),
        )

    def _base_quota(self, target: KnownTarget) -> int:
        settings = self._work.view.document.group(target.key.group)
        entries = self._entries(settings)
        limit = target.announcement.connection_limit
        if settings is not None:
            limit = settings.usable_connections(limit)
        return limit // entries

    def _is_shared_by_use(self, group: str) -> bool:
        """Whether entries may use more connections than their share, since few use any at once."""
        settings = self._work.view.document.group(group)
        return settings is not None and settings.entries_limit is None

    def _entries(self, settings: GroupSettings | None) -> int:
        if settings is None:
            return self._work.view.entries_limit
        return settings.entries_limit or max(len(self._work.view.entries), 1)

    def _tell(self, lane: Lane, address: str) -> None:
        limit = lane.quota.limit
        idle_s = lane.idle_s if lane.is_scarce else None
        if lane.told == (limit, idle_s):
            return
        lane.told = (limit, idle_s)
        lane.concurrency.change_quota(limit)
        self._work.actions.append(LimitConnections(lane.key, address, limit, idle_s))
        self._on_room(lane)


def _rank(key: TargetKey, entry: str) -> float:
    text = f'{entry} {key.group} {key.instance}'
    digest = hashlib.blake2s(text.encode(), digest_size=_RANK_BYTES).digest()
    return int.from_bytes(digest) / (1 << (8 * _RANK_BYTES))
