"""Tests the freshness of targets, the proofs of data age and the comparison with floors."""

from bergamotcart.discovery import (
    Position,
    PrimaryPositionHistory,
    TargetKey,
    TargetTable,
    answer_pull,
    satisfies_floor,
)
from bergamotcart.messages import Announcement, RelayedAnnouncement, RelayPull, TargetRole

_KEY = TargetKey('tickets', 'a')


def _announcement(sequence: int, **fields: object) -> Announcement:
    defaults: dict[str, object] = {
        'group': 'tickets',
        'instance': 'a',
        'availability_zone': 'z1',
        'address': 'a:1',
        'admin_address': 'a:2',
        'role': TargetRole.replica,
        'term': 1,
        'log_term': 1,
        'position': 1,
        'slots': 5,
        'connection_limit': 35,
        'incarnation': 'i1',
        'sequence': sequence,
    }
    return Announcement(**(defaults | fields))


def test_announcement_age_is_measured_from_echo():
    """An announcement that was delayed in transit must not count as fresh."""
    table = TargetTable(3.0)
    table.store_direct_announcement(10.0, _announcement(1))
    assert not table.accepts_statements(_KEY, 10.0)
    table.store_direct_announcement(20.0, _announcement(2, echo=16.5))
    assert not table.accepts_statements(_KEY, 20.0)
    table.store_direct_announcement(20.0, _announcement(3, echo=19.0))
    assert table.accepts_statements(_KEY, 21.9)
    assert not table.accepts_statements(_KEY, 22.0)


def test_echo_from_the_future_is_ignored():
    """An echo later than the local time comes from the clock of another process."""
    table = TargetTable(3.0)
    table.store_direct_announcement(20.0, _announcement(1, echo=900.0))
    assert not table.accepts_statements(_KEY, 20.0)


def test_leaving_target_gets_no_new_statements():
    """A delayed older announcement must not make a leaving target eligible again."""
    table = TargetTable(3.0)
    table.store_direct_announcement(20.0, _announcement(5, echo=19.9, leaving=True))
    table.store_direct_announcement(20.1, _announcement(4, echo=20.0))
    assert not table.accepts_statements(_KEY, 20.1)


def test_former_incarnation_does_not_replace_running_one():
    """A delayed announcement of a dead process must not restore its address."""
    table = TargetTable(3.0)
    table.store_direct_announcement(20.0, _announcement(90, echo=19.0))
    table.store_direct_announcement(21.0, _announcement(1, echo=20.5, incarnation='i2'))
    table.store_direct_announcement(21.1, _announcement(91, echo=19.5))
    assert table.get(_KEY).announcement.incarnation == 'i2'


def test_relayed_announcement_age_is_measured_from_pull():
    """A delayed relay answer must not count as fresh, and its targets are not relayed again."""
    table = TargetTable(3.0)
    relayed = RelayedAnnouncement(announcement=_announcement(1), age_s=1.5)
    assert table.store_relayed_announcements(19.0, 18.0, (relayed,)) == [_KEY]
    assert table.accepts_statements(_KEY, 19.4)
    assert not table.accepts_statements(_KEY, 19.5)
    assert answer_pull(table, 'i1', 19.0, RelayPull(sent_at=19.0)).sightings == ()


def test_age_is_proved_by_last_primary_position_at_or_below_position():
    """Data of a replica must not count as more recent than it is."""
    history = PrimaryPositionHistory()
    for sent_at, position in ((1.0, 10), (2.0, 10), (3.0, 12)):
        history.add(sent_at, Position(1, position))
    assert history.proved_at(Position(1, 11), ()) == 2
    assert history.proved_at(Position(1, 12), ()) == 3
    assert history.proved_at(Position(1, 9), ()) is None
    assert history.proved_at(Position(1, 12), ((1, 11),)) is None


def test_floor_is_compared_across_terms():
    """No position satisfies a floor on a discarded branch."""
    branch_points = ((1, 10),)
    assert satisfies_floor(Position(2, 12), Position(1, 10), branch_points)
    assert not satisfies_floor(Position(2, 12), Position(1, 11), branch_points)
    assert not satisfies_floor(Position(1, 11), Position(1, 9), branch_points)
    assert not satisfies_floor(Position(2, 8), Position(1, 9), branch_points)
