"""Shares of the reads of each availability zone that leave it, decided by the leader.

Entries report their figures with their lease requests, and each grant contains the share of the
entry's zone, so that all entries of a zone apply the same one.
"""

import statistics
from collections.abc import Iterable, Iterator, Mapping
from typing import TYPE_CHECKING, Final

import msgspec

from bergamotcart import messages
from bergamotcart.actions import Decision
from bergamotcart.control._entry_table import EntryKey
from bergamotcart.routing import ShareChange, ShareReason, ZoneMeasure, ZoneShare, ZoneSpillover

if TYPE_CHECKING:
    from bergamotcart.control._step_context import StepContext

# Entries report at the same interval.
DECISION_INTERVAL_S: Final = 0.5
# A new leader decides only after entries have reported to it, and until then continues with the
# shares that they report. Entries find a new leader within a second.
SETTLING_TIME_S: Final = 1.5
# Reports of an entry that has stopped sending them are removed at this age.
_MAX_REPORT_AGE_S: Final = 2.0
# Number of answered reads from which on their mean wait shows the latency of a path.
_MIN_PATH_READS: Final = 5
_MS_PER_S: Final = 1000


class _StoredReport(msgspec.Struct, frozen=True):
    """Newest report of one entry; times are in seconds."""

    zone: str
    sent_at: float
    received_at: float
    report: messages.ZoneReport


class _ZoneTotals:
    """Reads of the entries of one zone at the instances of one zone.

    :ivar total_wait_s: sum of the waits of all reads, in seconds.
    :ivar entries: number of entries that can reach an instance there.
    """

    __slots__ = ('entries', 'fastest_s', 'reads', 'reads_per_s', 'total_wait_s', 'waiting')

    def __init__(self) -> None:
        self.reads = 0
        self.reads_per_s: float = 0
        self.total_wait_s: float = 0
        self.waiting = 0
        self.entries = 0
        self.fastest_s: float | None = None

    @property
    def wait_s(self) -> float:
        """Mean wait of a read, or that of a new one behind those that wait if it is longer."""
        mean_s = self.total_wait_s / max(self.reads, 1)
        expected_s = self.waiting / self.reads_per_s if self.reads_per_s else 0
        return max(mean_s, expected_s)

    def add(self, figures: messages.ZoneFigures, window_s: float) -> None:
        """Add the figures of one entry."""
        self.reads += figures.reads
        self.reads_per_s += figures.reads / window_s
        self.total_wait_s += figures.reads * figures.wait_s
        self.waiting += figures.waiting
        self.entries += 1
        if figures.fastest_s is not None:
            known_s = figures.fastest_s if self.fastest_s is None else self.fastest_s
            self.fastest_s = min(known_s, figures.fastest_s)


class ZoneTraffic:
    """Reports of the entries and the shares that the leader has decided.

    :param decided_at: time of the last decision, in seconds.
    """

    __slots__ = ('_reports', '_spillover', '_zones', 'decided_at')

    def __init__(self) -> None:
        """Start without reports and shares."""
        self._reports: dict[EntryKey, _StoredReport] = {}
        self._spillover = ZoneSpillover()
        self._zones: set[str] = set()
        self.decided_at: float = 0

    @property
    def shares(self) -> dict[str, ZoneShare]:
        """Shares by zone, of all zones that have reported instances."""
        return {zone: self._spillover.share(zone) for zone in sorted(self._zones)}

    def share(self, zone: str) -> ZoneShare:
        """Return the share of the reads of a zone that leave it."""
        return self._spillover.share(zone)

    def clear(self) -> None:
        """Remove all reports and shares when this member gains or loses the leadership."""
        self._reports.clear()
        self._spillover = ZoneSpillover()
        self.decided_at = 0

    def record(self, key: EntryKey, zone: str, request: messages.LeaseRequest, now: float) -> None:
        """Store the report of an entry, unless a later one has arrived.

        :param zone: availability zone of the entry.
        """
        report = request.zone_report
        stored = self._reports.get(key)
        if not isinstance(report, messages.ZoneReport):
            return
        if stored is None or request.sent_at > stored.sent_at:
            self._reports[key] = _StoredReport(zone, request.sent_at, now, report)

    def adopt(self, zone: str, report: messages.ZoneReport) -> bool:
        """Continue with the share that an entry applies."""
        applied = report.applied
        return self._spillover.adopt(zone, ZoneShare(applied.destination, applied.share))

    def decide(self, now: float, price_s: float | None) -> tuple[ShareChange, ...]:
        """Decide on the shares from the newest reports.

        :param now: time in seconds.
        :param price_s: time that a read must save, in seconds, or ``None`` without a price.
        """
        self.decided_at = now
        measures = self.measure(now)
        self._zones |= measures.keys()
        return self._spillover.decide(now, price_s, measures)

    def measure(self, now: float) -> dict[str, ZoneMeasure]:
        """Remove old reports and return the figures of each zone at a time in seconds."""
        self._reports = {
            key: stored
            for key, stored in self._reports.items()
            if now - stored.received_at <= _MAX_REPORT_AGE_S
        }
        return _measure_zones(self._reports.values())


