"""Limits on the connections and concurrent statements of this entry, per target."""

import hashlib
from collections.abc import Callable
from typing import Final

from bergamotcart.admission import (
    Backoff,
    ConcurrencyLimit,
    ConcurrencySettings,
    ConnectionQuota,
    ConnectionSharing,
    FairQueue,
    ReadPacer,
    Reconnecting,
)
from bergamotcart.discovery import KnownTarget, TargetKey
from bergamotcart.documents import GroupSettings
from bergamotcart.entry._actions import LimitConnections
from bergamotcart.entry._context import EngineContext
from bergamotcart.messages import QuotaUse

MAX_QUEUED_READS: Final = 500
# If the share of each entry is smaller than this number of connections, connections to the target
# are scarce and entries close those that they do not use: one connection serves the probes, and a
# transaction holds one while its caller is idle.
_SCARCE_SHARE: Final = 4
# Pause before opening another connection to a target that has refused a connection or its
# statement. If all entries reconnected at once, they would use up its connections again.
_CONNECT_BACKOFF: Final = Backoff(initial_delay_s=0.05, max_delay_s=0.8)
_RANK_BYTES: Final = 4


class TargetLimiter:
    """Limits of one target, with its running statements and the reads queued for it.

    :param base_quota: connections that the entry may use without a grant, with the one for probes.
    :param queue: reads that wait for a free slot.
    :param read_pacer: spaces the reads that fall back to this target while it is the primary.
    :param reads_in_flight: running reads.
    :param pinned: connections that transactions keep.
    :param sent_limits: connection limit, idle time in seconds or ``None``, and number of kept
        connections that were last sent to the adapter.
    :param is_scarce: whether connections are scarce, so that unused ones are closed early.
    :param reported_connections: number of open connections that the adapter last reported.
    :param rank: tie-breaker between instances that are otherwise equal, from 0 to 1; it differs
        between entries, so that they do not all choose the same instance.
    :param reconnecting: decides when connections are opened after a start or a refusal.
    :param sharing: decides on the connections of this entry while connections are scarce.
    :param refusals: number of consecutive refusals of a connection or its statement.
    :param is_pausing: whether opening another connection is on hold after a refusal.
    """

    __slots__ = (
        'base_quota',
        'concurrency',
        'is_pausing',
        'is_scarce',
        'key',
        'pinned',
        'queue',
        'quota',
        'rank',
        'read_pacer',
        'reads_in_flight',
        'reconnecting',
        'refusals',
        'reported_connections',
        'sharing',
        'sent_limits',
    )

    def __init__(self, key: TargetKey, now: float, entry: str) -> None:
        """Start with a quota of one connection.

        :param now: monotonic clock, in seconds.
        :param entry: name of the entry, which determines the rank.
        """
        self.key = key
        self.rank = _rank(key, entry)
        self.sharing = ConnectionSharing()
        self.reconnecting = Reconnecting(now)
        self.refusals = 0
        self.is_pausing = False
        self.base_quota = 1
        self.is_scarce = False
        self.quota = ConnectionQuota(1)
        self.concurrency = ConcurrencyLimit(now, 1, ConcurrencySettings())
        self.queue = FairQueue(MAX_QUEUED_READS)
        self.read_pacer = ReadPacer()
        self.reads_in_flight = 0
        self.pinned = 0
        self.reported_connections = 0
        self.sent_limits: tuple[int, float | None, int] = (0, None, 0)

    @property
    def has_capacity(self) -> bool:
        """Whether another statement may be sent to the target now."""
        opening = self.concurrency.in_flight - self.reported_connections
        if opening >= 0:
            if self.is_pausing or (self.is_scarce and not self.reconnecting.may_open(opening)):
                return False
        return self.concurrency.has_capacity

    @property
    def may_pin(self) -> bool:
        """Whether a new transaction leaves a connection for single statements.

        An idle transaction keeps its connection, and many single statements could use it meanwhile.
        Where the entry has one connection only, transactions and single statements share it.
        """
        limit = self.concurrency.limit
        return not self.is_scarce or limit == 1 or self.pinned + 1 < limit

    @property
    def load(self) -> float:
        """Running and queued statements, relative to the concurrency limit."""
        return (self.concurrency.in_flight + len(self.queue)) / self.concurrency.limit

    def has_capacity_for_read(self, share: float) -> bool:
        """Tell whether a read may be sent to this target as the primary.

        :param share: fraction of the concurrency of the primary that reads may use.
        """
        return self.has_capacity and self.reads_in_flight < max(
            1, int(self.concurrency.limit * share)
        )

    def acquire_slot(self, *, is_read: bool) -> None:
        """Occupy a slot for a statement or transaction; one must be free.

        :param is_read: whether it counts as a read.
        """
        self.concurrency.try_acquire()
        self.reads_in_flight += int(is_read)


