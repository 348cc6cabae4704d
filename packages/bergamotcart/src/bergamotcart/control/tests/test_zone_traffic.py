"""Tests that the leader decides on the shares of reads that leave a zone and grants them."""

import msgspec
import pytest

from bergamotcart import control, documents, messages
from bergamotcart.control._entry_table import EntryKey
from bergamotcart.control._zone_traffic import ZoneTraffic
from bergamotcart.control.tests._world import World
from bergamotcart.control.tests.test_engine import request_change, start_world

_BUSY = 'entry-1'
_IDLE = 'entry-2'
_STEP = 0.1
_ADOPTED = 0.3


class _ZoneWorld(World):
    """Each entry is in a zone of its name and reports the waits of the reads there.

    :ivar waits_s: wait of the reads of each zone, in seconds; other entries report nothing.
    :ivar granted: newest share of each entry, and the member that granted it.
    """

    def __init__(self, price_ms: float | None) -> None:
        self.price_ms = price_ms
        self.waits_s = {_BUSY: 1.0, _IDLE: 0.01}
        self.granted: dict[str, tuple[str, messages.GrantedZoneShare | msgspec.UnsetType]] = {}
        super().__init__()

    @property
    def share(self) -> messages.GrantedZoneShare | msgspec.UnsetType:
        """Share that the entry of the busy zone was granted last."""
        return self.granted[_BUSY][1]

    def _configuration(self, name: str) -> control.ControlConfiguration:
        return msgspec.structs.replace(
            super()._configuration(name), cross_zone_cost_ms=self.price_ms
        )

    def _send(self, sender, incarnation, recipient, body) -> None:
        if isinstance(body, messages.LeaseRequest) and sender in self.waits_s:
            _, granted = self.granted.get(sender, ('', msgspec.UNSET))
            report = self._build_report(sender, granted or messages.GrantedZoneShare())
            body = msgspec.structs.replace(body, zone_report=report)
        super()._send(sender, incarnation, recipient, body)

    def _deliver(self, envelope) -> None:
        if isinstance(envelope.body, messages.LeaseGrant):
            self.granted[envelope.recipient] = (envelope.sender, envelope.body.zone_share)
        super()._deliver(envelope)

    def _build_report(self, zone: str, applied: messages.GrantedZoneShare) -> messages.ZoneReport:
        figures = tuple(
            messages.ZoneFigures(
                zone=other,
                reads=50 if other == zone else 0,
                wait_s=self.waits_s[zone] if other == zone else 0,
                fastest_s=0.003 if other == zone else 0.006,
            )
            for other in self.waits_s
        )
        return messages.ZoneReport(window_s=0.5, arrived=60, applied=applied, zones=figures)


def _start(price_ms: float | None = 20) -> _ZoneWorld:
    world = _ZoneWorld(price_ms)
    start_world(world=world)
    world.run(5)
    return world


def test_share_of_busy_zone_is_granted_to_its_entries():
    """Entries that decided on their own would all leave at the same time."""
    world = _start()
    assert world.share.destination == _IDLE
    assert world.share.share > _STEP
    assert world.granted[_IDLE][1] == messages.GrantedZoneShare()
    raised = [decision for decision in world.decisions if decision.system == 'zone_shares']
    assert {decision.action for decision in raised} == {'raise'}
    assert 'saves 987 ms at a price of 20 ms' in raised[0].detail


def test_no_share_is_granted_without_a_price():
    """Deployments without a price must be served as before, with the same messages."""
    world = _start(None)
    assert world.share is msgspec.UNSET
    assert not world.leader.engine.status(world.leader.clock.local_time(world.now)).zone_shares


@pytest.mark.parametrize(('price_ms', 'is_sent'), [(2000, False), (20, True)])
def test_price_of_document_takes_precedence(price_ms, is_sent):
    """The operator changes the document without restarting control."""
    world = _ZoneWorld(100)
    start_world(world=world)
    body = documents.RoutesBody(routes=(), groups={}, cross_zone_cost_ms=price_ms)
    text = msgspec.json.encode(body).decode()
    request_change(world, section='routes', kind='routes', change_id='price', body=text)
    world.run(5)
    assert bool(world.share.share) is is_sent


def test_new_leader_continues_with_the_share():
    """All reads would return at once to a zone that cannot serve them."""
    world = _start()
    before = world.share
    former = world.leader
    world.crash(former)
    world.run_until(lambda: world.granted[_BUSY][0] != former.name)
    assert world.share == before
    world.run(2)
    assert world.share.share >= before.share


def test_new_leader_ignores_contradicting_shares():
    """Two zones would send to each other."""
    traffic = ZoneTraffic()
    for zone, destination in ('ab', 'ba'):
        applied = messages.GrantedZoneShare(destination=destination, share=_ADOPTED)
        traffic.adopt(zone, messages.ZoneReport(window_s=0.5, applied=applied))
    assert traffic.share('a').share == _ADOPTED
    assert not traffic.share('b').share


@pytest.mark.parametrize('cut', [_BUSY, _IDLE])
def test_share_ends_when_a_zone_is_cut_off(cut):
    """The leader knows nothing of the zone any more."""
    world = _start()
    world.cut = {cut}
    world.run(4)
    world.cut = set()
    world.waits_s.pop(cut)
    world.run(0.3)
    assert not world.share.share


def test_late_report_does_not_replace_a_newer_one():
    """A message that was delayed would bring back former figures."""
    traffic = ZoneTraffic()
    key = EntryKey('e', '1')
    for sent_at, wait_s in ((2.0, 1), (1.0, 3)):
        figures = messages.ZoneFigures(zone='a', reads=10, wait_s=wait_s)
        request = messages.LeaseRequest(
            sent_at=sent_at,
            address='e',
            availability_zone='a',
            applied_index=0,
            revision=0,
            zone_report=messages.ZoneReport(window_s=0.5, zones=(figures,)),
        )
        traffic.record(key, 'a', request, 2.0)
    assert traffic.measure(2.0)['a'].wait_s == 1
