"""Size of a synthetic deployment, and the cost of an engine at that size."""

from collections.abc import Iterable
from dataclasses import asdict, dataclass
from typing import Final

import msgspec

from bergamotcart import messages

INSTANCES_PER_GROUP: Final = 3
ZONES: Final = ('zone-1', 'zone-2', 'zone-3', 'zone-4')


@dataclass(frozen=True, slots=True)
class Scale:
    """Size of a synthetic deployment.

    :param nodes: entries in the roster.
    :param groups: database groups, each with three instances.
    :param seconds: simulated seconds of operation.
    """

    nodes: int
    groups: int
    seconds: float

    def zone_of(self, index: int) -> str:
        """Return the availability zone of an entry or instance."""
        return ZONES[index % len(ZONES)]

    def announcements(self, zone: str) -> list[messages.Announcement]:
        """Return an announcement of each instance in an availability zone."""
        return [
            self._announcement(group, instance)
            for group in range(self.groups)
            for instance in range(INSTANCES_PER_GROUP)
            if self.zone_of(group + instance) == zone
        ]

    def _announcement(self, group: int, instance: int) -> messages.Announcement:
        return messages.Announcement(
            group=f'group-{group}',
            instance=f'group-{group}-{instance}',
            availability_zone=self.zone_of(group + instance),
            address=f'10.0.{group % 250}.{instance}:3306',
            admin_address=f'10.0.{group % 250}.{instance}:8080',
            role=messages.TargetRole.replica,
            term=0,
            log_term=0,
            position=1,
            slots=5,
            connection_limit=35,
            incarnation='first',
            sequence=1,
        )


@dataclass(frozen=True, slots=True)
class Sample:
    """Cost of one engine at one size, per second of operation.

    :param cpu_share: processor time, as a share of one core.
    :param bytes_in: bytes received from other processes.
    :param bytes_out: bytes sent to other processes.
    :param largest_message: bytes of the largest message.
    :param memory_mb: memory allocated by the engine, in megabytes (10^6 bytes).
    :param change_cpu_s: processor time of one document change, in seconds.
    :param change_bytes: bytes sent for one document change.
    """

    role: str
    nodes: int
    groups: int
    cpu_share: float
    messages_in: float
    messages_out: float
    bytes_in: float
    bytes_out: float
    largest_message: int
    memory_mb: float
    change_cpu_s: float = 0
    change_bytes: int = 0

    def as_dict(self) -> dict[str, object]:
        """Return the fields for a JSON report."""
        return asdict(self)


class Traffic:
    """Number and encoded size of the messages in one direction."""

    __slots__ = ('byte_count', 'largest', 'message_count')

    def __init__(self) -> None:
        """Start at zero."""
        self.byte_count = 0
        self.largest = 0
        self.message_count = 0

    def add(self, bodies: Iterable[messages.Body]) -> None:
        """Count messages by their encoded size.

        The size limit is not applied, so that a message above it appears in the sample.
        """
        for body in bodies:
            size = len(msgspec.msgpack.encode(make_envelope('peer', 'peer', body)))
            self.byte_count += size
            self.message_count += 1
            self.largest = max(self.largest, size)


def make_envelope(sender: str, recipient: str, body: messages.Body) -> messages.Envelope:
    """Put a message into an envelope."""
    return messages.Envelope(
        version=messages.FORMAT_VERSION,
        domain='capacity',
        sender=sender,
        incarnation='first',
        sender_address=f'{sender}:7000',
        recipient=recipient,
        body=body,
    )