def _measure_zones(reports: Iterable[_StoredReport]) -> dict[str, ZoneMeasure]:
    """Return the figures of each zone that has instances and entries which report them."""
    by_zone: dict[str, list[_StoredReport]] = {}
    for stored in reports:
        by_zone.setdefault(stored.zone, []).append(stored)
    totals = {zone: _sum_figures(zone_reports) for zone, zone_reports in by_zone.items()}
    zones = [zone for zone in totals if zone in totals[zone]]
    measures: dict[str, ZoneMeasure] = {}
    for zone in zones:
        own = totals[zone][zone]
        reads_per_s = sum(each[zone].reads_per_s for each in totals.values() if zone in each)
        measures[zone] = ZoneMeasure(
            measured_at=statistics.median(each.received_at for each in by_zone[zone]),
            wait_s=own.wait_s if own.reads or own.waiting else _wait_of_visitors(zone, totals),
            departures_per_s=reads_per_s,
            demand_per_s=_sum_arrivals(by_zone[zone]),
            home_per_s=own.reads_per_s,
            paths_s=dict(_list_paths(zone, zones, totals, len(by_zone[zone]))),
        )
    return measures


def record_zone_report(
    context: 'StepContext', key: EntryKey, zone: str, request: messages.LeaseRequest
) -> None:
    """Store the report of a lease request; a new leader continues with the share in it."""
    traffic = context.local.zone_traffic
    report = request.zone_report
    if find_price_s(context) is None or not isinstance(report, messages.ZoneReport):
        return
    traffic.record(key, zone, request, context.now)
    if context.now < context.local.leader_since + SETTLING_TIME_S and traffic.adopt(zone, report):
        share = traffic.share(zone)
        _publish(
            context,
            'adopt',
            'new_leader',
            f'{zone} to {share.destination}, share {share.share:.2f}',
        )


def grant_zone_share(
    context: 'StepContext', zone: str
) -> messages.GrantedZoneShare | msgspec.UnsetType:
    """Return the share for an entry of a zone, or ``UNSET`` if no price is stated."""
    if find_price_s(context) is None:
        return msgspec.UNSET
    share = context.local.zone_traffic.share(zone)
    return messages.GrantedZoneShare(destination=share.destination, share=share.share)


def decide_zone_shares(context: 'StepContext') -> None:
    """Decide on the shares at an interval, while a price is stated or reads leave."""
    traffic, price_s = context.local.zone_traffic, find_price_s(context)
    if price_s is None and not any(share.share for share in traffic.shares.values()):
        return
    due_at = max(
        traffic.decided_at + DECISION_INTERVAL_S, context.local.leader_since + SETTLING_TIME_S
    )
    if context.now < due_at:
        context.request_step_at(due_at)
        return
    for change in traffic.decide(context.now, price_s):
        is_raised = change.after.share > change.before.share
        detail = _describe_change(change, price_s)
        _publish(context, 'raise' if is_raised else 'lower', change.reason.value, detail)
    context.request_step_at(context.now + DECISION_INTERVAL_S)


