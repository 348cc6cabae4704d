"""Last known addresses of instances, and which of them leave, kept in the replicated state.

Instances announce themselves to entries of their own availability zone. While none of these
entries runs, a new leader would not learn of the instances there. It could not collect their
positions, although they are reachable. Nor would members that have all restarted know which
instances get no new work.
"""

from typing import Final

from bergamotcart import messages
from bergamotcart.control._commands import ForgetInstance, NoteInstance
from bergamotcart.control._known_instances import KnownInstance, is_recently_announced
from bergamotcart.control._state import InstanceRow, ReplicatedState, instance_key
from bergamotcart.control._step_context import StepContext

# Assumed age of an instance that is known only from the replicated state: it does not count as
# recently announced, but is not removed yet either.
REPLICATED_INSTANCE_AGE_S: Final = 60.0
# An instance stops within some seconds after it has announced that it is leaving.
LEAVING_RETENTION_S: Final = 30.0


def propose_changed_instances(context: StepContext, group: str) -> None:
    """Propose to store the addresses of a group's instances that are new or have changed.

    :param context: context of the current step.
    :param group: name of the group.
    """
    for known_instance in context.local.instances.list_group(group):
        announcement = known_instance.announcement
        if not is_recently_announced(context, known_instance):
            continue
        row = _make_instance_row(announcement)
        if context.state.instances.get(instance_key(group, row.instance)) != row:
            _propose_instance_command(context, group, row.instance, NoteInstance(row=row))


def remove_expired_instances(context: StepContext) -> None:
    """Remove instances without recent announcements, also from the replicated state."""
    for known_instance in context.local.instances.remove_expired(context.now, LEAVING_RETENTION_S):
        group, instance = known_instance.announcement.group, known_instance.announcement.instance
        if instance_key(group, instance) in context.state.instances:
            _propose_instance_command(
                context, group, instance, ForgetInstance(group=group, instance=instance)
            )


def load_replicated_instances(context: StepContext) -> None:
    """Load the instances of the replicated state into a new leader's table, with an assumed age.

    This is done in the first step in which this member may act as the leader. It can apply the
    newest records of its predecessor only once its own first record is committed.
    """
    if context.local.replicated_instances_loaded:
        return
    context.local.replicated_instances_loaded = True
    for announcement in make_replicated_announcements(context.state):
        context.local.instances.store_replicated(
            KnownInstance(announcement, context.now - REPLICATED_INSTANCE_AGE_S)
        )


def make_replicated_announcements(state: ReplicatedState) -> list[messages.Announcement]:
    """Return announcements with what the replicated state contains of each instance.

    Fields that it does not contain have defaults, such as the role of a replica.

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
            leaving=row.leaving,
        )
        for row in state.instances.values()
    ]


def _propose_instance_command(
    context: StepContext,
    group: str,
    instance: str,
    command: NoteInstance | ForgetInstance,
) -> None:
    # Both commands have the same key, so that a second one waits until the first is applied.
    context.local.proposals.submit(f'instance {group} {instance}', command, context.now)


def _make_instance_row(announcement: messages.Announcement) -> InstanceRow:
    return InstanceRow(
        group=announcement.group,
        instance=announcement.instance,
        availability_zone=announcement.availability_zone,
        address=announcement.address,
        admin_address=announcement.admin_address,
        leaving=announcement.leaving,
    )
