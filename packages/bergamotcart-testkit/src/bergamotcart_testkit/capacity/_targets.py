"""Synthetic targets that obey orders at once."""

from types import MappingProxyType
from typing import Final

import msgspec

from bergamotcart import control, discovery, messages
from bergamotcart_testkit.capacity._sample import Scale

_EXPIRY_S: Final = 3.0
_ECHO_AGE_S: Final = 0.5
_ROLES: Final = MappingProxyType(
    {
        control.OrderKind.promote: messages.TargetRole.primary,
        control.OrderKind.stop_following: messages.TargetRole.replica,
        control.OrderKind.follow: messages.TargetRole.replica,
    }
)


class SyntheticTargets:
    """Announcements of all instances, by availability zone and instance."""

    __slots__ = ('_tables', '_zones')

    def __init__(self, scale: Scale) -> None:
        """Start with replicas only."""
        self._zones = {
            zone: {row.instance: row for row in scale.announcements(zone)}
            for zone in sorted({scale.zone_of(index) for index in range(scale.nodes)})
        }
        self._tables = {zone: discovery.TargetTable(_EXPIRY_S) for zone in self._zones}

    def answer(self, zone: str, now: float, pull: messages.RelayPull) -> messages.RelayBatch:
        """Answer a pull as an entry of an availability zone does."""
        table = self._tables[zone]
        for row in self._zones[zone].values():
            table.receive(now, msgspec.structs.replace(row, echo=now - _ECHO_AGE_S))
        return discovery.answer_pull(table, 'first', now, pull)

    def all(self) -> list[messages.Announcement]:
        """Return all announcements."""
        return [row for rows in self._zones.values() for row in rows.values()]

    def obey(self, order: control.Order) -> control.InstanceStatus:
        """Carry out an order and return the status after it."""
        zone, row = next(
            (zone, rows[order.instance])
            for zone, rows in self._zones.items()
            if order.instance in rows
        )
        changed = msgspec.structs.replace(
            row,
            role=_ROLES.get(order.kind, row.role),
            term=max(row.term, order.term),
            log_term=row.log_term if order.kind == control.OrderKind.stop_following else order.term,
            sequence=row.sequence + 1,
            following=order.primary or row.following,
        )
        self._zones[zone][order.instance] = changed
        return control.InstanceStatus(
            group=changed.group,
            instance=changed.instance,
            role=changed.role,
            term=changed.term,
            log_term=changed.log_term,
            position=changed.position,
            following=changed.following,
        )
