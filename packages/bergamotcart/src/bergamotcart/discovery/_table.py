"""Targets that announced themselves, directly or through a relay."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

import msgspec

from bergamotcart.discovery._positions import Position, TargetKey
from bergamotcart.messages import Announcement, Sighting

_NEVER: Final = float('-inf')
# A target that leaves gets no new work after 3 s; its replacement takes a second at most.
LEAVING_GRACE_S: Final = 2.5


@dataclass(slots=True)
class KnownTarget:
    """The newest announcement of one instance.

    :param made_after: time on the own clock, in seconds, after which it was certainly made.
    :param heard_after: time on the own clock, in seconds, after which the target certainly
        announced itself directly; minus infinity if it never did.
    :param version: version of the table at which the content last changed.
    :param leaving_since: time on the own clock, in seconds, at which it was first known to leave.
    """

    key: TargetKey
    announcement: Announcement
    made_after: float
    heard_after: float = float('-inf')
    version: int = 0
    leaving_since: float | None = None

    @property
    def position(self) -> Position:
        """Position at the time of the announcement."""
        return Position(self.announcement.log_term, self.announcement.position)


class TargetTable:
    """Target table of one process.

    :param expiry_s: age in seconds from which an announcement counts no more.
    """

    __slots__ = ('_expiry_s', '_groups', '_targets', '_version', 'complete_since')

    def __init__(self, expiry_s: float, first_version: int = 1) -> None:
        """Start without any target.

        :param first_version: where versions begin; a random one keeps those of two starts
            of a process apart, if both have the same incarnation.
        """
        self._expiry_s = expiry_s
        self._targets: dict[TargetKey, KnownTarget] = {}
        self._groups: dict[str, dict[TargetKey, KnownTarget]] = {}
        self._version = first_version
        self.complete_since = first_version

    @property
    def version(self) -> int:
        """Raised with each change of a target's content or of the set of targets."""
        return self._version

    @property
    def expiry_s(self) -> float:
        """Age in seconds from which an announcement counts no more."""
        return self._expiry_s

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

    def takes_primary_work(self, key: TargetKey, now: float) -> bool:
        """Tell whether a target may go on as primary, also for a moment after it said it leaves.

        Work for the primary has nowhere else to go until it is replaced.
        """
        target = self._targets.get(key)
        if target is None or now - target.made_after >= self._expiry_s:
            return False
        left_at = target.leaving_since
        return left_at is None or now < left_at + LEAVING_GRACE_S

    def receive(self, now: float, announcement: Announcement) -> bool:
        """Take an announcement that the target itself sent.

        The echo is the own clock as the target last saw it, so the announcement was
        made after that time. Without one its age is unknown and it counts as expired.

        :param now: own clock, in seconds.
        :returns: whether the target is new, or its announcement is newer than the known one.
        """
        echo = announcement.echo
        made_after = _NEVER if echo is None or echo > now else echo
        is_newer = self._take(announcement, made_after)
        self._note_leaving(_key_of(announcement), now)
        target = self._targets[_key_of(announcement)]
        if target.announcement.incarnation == announcement.incarnation:
            if now - target.heard_after >= self._expiry_s:
                # Answers to pulls left it out meanwhile, so peers may not hold it.
                self._mark_changed(target)
            target.heard_after = max(target.heard_after, made_after)
        return is_newer

    def receive_sightings(
        self,
        now: float,
        echo_sent_at: float,
        sightings: Iterable[Sighting],
    ) -> list[TargetKey]:
        """Take what a peer has seen.

        :param now: own clock, in seconds.
        :param echo_sent_at: own clock when the peer was asked.
        :param sightings: targets with their greatest age when the peer answered.
        :returns: targets that are new or have a newer announcement.
        """
        if echo_sent_at > now:
            return []
        changed: list[TargetKey] = []
        for sighting in sightings:
            made_after = echo_sent_at - max(sighting.age_s, 0)
            if self._take(sighting.announcement, made_after):
                changed.append(_key_of(sighting.announcement))
                self._note_leaving(changed[-1], now)
        return changed

    def remove(self, key: TargetKey) -> None:
        """Forget a target."""
        self._targets.pop(key, None)
        self._groups.get(key.group, {}).pop(key, None)
        # A peer that holds an older version cannot be told what was removed since.
        self._version += 1
        self.complete_since = self._version

    def is_expired(self, key: TargetKey, now: float) -> bool:
        """Tell whether the announcement of a target counts no more."""
        target = self._targets.get(key)
        return target is None or now - target.made_after >= self._expiry_s

    def _note_leaving(self, key: TargetKey, now: float) -> None:
        target = self._targets[key]
        if not target.announcement.leaving:
            target.leaving_since = None
        elif target.leaving_since is None:
            target.leaving_since = now

    def _take(self, announcement: Announcement, made_after: float) -> bool:
        key = _key_of(announcement)
        known = self._targets.get(key)
        if known is None:
            self._insert(KnownTarget(key, announcement, made_after))
            return True
        if known.announcement.incarnation != announcement.incarnation:
            if announcement.started_at_ms and known.announcement.started_at_ms:
                if announcement.started_at_ms < known.announcement.started_at_ms:
                    return False
                self._insert(KnownTarget(key, announcement, made_after, known.heard_after))
                return True
            # Incarnations have no order of their own. What the living one announces is
            # made after every echo that the former one could have received.
            if made_after <= known.made_after:
                return False
            self._insert(KnownTarget(key, announcement, made_after, known.heard_after))
            return True
        return self._refresh(known, announcement, made_after)

    def _refresh(self, known: KnownTarget, announcement: Announcement, made_after: float) -> bool:
        is_same = has_same_content(known.announcement, announcement)
        is_newer = announcement.sequence > known.announcement.sequence
        # A relay that saw no change repeats the sequence of the last change that it saw.
        if is_newer or is_same:
            known.made_after = max(made_after, known.made_after)
        if is_newer:
            known.announcement = announcement
            if not is_same:
                self._mark_changed(known)
        return is_newer

    def _insert(self, target: KnownTarget) -> None:
        self._targets[target.key] = target
        self._groups.setdefault(target.key.group, {})[target.key] = target
        self._mark_changed(target)

    def _mark_changed(self, target: KnownTarget) -> None:
        self._version += 1
        target.version = self._version


def has_same_content(first: Announcement, second: Announcement) -> bool:
    """Tell whether two announcements of an instance differ only in what always changes."""
    return _content(first) == _content(second)


def _content(announcement: Announcement) -> Announcement:
    return msgspec.structs.replace(announcement, sequence=0, position=0, echo=None)


def _key_of(announcement: Announcement) -> TargetKey:
    return TargetKey(announcement.group, announcement.instance)
