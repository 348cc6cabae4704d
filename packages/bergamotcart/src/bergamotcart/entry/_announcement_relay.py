"""Relay pulls, which exchange the known targets with entries of other availability zones.

If targets announce themselves to control, the targets are pulled from the control members instead.
"""

from typing import Final

import msgspec

from bergamotcart.discovery import PeerAnnouncements, TargetKey, answer_pull
from bergamotcart.entry._context import EngineContext
from bergamotcart.messages import Envelope, RelayBatch, RelayPull

# Interval between pulls from other availability zones. An announcement is up to 2 s old when it is
# replaced; with this interval it reaches the other zones well before it expires after 3 s.
PULL_INTERVAL_S: Final = 0.5
# Intervals between pulls from control members. A leaving target must be known within 3.3 s. An entry that has
# just started needs the targets at once, so it pulls more often until it knows one.
MEMBER_PULL_INTERVAL_S: Final = 1.0
FIRST_PULL_INTERVAL_S: Final = 0.25
# Time for which a member need not be pulled from after another one has answered for it; a little
# longer than the interval between two pulls.
COVERAGE_TIMEOUT_S: Final = 1.25
# Delay after which an unanswered pull is retried at another entry of the same availability zone.
_RETRY_DELAY_S: Final = 0.15
_MAX_REMEMBERED_PULLS: Final = 64
_PEER_INDEX_RANGE: Final = 1 << 16


class _Peer(msgspec.Struct, frozen=True):
    name: str
    address: str


class AnnouncementRelay:
    """Pulls targets from one peer of each other availability zone, and answers pulls of peers.

    If targets announce themselves to control, it pulls from the member with the shortest round
    trip, and from each other member for which that one does not answer.
    """

    __slots__ = (
        '_answered_zones',
        '_covered_until',
        '_peer_indexes',
        '_pulled_zones',
        '_round_trips',
        '_sent_pulls',
        '_peer_announcements',
        '_context',
    )

    def __init__(self, context: EngineContext) -> None:
        """Create the relay without known peers."""
        self._context = context
        self._sent_pulls: dict[float, None] = {}
        self._answered_zones: set[str] = set()
        self._peer_announcements = PeerAnnouncements()
        self._peer_indexes: dict[str, int] = {}
        self._pulled_zones: set[str] = set()
        self._round_trips: dict[str, float] = {}
        self._covered_until: dict[str, float] = {}

    def start(self) -> None:
        """Start the periodic pulls."""
        self._pull_all()

    def handle_pull(self, envelope: Envelope, pull: RelayPull) -> None:
        """Answer a pull with the targets that announced themselves to this entry."""
        context = self._context
        batch = answer_pull(context.targets, context.configuration.incarnation, context.now, pull)
        self._context.send(envelope.sender, envelope.sender_address, batch)

    def process_batch(self, envelope: Envelope, batch: RelayBatch) -> list[TargetKey]:
        """Process the answer to a pull.

        :returns: keys of the targets that are new or have a newer announcement.
        """
        if batch.echo_sent_at not in self._sent_pulls:
            return []
        row = self._context.control_view.entries.get(envelope.sender)
        self._answered_zones.add(row.availability_zone if row else envelope.sender)
        relayed_announcements = self._peer_announcements.apply_batch(envelope, batch)
        self._record_answer(envelope.sender, batch)
        return self._context.targets.store_relayed_announcements(
            self._context.now, batch.echo_sent_at, relayed_announcements
        )

    def _record_answer(self, sender: str, batch: RelayBatch) -> None:
        round_trip_s = self._context.now - batch.echo_sent_at
        self._round_trips[sender] = min(round_trip_s, self._round_trips.get(sender, round_trip_s))
        if sender == self._nearest_member():
            covered_until = batch.echo_sent_at + COVERAGE_TIMEOUT_S
            self._covered_until.update(dict.fromkeys(batch.covered, covered_until))

    def _nearest_member(self) -> str | None:
        return min(self._round_trips, key=self._round_trips.__getitem__, default=None)

    def _is_pull_needed(self, zone: str) -> bool:
        if not self._context.configuration.targets_announce_to_control:
            return True
        is_known = zone in self._round_trips and zone != self._nearest_member()
        return not (is_known and self._context.now < self._covered_until.get(zone, float('-inf')))

    @property
    def _pull_interval_s(self) -> float:
        if not self._context.configuration.targets_announce_to_control:
            return PULL_INTERVAL_S
        has_targets = any(True for _ in self._context.targets)
        return MEMBER_PULL_INTERVAL_S if has_targets else FIRST_PULL_INTERVAL_S

    def _pull_all(self) -> None:
        self._answered_zones.clear()
        peers_by_zone = self._peers()
        self._retain_peers({peer.name for peers in peers_by_zone.values() for peer in peers})
        self._remember_pull(self._context.now)
        self._pulled_zones = {zone for zone in peers_by_zone if self._is_pull_needed(zone)}
        for zone in peers_by_zone:
            if zone in self._pulled_zones:
                self._pull(zone, peers_by_zone[zone])
        self._context.call_later(_RETRY_DELAY_S, self._retry_unanswered)
        self._context.call_later(self._pull_interval_s, self._pull_all)

    def _retry_unanswered(self) -> None:
        unanswered = {
            zone: peers
            for zone, peers in self._peers().items()
            if zone in self._pulled_zones - self._answered_zones
        }
        if not unanswered:
            return
        self._remember_pull(self._context.now)
        for zone, peers in unanswered.items():
            self._peer_indexes[zone] = self._peer_index(zone) + 1
            self._pull(zone, peers)

    def _pull(self, zone: str, peers: list[_Peer]) -> None:
        peer = peers[self._peer_index(zone) % len(peers)]
        self._context.send(
            peer.name,
            peer.address,
            self._peer_announcements.make_pull(
                peer.name,
                self._context.now,
                includes_relayed=self._context.configuration.targets_announce_to_control,
            ),
        )

    def _retain_peers(self, names: set[str]) -> None:
        self._peer_announcements.retain_peers(names)
        self._round_trips = {
            name: round_trip_s for name, round_trip_s in self._round_trips.items() if name in names
        }

    def _peer_index(self, zone: str) -> int:
        # The first index is random, because otherwise all entries would pull from the first peer of
        # each zone.
        start = self._context.random.randrange(_PEER_INDEX_RANGE)
        return self._peer_indexes.setdefault(zone, start)

    def _remember_pull(self, sent_at: float) -> None:
        self._sent_pulls[sent_at] = None
        if len(self._sent_pulls) > _MAX_REMEMBERED_PULLS:
            self._sent_pulls.pop(next(iter(self._sent_pulls)))

    def _peers(self) -> dict[str, list[_Peer]]:
        """Return lists of processes to pull from; one answer per list is enough."""
        if self._context.configuration.targets_announce_to_control:
            return {member.name: [member] for member in self._members()}
        zones: dict[str, list[_Peer]] = {}
        for row in self._context.control_view.entries.values():
            if row.availability_zone != self._context.configuration.availability_zone:
                peer = _Peer(row.name, row.address)
                zones.setdefault(row.availability_zone, []).append(peer)
        return zones

    def _members(self) -> list[_Peer]:
        rows = self._context.control_view.members
        if rows:
            return [_Peer(row.name, row.address) for row in rows.values()]
        return [_Peer(name, address) for name, address in self._context.contact_points]
