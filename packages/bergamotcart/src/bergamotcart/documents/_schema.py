"""Types of the sections of the operator document."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Final

import msgspec

Name = Annotated[str, msgspec.Meta(pattern='^[A-Za-z0-9_.-]{1,64}$')]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=31_536_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Sha256Hex = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]

ANY: Final = '*'


@enum.unique
class SectionKind(enum.StrEnum):
    """What a section is about; each kind has its own body."""

    groups = 'groups'
    policies = 'policies'
    operations = 'operations'
    owners = 'owners'


@enum.unique
class Acknowledgement(enum.StrEnum):
    """When a write is acknowledged to its caller."""

    primary_and_replica = 'primary_and_replica'
    primary_only = 'primary_only'


@enum.unique
class InsufficientInstances(enum.StrEnum):
    """What happens when too few instances answer during the replacement of a primary."""

    read_only = 'read_only'
    accept_loss = 'accept_loss'


@enum.unique
class Repeatable(enum.StrEnum):
    """Whether a request may be sent again after it may have run."""

    yes = 'yes'
    no = 'no'
    unset = 'unset'


@enum.unique
class SessionStart(enum.StrEnum):
    """What a session without a token may read first.

    ``primary_floor``: nothing older than the primary's position when it arrived.
    ``age_only``: whatever the policy's age allows, also in a cut-off availability zone.
    """

    primary_floor = 'primary_floor'
    age_only = 'age_only'


class GroupSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one database group.

    :param instances: number of instances, which decides what a majority is.
    :param entries_limit: greatest number of entries in front of the group.
    :param promotion_wait_s: seconds to wait for a majority of instances before
        ``insufficient_instances`` applies.
    :param primary_read_share: share of the primary's concurrency left to reads.
    :param ledger_retention_s: age from which a request identifier is refused.
    """

    instances: Count = 3
    entries_limit: Count = 9
    acknowledgement: Acknowledgement = Acknowledgement.primary_and_replica
    insufficient_instances: InsufficientInstances = InsufficientInstances.read_only
    promotion_wait_s: Seconds = 30.0
    primary_read_share: Share = 0.5
    ledger_retention_s: Seconds = 86_400.0


class Policy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """What some callers may do with some groups; the first policy that matches applies.

    :param callers: names of callers, or ``*`` for all.
    :param groups: names of groups, or ``*`` for all.
    :param max_age_s: greatest age of a read, or ``None`` if a read tolerates no age.
    :param deadline_s: seconds after which a request is given up.
    :param catch_up_wait_s: greatest wait for a replica to catch up.
    :param retry_share: retries allowed for each request, on average.
    :param transaction_limit_s: greatest length of a transaction.
    :param idle_in_transaction_s: greatest pause inside a transaction.
    """

    name: Name = 'default'
    callers: tuple[str, ...] = (ANY,)
    groups: tuple[str, ...] = (ANY,)
    max_age_s: Seconds | None = None
    repeatable: Repeatable = Repeatable.unset
    session_start: SessionStart = SessionStart.primary_floor
    deadline_s: Seconds = 10.0
    catch_up_wait_s: Seconds = 0.05
    max_connections: Count = 1000
    max_in_flight: Count = 200
    retry_share: Share = 0.1
    transaction_limit_s: Seconds = 30.0
    idle_in_transaction_s: Seconds = 5.0

    def matches(self, caller: str, group: str) -> bool:
        """Tell whether the policy covers a caller and a group."""
        return _covers(self.callers, caller) and _covers(self.groups, group)


class GroupsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a section of kind ``groups``."""

    groups: dict[Name, GroupSettings]


class PoliciesBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a section of kind ``policies``; order matters."""

    policies: tuple[Policy, ...]


class OperationsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a section of kind ``operations``, for the on-call team.

    :param pause_failover: groups whose primary is not replaced.
    :param read_only: groups that take no writes.
    """

    pause_failover: tuple[Name, ...] = ()
    read_only: tuple[Name, ...] = ()


class OwnersBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the section of kind ``owners``: SHA-256 of the token of each section."""

    sections: dict[Name, Sha256Hex]


SectionBody = GroupsBody | PoliciesBody | OperationsBody | OwnersBody

BODY_TYPES: Mapping[SectionKind, type[msgspec.Struct]] = MappingProxyType(
    {
        SectionKind.groups: GroupsBody,
        SectionKind.policies: PoliciesBody,
        SectionKind.operations: OperationsBody,
        SectionKind.owners: OwnersBody,
    }
)


def _covers(names: tuple[str, ...], name: str) -> bool:
    return ANY in names or name in names
