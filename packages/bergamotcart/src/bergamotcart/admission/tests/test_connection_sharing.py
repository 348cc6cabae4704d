"""Tests of the connections that entries share."""

from bergamotcart.admission import ConnectionSharing

_INTERVAL_S = 0.25


def _adjust(sharing: ConnectionSharing, rounds: int, occupancy: float | None = None) -> None:
    """Adjust a number of times, each time with the same occupancy."""
    for number in range(rounds):
        now = number * _INTERVAL_S
        if occupancy is not None:
            sharing.record_occupancy(now, occupancy)
        sharing.adjust(now)


def test_idle_time_shrinks_after_refusals():
    """An entry at the minimum quota closes unused connections that another entry needs."""
    sharing = ConnectionSharing()
    first = sharing.idle_s
    for _ in range(4):
        sharing.record_refusal()
        sharing.adjust(0)
    assert sharing.quota == 2
    assert sharing.idle_s < first


def test_high_occupancy_shortens_the_idle_time():
    """An entry that has connections is refused none, so only the occupancy tells it."""
    sharing = ConnectionSharing()
    _adjust(sharing, 20)
    roomy_s = sharing.idle_s
    assert sharing.count_kept(4, 0.5) == 2
    _adjust(sharing, 20, occupancy=1)
    assert sharing.idle_s < roomy_s / 2
    assert not sharing.count_kept(4, 0.5)


def test_low_occupancy_lengthens_the_idle_time():
    """A connection that is closed without need must be opened again at the cost of a slot."""
    sharing = ConnectionSharing()
    _adjust(sharing, 20, occupancy=1)
    crowded_s = sharing.idle_s
    _adjust(sharing, 40, occupancy=0.5)
    assert sharing.idle_s > crowded_s
    assert sharing.is_keeping


def test_occupancy_is_forgotten_without_reports():
    """A former primary is not asked any more, so its last occupancy says nothing."""
    sharing = ConnectionSharing()
    _adjust(sharing, 20, occupancy=1)
    sharing.adjust(60)
    assert sharing.occupancy is None
    assert sharing.is_keeping


def test_each_entry_finds_a_free_connection():
    """After a loss of power, all entries connect anew while the former connections are counted."""
    sharing = ConnectionSharing()
    sharing.change_share(46 / 27)
    _adjust(sharing, 20, occupancy=0.8)
    assert not sharing.is_keeping
    _adjust(sharing, 40, occupancy=0.5)
    assert sharing.is_keeping
