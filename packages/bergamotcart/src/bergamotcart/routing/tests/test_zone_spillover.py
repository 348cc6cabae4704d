"""Tests the shares of reads that leave their availability zone."""

from functools import partial

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from bergamotcart.routing import ShareReason, ZoneMeasure, ZoneShare, ZoneSpillover
from bergamotcart.routing.tests._zone_model import (
    MAX_FALL,
    MAX_RISE,
    Zone,
    ZoneModel,
    read_wave,
)

_PRICE_S = 0.02
_MAX_SHARE = 0.801
_BUSY = 'a'
_IDLE = 'b'
_OTHER = 'c'
_ZONES = (_BUSY, _IDLE, _OTHER)


def _build_waves(price_s: float | None, capacity_per_s: float, period_s: float) -> ZoneModel:
    zones: dict[str, Zone] = {}
    for index, name in enumerate(_ZONES):
        phase = index / len(_ZONES)
        zones[name] = Zone(capacity_per_s, partial(read_wave, 100, 0.55, period_s, phase))
    return ZoneModel(price_s, **zones)


def _build_zone(capacity_per_s: float, demand_per_s: float) -> Zone:
    return Zone(capacity_per_s, lambda now: demand_per_s)


def _build_pair(price_s: float | None = _PRICE_S) -> ZoneModel:
    """Return two zones of which ``a`` loses half of its capacity."""
    model = ZoneModel(price_s, a=_build_zone(140, 100), b=_build_zone(140, 40))
    model.run(5)
    model.zones[_BUSY].capacity_per_s = 70
    return model


def _measure(wait_s: float, now: float = 0, rate: float = 100, **paths_s: float) -> ZoneMeasure:
    return ZoneMeasure(
        measured_at=now,
        wait_s=wait_s,
        departures_per_s=rate,
        demand_per_s=rate,
        home_per_s=rate,
        paths_s=paths_s,
    )


@pytest.mark.parametrize(
    ('capacity_per_s', 'period_s'), [(110, 60), (125, 13), (125, 30), (140, 13)]
)
def test_waves_out_of_phase_wait_less(capacity_per_s, period_s):
    """Zones at the peak of their demand use the capacity that others have at that time."""
    alone = _build_waves(None, capacity_per_s, period_s)
    alone.run(180)
    sharing = _build_waves(_PRICE_S, capacity_per_s, period_s)
    sharing.run(180)
    assert sharing.mean_wait_s < 0.7 * alone.mean_wait_s


def test_zone_that_lost_an_instance_sends_what_it_cannot_serve():
    """The queue would otherwise grow until its reads time out."""
    model = _build_pair()
    model.run(60)
    assert model.zones[_BUSY].wait_s == pytest.approx(0.15, abs=0.15)
    assert model.spillover.share(_BUSY).share == pytest.approx(0.35, abs=0.1)


def test_reads_return_once_the_instance_is_back():
    """Traffic between zones is paid for without a benefit otherwise."""
    model = _build_pair()
    model.run(20)
    model.zones[_BUSY].capacity_per_s = 140
    model.run(15)
    assert model.spillover.shares == {}


def test_reads_return_when_the_link_slows():
    """A read that leaves would wait longer on the path than it saves."""
    model = _build_pair()
    model.run(10)
    assert model.spillover.share(_BUSY).share
    model.paths_s[_BUSY, _IDLE] = 9.0
    model.run(10)
    assert not model.spillover.share(_BUSY).share


def test_zone_cut_off_receives_no_reads():
    """Reads sent to a zone that cannot be reached would wait for their time-out."""
    model = _build_pair()
    model.run(10)
    model.paths_s.pop((_BUSY, _IDLE))
    model.run(1)
    assert not model.spillover.share(_BUSY).share
    assert model.changes[-1][1].reason is ShareReason.unreachable


@pytest.mark.parametrize('silent', [_BUSY, _IDLE])
def test_old_figures_end_a_share(silent):
    """The share would stay however the zones fare once their entries are cut off from control."""
    model = _build_pair()
    model.run(10)
    model.silent.add(silent)
    model.run(3)
    assert not model.spillover.share(_BUSY).share


