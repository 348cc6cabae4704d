"""Last known addresses of instances, kept in the replicated state.

Instances announce themselves to entries of their own availability zone. While none of these
entries runs, a new leader would not learn of the instances there. It could not collect their
positions, although they are reachable.
"""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._commands import ForgetInstance, NoteInstance
from bergamotcart.control._known_instances import KnownInstance, is_recently_announced
from bergamotcart.control._state import InstanceRow, ReplicatedState, instance_key
from bergamotcart.control._tick import Tick

# Assumed age of an instance that is known only from the replicated state: it does not count as
# recently announced, but is not removed yet either.
REPLICATED_INSTANCE_AGE_S: Final = 60.0
# An instance stops within some seconds after it has announced that it is leaving.
LEAVING_RETENTION_S: Final = 30.0


def propose_changed_instances(tick: Tick, group: str) -> None:
    """Propose to store the addresses of a group's instances that are new or have changed.

    :param tick: the current tick.
    :param group: name of the group.
    """
    for known_instance in tick.local.instances.list_group(group):
        announcement = known_instance.announcement
        if not is_recently_announced(tick, known_instance):
            continue
        row = _make_row(announcement)
        if tick.state.instances.get(instance_key(group, row.instance)) != row:
            _propose(tick, group, row.instance, NoteInstance(row=row))


def remove_expired_instances(tick: Tick) -> None:
    """Remove instances without recent announcements, also from the replicated state."""
    for known_instance in tick.local.instances.remove_expired(tick.now, LEAVING_RETENTION_S):
        group, instance = known_instance.announcement.group, known_instance.announcement.instance
        if instance_key(group, instance) in tick.state.instances:
            _propose(tick, group, instance, ForgetInstance(group=group, instance=instance))


def load_replicated_instances(tick: Tick) -> None:
    """Load the instances of the replicated state into a new leader's table, with an assumed age.

    This is done in the first tick in which this member may lead, since it can apply the newest
    records of its predecessor only once its own first record is committed.
    """
    if tick.local.replicated_instances_loaded:
        return
    tick.local.replicated_instances_loaded = True
    for announcement in make_replicated_announcements(tick.state):
        tick.local.instances.store_replicated(
            KnownInstance(announcement, tick.now - REPLICATED_INSTANCE_AGE_S)
        )


def make_replicated_announcements(state: ReplicatedState) -> list[messages.Announcement]:
    """Return announcements with what the replicated state knows of each instance.

    Fields that it does not know have neutral values, such as the role of a replica.

    :param state: the replicated state.
    """
    return [
        messages.Announcement(
            group=row.group,
            instance=row.instance,
            availability_zone=row.availability_zone,
            address=row.address,
            admin_address=row.admin_address,
            role=messages.TargetRole.replica,
            term=0,
            log_term=0,
            position=0,
            slots=1,
            connection_limit=1,
            incarnation='',
            sequence=0,
        )
        for row in state.instances.values()
    ]


def _propose(
    tick: Tick,
    group: str,
    instance: str,
    command: NoteInstance | ForgetInstance,
) -> None:
    # Both commands have the same subject, so that a second one waits until the first is applied.
    tick.local.proposals.submit(f'instance {group} {instance}', command, tick.now)


def _make_row(announcement: messages.Announcement) -> InstanceRow:
    return InstanceRow(
        group=announcement.group,
        instance=announcement.instance,
        availability_zone=announcement.availability_zone,
        address=announcement.address,
        admin_address=announcement.admin_address,
    )
