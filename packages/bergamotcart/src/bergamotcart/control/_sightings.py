"""Targets as the entries see them, so that orders can be addressed."""

from dataclasses import dataclass
from typing import Final

from bergamotcart import messages
from bergamotcart.control._entry_table import EntryContact
from bergamotcart.control._tick import Tick
from bergamotcart.discovery import PeerSightings, has_same_content

# Entries renew their leases every 0.25 s, and each second renewal is followed by a pull.
PULL_PERIOD_S: Final = 0.45
# A dead instance keeps its addresses for this long, so that it is told to follow on return.
FORGET_S: Final = 3600.0


_Key = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Seen:
    """Newest announcement of an instance.

    :param made_after: time after which it was made, on this member's clock.
    """

    announcement: messages.Announcement
    made_after: float


class SightingTable:
    """Newest announcement of each instance."""

    __slots__ = ('_changed', '_groups', '_held', '_rows')

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[_Key, Seen] = {}
        self._groups: dict[str, set[_Key]] = {}
        self._held = PeerSightings()
        self._changed: set[str] = set()

    def clear(self) -> None:
        """Forget all instances."""
        self._rows.clear()
        self._groups.clear()
        self._held.clear()

    def pull(self, entry: str, now: float) -> messages.RelayPull:
        """Return the request for an entry's sightings."""
        return self._held.pull(entry, now)

    def add(self, envelope: messages.Envelope, batch: messages.RelayBatch, now: float) -> None:
        """Store a batch of sightings.

        :param envelope: names the entry that answered.
        :param batch: the answer to a pull; its echo is this member's own clock.
        :param now: seconds.
        """
        if batch.echo_sent_at > now:
            return
        for sighting in self._held.expand(envelope, batch):
            made_after = batch.echo_sent_at - sighting.age_s
            self._store(Seen(sighting.announcement, made_after))

    def note(self, announcement: messages.Announcement, made_after: float) -> None:
        """Store what an instance announced to this member itself.

        :param made_after: time after which it was made, in seconds.
        """
        self._store(Seen(announcement, made_after))

    def assume(self, seen: Seen) -> None:
        """Store an instance that is known from the replicated state only."""
        self._store(seen)

    def take_changed(self) -> set[str]:
        """Return and forget the groups whose instances announced something new."""
        changed = self._changed
        self._changed = set()
        return changed

    def forget_old(self, now: float, left_s: float) -> list[Seen]:
        """Drop and return the instances that nobody has seen for long.

        :param left_s: seconds after which one counts as ended that has announced its end.
        """
        limits = {True: now - left_s, False: now - FORGET_S}
        old = [
            seen
            for seen in self._rows.values()
            if seen.made_after <= limits[seen.announcement.leaving]
        ]
        for seen in old:
            self._rows.pop(_key(seen))
            self._groups[seen.announcement.group].discard(_key(seen))
        return old

    def of_group(self, group: str) -> list[Seen]:
        """Return the known instances of a group, ordered by name."""
        return [self._rows[key] for key in sorted(self._groups.get(group, ()))]

    def find(self, group: str, instance: str) -> Seen | None:
        """Return the newest sighting of an instance."""
        return self._rows.get((group, instance))

    def _store(self, seen: Seen) -> None:
        key = _key(seen)
        known = self._rows.get(key)
        if known is None or _is_newer(seen, known):
            self._rows[key] = seen
            self._groups.setdefault(key[0], set()).add(key)
            if known is None or not has_same_content(seen.announcement, known.announcement):
                self._changed.add(key[0])
        elif seen.made_after > known.made_after:
            self._confirm(key, seen, known)

    def _confirm(self, key: _Key, seen: Seen, known: Seen) -> None:
        # An entry that saw no change repeats the sequence of the last change that it saw.
        if has_same_content(seen.announcement, known.announcement):
            self._rows[key] = Seen(known.announcement, seen.made_after)


def is_fresh(tick: Tick, seen: Seen) -> bool:
    """Tell whether an instance announced itself recently."""
    return tick.now - seen.made_after <= tick.config.target_expiry_s


def pull_sightings(tick: Tick, contact: EntryContact) -> None:
    """Ask an entry that renews its lease for the targets that announced themselves to it."""
    if tick.config.targets_announce_here:
        return
    if tick.now - contact.pulled_at >= PULL_PERIOD_S:
        contact.pulled_at = tick.now
        pull = tick.local.sightings.pull(contact.key.name, tick.now)
        tick.send(contact.key.name, contact.address, pull)


def pull_from_members(tick: Tick) -> None:
    """Ask the other members for the targets that announced themselves to them."""
    if not tick.config.targets_announce_here:
        return
    if tick.now < tick.local.members_pulled_at + PULL_PERIOD_S:
        return
    tick.local.members_pulled_at = tick.now
    tick.wake_at(tick.now + PULL_PERIOD_S)
    for row in tick.state.members:
        if row.name != tick.config.name:
            tick.send(row.name, row.address, tick.local.sightings.pull(row.name, tick.now))


def _is_newer(seen: Seen, known: Seen) -> bool:
    """Compare by sequence within one start of the instance, else by time."""
    starts = (seen.announcement.started_at_ms, known.announcement.started_at_ms)
    if all(starts) and starts[0] != starts[1]:
        return starts[0] > starts[1]
    if seen.announcement.incarnation == known.announcement.incarnation:
        order = (seen.announcement.sequence, seen.made_after)
        return order > (known.announcement.sequence, known.made_after)
    return seen.made_after > known.made_after


def _key(seen: Seen) -> _Key:
    return seen.announcement.group, seen.announcement.instance
