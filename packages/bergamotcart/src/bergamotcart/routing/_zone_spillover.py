"""Shares of the reads of each availability zone that are sent to another one.

The leader of control decides for all zones together; docs/design/zone-spillover.md tells why.
"""

import enum
from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Final

import msgspec

_NO_PATHS: Final[Mapping[str, float]] = MappingProxyType({})


class SpilloverSettings(msgspec.Struct, frozen=True, kw_only=True):
    """Parameters of the decision.

    :param step: largest change of a share in one decision, from 0 to 1.
    :param step_down: largest fall of a share while reads wait longer in the other zone.
    :param min_change: distance from the best share up to which a share is kept.
    :param max_share: largest share; the other reads show how long they wait in their own zone.
    :param confirmations: consecutive decisions for which leaving must pay before reads leave, as
        the mean of one interval may be high by chance.
    :param margin_ratio: a share rises only if the saving exceeds the price by this part of it.
    :param min_margin_s: least amount by which it must exceed the price, in seconds.
    :param growth_ratio: reads that one decision adds to a zone, relative to those it serves.
    :param min_growth_per_s: reads per second that one decision may add to any zone.
    :param max_age_s: age in seconds at which figures are not used any more.
    :param drain_time_s: time in seconds within which the share should shorten the wait of the zone
        until leaving pays no longer. A shorter one makes shares swing, since figures and shares
        take a second to arrive.
    :param return_interval_s: least time in seconds between steps down while the destination is not
        slower by the price: reads that return too early wait longer than the path takes.
    :param rate_weight: weight of the newest rates in their means, from 0 to 1.
    """

    step: float = 0.1
    step_down: float = 0.2
    min_change: float = 0.02
    max_share: float = 0.8
    confirmations: int = 2
    margin_ratio: float = 0.25
    min_margin_s: float = 0.005
    growth_ratio: float = 0.25
    min_growth_per_s: float = 5.0
    max_age_s: float = 2.0
    drain_time_s: float = 3.0
    return_interval_s: float = 1.0
    rate_weight: float = 0.5


class ZoneMeasure(msgspec.Struct, frozen=True, kw_only=True):
    """Figures of one availability zone that has instances.

    :param measured_at: time of the newest report, in seconds.
    :param wait_s: mean time from the choice of an own instance for a read to its answer, in seconds.
    :param departures_per_s: reads per second that the instances of the zone answer.
    :param demand_per_s: reads per second that arrive from callers of the zone.
    :param home_per_s: reads per second of these callers that the instances of the zone answer.
    :param paths_s: latency of the path to each zone that can be reached and was measured, in
        seconds.
    """

    measured_at: float
    wait_s: float
    departures_per_s: float
    demand_per_s: float
    home_per_s: float
    paths_s: Mapping[str, float] = _NO_PATHS


class ZoneShare(msgspec.Struct, frozen=True):
    """Share of the reads of a zone that leave it.

    :param destination: zone that receives them; empty if all stay.
    :param share: from 0 to 1.
    """

    destination: str = ''
    share: float = 0.0


@enum.unique
class ShareReason(enum.StrEnum):
    """Why a share has changed."""

    pays = 'pays'
    catches_up = 'catches_up'
    no_saving = 'no_saving'
    stale_figures = 'stale_figures'
    unreachable = 'unreachable'
    no_price = 'no_price'


class ShareChange(msgspec.Struct, frozen=True):
    """Change of the share of one zone.

    :param saving_s: time that a read saves in the other zone, in seconds; ``None`` if unknown.
    """

    zone: str
    before: ZoneShare
    after: ZoneShare
    reason: ShareReason
    saving_s: float | None = None


_MIN_SHARE: Final = 0.001
_NONE_LEAVE: Final = ZoneShare()


class _Saving(msgspec.Struct, frozen=True, order=True):
    """Time that a read saves on the path from its zone to another, in seconds."""

    saving_s: float
    path: tuple[str, str]


class _Rates(msgspec.Struct, frozen=True):
    """Smoothed reads per second of the callers of one zone.

    :param home_per_s: those that the instances of the zone answer.
    """

    demand_per_s: float
    home_per_s: float


