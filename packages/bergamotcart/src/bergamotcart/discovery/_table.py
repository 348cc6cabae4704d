"""Targets that announced themselves, directly or through a relay."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from bergamotcart.discovery._positions import Position, TargetKey
from bergamotcart.messages import Announcement, RelayBatch, Sighting


@dataclass(slots=True)
class KnownTarget:
    """The newest announcement of one instance.

    :param made_after: time on the own clock, in seconds, after which it was certainly made.
    :param direct: whether it came from the target itself.
    """

    key: TargetKey
    announcement: Announcement
    made_after: float
    direct: bool

    @property
    def position(self) -> Position:
        """Position at the time of the announcement."""
        return Position(self.announcement.log_term, self.announcement.position)


class TargetTable:
    """Target table of one process.

    :param expiry_s: age in seconds from which an announcement counts no more.
    """

    __slots__ = ('_expiry_s', '_groups', '_targets')

    def __init__(self, expiry_s: float) -> None:
        """Start without any target."""
        self._expiry_s = expiry_s
        self._targets: dict[TargetKey, KnownTarget] = {}
        self._groups: dict[str, dict[TargetKey, KnownTarget]] = {}

    def __iter__(self) -> Iterator[KnownTarget]:
        """Iterate over all targets, also expired ones that were not yet removed."""
        return iter(self._targets.values())

    def get(self, key: TargetKey) -> KnownTarget | None:
        """Return a target, or ``None`` if it never announced itself."""
        return self._targets.get(key)

    def of_group(self, group: str) -> Iterable[KnownTarget]:
        """Return the targets of a group."""
        return self._groups.get(group, {}).values()

    def takes_new_work(self, key: TargetKey, now: float) -> bool:
        """Tell whether a target is fresh and not leaving."""
        target = self._targets.get(key)
        if target is None or target.announcement.leaving:
            return False
        return now - target.made_after < self._expiry_s

    def receive(self, now: float, announcement: Announcement) -> bool:
        """Take an announcement that the target itself sent.

        The echo is the own clock as the target last saw it, so the announcement was
        made after that time. Without one its age is unknown and it counts as expired.

        :param now: own clock, in seconds.
        :returns: whether the target is new, or its announcement is newer than the known one.
        """
        echo = announcement.echo
        made_after = float('-inf') if echo is None or echo > now else echo
        return self._take(announcement, made_after, direct=True)

    def receive_batch(self, now: float, batch: RelayBatch) -> list[TargetKey]:
        """Take the answer of a peer to a pull.

        :param now: own clock, in seconds.
        :returns: targets that are new or have a newer announcement.
        """
        if batch.echo_sent_at > now:
            return []
        changed: list[TargetKey] = []
        for sighting in batch.sightings:
            made_after = batch.echo_sent_at - max(sighting.age_s, 0)
            if self._take(sighting.announcement, made_after, direct=False):
                changed.append(_key_of(sighting.announcement))
        return changed

    def sightings(self, now: float) -> tuple[Sighting, ...]:
        """Return the fresh targets that announced themselves here, for a peer."""
        return tuple(
            Sighting(announcement=target.announcement, age_s=now - target.made_after)
            for target in self._targets.values()
            if target.direct and now - target.made_after < self._expiry_s
        )

    def remove(self, key: TargetKey) -> None:
        """Forget a target."""
        self._targets.pop(key, None)
        self._groups.get(key.group, {}).pop(key, None)

    def is_expired(self, key: TargetKey, now: float) -> bool:
        """Tell whether the announcement of a target counts no more."""
        target = self._targets.get(key)
        return target is None or now - target.made_after >= self._expiry_s

    def _take(self, announcement: Announcement, made_after: float, *, direct: bool) -> bool:
        key = _key_of(announcement)
        known = self._targets.get(key)
        if known is None:
            self._insert(KnownTarget(key, announcement, made_after, direct))
            return True
        if known.announcement.incarnation != announcement.incarnation:
            # Incarnations have no order of their own. What the living one announces is
            # made after every echo that the former one could have received.
            if made_after <= known.made_after:
                return False
            self._insert(KnownTarget(key, announcement, made_after, direct))
            return True
        return _refresh(known, announcement, made_after, direct=direct)

    def _insert(self, target: KnownTarget) -> None:
        self._targets[target.key] = target
        self._groups.setdefault(target.key.group, {})[target.key] = target


def _refresh(
    known: KnownTarget,
    announcement: Announcement,
    made_after: float,
    *,
    direct: bool,
) -> bool:
    newer = announcement.sequence > known.announcement.sequence
    if announcement.sequence < known.announcement.sequence:
        return False
    if newer:
        known.announcement = announcement
        known.made_after = max(made_after, known.made_after)
        known.direct = direct
        return True
    known.made_after = max(made_after, known.made_after)
    known.direct = known.direct or direct
    return False


def _key_of(announcement: Announcement) -> TargetKey:
    return TargetKey(announcement.group, announcement.instance)