def find_price_s(context: 'StepContext') -> float | None:
    """Return the time that a read in another zone must save, in seconds, or ``None``.

    The operator document takes precedence over the setting of this member.
    """
    price_ms = context.document.cross_zone_cost_ms
    if price_ms is None:
        price_ms = context.configuration.cross_zone_cost_ms
    return None if price_ms is None else price_ms / _MS_PER_S


def _sum_figures(reports: list[_StoredReport]) -> dict[str, _ZoneTotals]:
    """Return the totals of the entries of one zone, by zone of the instances."""
    totals: dict[str, _ZoneTotals] = {}
    for stored in reports:
        for figures in stored.report.zones:
            zone_totals = totals.setdefault(figures.zone, _ZoneTotals())
            zone_totals.add(figures, _window_s(stored.report))
    return totals


def _sum_arrivals(reports: Iterable[_StoredReport]) -> float:
    return sum(stored.report.arrived / _window_s(stored.report) for stored in reports)


def _window_s(report: messages.ZoneReport) -> float:
    # Two reports that follow each other closely would show rates that no zone has.
    return max(report.window_s, DECISION_INTERVAL_S / 2)


def _list_paths(
    zone: str,
    zones: Iterable[str],
    totals: Mapping[str, Mapping[str, _ZoneTotals]],
    entries: int,
) -> Iterator[tuple[str, float]]:
    for other in zones:
        seen = totals[zone].get(other)
        # Most entries must be able to reach the zone.
        if other == zone or seen is None or 2 * seen.entries < entries:
            continue
        path_s = _find_path(zone, other, totals)
        if path_s is not None:
            yield other, path_s


def _find_path(
    zone: str, other: str, totals: Mapping[str, Mapping[str, _ZoneTotals]]
) -> float | None:
    """Return the latency of the path to another zone, in seconds, or ``None`` if it is unknown.

    It is the difference between the fastest answers of the same instances to entries of both
    zones, in either direction, or between the mean waits of reads if that is more.
    """
    path_s = _compare_fastest(totals[zone].get(other), totals[other].get(other))
    if path_s is None:
        path_s = _compare_fastest(totals[other].get(zone), totals[zone].get(zone))
    seen, own = totals[zone][other], totals[other][other]
    if path_s is not None and seen.reads >= _MIN_PATH_READS and own.reads >= _MIN_PATH_READS:
        path_s = max(path_s, seen.wait_s - own.wait_s)
    return path_s


def _compare_fastest(seen: _ZoneTotals | None, own: _ZoneTotals | None) -> float | None:
    if seen is None or own is None or seen.fastest_s is None or own.fastest_s is None:
        return None
    return max(0.0, seen.fastest_s - own.fastest_s)


def _wait_of_visitors(zone: str, totals: Mapping[str, Mapping[str, _ZoneTotals]]) -> float:
    """Return the wait of reads of other zones if the zone itself sends none, in seconds."""
    own = totals[zone][zone]
    visitors = [each[zone] for each in totals.values() if zone in each and each[zone].reads]
    waits_s = [visitor.wait_s - (_compare_fastest(visitor, own) or 0) for visitor in visitors]
    return max(0.0, min(waits_s, default=0.0))


def _describe_change(change: ShareChange, price_s: float | None) -> str:
    destination = change.after.destination or change.before.destination
    text = f'{change.zone} to {destination}, share {change.before.share:.2f} to '
    text = f'{text}{change.after.share:.2f}'
    if change.saving_s is not None and price_s is not None:
        saving_ms, price_ms = change.saving_s * _MS_PER_S, price_s * _MS_PER_S
        text = f'{text}, saves {saving_ms:.0f} ms at a price of {price_ms:.0f} ms'
    return text


def _publish(context: 'StepContext', action: str, reason: str | ShareReason, detail: str) -> None:
    context.publish_decision(
        Decision(system='zone_shares', action=action, reason=reason, detail=detail)
    )
