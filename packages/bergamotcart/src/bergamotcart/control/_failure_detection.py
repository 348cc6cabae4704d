"""Failure detection: decides from the entries' reports whether a primary must be replaced."""

from dataclasses import dataclass
from typing import Final

from bergamotcart import messages
from bergamotcart.control._entry_table import Observation
from bergamotcart.control._group_progress import GroupProgress
from bergamotcart.control._known_instances import is_recently_announced
from bergamotcart.control._tick import Tick

# A new primary may not answer probes in time while it handles the requests that were queued during
# the failover.
SILENCE_GRACE_AFTER_OPENING_S: Final = 5.0
# Added to the expiry of an announcement, for the time that its relay through an entry takes.
RELAY_DELAY_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class _ReachabilityVotes:
    refusing: int
    silent: int
    reachable: int
    lease_holders: int

    @property
    def majority(self) -> int:
        return self.lease_holders // 2 + 1


def find_failover_reason(tick: Tick, row: messages.GroupRow, progress: GroupProgress) -> str:
    """Return the reason for replacing a group's primary, or an empty string.

    :param tick: the current tick.
    :param row: an open group.
    :param progress: progress of the group.
    """
    if row.primary is None:
        return 'no_primary'
    unreachable_reason = _find_unreachable_reason(tick, row.name, row.primary, progress.opened_at)
    if unreachable_reason:
        return unreachable_reason
    primary = tick.local.instances.find(row.name, row.primary)
    if primary is None or primary.announcement.role == messages.TargetRole.primary:
        return ''
    # An announcement made before the group opened may show the instance before its promotion.
    opened_at = max(tick.local.leader_since, progress.opened_at or 0)
    return 'primary_demoted' if primary.sent_after > opened_at else ''


def is_unreachable(tick: Tick, group: str, instance: str) -> bool:
    """Tell whether most entries with a lease cannot reach an instance, and none can."""
    return bool(_find_unreachable_reason(tick, group, instance, None))


def is_leaving(tick: Tick, group: str, instance: str | None) -> bool:
    """Tell whether an instance has recently announced that it is shutting down."""
    known_instance = tick.local.instances.find(group, instance) if instance else None
    return (
        known_instance is not None
        and known_instance.announcement.leaving
        and is_recently_announced(tick, known_instance)
    )


def receives_no_requests(tick: Tick, group: str, instance: str | None) -> bool:
    """Tell whether entries send no new requests to an instance although it may be running.

    This is so if it is shutting down or if no entry receives its announcements, for instance
    because all entries of its availability zone are down. Writes would wait indefinitely for
    such a primary.
    """
    if is_leaving(tick, group, instance):
        return True
    known_instance = tick.local.instances.find(group, instance) if instance else None
    announced_at = max(known_instance.sent_after if known_instance else 0, tick.local.leader_since)
    return (
        known_instance is not None
        and tick.now > announced_at + tick.configuration.target_expiry_s + RELAY_DELAY_S
    )


def _find_unreachable_reason(tick: Tick, group: str, instance: str, opened_at: float | None) -> str:
    if group not in tick.local.suspect_groups:
        return ''
    votes = _count_votes(tick, group, instance)
    if votes.reachable or not votes.lease_holders:
        return ''
    if votes.refusing >= votes.majority:
        return 'primary_refuses'
    if votes.refusing + votes.silent < votes.majority:
        return ''
    grace_starts_at = tick.now - SILENCE_GRACE_AFTER_OPENING_S if opened_at is None else opened_at
    if tick.now < grace_starts_at + SILENCE_GRACE_AFTER_OPENING_S:
        return ''
    return 'primary_silent'


def _count_votes(tick: Tick, group: str, instance: str) -> _ReachabilityVotes:
    entries = tick.local.entries
    # Under a new leader, entries that have not renewed their lease yet count too. Otherwise the
    # first entry to renew would be a majority by itself.
    lease_holders = [row for row in tick.state.roster() if entries.lease_end(row) > tick.now]
    entry_statuses = [entries.find(row.name, row.incarnation) for row in lease_holders]
    reported = [
        entry_status.observations.get((group, instance))
        for entry_status in entry_statuses
        if entry_status
    ]
    observations = [observation for observation in reported if observation is not None]
    return _ReachabilityVotes(
        refusing=sum(
            _has_refused_for_grace_period(tick, observation) for observation in observations
        ),
        silent=sum(
            observation.reachability == messages.Reachability.silent for observation in observations
        ),
        reachable=sum(
            observation.reachability == messages.Reachability.reachable
            for observation in observations
        ),
        lease_holders=len(lease_holders),
    )


def _has_refused_for_grace_period(tick: Tick, observation: Observation) -> bool:
    if observation.reachability != messages.Reachability.refusing:
        return False
    grace_ends_at = observation.since + tick.configuration.refused_grace_s
    if tick.now < grace_ends_at:
        tick.wake_at(grace_ends_at)
    return tick.now >= grace_ends_at
