"""Last known addresses of instances, kept in the replicated state.

Instances announce themselves to entries of their own availability zone. While none of
these runs, a new leader would never hear of an instance there, and could not collect its
position although it is reachable.
"""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._commands import ForgetInstance, NoteInstance
from bergamotcart.control._sightings import Seen, is_fresh
from bergamotcart.control._state import InstanceRow, ReplicatedState, instance_key
from bergamotcart.control._tick import Tick

# Older than any instance that counts as live, younger than one that is forgotten.
ASSUMED_AGE_S: Final = 60.0
# An instance that has announced its end ends within some seconds.
LEFT_S: Final = 30.0


def note_instances(tick: Tick, group: str) -> None:
    """Commit the addresses of a group's instances if they are new or have changed."""
    for seen in tick.local.sightings.of_group(group):
        announcement = seen.announcement
        if not is_fresh(tick, seen):
            continue
        row = _row_of(announcement)
        if tick.state.instances.get(instance_key(group, row.instance)) != row:
            _propose(tick, group, row.instance, NoteInstance(row=row))


def forget_instances(tick: Tick) -> None:
    """Forget instances that nobody has seen for long."""
    for seen in tick.local.sightings.forget_old(tick.now, LEFT_S):
        group, instance = seen.announcement.group, seen.announcement.instance
        if instance_key(group, instance) in tick.state.instances:
            _propose(tick, group, instance, ForgetInstance(group=group, instance=instance))


def assume_instances(tick: Tick) -> None:
    """Let a new leader know the instances of the replicated state, as not heard recently.

    This waits for the first tick with authority, since a new leader applies the newest
    records of its predecessor only after its own first record.
    """
    if tick.local.assumed_instances:
        return
    tick.local.assumed_instances = True
    for announcement in assumed_announcements(tick.state):
        tick.local.sightings.assume(Seen(announcement, tick.now - ASSUMED_AGE_S))


def assumed_announcements(state: ReplicatedState) -> list[messages.Announcement]:
    """Return what the instances of the replicated state would announce, as far as it is known."""
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
    # One subject for both commands: a second one waits until the first is decided.
    tick.local.proposals.submit(f'instance {group} {instance}', command, tick.now)


def _row_of(announcement: messages.Announcement) -> InstanceRow:
    return InstanceRow(
        group=announcement.group,
        instance=announcement.instance,
        availability_zone=announcement.availability_zone,
        address=announcement.address,
        admin_address=announcement.admin_address,
    )
