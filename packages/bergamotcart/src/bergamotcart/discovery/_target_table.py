"""Table of the targets that announced themselves, directly or through a relay."""

from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from bergamotcart.discovery._positions import Position, TargetKey
from bergamotcart.messages import Announcement, RelayedAnnouncement

_NEVER: Final = float('-inf')
# Seconds for which a leaving primary still accepts statements: new statements must stop within 3 s
# of its announcement that it leaves, and its replacement takes at most 1 s.
LEAVING_GRACE_S: Final = 2.5


class KnownTarget(msgspec.Struct):
    """The newest announcement of one instance.

    :param sent_after: time on the local clock, in seconds, after which the announcement was
        certainly sent.
    :param direct_sent_after: the same for the last announcement that the target sent directly to
        this process; minus infinity if it never did.
    :param version: version of the table at which the content last changed.
    :param leaving_since: time on the local clock, in seconds, at which the target was first known to
        be leaving; ``None`` if it is not.
    """

    key: TargetKey
    announcement: Announcement
    sent_after: float
    direct_sent_after: float = float('-inf')
    version: int = 0
    leaving_since: float | None = None

    @property
    def position(self) -> Position:
        """Position at the time of the announcement."""
        return Position(self.announcement.log_term, self.announcement.position)


class TargetTable:
    """Target table of one process.

    :param expiry_s: age in seconds at which an announcement expires.
    """

    __slots__ = ('_expiry_s', '_groups', '_targets', '_version', 'oldest_base_version')

    def __init__(self, expiry_s: float, first_version: int = 1) -> None:
        """Initialize without targets.

        :param first_version: initial version of the table; a random one distinguishes the
            versions of two starts of a process that have the same incarnation.
        """
        self._expiry_s = expiry_s
        self._targets: dict[TargetKey, KnownTarget] = {}
        self._groups: dict[str, dict[TargetKey, KnownTarget]] = {}
        self._version = first_version
        self.oldest_base_version = first_version

    @property
    def version(self) -> int:
        """Version, incremented with each change of a target's content or of the set of targets."""
        return self._version

    @property
    def expiry_s(self) -> float:
        """Age in seconds at which an announcement expires."""
        return self._expiry_s

    def __iter__(self) -> Iterator[KnownTarget]:
        """Iterate over all targets, including expired ones that were not removed yet."""
        return iter(self._targets.values())

    def get(self, key: TargetKey) -> KnownTarget | None:
        """Return a target, or ``None`` if it never announced itself."""
        return self._targets.get(key)

    def list_group(self, group: str) -> Iterable[KnownTarget]:
        """Return the targets of a group."""
        return self._groups.get(group, {}).values()

    def accepts_statements(self, key: TargetKey, now: float) -> bool:
        """Tell whether a target may get new statements: it is not expired and not leaving."""
        target = self._targets.get(key)
        if target is None or target.announcement.leaving:
            return False
        return now - target.sent_after < self._expiry_s

    def accepts_primary_statements(self, key: TargetKey, now: float) -> bool:
        """Tell whether a primary may get new statements, for a grace period even if it is leaving.

        Statements for the primary cannot be sent elsewhere until it is replaced.
        """
        target = self._targets.get(key)
        if target is None or now - target.sent_after >= self._expiry_s:
            return False
        leaving_since = target.leaving_since
        return leaving_since is None or now < leaving_since + LEAVING_GRACE_S

    def store_direct_announcement(self, now: float, announcement: Announcement) -> bool:
        """Store an announcement that the target sent directly.

        The echo is the last time of the local clock that the target received, so the announcement
        was sent after it. Without an echo its age is unknown and it counts as expired.

        :param now: time on the local clock, in seconds.
        :returns: whether the target is new, or its announcement is newer than the stored one.
        """
        echo = announcement.echo
        sent_after = _NEVER if echo is None or echo > now else echo
        is_newer = self._store_announcement(announcement, sent_after)
        self._update_leaving_since(_target_key(announcement), now)
        target = self._targets[_target_key(announcement)]
        if target.announcement.incarnation == announcement.incarnation:
            if now - target.direct_sent_after >= self._expiry_s:
                # Answers to pulls have omitted it since it expired, so peers may not have it.
                self._mark_changed(target)
            target.direct_sent_after = max(target.direct_sent_after, sent_after)
        return is_newer

    def store_relayed_announcements(
        self,
        now: float,
        echo_sent_at: float,
        relayed_announcements: Iterable[RelayedAnnouncement],
    ) -> list[TargetKey]:
        """Store the announcements in the answer of a peer.

        :param now: time on the local clock, in seconds.
        :param echo_sent_at: time on the local clock at which the pull was sent, in seconds.
        :param relayed_announcements: targets with their maximum age when the peer answered.
        :returns: targets that are new or have a newer announcement.
        """
        if echo_sent_at > now:
            return []
        changed: list[TargetKey] = []
        for relayed in relayed_announcements:
            sent_after = echo_sent_at - max(relayed.age_s, 0)
            if self._store_announcement(relayed.announcement, sent_after):
                changed.append(_target_key(relayed.announcement))
                self._update_leaving_since(changed[-1], now)
        return changed

    def remove(self, key: TargetKey) -> None:
        """Remove a target."""
        self._targets.pop(key, None)
        self._groups.get(key.group, {}).pop(key, None)
        # An incremental answer cannot state removals, so a peer with an older version needs a
        # complete answer.
        self._version += 1
        self.oldest_base_version = self._version

    def is_expired(self, key: TargetKey, now: float) -> bool:
        """Tell whether a target is unknown or its announcement has expired."""
        target = self._targets.get(key)
        return target is None or now - target.sent_after >= self._expiry_s

    def _update_leaving_since(self, key: TargetKey, now: float) -> None:
        target = self._targets[key]
        if not target.announcement.leaving:
            target.leaving_since = None
        elif target.leaving_since is None:
            target.leaving_since = now

    def _store_announcement(self, announcement: Announcement, sent_after: float) -> bool:
        key = _target_key(announcement)
        known = self._targets.get(key)
        if known is None:
            self._insert(KnownTarget(key, announcement, sent_after))
            return True
        if known.announcement.incarnation != announcement.incarnation:
            if announcement.started_at_ms and known.announcement.started_at_ms:
                if announcement.started_at_ms < known.announcement.started_at_ms:
                    return False
                self._insert(KnownTarget(key, announcement, sent_after, known.direct_sent_after))
                return True
            # Incarnations are not ordered. The running one sends its announcements after every
            # echo that the former one could have received.
            if sent_after <= known.sent_after:
                return False
            self._insert(KnownTarget(key, announcement, sent_after, known.direct_sent_after))
            return True
        return self._update_known_target(known, announcement, sent_after)

    def _update_known_target(
        self, known: KnownTarget, announcement: Announcement, sent_after: float
    ) -> bool:
        content_is_same = has_same_content(known.announcement, announcement)
        is_newer = announcement.sequence > known.announcement.sequence
        # While nothing changes, a relay repeats the sequence number of the last change it received.
        if is_newer or content_is_same:
            known.sent_after = max(sent_after, known.sent_after)
        if is_newer:
            known.announcement = announcement
            if not content_is_same:
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
    """Tell whether two announcements of an instance are equal except in volatile fields.

    The volatile fields are the sequence number, the position and the echo.
    """
    return _stable_content(first) == _stable_content(second)


def _stable_content(announcement: Announcement) -> Announcement:
    return msgspec.structs.replace(announcement, sequence=0, position=0, echo=None)


def _target_key(announcement: Announcement) -> TargetKey:
    return TargetKey(announcement.group, announcement.instance)
