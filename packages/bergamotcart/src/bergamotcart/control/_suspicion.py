"""Decides from the entries' reports whether a group's primary is lost."""

from dataclasses import dataclass
from typing import Final

from bergamotcart import messages
from bergamotcart.control._entry_table import Observation
from bergamotcart.control._group_work import GroupWork
from bergamotcart.control._sightings import is_fresh
from bergamotcart.control._tick import Tick

# A new primary may be silent while it is under the load that has waited for it.
SILENCE_AFTER_CHANGE_S: Final = 5.0
# Entries send no work to an instance whose announcement is too old; this covers relays.
RELAYED_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class _Votes:
    refusing: int
    silent: int
    reachable: int
    holders: int

    @property
    def majority(self) -> int:
        return self.holders // 2 + 1


def find_suspicion(tick: Tick, row: messages.GroupRow, work: GroupWork) -> str:
    """Return the reason for replacing a group's primary, or an empty string.

    :param tick: the current tick.
    :param row: an open group.
    :param work: progress of the group.
    """
    if row.primary is None:
        return 'no_primary'
    lost = _find_loss(tick, row.name, row.primary, work.opened_at)
    if lost:
        return lost
    seen = tick.local.sightings.find(row.name, row.primary)
    if seen is None or seen.announcement.role == messages.TargetRole.primary:
        return ''
    # Announcements made before the group opened show the primary before its promotion.
    opened_at = max(tick.local.led_since, work.opened_at or 0)
    return 'primary_demoted' if seen.made_after > opened_at else ''


def is_unreachable(tick: Tick, group: str, instance: str) -> bool:
    """Tell whether the entries agree that an instance cannot be reached."""
    return bool(_find_loss(tick, group, instance, None))


def is_leaving(tick: Tick, group: str, instance: str | None) -> bool:
    """Tell whether an instance has announced that it leaves."""
    seen = tick.local.sightings.find(group, instance) if instance else None
    return seen is not None and seen.announcement.leaving and is_fresh(tick, seen)


def takes_no_work(tick: Tick, group: str, instance: str | None) -> bool:
    """Tell whether entries send no new work to an instance although it may be alive.

    It is leaving, or no entry hears its announcements, for instance because all entries
    of its availability zone are down. Writes would wait for ever for such a primary.
    """
    if is_leaving(tick, group, instance):
        return True
    seen = tick.local.sightings.find(group, instance) if instance else None
    heard_at = max(seen.made_after if seen else 0, tick.local.led_since)
    return seen is not None and tick.now > heard_at + tick.config.target_expiry_s + RELAYED_S


def _find_loss(tick: Tick, group: str, instance: str, opened_at: float | None) -> str:
    if group not in tick.local.suspects:
        return ''
    votes = _count(tick, group, instance)
    if votes.reachable or not votes.holders:
        return ''
    if votes.refusing >= votes.majority:
        return 'primary_refuses'
    if votes.refusing + votes.silent < votes.majority:
        return ''
    changed_at = tick.now - SILENCE_AFTER_CHANGE_S if opened_at is None else opened_at
    if tick.now < changed_at + SILENCE_AFTER_CHANGE_S:
        return ''
    return 'primary_silent'


def _count(tick: Tick, group: str, instance: str) -> _Votes:
    entries = tick.local.entries
    # Under a new leader, entries that have not renewed yet count too: otherwise the first
    # one to renew would be the majority.
    holders = [row for row in tick.state.roster() if entries.lease_until(row) > tick.now]
    contacts = [entries.find(row.name, row.incarnation) for row in holders]
    reports = [contact.observations.get((group, instance)) for contact in contacts if contact]
    known = [seen for seen in reports if seen is not None]
    return _Votes(
        refusing=sum(_refuses_long_enough(tick, seen) for seen in known),
        silent=sum(seen.reachability == messages.Reachability.silent for seen in known),
        reachable=sum(seen.reachability == messages.Reachability.reachable for seen in known),
        holders=len(holders),
    )


def _refuses_long_enough(tick: Tick, seen: Observation) -> bool:
    if seen.reachability != messages.Reachability.refusing:
        return False
    due = seen.since + tick.config.refused_grace_s
    if tick.now < due:
        tick.wake_at(due)
    return tick.now >= due
