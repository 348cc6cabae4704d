"""Exchange of sightings between processes: only what changed since the last answer.

A full answer names each target of an availability zone with some 300 bytes. At 21 groups
and two pulls a second this was three quarters of what an idle entry received, although
targets seldom change anything but their position.
"""

from dataclasses import dataclass, field
from typing import Final

from bergamotcart.discovery._positions import TargetKey
from bergamotcart.discovery._table import KnownTarget, TargetTable
from bergamotcart.messages import Announcement, Envelope, RelayBatch, RelayPull, Sighting

# An unchanged target that was heard within this time is covered by the common age.
_FRESH_S: Final = 2.0


def answer_pull(
    table: TargetTable,
    incarnation: str,
    now: float,
    pull: RelayPull,
) -> RelayBatch:
    """Answer a pull with the targets that announced themselves here.

    :param table: targets of this process.
    :param incarnation: incarnation of this process, which counts the table's versions.
    :param now: own clock, in seconds.
    :param pull: the request.
    """
    base = _find_base(table, incarnation, pull)
    listed: list[Sighting] = []
    silent: list[tuple[str, str]] = []
    unchanged_age_s = 0.0
    for target in table:
        age_s = now - target.heard_after
        if target.version <= base and age_s < _FRESH_S:
            unchanged_age_s = max(unchanged_age_s, age_s)
        elif age_s < table.expiry_s:
            listed.append(Sighting(announcement=target.announcement, age_s=age_s))
        elif _was_listed(target, base):
            silent.append((target.key.group, target.key.instance))
    return RelayBatch(
        echo_sent_at=pull.sent_at,
        sightings=tuple(listed),
        base_version=base,
        version=table.version,
        unchanged_age_s=unchanged_age_s,
        silent=tuple(silent),
    )


def _find_base(table: TargetTable, incarnation: str, pull: RelayPull) -> int:
    """Return the version that the puller holds, or 0 if it must be told everything."""
    if pull.known_incarnation != incarnation or pull.known_version > table.version:
        return 0
    return pull.known_version if pull.known_version >= table.complete_since else 0


@dataclass(slots=True)
class _Held:
    """Sightings of one peer as the puller holds them."""

    incarnation: str
    version: int = 0
    targets: dict[TargetKey, Announcement] = field(default_factory=dict)


class PeerSightings:
    """What a puller holds of each peer, so that the peer may answer with changes only."""

    __slots__ = ('_peers',)

    def __init__(self) -> None:
        """Start without any peer."""
        self._peers: dict[str, _Held] = {}

    def clear(self) -> None:
        """Forget all peers."""
        self._peers.clear()

    def keep(self, names: set[str]) -> None:
        """Forget the peers with other names."""
        self._peers = {name: held for name, held in self._peers.items() if name in names}

    def pull(self, peer: str, now: float) -> RelayPull:
        """Return the request for a peer.

        :param peer: its name.
        :param now: own clock, in seconds.
        """
        held = self._peers.get(peer)
        if held is None:
            return RelayPull(sent_at=now)
        return RelayPull(
            sent_at=now,
            known_version=held.version,
            known_incarnation=held.incarnation,
        )

    def expand(self, envelope: Envelope, batch: RelayBatch) -> tuple[Sighting, ...]:
        """Return all targets that an answer stands for, with their greatest age.

        An answer that does not fit to what is held, such as a late one, stands for none;
        the next pull repairs that.
        """
        held = self._peers.get(envelope.sender)
        if held is None or held.incarnation != envelope.incarnation:
            held = _Held(envelope.incarnation)
            self._peers[envelope.sender] = held
        # A complete answer counts whatever its version: the peer may have started anew.
        is_complete = batch.base_version == 0
        if not (is_complete or batch.base_version <= held.version <= batch.version):
            return ()
        if batch.base_version == 0:
            held.targets.clear()
        held.version = batch.version
        unchanged = self._refresh(held, batch)
        return (*batch.sightings, *unchanged)

    def _refresh(self, held: _Held, batch: RelayBatch) -> list[Sighting]:
        listed = {_key_of(sighting): sighting.announcement for sighting in batch.sightings}
        held.targets.update(listed)
        silent = {TargetKey(group, instance) for group, instance in batch.silent}
        return [
            Sighting(announcement=announcement, age_s=batch.unchanged_age_s)
            for key, announcement in held.targets.items()
            if key not in listed and key not in silent
        ]


def _key_of(sighting: Sighting) -> TargetKey:
    return TargetKey(sighting.announcement.group, sighting.announcement.instance)


def _was_listed(target: KnownTarget, base: int) -> bool:
    return base > 0 and target.heard_after > float('-inf')
