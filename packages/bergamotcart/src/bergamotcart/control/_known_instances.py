"""Instances that announced themselves to entries or control members, with their addresses."""

from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.control._entry_table import EntryStatus
from bergamotcart.control._step_context import StepContext
from bergamotcart.discovery import PeerAnnouncements, has_same_content

# Entries renew their leases every 0.25 s, so every second renewal is followed by a pull.
PULL_INTERVAL_S: Final = 0.45
# A stopped instance is kept for this time, so that it can be ordered to follow when it returns.
RETENTION_S: Final = 3600.0


_InstanceKey = tuple[str, str]


class KnownInstance(msgspec.Struct, frozen=True):
    """Newest announcement of an instance.

    :param sent_after: time in seconds, on this member's clock, after which it was made.
    """

    announcement: messages.Announcement
    sent_after: float


class InstanceTable:
    """Newest announcement of each instance."""

    __slots__ = ('_changed_groups', '_keys_by_group', '_peer_announcements', '_instances')

    def __init__(self) -> None:
        """Create an empty table."""
        self._instances: dict[_InstanceKey, KnownInstance] = {}
        self._keys_by_group: dict[str, set[_InstanceKey]] = {}
        self._peer_announcements = PeerAnnouncements()
        self._changed_groups: set[str] = set()

    def clear(self) -> None:
        """Forget all instances."""
        self._instances.clear()
        self._keys_by_group.clear()
        self._peer_announcements.clear()

    def make_pull(self, peer: str, now: float) -> messages.RelayPull:
        """Return the request for the instances that announced themselves to another process.

        :param peer: name of an entry or of another member.
        :param now: current time, in seconds.
        """
        return self._peer_announcements.make_pull(peer, now)

    def add_batch(
        self, envelope: messages.Envelope, batch: messages.RelayBatch, now: float
    ) -> tuple[messages.RelayedAnnouncement, ...]:
        """Store the announcements of a batch.

        :param envelope: envelope of the batch, which names the process that answered.
        :param batch: the answer to a pull, which returns the time of the pull on this member's
            clock.
        :param now: current time, in seconds.
        :returns: the announcements that the batch covers, with their maximum age at its pull.
        """
        if batch.echo_sent_at > now:
            return ()
        relayed_announcements = self._peer_announcements.apply_batch(envelope, batch)
        for relayed in relayed_announcements:
            sent_after = batch.echo_sent_at - relayed.age_s
            self._store_instance(KnownInstance(relayed.announcement, sent_after))
        return relayed_announcements

    def store_announcement(self, announcement: messages.Announcement, sent_after: float) -> None:
        """Store what an instance announced directly to this member.

        :param announcement: the announcement.
        :param sent_after: time after which it was made, in seconds.
        """
        self._store_instance(KnownInstance(announcement, sent_after))

    def store_replicated(self, instance: KnownInstance) -> None:
        """Store an instance that is known only from the replicated state.

        :param instance: the instance, with an assumed age.
        """
        self._store_instance(instance)

    def pop_changed_groups(self) -> set[str]:
        """Return the groups whose instances announced a change since the last call."""
        changed = self._changed_groups
        self._changed_groups = set()
        return changed

    def remove_expired(self, now: float, leaving_retention_s: float) -> list[KnownInstance]:
        """Remove and return the instances that have not announced themselves for long.

        :param now: current time, in seconds.
        :param leaving_retention_s: seconds for which an instance is kept that announced that it is
            leaving.
        """
        oldest_kept = {True: now - leaving_retention_s, False: now - RETENTION_S}
        expired = [
            instance
            for instance in self._instances.values()
            if instance.sent_after <= oldest_kept[instance.announcement.leaving]
        ]
        for instance in expired:
            self._instances.pop(_make_key(instance))
            self._keys_by_group[instance.announcement.group].discard(_make_key(instance))
        return expired

    def list_group(self, group: str) -> list[KnownInstance]:
        """Return the known instances of a group, ordered by name."""
        return [self._instances[key] for key in sorted(self._keys_by_group.get(group, ()))]

    def find(self, group: str, instance: str) -> KnownInstance | None:
        """Return an instance, or ``None`` if it is not known."""
        return self._instances.get((group, instance))

    def _store_instance(self, instance: KnownInstance) -> None:
        key = _make_key(instance)
        known = self._instances.get(key)
        if known is None or _is_newer_announcement(instance, known):
            self._instances[key] = instance
            self._keys_by_group.setdefault(key[0], set()).add(key)
            if known is None or not has_same_content(instance.announcement, known.announcement):
                self._changed_groups.add(key[0])
        elif instance.sent_after > known.sent_after:
            self._refresh_unchanged(key, instance, known)

    def _refresh_unchanged(
        self, key: _InstanceKey, instance: KnownInstance, known: KnownInstance
    ) -> None:
        # An entry relays an unchanged instance with the sequence number of the last change that the
        # entry received, so only the time is newer.
        if has_same_content(instance.announcement, known.announcement):
            self._instances[key] = KnownInstance(known.announcement, instance.sent_after)


def is_recently_announced(context: StepContext, instance: KnownInstance) -> bool:
    """Tell whether an instance announced itself within the expiry time of targets."""
    return context.now - instance.sent_after <= context.configuration.target_expiry_s


def pull_announcements_from_entry(context: StepContext, entry_status: EntryStatus) -> None:
    """Ask an entry that renews its lease for the targets that announced themselves to it.

    :param context: context of the current step.
    :param entry_status: status of the entry.
    """
    if context.configuration.targets_announce_to_control:
        return
    if context.now - entry_status.announcements_pulled_at >= PULL_INTERVAL_S:
        entry_status.announcements_pulled_at = context.now
        pull = context.local.instances.make_pull(entry_status.key.name, context.now)
        context.send(entry_status.key.name, entry_status.address, pull)


def pull_announcements_from_members(context: StepContext) -> None:
    """Ask the other members for the targets that announced themselves to them.

    Every member does so, not only the leader, so that an entry need only pull from one of them.
    """
    if not context.configuration.targets_announce_to_control:
        return
    if context.now < context.local.members_pulled_at + PULL_INTERVAL_S:
        return
    context.local.members_pulled_at = context.now
    context.request_step_at(context.now + PULL_INTERVAL_S)
    for row in context.state.members:
        if row.name != context.configuration.name:
            context.send(
                row.name, row.address, context.local.instances.make_pull(row.name, context.now)
            )


def _is_newer_announcement(instance: KnownInstance, known: KnownInstance) -> bool:
    """Compare by start of the instance, then by sequence within an incarnation, else by time."""
    starts = (instance.announcement.started_at_ms, known.announcement.started_at_ms)
    if all(starts) and starts[0] != starts[1]:
        return starts[0] > starts[1]
    if instance.announcement.incarnation == known.announcement.incarnation:
        order = (instance.announcement.sequence, instance.sent_after)
        return order > (known.announcement.sequence, known.sent_after)
    return instance.sent_after > known.sent_after


def _make_key(instance: KnownInstance) -> _InstanceKey:
    return instance.announcement.group, instance.announcement.instance
