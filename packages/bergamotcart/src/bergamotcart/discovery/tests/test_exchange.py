"""Guards against targets that are lost, or kept alive, by answers that carry changes only."""

import msgspec

from bergamotcart import discovery, messages

_EXPIRY_S = 3.0
_KEY = discovery.TargetKey('tickets', 'tickets-1')


def _announcement(sequence: int, **changed: object) -> messages.Announcement:
    announcement = messages.Announcement(
        group=_KEY.group,
        instance=_KEY.instance,
        availability_zone='huye',
        address='10.0.0.1:3306',
        admin_address='10.0.0.1:8080',
        role=messages.TargetRole.replica,
        term=1,
        log_term=1,
        position=sequence,
        slots=5,
        connection_limit=35,
        incarnation='first',
        sequence=sequence,
    )
    return msgspec.structs.replace(announcement, **changed)


class _Pair:
    """A peer that hears a target, and a puller."""

    def __init__(self) -> None:
        self.peer = discovery.TargetTable(_EXPIRY_S)
        self.puller = discovery.TargetTable(_EXPIRY_S)
        self.held = discovery.PeerSightings()
        self.incarnation = 'first'

    def hear(self, now: float, sequence: int, **changed: object) -> None:
        self.peer.receive(now, _announcement(sequence, echo=now, **changed))

    def answer(self, now: float) -> messages.RelayBatch:
        pull = self.held.pull('peer', now)
        return discovery.answer_pull(self.peer, self.incarnation, now, pull)

    def take(self, now: float, batch: messages.RelayBatch) -> None:
        envelope = messages.Envelope(
            version=messages.FORMAT_VERSION,
            domain='test',
            sender='peer',
            incarnation=self.incarnation,
            sender_address='peer:1',
            recipient='puller',
            body=batch,
        )
        sightings = self.held.expand(envelope, batch)
        self.puller.receive_sightings(now, batch.echo_sent_at, sightings)

    def pull(self, now: float) -> messages.RelayBatch:
        batch = self.answer(now)
        self.take(now, batch)
        return batch


def test_an_unchanged_target_is_not_sent_again_and_stays_fresh():
    """A target that only repeats itself must neither cost bytes nor expire."""
    pair = _Pair()
    for second in range(10):
        pair.hear(second, sequence=second + 1)
        batch = pair.pull(second)
    assert not batch.sightings
    assert pair.puller.takes_new_work(_KEY, 9)


def test_a_silent_target_expires_at_the_puller():
    """The common age of unchanged targets must not keep a dead one alive."""
    pair = _Pair()
    pair.hear(0, sequence=1)
    for half_second in range(1, 8):
        pair.pull(half_second / 2)
    assert not pair.puller.takes_new_work(_KEY, 3.5)


def test_a_leaving_target_is_sent_at_once():
    """A change of content must not be covered by the common age."""
    pair = _Pair()
    pair.hear(0, sequence=1)
    pair.pull(0)
    pair.hear(1, sequence=2, leaving=True)
    pair.pull(1)
    assert not pair.puller.takes_new_work(_KEY, 1)


def test_a_target_that_is_heard_again_is_sent_again():
    """A puller that came while a target was silent would never learn of it."""
    pair = _Pair()
    pair.hear(0, sequence=1)
    pair.pull(5)
    pair.hear(6, sequence=2)
    pair.pull(6)
    assert pair.puller.takes_new_work(_KEY, 6)


def test_a_restarted_peer_sends_everything():
    """Versions of another incarnation must not be taken for the held ones."""
    pair = _Pair()
    pair.hear(0, sequence=1)
    pair.pull(0)
    pair.incarnation = 'second'
    pair.peer = discovery.TargetTable(_EXPIRY_S)
    pair.hear(1, sequence=2, address='10.0.0.9:3306')
    pair.pull(1)
    known = pair.puller.get(_KEY)
    assert known is not None
    assert known.announcement.address == '10.0.0.9:3306'


def test_a_late_answer_does_not_bring_old_content_back():
    """A buffered answer that arrives after a newer one must change nothing."""
    pair = _Pair()
    pair.hear(0, sequence=1)
    late = pair.answer(0)
    pair.hear(1, sequence=2, leaving=True)
    pair.pull(1)
    pair.take(2, late)
    pair.hear(2, sequence=3, leaving=True)
    pair.pull(2)
    assert not pair.puller.takes_new_work(_KEY, 2)


def test_a_peer_that_starts_anew_under_its_old_incarnation_is_heard_again():
    """A control member keeps its incarnation over a restart, but counts versions from elsewhere."""
    pair = _Pair()
    pair.peer = discovery.TargetTable(_EXPIRY_S, first_version=1000)
    pair.hear(0, sequence=1)
    pair.pull(0)
    pair.peer = discovery.TargetTable(_EXPIRY_S, first_version=10)
    pair.hear(1, sequence=2, leaving=True)
    pair.pull(1)
    assert not pair.puller.takes_new_work(_KEY, 1)
