"""Reads of this entry by availability zone: the share that leaves its zone, and their figures.

Nothing here takes effect until control grants a share, which it does where a price of traffic
between zones is stated.
"""

import random
from collections.abc import Callable, Iterator, Sequence
from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.discovery import TargetKey, TargetTable
from bergamotcart.entry._requests import Request
from bergamotcart.routing import InstanceCandidate, choose_instance

# Control decides at the same interval. A report takes 66 bytes for each zone, so it is not sent with
# each lease request.
REPORT_INTERVAL_S: Final = 0.5
# A fastest answer is forgotten after one to two windows, so that a link that has become slower is
# noticed. Shorter windows hold too few statements of an entry with little traffic.
_FASTEST_WINDOW_S: Final = 5.0
# Age in seconds up to which a share is reported, so that a new leader of control can continue
# with it; an election takes one to two seconds.
_REPORTED_SHARE_AGE_S: Final = 5.0


class _ZoneCounts:
    """Answered reads at the instances of one zone since the last report.

    :ivar total_wait_s: sum of their waits, in seconds.
    """

    __slots__ = ('reads', 'total_wait_s')

    def __init__(self) -> None:
        self.reads = 0
        self.total_wait_s = 0.0


class _FastestAnswer:
    """Shortest answer times of the current and the previous window, in seconds."""

    __slots__ = ('_current_s', '_previous_s', '_window_start')

    def __init__(self, now: float) -> None:
        self._window_start = now
        self._current_s: float | None = None
        self._previous_s: float | None = None

    def record(self, now: float, answer_s: float) -> None:
        self._rotate(now)
        self._current_s = _find_least(self._current_s, answer_s)

    def read(self, now: float) -> float | None:
        self._rotate(now)
        return _find_least(self._current_s, self._previous_s)

    def _rotate(self, now: float) -> None:
        elapsed_s = now - self._window_start
        if elapsed_s >= _FASTEST_WINDOW_S:
            self._previous_s = self._current_s if elapsed_s < 2 * _FASTEST_WINDOW_S else None
            self._current_s = None
            self._window_start = now


