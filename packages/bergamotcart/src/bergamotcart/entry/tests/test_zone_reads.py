"""Tests that an entry applies the granted share of reads that leave its zone, and reports figures."""

import msgspec
import pytest

from bergamotcart import messages
from bergamotcart.entry.tests import routed_entry_harness as routed
from bergamotcart.entry.tests.routed_entry_harness import RoutedEntryHarness
from bergamotcart.outcomes import ErrorKind, TargetError

_NEAR = 'b'
_FAR = 'c'
_SHARE = messages.GrantedZoneShare(destination='zc', share=0.3)


def _grant(
    harness: RoutedEntryHarness,
    share: messages.GrantedZoneShare | msgspec.UnsetType,
    requested_at: float | None = None,
) -> None:
    """Let control answer a lease request, by default the newest one."""
    if requested_at is None:
        harness.advance(0.3)
        requested_at = harness.lease_requests[-1].sent_at
    grant = harness.build_grant(requested_at, primary_position=10)
    harness.receive(msgspec.structs.replace(grant, zone_share=share))


def _read(harness: RoutedEntryHarness, count: int, wait_s: float = 0) -> str:
    """Send reads one after the other and return the names of the instances that served them."""
    session = harness.open_session('aged')
    served = ''
    for _ in range(count):
        harness.send_statement(session, routed.READ)
        execution = harness.next_execution()
        harness.now += wait_s
        harness.finish_execution(execution)
        served += execution.target.instance
    return served


def _report(harness: RoutedEntryHarness) -> messages.ZoneReport:
    harness.advance(0.3)
    return next(
        request.zone_report
        for request in reversed(harness.lease_requests)
        if isinstance(request.zone_report, messages.ZoneReport)
    )


def test_share_is_spread_evenly():
    """Reads that leave in clumps would queue at the other zone."""
    harness = RoutedEntryHarness()
    _grant(harness, _SHARE)
    served = _read(harness, 100)
    assert 29 <= served.count(_FAR) <= 31
    assert _FAR * 2 not in served
    assert _NEAR * 4 not in served


def test_other_reads_stay_whatever_the_load():
    """Each entry would otherwise add reads of its own to the share that control decided."""
    harness = RoutedEntryHarness()
    _grant(harness, messages.GrantedZoneShare())
    session = harness.open_session('aged')
    for _ in range(40):
        harness.send_statement(session, routed.READ)
        harness.step()
    assert {execution.target.instance for execution in harness.executions} == {_NEAR}


def test_read_goes_elsewhere_after_a_failure():
    """A preferred zone must not hold a read that its instances refuse."""
    harness = RoutedEntryHarness()
    _grant(harness, messages.GrantedZoneShare())
    harness.send_statement(harness.open_session('aged'), routed.READ)
    execution = harness.next_execution()
    assert execution.target.instance == _NEAR
    harness.fail_execution(execution, TargetError(0, 'TOOMANY', '', ErrorKind.busy))
    assert harness.next_execution().target.instance != _NEAR


@pytest.mark.parametrize('share', [_SHARE, messages.GrantedZoneShare()])
def test_share_ends_without_a_fresh_grant(share):
    """Control may have taken the share back meanwhile, or may not know this zone any more."""
    harness = RoutedEntryHarness()
    _grant(harness, share)
    harness.advance(1.5)
    assert harness.engine.status(harness.now).cross_zone_share is None
    assert any(
        (decision.system, decision.action) == ('zone_shares', 'fall_back')
        for decision in harness.decisions
    )


def test_late_grant_does_not_replace_a_newer_share():
    """The share would jump back until the next grant."""
    harness = RoutedEntryHarness()
    harness.advance(0.3)
    earlier = harness.lease_requests[-1].sent_at
    _grant(harness, _SHARE)
    _grant(harness, messages.GrantedZoneShare(), requested_at=earlier)
    assert harness.engine.status(harness.now).cross_zone_share == _SHARE.share


def test_figures_are_reported_by_zone():
    """Control decides from the waits at each zone's instances."""
    harness = RoutedEntryHarness()
    _grant(harness, _SHARE)
    _report(harness)
    _grant(harness, _SHARE)
    served = _read(harness, 10, wait_s=0.02)
    report = _report(harness)
    figures = {each.zone: each for each in report.zones}
    assert report.arrived == 10
    assert report.applied == _SHARE
    assert figures['zb'].reads == served.count(_NEAR)
    assert figures['zb'].wait_s == pytest.approx(0.02)
    assert figures['zc'].reads == served.count(_FAR)
    assert figures['zc'].fastest_s == pytest.approx(0.02)


def test_entry_without_a_share_reports_nothing():
    """Deployments without a price must send the same messages as before."""
    harness = RoutedEntryHarness()
    _read(harness, 5)
    harness.grant_lease(primary_position=10)
    harness.advance(0.6)
    assert all(request.zone_report is msgspec.UNSET for request in harness.lease_requests)
    assert b'zone_report' not in msgspec.msgpack.encode(harness.lease_requests[-1])
    grant = harness.build_grant(harness.now)
    assert b'zone_share' not in msgspec.msgpack.encode(grant)


def test_unmeasured_zone_is_probed():
    """Its path would stay unknown, so that it could never receive reads."""
    harness = RoutedEntryHarness()
    _grant(harness, messages.GrantedZoneShare())
    harness.probes.clear()
    for _ in range(40):
        _grant(harness, messages.GrantedZoneShare())
        harness.now += 0.004
        harness.answer_probes()
    assert {each.zone for each in _report(harness).zones if each.fastest_s is not None} == {
        'za',
        'zb',
        'zc',
    }