class ZoneSpillover:
    """Decides on the shares of all zones.

    A zone sends to one other zone at most, and a zone that receives reads sends none.
    """

    __slots__ = ('_growth', '_rates', '_settings', '_shares', '_stepped_at', '_streaks')

    def __init__(self, settings: SpilloverSettings | None = None) -> None:
        """Start with no reads that leave their zone."""
        self._settings = settings or SpilloverSettings()
        self._shares: dict[str, ZoneShare] = {}
        self._streaks: dict[tuple[str, str], int] = {}
        self._growth: dict[str, float] = {}
        self._stepped_at: dict[str, float] = {}
        self._rates: dict[str, _Rates] = {}

    @property
    def shares(self) -> dict[str, ZoneShare]:
        """Shares of the zones whose reads leave."""
        return dict(self._shares)

    def share(self, zone: str) -> ZoneShare:
        """Return the share of a zone."""
        return self._shares.get(zone, _NONE_LEAVE)

    def adopt(self, zone: str, share: ZoneShare) -> bool:
        """Continue with a share that a former leader decided.

        :returns: whether the share is used; one that contradicts another zone's share is not.
        """
        is_free = zone not in self._shares and self._may_send(zone, share.destination)
        is_valid = 0 < share.share <= self._settings.max_share
        if not share.destination or not is_valid or not is_free:
            return False
        self._shares[zone] = share
        return True

    def decide(
        self, now: float, price_s: float | None, measures: Mapping[str, ZoneMeasure]
    ) -> tuple[ShareChange, ...]:
        """Change each share by one step at most, or to zero where it cannot be justified.

        :param now: time in seconds.
        :param price_s: time that a read in another zone must save, in seconds, or ``None`` if no
            price is stated, so that no reads leave by a share.
        :param measures: newest figures by zone.
        """
        fresh = {
            zone: measure
            for zone, measure in measures.items()
            if now - measure.measured_at <= self._settings.max_age_s
        }
        self._rates = {zone: self._smooth_rates(zone, measure) for zone, measure in fresh.items()}
        self._growth = {
            zone: max(
                self._settings.min_growth_per_s,
                self._settings.growth_ratio * measure.departures_per_s,
            )
            for zone, measure in fresh.items()
        }
        sending = sorted(self._shares)
        changes = [self._adjust(now, zone, price_s, fresh) for zone in sending]
        if price_s is None:
            self._streaks.clear()
        else:
            changes.extend(self._start(now, price_s, fresh, frozenset(sending)))
        return tuple(change for change in changes if change.after != change.before)

    def _adjust(
        self, now: float, zone: str, price_s: float | None, fresh: Mapping[str, ZoneMeasure]
    ) -> ShareChange:
        """Change the share of a zone whose reads leave."""
        current = self._shares[zone]
        if price_s is None:
            return self._set_share(zone, 0, ShareReason.no_price)
        if zone not in fresh or current.destination not in fresh:
            return self._set_share(zone, 0, ShareReason.stale_figures)
        saving_s = _find_saving(zone, current.destination, fresh)
        if saving_s is None:
            return self._set_share(zone, 0, ShareReason.unreachable)
        if saving_s >= price_s:
            return self._approach_target(now, zone, saving_s, saving_s - price_s)
        due_at = self._stepped_at.get(zone, 0) + self._settings.return_interval_s
        is_slower = -saving_s > self._threshold_s(price_s)
        step = 0.0
        if is_slower or now >= due_at:
            self._stepped_at[zone] = now
            step = self._settings.step_down if is_slower else self._settings.step
        return self._set_share(zone, current.share - step, ShareReason.no_saving, saving_s)

    def _start(
        self,
        now: float,
        price_s: float,
        fresh: Mapping[str, ZoneMeasure],
        adjusted: frozenset[str],
    ) -> list[ShareChange]:
        """Let reads leave the zones that save most, each to the zone where they save most.

        :param adjusted: zones whose share has been decided already; if it has ended, their reads
            return before they leave for another zone.
        """
        threshold_s = self._threshold_s(price_s)
        savings = [saving for saving in _list_savings(fresh) if saving.saving_s >= threshold_s]
        self._streaks = {saving.path: self._streaks.get(saving.path, 0) + 1 for saving in savings}
        changes: list[ShareChange] = []
        for saving in sorted(savings, reverse=True):
            zone, destination = saving.path
            is_confirmed = self._streaks[saving.path] >= self._settings.confirmations
            is_possible = zone not in adjusted and self._may_send(zone, destination)
            if is_confirmed and is_possible:
                adjusted |= {zone}
                self._shares[zone] = ZoneShare(destination)
                excess_s = saving.saving_s - price_s
                changes.append(self._approach_target(now, zone, saving.saving_s, excess_s))
        return changes

    def _threshold_s(self, price_s: float) -> float:
        """Return the saving from which on reads begin to leave, in seconds."""
        return price_s + max(self._settings.min_margin_s, self._settings.margin_ratio * price_s)

    def _may_send(self, zone: str, destination: str) -> bool:
        receives = any(share.destination == zone for share in self._shares.values())
        return zone != destination and destination not in self._shares and not receives

    def _smooth_rates(self, zone: str, measure: ZoneMeasure) -> _Rates:
        before = self._rates.get(zone)
        if before is None:
            return _Rates(measure.demand_per_s, measure.home_per_s)
        weight = self._settings.rate_weight
        return _Rates(
            before.demand_per_s + weight * (measure.demand_per_s - before.demand_per_s),
            before.home_per_s + weight * (measure.home_per_s - before.home_per_s),
        )

    def _approach_target(
        self, now: float, zone: str, saving_s: float, excess_s: float
    ) -> ShareChange:
        """Move a share towards the one at which the zone catches up within the drain time.

        While leaving pays, the instances of the zone are busy, so they answer as many reads as they
        can. That rate and the time by which their wait is too long give the reads that should
        arrive there.

        :param excess_s: time by which the saving exceeds the price, in seconds.
        """
        settings, rates, current = self._settings, self._rates[zone], self._shares[zone]
        kept_per_s = rates.home_per_s * (1 - excess_s / settings.drain_time_s)
        target = 1 - kept_per_s / rates.demand_per_s if rates.demand_per_s else 0
        change = max(-settings.step, min(settings.step, target - current.share))
        if abs(change) < settings.min_change:
            change = 0
        if change > 0:
            change = min(change, settings.max_share - current.share)
            change = self._limit_growth(current.destination, change, rates.demand_per_s)
            self._stepped_at[zone] = now
        reason = ShareReason.pays if change > 0 else ShareReason.catches_up
        return self._set_share(zone, current.share + change, reason, saving_s)

    def _limit_growth(self, destination: str, change: float, demand_per_s: float) -> float:
        """Return the part of a rise that the destination can take in this decision."""
        limited = min(change, self._growth[destination] / demand_per_s)
        self._growth[destination] -= limited * demand_per_s
        return limited

    def _set_share(
        self, zone: str, share: float, reason: ShareReason, saving_s: float | None = None
    ) -> ShareChange:
        before = self._shares.pop(zone)
        # A remainder that only results from rounding would keep the destination from sending.
        if share >= _MIN_SHARE:
            self._shares[zone] = ZoneShare(before.destination, share)
        return ShareChange(zone, before, self.share(zone), reason, saving_s)


def _list_savings(measures: Mapping[str, ZoneMeasure]) -> Iterator[_Saving]:
    for zone in measures:
        for destination in measures.keys() - {zone}:
            saving_s = _find_saving(zone, destination, measures)
            if saving_s is not None:
                yield _Saving(saving_s, (zone, destination))


def _find_saving(zone: str, destination: str, measures: Mapping[str, ZoneMeasure]) -> float | None:
    """Return the time that a read saves, in seconds, or ``None`` if there is no known path."""
    path_s = measures[zone].paths_s.get(destination)
    if path_s is None:
        return None
    return measures[zone].wait_s - measures[destination].wait_s - path_s