def test_demand_that_moves_turns_the_direction():
    """The zone that sent reads receives them, without both at the same time."""
    model = ZoneModel(_PRICE_S, a=_build_zone(100, 130), b=_build_zone(100, 50))
    model.run(10)
    assert model.spillover.shares.keys() == {_BUSY}
    demand = model.zones[_BUSY].demand
    model.zones[_BUSY].demand = model.zones[_IDLE].demand
    model.zones[_IDLE].demand = demand
    model.run(15)
    assert model.spillover.shares.keys() == {_IDLE}


def test_reads_return_when_they_save_less_than_the_price():
    """The operator pays more for the traffic than it saves."""
    spillover = ZoneSpillover()
    for now in range(20):
        wait_s = 1 if now in range(5) else 0.75 * _PRICE_S
        measures = {_BUSY: _measure(wait_s, now, b=0), _IDLE: _measure(0, now, a=0)}
        spillover.decide(now, _PRICE_S, measures)
        has_left = spillover.share(_BUSY).share > 0
        assert now not in {2, 3, 4} or has_left
    assert not has_left


def test_shares_end_without_a_price():
    """The operator has withdrawn the price, and entries decide by load again."""
    model = _build_pair()
    model.run(10)
    model.price_s = None
    model.run(0.5)
    assert not model.spillover.share(_BUSY).share
    assert model.changes[-1][1].reason is ShareReason.no_price


def test_growth_is_limited_by_what_the_destination_serves():
    """A small zone would be flooded by one step of a large one."""
    spillover = ZoneSpillover()
    for now in range(2):
        measures = {_BUSY: _measure(1, now, 1000, b=0)}
        measures[_IDLE] = _measure(0, now, 40, a=0)
        spillover.decide(now, _PRICE_S, measures)
    assert spillover.share(_BUSY) == ZoneShare(_IDLE, pytest.approx(0.01))


def test_one_high_wait_moves_no_reads():
    """The mean of one interval may be high by chance."""
    spillover = ZoneSpillover()
    for now, wait_s in enumerate((1, 0, 1, 0)):
        spillover.decide(
            now, _PRICE_S, {_BUSY: _measure(wait_s, now, b=0), _IDLE: _measure(0, now, a=0)}
        )
    assert spillover.shares == {}


def test_adopted_share_must_not_contradict_another():
    """Entries of two zones may report shares of different leaders."""
    spillover = ZoneSpillover()
    assert spillover.adopt(_BUSY, ZoneShare(_IDLE, 0.4))
    assert not spillover.adopt(_IDLE, ZoneShare(_BUSY, 0.1))
    assert not spillover.adopt(_IDLE, ZoneShare(_OTHER, 0.1))
    assert not spillover.adopt(_OTHER, ZoneShare(_BUSY, 0.1))
    assert spillover.shares == {_BUSY: ZoneShare(_IDLE, 0.4)}


_rarely = st.sampled_from((False, False, False, False, True))
_rates = st.floats(0, 500)
_figures = st.builds(
    ZoneMeasure,
    measured_at=_rarely.map(lambda is_old: -5 * is_old),
    wait_s=st.floats(0, 3),
    departures_per_s=_rates,
    demand_per_s=_rates,
    home_per_s=_rates,
    paths_s=_rarely.map(lambda is_cut: {} if is_cut else dict.fromkeys(_ZONES, 0.003)),
)
_prices = st.sampled_from((None, 0.0, 0.02, 0.2))
_steps = st.lists(st.tuples(_prices, st.tuples(_figures, _figures, _figures)), max_size=40)


@given(steps=_steps)
def test_rules_hold_for_any_figures(steps):
    """No zone both sends and receives, a share moves by a step, and is zero without a price."""
    spillover = ZoneSpillover()
    for now, (price_s, figures) in enumerate(steps):
        before = spillover.shares
        measures = {
            name: msgspec.structs.replace(measure, measured_at=now + measure.measured_at)
            for name, measure in zip(_ZONES, figures, strict=True)
        }
        spillover.decide(now, price_s, measures)
        _check_shares(before, spillover.shares, has_price=price_s is not None)


def _check_shares(
    before: dict[str, ZoneShare], after: dict[str, ZoneShare], *, has_price: bool
) -> None:
    assert has_price or not after
    assert not after.keys() & {share.destination for share in after.values()}
    for zone, share in after.items():
        assert 0 < share.share <= _MAX_SHARE
        previous = before.get(zone, ZoneShare(share.destination))
        assert previous.destination == share.destination
        assert MAX_FALL <= share.share - previous.share <= MAX_RISE