class ZoneReads:
    """Chooses the zone of each read by the granted share, and counts the reads of each zone."""

    __slots__ = (
        '_arrived',
        '_counts',
        '_fastest',
        '_granted_at',
        '_is_share_in_force',
        '_probed_at',
        '_random',
        '_remainder',
        '_reported_at',
        '_share',
        '_targets',
        '_valid_until',
        '_zone',
        'reads_sent_away',
    )

    def __init__(self, zone: str, targets: TargetTable, source: random.Random) -> None:
        """Start without a share.

        :param zone: availability zone of this process.
        :param targets: known targets, with their zones.
        :param source: source of random numbers.
        """
        self._zone = zone
        self._targets = targets
        self._random = source
        self._share: messages.GrantedZoneShare | None = None
        self._granted_at = float('-inf')
        self._valid_until = float('-inf')
        self._remainder: float | None = None
        self._reported_at = float('-inf')
        self._probed_at = float('-inf')
        self._is_share_in_force = False
        self._arrived = 0
        self._counts: dict[str, _ZoneCounts] = {}
        self._fastest: dict[str, _FastestAnswer] = {}
        self.reads_sent_away = 0

    def share(self, now: float) -> messages.GrantedZoneShare | None:
        """Return the share in force, or ``None`` if control has granted none lately."""
        return self._share if now < self._valid_until else None

    def accept_grant(self, grant: messages.LeaseGrant) -> bool:
        """Use the share of an accepted grant unless a newer request was answered before.

        :returns: whether the share has changed.
        """
        if grant.echo_sent_at < self._granted_at:
            return False
        before = self._share
        self._granted_at = grant.echo_sent_at
        self._valid_until = grant.echo_sent_at + grant.duration_s
        self._share = grant.zone_share or None
        self._is_share_in_force = self._share is not None
        if self._share is not None and self._remainder is None:
            # Entries with few reads would otherwise all send away their reads at the same time.
            self._remainder = self._random.random()
        if self._share is None:
            self._counts.clear()
        return before != self._share

    def choose(
        self, request: Request, candidates: Sequence[InstanceCandidate], now: float
    ) -> InstanceCandidate | None:
        """Choose the instance for a read, in the zone that its share determines.

        The zone is determined once for each read, so that a read that waited for a free slot
        does not count twice.
        """
        share = self.share(now)
        if share is None:
            request.placed_at = None
            return choose_instance(candidates)
        if request.placed_at is None:
            request.placed_at = now
        if request.preferred_zone is None:
            request.preferred_zone = self._next_zone(share)
            self._arrived += 1
        return choose_instance(candidates, request.preferred_zone)

    def record_answer(
        self, target: TargetKey, request: Request, now: float, answer_s: float
    ) -> None:
        """Record that an instance has answered a statement.

        :param request: the request that the statement serves.
        :param answer_s: time from the sending of the statement to its answer, in seconds.
        """
        zone = self._find_zone(target)
        if self._share is None or zone is None:
            return
        fastest = self._fastest.setdefault(zone, _FastestAnswer(now))
        fastest.record(now, answer_s)
        if request.placed_at is None:
            return
        counts = self._counts.setdefault(zone, _ZoneCounts())
        counts.reads += 1
        counts.total_wait_s += now - request.placed_at
        self.reads_sent_away += zone != self._zone

    def record_probe(self, target: TargetKey, now: float, sent_at: float) -> None:
        """Record that an instance has answered a probe; times are in seconds."""
        zone = self._find_zone(target)
        if self._share is not None and zone is not None:
            self._fastest.setdefault(zone, _FastestAnswer(now)).record(now, now - sent_at)

    def end_expired_share(self, now: float) -> bool:
        """Tell once that the share has expired, so that the load alone decides again."""
        has_expired = self._is_share_in_force and self.share(now) is None
        self._is_share_in_force = self.share(now) is not None
        return has_expired

    def find_unmeasured(self, now: float, interval_s: float) -> TargetKey | None:
        """Return an instance of a zone with unknown answer times, which should be probed.

        :param interval_s: least time between two such probes, in seconds.
        """
        if self._share is None or now < self._probed_at + interval_s:
            return None
        for target in self._targets:
            zone = target.announcement.availability_zone
            fastest = self._fastest.get(zone)
            if fastest is None or fastest.read(now) is None:
                self._probed_at = now
                return target.key
        return None

    def build_report(
        self, now: float, count_waiting: Callable[[TargetKey], int | None]
    ) -> messages.ZoneReport | msgspec.UnsetType:
        """Return the figures since the last report if control asks for them and a report is due.

        :param count_waiting: returns the number of reads that wait for a free slot of a target, or
            ``None`` if the target cannot be reached.
        """
        if self._share is None or now < self._reported_at + REPORT_INTERVAL_S:
            return msgspec.UNSET
        window_s = min(now - self._reported_at, 2 * REPORT_INTERVAL_S)
        self._reported_at = now
        waiting: dict[str, int] = {}
        for target in self._targets:
            count = count_waiting(target.key)
            if count is not None:
                zone = target.announcement.availability_zone
                waiting[zone] = waiting.get(zone, 0) + count
        zones = tuple(self._list_figures(now, waiting))
        arrived = self._arrived
        self._arrived = 0
        self._counts.clear()
        is_recent = now < self._granted_at + _REPORTED_SHARE_AGE_S
        return messages.ZoneReport(
            window_s=window_s,
            arrived=arrived,
            applied=self._share if is_recent else messages.GrantedZoneShare(),
            zones=zones,
        )

    def _next_zone(self, share: messages.GrantedZoneShare) -> str:
        remainder = (self._remainder or 0) + share.share
        leaves = remainder >= 1
        self._remainder = remainder - leaves
        return share.destination if leaves else self._zone

    def _list_figures(self, now: float, waiting: dict[str, int]) -> Iterator[messages.ZoneFigures]:
        for zone, count in sorted(waiting.items()):
            counts = self._counts.get(zone, _ZoneCounts())
            fastest = self._fastest.get(zone)
            yield messages.ZoneFigures(
                zone=zone,
                reads=counts.reads,
                wait_s=counts.total_wait_s / max(counts.reads, 1),
                waiting=count,
                fastest_s=None if fastest is None else fastest.read(now),
            )

    def _find_zone(self, target: TargetKey) -> str | None:
        known = self._targets.get(target)
        return None if known is None else known.announcement.availability_zone


def _find_least(*known_s: float | None) -> float | None:
    return min((each_s for each_s in known_s if each_s is not None), default=None)
