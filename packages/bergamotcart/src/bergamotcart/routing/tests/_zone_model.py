"""Model of zones with a queue in front of their instances, in steps of one decision."""

import math
from collections.abc import Callable

from bergamotcart.routing import ShareChange, ZoneMeasure, ZoneShare, ZoneSpillover

STEP_S = 0.5
SERVICE_S = 0.012
QUEUE_LIMIT = 500
# Largest changes of a share in one decision, with a tolerance for rounding.
MAX_RISE = 0.101
MAX_FALL = -0.201


class Zone:
    """One zone: a queue that its instances empty at a rate.

    :ivar capacity_per_s: reads per second that its instances serve.
    :ivar demand: returns the reads per second of its callers at a time in seconds.
    """

    def __init__(self, capacity_per_s: float, demand: Callable[[float], float]) -> None:
        self.capacity_per_s = capacity_per_s
        self.demand = demand
        self.queue: float = 0
        self.wait_s = SERVICE_S
        self.departures_per_s: float = 0

    def serve(self, arrivals_per_s: float) -> None:
        """Serve the reads that arrive in one step."""
        offered = self.queue + arrivals_per_s * STEP_S
        served = min(offered, self.capacity_per_s * STEP_S)
        self.queue = min(offered - served, QUEUE_LIMIT)
        self.departures_per_s = served / STEP_S
        self.wait_s = SERVICE_S + self.queue / self.capacity_per_s


class ZoneModel:
    """Zones whose reads leave by the shares of one ``ZoneSpillover``.

    :ivar paths_s: latency between zones, in seconds; a zone that is missing cannot be reached.
    :ivar silent: zones that do not report their figures.
    :ivar total_wait_s: sum of the waits of all reads, with the latency of the path, in seconds.
    """

    def __init__(self, price_s: float | None, **zones: Zone) -> None:
        self.now: float = 0
        self.price_s = price_s
        self.spillover = ZoneSpillover()
        self.zones = zones
        self.paths_s = {(one, other): 0.003 for one in zones for other in zones if one != other}
        self.silent: set[str] = set()
        self.changes: list[tuple[float, ShareChange]] = []
        self.reads: float = 0
        self.total_wait_s: float = 0
        self._home: dict[str, float] = {}
        self._measures: dict[str, ZoneMeasure] = {}

    @property
    def mean_wait_s(self) -> float:
        """Mean wait of all reads so far."""
        return self.total_wait_s / self.reads

    def run(self, duration_s: float) -> None:
        """Run all steps of a duration in seconds."""
        end = self.now + duration_s
        while self.now < end:
            self._step()

    def _step(self) -> None:
        shares = self.spillover.shares
        arrivals = dict.fromkeys(self.zones, 0.0)
        home: dict[str, float] = {}
        for name, zone in self.zones.items():
            demand = zone.demand(self.now)
            share = shares.get(name, ZoneShare(name))
            leaving = demand * share.share
            home[name] = demand - leaving
            arrivals[name] += home[name]
            arrivals[share.destination] += leaving
            self.total_wait_s += leaving * self.paths_s.get((name, share.destination), 0)
        for served_name, served_zone in self.zones.items():
            self._serve(served_name, served_zone, arrivals[served_name], home[served_name])
        # The decision uses the figures of the step before this one.
        self._decide()
        reporting = self.zones.keys() - self.silent
        self._measures |= {each: self._measure(each) for each in reporting}
        self.now += STEP_S

    def _serve(self, name: str, zone: Zone, arrivals: float, own_arrivals: float) -> None:
        zone.serve(arrivals)
        own_part = own_arrivals / arrivals if arrivals else 0
        self._home[name] = zone.departures_per_s * own_part
        self.reads += arrivals
        self.total_wait_s += arrivals * zone.wait_s

    def _decide(self) -> None:
        before = self.spillover.shares
        for change in self.spillover.decide(self.now, self.price_s, self._measures):
            self.changes.append((self.now, change))
        after = self.spillover.shares
        receivers = {share.destination for share in after.values()}
        assert not receivers & after.keys(), f'zones both send and receive: {after}'
        for zone, share in after.items():
            change = share.share - before.get(zone, ZoneShare()).share
            assert MAX_FALL <= change <= MAX_RISE, f'{zone} moved by {change}'

    def _measure(self, name: str) -> ZoneMeasure:
        zone = self.zones[name]
        return ZoneMeasure(
            measured_at=self.now,
            wait_s=zone.wait_s,
            departures_per_s=zone.departures_per_s,
            demand_per_s=zone.demand(self.now),
            home_per_s=self._home[name],
            paths_s={other: path_s for (one, other), path_s in self.paths_s.items() if one == name},
        )


def read_wave(mean: float, swing: float, period_s: float, phase: float, now: float) -> float:
    """Return a demand that swings around its mean.

    :param swing: amplitude as a share of the mean.
    :param phase: delay as a share of the period.
    """
    angle = math.tau * (now / period_s - phase)
    return mean * (1 + swing * math.sin(angle))
