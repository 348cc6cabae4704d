"""Tests of the number of connections."""

from hypothesis import given
from hypothesis import strategies as st

from bergamotcart.resources import Admission, ConnectionSlots, ResourceLimits

_ADMITTED = Admission(is_admitted=True)
_REFUSED = Admission(is_admitted=False)


def test_connection_that_does_not_identify_itself_gives_way():
    """Connections that never send STARTUP kept all callers out."""
    slots = ConnectionSlots(2)
    assert slots.open(1, now=0.0) == _ADMITTED
    assert slots.open(2, now=0.5) == _ADMITTED
    assert slots.open(3, now=0.6) == _REFUSED
    assert slots.open(3, now=1.0) == Admission(is_admitted=True, evicted=1)
    assert len(slots) == 2


def test_idle_session_of_the_greatest_share_gives_way_to_another_caller():
    """A caller with many idle sessions kept the others out."""
    slots = ConnectionSlots(8)
    for key in range(7):
        slots.open(key, now=0.0)
        assert slots.identify(key, 'greedy', now=0.0) == _ADMITTED
        slots.set_idle(key, now=0.0)
    slots.set_busy(0)
    slots.open(7, now=0.0)
    assert slots.identify(7, 'modest', now=0.0) == Admission(is_admitted=True, evicted=1)
    slots.open(8, now=0.0)
    assert slots.identify(8, 'greedy', now=0.0) == _REFUSED


def test_session_that_is_idle_for_long_gives_way_to_its_own_caller():
    """Idle sessions of a caller kept its new ones out for as long as they were connected."""
    slots = ConnectionSlots(8)
    for key in range(7):
        slots.open(key, now=0.0)
        assert slots.identify(key, 'client', now=0.0) == _ADMITTED
        slots.set_idle(key, now=key / 10)
    slots.set_busy(0)
    slots.open(7, now=1.0)
    assert slots.identify(7, 'client', now=1.0) == _REFUSED
    slots.open(8, now=1.1)
    assert slots.identify(8, 'client', now=1.1) == Admission(is_admitted=True, evicted=1)


def test_served_connection_does_not_give_way():
    """A request that is being answered must not be lost for a new connection."""
    slots = ConnectionSlots(1)
    slots.open(1, now=0.0)
    slots.begin_service(1)
    assert slots.open(2, now=9.0) == _REFUSED
    slots.end_service(1, now=9.0)
    assert slots.open(2, now=9.5) == _REFUSED
    assert slots.open(2, now=10.0) == Admission(is_admitted=True, evicted=1)


def test_number_of_pending_connections_has_its_own_limit():
    """Each connection of a peer without a valid message may hold a part of one."""
    slots = ConnectionSlots(10, pending_limit=1)
    slots.open(1, now=0.0)
    assert slots.open(2, now=0.0) == _REFUSED
    slots.begin_service(1)
    assert slots.open(2, now=0.0) == _ADMITTED


@given(st.integers(16, 100_000))
def test_descriptors_are_kept_back(max_fds):
    """Without descriptors, an entry reaches neither its instances nor control."""
    limits = ResourceLimits(max_fds=max_fds)
    for shares in (limits.entry_shares, limits.control_shares):
        # An entry has two HTTP servers besides, a control member too.
        connections = shares.callers + 2 * shares.http + shares.peers
        assert max_fds < 200 or connections <= max_fds * 13 // 16


def test_limits_of_the_deployments_leave_room_for_ordinary_callers():
    """An entry with 4,300 descriptors has up to a few hundred sessions."""
    limits = ResourceLimits(memory_mb=200, max_fds=4300)
    assert limits.entry_shares.callers > 2000
    assert limits.entry_shares.peers > 500
    assert ResourceLimits(max_fds=4096).control_shares.peers > 2000
    assert ResourceLimits().entry_shares.callers is None
