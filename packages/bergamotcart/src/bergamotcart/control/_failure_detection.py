"""Failure detection: decides from the entries' reports whether a primary must be replaced."""

from typing import Final

import msgspec

from bergamotcart import messages
from bergamotcart.control._entry_table import Observation
from bergamotcart.control._events import OrderKind
from bergamotcart.control._group_progress import GroupProgress
from bergamotcart.control._known_instances import is_recently_announced
from bergamotcart.control._orders import OrderKey
from bergamotcart.control._step_context import StepContext

# A new primary may not answer probes in time while it handles the requests that were queued during
# the failover.
SILENCE_GRACE_AFTER_OPENING_S: Final = 5.0
# Added to the expiry of an announcement, for the time that its relay through an entry takes.
RELAY_DELAY_S: Final = 1.0


class _ReachabilityCounts(msgspec.Struct, frozen=True):
    refusing: int
    silent: int
    resetting: int
    reachable: int
    lease_holders: int

    @property
    def majority(self) -> int:
        return self.lease_holders // 2 + 1


def find_failover_reason(
    context: StepContext, row: messages.GroupRow, progress: GroupProgress
) -> str:
    """Return the reason for replacing a group's primary, or an empty string.

    :param context: context of the current step.
    :param row: an open group.
    :param progress: progress of the group.
    """
    if row.primary is None:
        return 'no_primary'
    unreachable_reason = _find_unreachable_reason(
        context, row.name, row.primary, progress.opened_at
    )
    if unreachable_reason:
        return unreachable_reason
    primary = context.local.instances.find(row.name, row.primary)
    if primary is None or primary.announcement.role == messages.TargetRole.primary:
        return ''
    # An announcement made before the group opened may show the instance before its promotion.
    opened_at = max(context.local.leader_since, progress.opened_at or 0)
    return 'primary_demoted' if primary.sent_after > opened_at else ''


def is_unreachable(context: StepContext, group: str, instance: str) -> bool:
    """Tell whether most entries with a lease cannot reach an instance, and none can."""
    return bool(_find_unreachable_reason(context, group, instance, None))


def is_leaving(context: StepContext, group: str, instance: str | None) -> bool:
    """Tell whether an instance has recently announced that it is shutting down."""
    known_instance = context.local.instances.find(group, instance) if instance else None
    return (
        known_instance is not None
        and known_instance.announcement.leaving
        and is_recently_announced(context, known_instance)
    )


def receives_no_requests(context: StepContext, group: str, instance: str | None) -> bool:
    """Tell whether entries send no new requests to an instance although it may be running.

    This is so if it is shutting down or if no entry receives its announcements, for instance
    because all entries of its availability zone are down. Writes would wait indefinitely for
    such a primary.
    """
    if is_leaving(context, group, instance):
        return True
    known_instance = context.local.instances.find(group, instance) if instance else None
    announced_at = max(
        known_instance.sent_after if known_instance else 0, context.local.leader_since
    )
    return (
        known_instance is not None
        and context.now > announced_at + context.configuration.target_expiry_s + RELAY_DELAY_S
    )


def _find_unreachable_reason(
    context: StepContext, group: str, instance: str, opened_at: float | None
) -> str:
    if group not in context.local.suspect_groups:
        return ''
    counts = _count_observations(context, group, instance)
    if counts.reachable or not counts.lease_holders:
        return ''
    if counts.refusing >= counts.majority:
        return 'primary_refuses'
    unreachable = counts.refusing + counts.silent
    if counts.resetting and _is_status_failing(context, group, instance):
        # A full instance also resets the connections of entries, but answers this leader.
        unreachable += counts.resetting
    if unreachable < counts.majority:
        return ''
    grace_starts_at = (
        context.now - SILENCE_GRACE_AFTER_OPENING_S if opened_at is None else opened_at
    )
    if context.now < grace_starts_at + SILENCE_GRACE_AFTER_OPENING_S:
        return ''
    return 'primary_silent'


def _count_observations(context: StepContext, group: str, instance: str) -> _ReachabilityCounts:
    entries = context.local.entries
    # Under a new leader, entries that have not renewed their lease yet count too. Otherwise the
    # first entry to renew would be a majority by itself.
    lease_holders = [row for row in context.state.roster() if entries.lease_end(row) > context.now]
    entry_statuses = [entries.find(row.name, row.incarnation) for row in lease_holders]
    reported = [
        entry_status.observations.get((group, instance))
        for entry_status in entry_statuses
        if entry_status
    ]
    observations = [observation for observation in reported if observation is not None]
    return _ReachabilityCounts(
        refusing=sum(
            _has_refused_for_grace_period(context, observation) for observation in observations
        ),
        silent=sum(
            observation.reachability == messages.Reachability.silent for observation in observations
        ),
        resetting=sum(
            observation.reachability == messages.Reachability.resetting
            for observation in observations
        ),
        reachable=sum(
            observation.reachability == messages.Reachability.reachable
            for observation in observations
        ),
        lease_holders=len(lease_holders),
    )


def _is_status_failing(context: StepContext, group: str, instance: str) -> bool:
    """Tell whether an instance has not answered this leader for the silence time-out."""
    row = context.state.groups[group]
    state = context.local.orders.find(OrderKey(OrderKind.status, group, instance, row.term))
    if state is None or state.failed_since is None:
        return False
    counts_from = state.failed_since + context.configuration.silence_timeout_s
    if context.now < counts_from:
        context.request_step_at(counts_from)
    return context.now >= counts_from


def _has_refused_for_grace_period(context: StepContext, observation: Observation) -> bool:
    if observation.reachability != messages.Reachability.refusing:
        return False
    grace_ends_at = observation.since + context.configuration.refused_grace_s
    if context.now < grace_ends_at:
        context.request_step_at(grace_ends_at)
    return context.now >= grace_ends_at
