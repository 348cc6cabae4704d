"""Incremental exchange of announcements between processes.

An answer to a pull lists only the targets that changed since the last answer. A full answer takes
about 300 bytes for each target of an availability zone; with 21 groups and two pulls per second,
full answers were three quarters of the bytes that an idle entry received, although targets seldom
change anything but their position.
"""

from typing import Final

import msgspec

from bergamotcart.discovery._positions import TargetKey
from bergamotcart.discovery._target_table import KnownTarget, TargetTable
from bergamotcart.messages import Announcement, Envelope, RelayBatch, RelayedAnnouncement, RelayPull

# An unchanged target that announced itself within this time is not listed in an answer; the age
# that the answer states for all unchanged targets covers it.
_COMMON_AGE_LIMIT_S: Final = 2.0


def answer_pull(
    table: TargetTable,
    incarnation: str,
    now: float,
    pull: RelayPull,
    covered: tuple[str, ...] = (),
) -> RelayBatch:
    """Answer a pull with the targets that announced themselves to this process.

    If the pull asks for them, the answer includes the targets that this process knows from others.

    :param table: target table of this process.
    :param incarnation: incarnation of this process; table versions are comparable only within it.
    :param now: time on the local clock, in seconds.
    :param pull: the request.
    :param covered: processes whose recent announcements the table includes.
    """
    base_version = _find_base_version(table, incarnation, pull)
    listed: list[RelayedAnnouncement] = []
    silent: list[tuple[str, str]] = []
    unchanged_age_s = 0.0
    for target in table:
        sent_after = _find_sent_after(target, pull)
        age_s = now - sent_after
        if target.version <= base_version and age_s < _COMMON_AGE_LIMIT_S:
            unchanged_age_s = max(unchanged_age_s, age_s)
        elif age_s < table.expiry_s:
            listed.append(RelayedAnnouncement(announcement=target.announcement, age_s=age_s))
        elif _may_have_been_listed(base_version, sent_after):
            silent.append((target.key.group, target.key.instance))
    return RelayBatch(
        echo_sent_at=pull.sent_at,
        sightings=tuple(listed),
        base_version=base_version,
        version=table.version,
        unchanged_age_s=unchanged_age_s,
        silent=tuple(silent),
        covered=_find_covered(covered, pull),
    )


def _find_sent_after(target: KnownTarget, pull: RelayPull) -> float:
    return target.sent_after if pull.includes_relayed else target.direct_sent_after


def _may_have_been_listed(base_version: int, sent_after: float) -> bool:
    return base_version > 0 and sent_after > float('-inf')


def _find_covered(covered: tuple[str, ...], pull: RelayPull) -> tuple[str, ...]:
    return covered if pull.includes_relayed else ()


def _find_base_version(table: TargetTable, incarnation: str, pull: RelayPull) -> int:
    """Return the table version that the puller has, or 0 if it needs a complete answer."""
    if pull.known_incarnation != incarnation or pull.known_version > table.version:
        return 0
    return pull.known_version if pull.known_version >= table.oldest_base_version else 0


class _PeerState(msgspec.Struct):
    """Announcements that the puller has received from one peer, and their table version."""

    incarnation: str
    version: int = 0
    targets: dict[TargetKey, Announcement] = msgspec.field(default_factory=dict)


class PeerAnnouncements:
    """Announcements received from each peer, so that peers can answer with changes only."""

    __slots__ = ('_peers',)

    def __init__(self) -> None:
        """Initialize without peers."""
        self._peers: dict[str, _PeerState] = {}

    def clear(self) -> None:
        """Remove all peers."""
        self._peers.clear()

    def retain_peers(self, names: set[str]) -> None:
        """Remove all peers except those with the given names."""
        self._peers = {name: state for name, state in self._peers.items() if name in names}

    def make_pull(self, peer: str, now: float, *, includes_relayed: bool = False) -> RelayPull:
        """Return the pull request for a peer.

        :param peer: name of the peer.
        :param now: time on the local clock, in seconds.
        :param includes_relayed: whether to ask for announcements that the peer got from others.
        """
        state = self._peers.get(peer)
        if state is None:
            return RelayPull(sent_at=now, includes_relayed=includes_relayed)
        return RelayPull(
            sent_at=now,
            known_version=state.version,
            known_incarnation=state.incarnation,
            includes_relayed=includes_relayed,
        )

    def apply_batch(self, envelope: Envelope, batch: RelayBatch) -> tuple[RelayedAnnouncement, ...]:
        """Return all targets that an answer covers, listed or unchanged, with their maximum age.

        An answer that does not match the stored version, such as a late one, covers none; the
        next pull corrects that.
        """
        state = self._peers.get(envelope.sender)
        if state is None or state.incarnation != envelope.incarnation:
            state = _PeerState(envelope.incarnation)
            self._peers[envelope.sender] = state
        # A complete answer is accepted at any version, since the peer may have restarted.
        is_complete = batch.base_version == 0
        if not (is_complete or batch.base_version <= state.version <= batch.version):
            return ()
        if batch.base_version == 0:
            state.targets.clear()
        state.version = batch.version
        unchanged = self._merge_batch(state, batch)
        return (*batch.sightings, *unchanged)

    def _merge_batch(self, state: _PeerState, batch: RelayBatch) -> list[RelayedAnnouncement]:
        listed = {_target_key(relayed): relayed.announcement for relayed in batch.sightings}
        state.targets.update(listed)
        silent = {TargetKey(group, instance) for group, instance in batch.silent}
        return [
            RelayedAnnouncement(announcement=announcement, age_s=batch.unchanged_age_s)
            for key, announcement in state.targets.items()
            if key not in listed and key not in silent
        ]


def _target_key(relayed: RelayedAnnouncement) -> TargetKey:
    return TargetKey(relayed.announcement.group, relayed.announcement.instance)
