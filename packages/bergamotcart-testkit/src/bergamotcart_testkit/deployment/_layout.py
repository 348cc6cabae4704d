"""Layouts of deployments."""

from dataclasses import dataclass
from types import MappingProxyType


@dataclass(frozen=True, slots=True, kw_only=True)
class Layout:
    """Size of a deployment; each group has one instance per availability zone.

    :param entries_per_zone: entries in each availability zone.
    :param slots: statements that one instance executes at the same time.
    :param connections: client connections that one instance accepts.
    :param zone_delay: one-way latency between availability zones, in seconds.
    :param zone_jitter: maximum random addition to ``zone_delay``, in seconds.
    :param caller_delay: one-way latency to callers, in seconds.
    :param connect_delay: time to open a connection to an instance, in seconds.
    :param execution_time: minimum duration of a statement, in seconds.
    """

    name: str
    availability_zones: tuple[str, ...]
    groups: tuple[str, ...]
    entries_per_zone: int
    slots: int
    connections: int
    zone_delay: float
    zone_jitter: float = 0.001
    caller_delay: float
    connect_delay: float = 0.01
    execution_time: float = 0.001

    @property
    def entries(self) -> int:
        """Number of all entries."""
        return self.entries_per_zone * len(self.availability_zones)


_UMUNYU = Layout(
    name='umunyu',
    availability_zones=('kigali', 'huye', 'rubavu'),
    groups=('tickets_north', 'tickets_south', 'members'),
    entries_per_zone=3,
    slots=5,
    connections=35,
    zone_delay=0.003,
    caller_delay=0.001,
)
_SERAMBI = Layout(
    name='serambi',
    availability_zones=('klang', 'penang', 'johor'),
    groups=('gardens_a', 'gardens_b', 'gardens_c'),
    entries_per_zone=3,
    slots=3,
    connections=45,
    zone_delay=0.005,
    caller_delay=0.003,
)
_SMALL = Layout(
    name='small',
    availability_zones=('kigali', 'huye', 'rubavu'),
    groups=('tickets',),
    entries_per_zone=1,
    slots=5,
    connections=35,
    zone_delay=0.003,
    caller_delay=0.001,
)

LAYOUTS = MappingProxyType({layout.name: layout for layout in (_UMUNYU, _SERAMBI, _SMALL)})