class TargetLimiters:
    """The limiters of all targets, with the connection quotas of this entry."""

    __slots__ = ('_limiters', '_on_capacity_available', '_opened_count', '_context')

    def __init__(
        self, context: EngineContext, on_capacity_available: Callable[[TargetLimiter], None]
    ) -> None:
        """Start without limiters.

        :param on_capacity_available: called when a target may have room for another statement.
        """
        self._context = context
        self._on_capacity_available = on_capacity_available
        self._limiters: dict[TargetKey, TargetLimiter] = {}
        self._opened_count = 0

    @property
    def opened_connections(self) -> int:
        """Number of connections to targets that were opened since the start."""
        return self._opened_count

    @property
    def open_connections(self) -> int:
        """Number of connections to targets that are open or being opened."""
        return sum(limiter.reported_connections for limiter in self._limiters.values())

    def get(self, key: TargetKey) -> TargetLimiter:
        """Return the limiter of a target; create it if necessary."""
        limiter = self._limiters.get(key)
        if limiter is None:
            limiter = TargetLimiter(key, self._context.now, self._context.configuration.name)
            self._limiters[key] = limiter
        return limiter

    def release(
        self, limiter: TargetLimiter, *, is_read: bool, answer_s: float | None = None
    ) -> None:
        """Release the slot of a statement or transaction that ended.

        :param is_read: whether it counted as a read.
        :param answer_s: time that the target took to answer a statement, in seconds, or ``None``.
        """
        limiter.concurrency.release(self._context.now, answer_s)
        limiter.reads_in_flight -= int(is_read)
        self._on_capacity_available(limiter)

    def record_refusal(self, limiter: TargetLimiter, *, is_over_limit: bool) -> None:
        """Record that a target had no capacity, and pause before opening another connection.

        :param is_over_limit: whether it accepts no further connections, as opposed to statements.
            Only then do fewer connections help: after a refused statement, closing one would
            only make the next statement open it again.
        """
        if is_over_limit:
            limiter.sharing.record_refusal()
            limiter.reconnecting.record_refusal()
        limiter.refusals += 1
        is_expected = is_over_limit and self.is_connection_expected(limiter)
        if not is_expected:
            limiter.read_pacer.record_refusal(self._context.now)
        if limiter.is_pausing:
            return
        limiter.is_pausing = True
        pause_s = _CONNECT_BACKOFF.delay_s(limiter.refusals, self._context.random)
        if is_expected:
            pause_s = self._reconnect_pause_s(limiter)
        self._context.publish_decision(
            'limits',
            'pause',
            'connections_full' if is_over_limit else 'slots_full',
            group=limiter.key.group,
            target=limiter.key.instance,
            detail=f'{pause_s:.3f} s after {limiter.refusals} refusals, '
            f'{limiter.reported_connections} connections, {len(limiter.queue)} queued',
        )
        self._context.call_later(pause_s, lambda: self._end_pause(limiter))
        if limiter.is_scarce and len(limiter.queue):
            self._context.call_later(0, lambda: self._offer_reads(limiter))

    def is_connection_expected(self, limiter: TargetLimiter) -> bool:
        """Tell whether a target refuses connections that it is likely to accept soon."""
        return limiter.is_scarce and limiter.reconnecting.is_expected(self._context.now)

    def record_answer(self, limiter: TargetLimiter) -> None:
        """Record that a target has served a statement, so it accepts connections."""
        limiter.refusals = 0
        if not limiter.reconnecting.has_connected:
            # What was refused before were connections beside those of dead processes.
            limiter.sharing.restore_quota()
        limiter.reconnecting.record_answer()

    def record_connection_count(self, key: TargetKey, open_count: int) -> None:
        """Record the number of open connections to a target, as the adapter reports it."""
        limiter = self.get(key)
        self._opened_count += max(open_count - limiter.reported_connections, 0)
        limiter.reported_connections = open_count

    def record_occupancy(self, key: TargetKey, open_connections: int) -> None:
        """Record the connections of all entries together that a target has reported as open."""
        target = self._context.targets.get(key)
        if target is not None:
            occupancy = open_connections / self._usable_connections(target)
            self.get(key).sharing.record_occupancy(self._context.now, occupancy)

    def remove_unused(self, key: TargetKey) -> None:
        """Remove the limiter of a removed target unless statements run or wait there."""
        limiter = self._limiters.get(key)
        if limiter is not None and not limiter.concurrency.in_flight and not len(limiter.queue):
            self._limiters.pop(key)

    def adjust_scarce_limits(self) -> None:
        """Adjust the scarce quota and idle time of each target; called periodically."""
        for limiter in self._limiters.values():
            was_keeping = limiter.sharing.is_keeping
            limiter.sharing.adjust(self._context.now)
            if limiter.is_scarce and limiter.sharing.is_keeping != was_keeping:
                self._publish_keeping(limiter)

    def update_limits(self) -> None:
        """Recalculate the limits from the announcements, the document and the lease."""
        lent: dict[TargetKey, int] = {}
        if self._context.lease_valid:
            quotas = self._context.lease.quotas
            lent = {TargetKey(quota.group, quota.instance): quota.lent for quota in quotas}
        for target in self._context.targets:
            limiter = self.get(target.key)
            exact_share = self._connection_share(target)
            share = int(exact_share)
            limiter.is_scarce = share < _SCARCE_SHARE and self._may_exceed_share(target.key.group)
            limiter.base_quota = limiter.sharing.quota if limiter.is_scarce else max(share, 1)
            limiter.quota.change_base(limiter.base_quota)
            limiter.quota.apply_grant(self._context.now, lent.get(target.key, 0))
            kept = 0
            if limiter.is_scarce:
                limiter.sharing.change_share(exact_share)
                kept = limiter.sharing.count_kept(exact_share, limiter.rank)
            self._send_limits(limiter, target.announcement.address, kept)

    def quota_use(self) -> tuple[QuotaUse, ...]:
        """Return the use of and demand for lent connections, for the lease request."""
        quota_uses = [self._limiter_quota_use(limiter) for limiter in self._limiters.values()]
        return tuple(use for use in quota_uses if use.lent_in_use or use.demand)

    def _reconnect_pause_s(self, limiter: TargetLimiter) -> float:
        target = self._context.targets.get(limiter.key)
        slots = target.announcement.slots if target else 1
        entry_count = len(self._context.control_view.entries)
        return limiter.reconnecting.pause_s(entry_count, slots, self._context.random)

    def _publish_keeping(self, limiter: TargetLimiter) -> None:
        sharing = limiter.sharing
        self._context.publish_decision(
            'limits',
            'keep' if sharing.is_keeping else 'give_back',
            'occupancy',
            group=limiter.key.group,
            target=limiter.key.instance,
            detail=f'occupancy {sharing.occupancy}, unused connections closed after '
            f'{sharing.idle_s:.2f} s',
        )

    def _offer_reads(self, limiter: TargetLimiter) -> None:
        """Let the other instances of the group take over the reads of one that is full."""
        for target in self._context.targets.list_group(limiter.key.group):
            if target.key != limiter.key:
                self._on_capacity_available(self.get(target.key))

    def _end_pause(self, limiter: TargetLimiter) -> None:
        limiter.is_pausing = False
        self._on_capacity_available(limiter)

    def _limiter_quota_use(self, limiter: TargetLimiter) -> QuotaUse:
        own_quota = max(limiter.base_quota - 1, 1)
        in_flight = limiter.concurrency.in_flight
        waiting = len(limiter.queue)
        row = self._context.control_view.groups.get(limiter.key.group)
        if row is not None and row.primary == limiter.key.instance:
            waiting += len(self._context.groups.get(limiter.key.group).primary_queue)
        return QuotaUse(
            group=limiter.key.group,
            instance=limiter.key.instance,
            lent_in_use=max(max(limiter.reported_connections, in_flight) - own_quota, 0),
            demand=max(in_flight + waiting - own_quota, 0),
        )

    def _connection_share(self, target: KnownTarget) -> float:
        """Return the connections of a target divided by the number of entries."""
        settings = self._context.control_view.document.group(target.key.group)
        return self._usable_connections(target) / self._entry_count(settings)

    def _usable_connections(self, target: KnownTarget) -> int:
        settings = self._context.control_view.document.group(target.key.group)
        limit = target.announcement.connection_limit
        return limit if settings is None else settings.usable_connections(limit)

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

    def _send_limits(self, limiter: TargetLimiter, address: str, kept: int) -> None:
        limit = limiter.quota.limit
        idle_s = limiter.sharing.idle_s_beside(kept) if limiter.is_scarce else None
        limits = (limit, idle_s, kept)
        if limiter.sent_limits == limits:
            return
        limiter.sent_limits = limits
        limiter.concurrency.change_quota(limit)
        self._context.actions.append(LimitConnections(limiter.key, address, *limits))
        self._on_capacity_available(limiter)


def _rank(key: TargetKey, entry: str) -> float:
    label = f'{entry} {key.group} {key.instance}'
    digest = hashlib.blake2s(label.encode(), digest_size=_RANK_BYTES).digest()
    return int.from_bytes(digest) / (1 << (8 * _RANK_BYTES))
