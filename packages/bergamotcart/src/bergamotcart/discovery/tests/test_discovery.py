"""Guards against targets that look fresh, and ages that are not proved."""

from bergamotcart.discovery import (
    HeadHistory,
    Position,
    TargetKey,
    TargetTable,
    answer_pull,
    meets,
)
from bergamotcart.messages import Announcement, RelayPull, Sighting, TargetRole

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


def test_a_buffered_announcement_is_as_old_as_its_echo():
    """An announcement that was under way for long must not look fresh."""
    table = TargetTable(3.0)
    table.receive(10.0, _announcement(1))
    assert not table.takes_new_work(_KEY, 10.0)
    table.receive(20.0, _announcement(2, echo=16.5))
    assert not table.takes_new_work(_KEY, 20.0)
    table.receive(20.0, _announcement(3, echo=19.0))
    assert table.takes_new_work(_KEY, 21.9)
    assert not table.takes_new_work(_KEY, 22.0)


def test_an_echo_of_the_future_proves_nothing():
    """An echo that another process gave belongs to another clock."""
    table = TargetTable(3.0)
    table.receive(20.0, _announcement(1, echo=900.0))
    assert not table.takes_new_work(_KEY, 20.0)


def test_a_leaving_target_gets_no_new_work():
    """A late announcement must not bring a leaving target back."""
    table = TargetTable(3.0)
    table.receive(20.0, _announcement(5, echo=19.9, leaving=True))
    table.receive(20.1, _announcement(4, echo=20.0))
    assert not table.takes_new_work(_KEY, 20.1)


def test_a_former_incarnation_does_not_replace_the_living_one():
    """A late announcement of a dead process must not bring back its address."""
    table = TargetTable(3.0)
    table.receive(20.0, _announcement(90, echo=19.0))
    table.receive(21.0, _announcement(1, echo=20.5, incarnation='i2'))
    table.receive(21.1, _announcement(91, echo=19.5))
    assert table.get(_KEY).announcement.incarnation == 'i2'


def test_a_relayed_sighting_ages_from_the_pull():
    """A relay answer that was buffered must not look fresh, and is not relayed again."""
    table = TargetTable(3.0)
    sighting = Sighting(announcement=_announcement(1), age_s=1.5)
    assert table.receive_sightings(19.0, 18.0, (sighting,)) == [_KEY]
    assert table.takes_new_work(_KEY, 19.4)
    assert not table.takes_new_work(_KEY, 19.5)
    assert answer_pull(table, 'i1', 19.0, RelayPull(sent_at=19.0)).sightings == ()


def test_age_is_proved_by_the_last_head_at_or_below_the_position():
    """A replica must not count as younger than its data."""
    heads = HeadHistory()
    for sent_at, position in ((1.0, 10), (2.0, 10), (3.0, 12)):
        heads.add(sent_at, Position(1, position))
    assert heads.proved_at(Position(1, 11), ()) == 2
    assert heads.proved_at(Position(1, 12), ()) == 3
    assert heads.proved_at(Position(1, 9), ()) is None
    assert heads.proved_at(Position(1, 12), ((1, 11),)) is None


def test_floors_across_terms():
    """A floor on a discarded branch is met by nobody."""
    points = ((1, 10),)
    assert meets(Position(2, 12), Position(1, 10), points)
    assert not meets(Position(2, 12), Position(1, 11), points)
    assert not meets(Position(1, 11), Position(1, 9), points)
    assert not meets(Position(2, 8), Position(1, 9), points)
