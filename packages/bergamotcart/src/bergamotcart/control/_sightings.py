"""Targets as the entries see them, so that orders can be addressed."""

from dataclasses import dataclass
from typing import Final

from bergamotcart import messages
from bergamotcart.control._tick import Tick

PULL_PERIOD_S: Final = 0.5
FRESH_S: Final = 3.0
# A dead instance keeps its addresses for this long, so that it is told to follow on return.
FORGET_S: Final = 3600.0


@dataclass(frozen=True, slots=True)
class Seen:
    """Newest announcement of an instance.

    :param made_after: time after which it was made, on this member's clock.
    """

    announcement: messages.Announcement
    made_after: float


class SightingTable:
    """Newest announcement of each instance."""

    __slots__ = ('_rows',)

    def __init__(self) -> None:
        """Start empty."""
        self._rows: dict[tuple[str, str], Seen] = {}

    def clear(self) -> None:
        """Forget all instances."""
        self._rows.clear()

    def add(self, batch: messages.RelayBatch, now: float) -> None:
        """Store a batch of sightings.

        :param batch: the answer to a pull; its echo is this member's own clock.
        :param now: seconds.
        """
        if batch.echo_sent_at > now:
            return
        for sighting in batch.sightings:
            made_after = batch.echo_sent_at - sighting.age_s
            self._store(Seen(sighting.announcement, made_after))

    def forget_old(self, now: float) -> None:
        """Drop instances that nobody has seen for long."""
        kept = [seen for seen in self._rows.values() if now - seen.made_after < FORGET_S]
        self._rows = {_key(seen): seen for seen in kept}

    def of_group(self, group: str) -> list[Seen]:
        """Return the known instances of a group, ordered by name."""
        rows = [seen for seen in self._rows.values() if seen.announcement.group == group]
        return sorted(rows, key=_key)

    def find(self, group: str, instance: str) -> Seen | None:
        """Return the newest sighting of an instance."""
        return self._rows.get((group, instance))

    def _store(self, seen: Seen) -> None:
        key = _key(seen)
        known = self._rows.get(key)
        if known is None or _is_newer(seen, known):
            self._rows[key] = seen


def is_fresh(seen: Seen, now: float) -> bool:
    """Tell whether an instance announced itself recently."""
    return now - seen.made_after <= FRESH_S


def pull_sightings(tick: Tick) -> None:
    """Ask each known entry for the targets that announced themselves to it."""
    for contact in tick.local.entries.contacts:
        if tick.now - contact.pulled_at >= PULL_PERIOD_S:
            contact.pulled_at = tick.now
            tick.send(contact.key.name, contact.address, messages.RelayPull(sent_at=tick.now))
        tick.wake_at(contact.pulled_at + PULL_PERIOD_S)


def _is_newer(seen: Seen, known: Seen) -> bool:
    """Compare by sequence within one start of the instance, else by time."""
    if seen.announcement.incarnation == known.announcement.incarnation:
        order = (seen.announcement.sequence, seen.made_after)
        return order > (known.announcement.sequence, known.made_after)
    return seen.made_after > known.made_after


def _key(seen: Seen) -> tuple[str, str]:
    return seen.announcement.group, seen.announcement.instance
