"""Synthetic targets that execute orders at once."""

from types import MappingProxyType
from typing import Final

import msgspec

from bergamotcart import control, discovery, messages
from bergamotcart_testkit.capacity._sample import Scale

_EXPIRY_S: Final = 3.0
_ECHO_AGE_S: Final = 0.5
_ROLES_AFTER_ORDER: Final = MappingProxyType(
    {
        control.OrderKind.promote: messages.TargetRole.primary,
        control.OrderKind.stop_following: messages.TargetRole.replica,
        control.OrderKind.follow: messages.TargetRole.replica,
    }
)


class SyntheticTargets:
    """Synthetic instances, of which each has an announcement in its availability zone."""

    __slots__ = ('_announcements', '_tables')

    def __init__(self, scale: Scale) -> None:
        """Start all instances as replicas."""
        self._announcements = {
            zone: {
                announcement.instance: announcement for announcement in scale.announcements(zone)
            }
            for zone in sorted({scale.zone_of(index) for index in range(scale.nodes)})
        }
        self._tables = {zone: discovery.TargetTable(_EXPIRY_S) for zone in self._announcements}

    def relay_batch(self, zone: str, now: float, pull: messages.RelayPull) -> messages.RelayBatch:
        """Return the answer of an entry of an availability zone to a pull."""
        table = self._tables[zone]
        for announcement in self._announcements[zone].values():
            table.store_direct_announcement(
                now, msgspec.structs.replace(announcement, echo=now - _ECHO_AGE_S)
            )
        return discovery.answer_pull(table, 'first', now, pull)

    def announcements(self) -> list[messages.Announcement]:
        """Return the announcements of all instances."""
        return [
            announcement for rows in self._announcements.values() for announcement in rows.values()
        ]

    def execute_order(self, order: control.Order) -> control.InstanceStatus:
        """Execute an order and return the new status of the instance."""
        zone, announcement = next(
            (zone, rows[order.instance])
            for zone, rows in self._announcements.items()
            if order.instance in rows
        )
        updated = msgspec.structs.replace(
            announcement,
            role=_ROLES_AFTER_ORDER.get(order.kind, announcement.role),
            term=max(announcement.term, order.term),
            log_term=announcement.log_term
            if order.kind == control.OrderKind.stop_following
            else order.term,
            sequence=announcement.sequence + 1,
            following=order.primary or announcement.following,
        )
        self._announcements[zone][order.instance] = updated
        return control.InstanceStatus(
            group=updated.group,
            instance=updated.instance,
            role=updated.role,
            term=updated.term,
            log_term=updated.log_term,
            position=updated.position,
            following=updated.following,
        )
