"""Relays: pulls the targets of other availability zones from entries there."""

from dataclasses import dataclass
from typing import Final

from bergamotcart.discovery import PeerSightings, TargetKey, answer_pull
from bergamotcart.entry._workspace import Workspace
from bergamotcart.messages import Envelope, RelayBatch, RelayPull

# An announcement is up to 2 s old when it is replaced; with this pause it reaches the
# other availability zones well before it expires after 3 s.
PULL_INTERVAL_S: Final = 0.5
# Control members are pulled from one by one, so each change comes by all of them. A leaving
# target must be known within 3 s; a started entry needs the targets at once.
MEMBER_PULL_INTERVAL_S: Final = 1.0
FIRST_PULL_INTERVAL_S: Final = 0.25
# An unanswered pull is repeated at another entry of the same availability zone.
_RETRY_S: Final = 0.15
_REMEMBERED_PULLS: Final = 64
_PEER_STARTS: Final = 1 << 16


@dataclass(frozen=True, slots=True)
class _Peer:
    name: str
    address: str


class Relays:
    """Pulls from one entry of each other availability zone and answers the pulls of peers."""

    __slots__ = ('_answered', '_held', '_next_peer', '_sent', '_work')

    def __init__(self, work: Workspace) -> None:
        """Start without peers."""
        self._work = work
        self._sent: dict[float, None] = {}
        self._answered: set[str] = set()
        self._held = PeerSightings()
        self._next_peer: dict[str, int] = {}

    def start(self) -> None:
        """Begin to pull."""
        self._pull_all()

    def answer(self, envelope: Envelope, pull: RelayPull) -> None:
        """Send a peer the targets that announced themselves here."""
        work = self._work
        batch = answer_pull(work.table, work.config.incarnation, work.now, pull)
        self._work.send(envelope.sender, envelope.sender_address, batch)

    def take(self, envelope: Envelope, batch: RelayBatch) -> list[TargetKey]:
        """Take the answer to a pull.

        :returns: targets that are new or have a newer announcement.
        """
        if batch.echo_sent_at not in self._sent:
            return []
        row = self._work.view.entries.get(envelope.sender)
        self._answered.add(row.availability_zone if row else envelope.sender)
        sightings = self._held.expand(envelope, batch)
        return self._work.table.receive_sightings(self._work.now, batch.echo_sent_at, sightings)

    @property
    def _interval(self) -> float:
        if not self._work.config.targets_announce_to_control:
            return PULL_INTERVAL_S
        is_known = any(True for _ in self._work.table)
        return MEMBER_PULL_INTERVAL_S if is_known else FIRST_PULL_INTERVAL_S

    def _pull_all(self) -> None:
        self._answered.clear()
        self._held.keep({row.name for rows in self._peers().values() for row in rows})
        self._note(self._work.now)
        for zone, rows in self._peers().items():
            self._pull(zone, rows)
        self._work.after(_RETRY_S, self._retry)
        self._work.after(self._interval, self._pull_all)

    def _retry(self) -> None:
        unanswered = {
            zone: rows for zone, rows in self._peers().items() if zone not in self._answered
        }
        if not unanswered:
            return
        self._note(self._work.now)
        for zone, rows in unanswered.items():
            self._next_peer[zone] = self._peer_number(zone) + 1
            self._pull(zone, rows)

    def _pull(self, zone: str, rows: list[_Peer]) -> None:
        row = rows[self._peer_number(zone) % len(rows)]
        self._work.send(row.name, row.address, self._held.pull(row.name, self._work.now))

    def _peer_number(self, zone: str) -> int:
        # Without a random start, all entries would pull from the first one of each zone.
        start = self._work.random.randrange(_PEER_STARTS)
        return self._next_peer.setdefault(zone, start)

    def _note(self, sent_at: float) -> None:
        self._sent[sent_at] = None
        if len(self._sent) > _REMEMBERED_PULLS:
            self._sent.pop(next(iter(self._sent)))

    def _peers(self) -> dict[str, list[_Peer]]:
        """Return where to pull from: one process of each list."""
        if self._work.config.targets_announce_to_control:
            return {member.name: [member] for member in self._members()}
        zones: dict[str, list[_Peer]] = {}
        for row in self._work.view.entries.values():
            if row.availability_zone != self._work.config.availability_zone:
                peer = _Peer(row.name, row.address)
                zones.setdefault(row.availability_zone, []).append(peer)
        return zones

    def _members(self) -> list[_Peer]:
        rows = self._work.view.members
        if rows:
            return [_Peer(row.name, row.address) for row in rows.values()]
        return [_Peer(name, address) for name, address in self._work.contacts]
