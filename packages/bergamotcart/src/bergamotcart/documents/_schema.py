"""Types of the sections of the operator document."""

import enum
from collections.abc import Mapping
from types import MappingProxyType
from typing import Annotated, Final

import msgspec

Name = Annotated[str, msgspec.Meta(pattern='^[A-Za-z0-9_.-]{1,64}$')]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
Seconds = Annotated[float, msgspec.Meta(ge=0, le=31_536_000)]
CostMilliseconds = Annotated[float, msgspec.Meta(ge=0, le=60_000)]
Share = Annotated[float, msgspec.Meta(ge=0, le=1)]
Sha256Hex = Annotated[str, msgspec.Meta(pattern='^[0-9a-f]{64}$')]

ANY: Final = '*'


@enum.unique
class SectionKind(enum.StrEnum):
    """Kind of a section; each kind has its own type of body."""

    groups = 'groups'
    policies = 'policies'
    operations = 'operations'
    owners = 'owners'
    routes = 'routes'
    workspaces = 'workspaces'


@enum.unique
class Acknowledgement(enum.StrEnum):
    """When a write is acknowledged to its caller.

    ``target``: as soon as the target answers. Suitable for targets that refuse writes themselves
    as soon as another instance is promoted.
    """

    primary_and_replica = 'primary_and_replica'
    primary_only = 'primary_only'
    target = 'target'


@enum.unique
class Promotion(enum.StrEnum):
    """How a new primary is appointed.

    ``ordered``: control orders each instance to stop following, to promote or to follow.
    ``authority``: an external authority promotes one instance; ``Fencing`` tells whether it also
    demotes the others.
    """

    ordered = 'ordered'
    authority = 'authority'


@enum.unique
class Fencing(enum.StrEnum):
    """What stops a primary that was replaced from serving.

    ``authority``: the authority that promotes another instance demotes it at the same moment, so it
    refuses writes by itself.
    ``leases``: nothing but the leases of the entries; the primary itself goes on.
    """

    authority = 'authority'
    leases = 'leases'


@enum.unique
class PositionSource(enum.StrEnum):
    """Where the log positions of a group's instances come from.

    ``probes``: probes query them.
    ``answers``: each answer carries a position, and a read can wait for one.
    """

    probes = 'probes'
    answers = 'answers'


@enum.unique
class Consistency(enum.StrEnum):
    """Which writes the reads of a route must reflect.

    ``primary``: every acknowledged write.
    ``bounded_age``: every write that was acknowledged longer ago than the maximum age.
    ``session``: as ``bounded_age``, and all writes of the same session.
    """

    primary = 'primary'
    bounded_age = 'bounded_age'
    session = 'session'


@enum.unique
class InsufficientInstances(enum.StrEnum):
    """What happens if too few instances answer during the replacement of a primary."""

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
    """Lower bound for the positions that a session reads, if it starts without a token.

    ``primary_floor``: the primary's position at the start of the session.
    ``age_only``: only the maximum age of the policy applies, so that reads are possible in an
    availability zone that is cut off from the primary.
    """

    primary_floor = 'primary_floor'
    age_only = 'age_only'


class GroupSettings(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Settings of one database group.

    :param instances: number of instances, from which the size of a majority follows.
    :param entries_limit: maximum number of entries that share the group's connections; ``None`` divides the
        connections by the current number of entries.
    :param promotion_wait_s: seconds to wait for a majority of instances before
        ``insufficient_instances`` applies.
    :param primary_read_share: share of the primary's concurrency limit that reads may use, from 0
        to 1.
    :param ledger_retention_s: age in seconds at which a request identifier is refused.
    :param promotion: how a new primary is appointed.
    :param fencing: what stops a replaced primary from serving.
    :param positions: where the log positions of the instances come from.
    :param connection_limit: connections that each instance accepts; ``None`` uses the limit that
        the instance announces.
    :param reserved_connections: connections of each instance that are reserved for control.
    :param synchronous_replicas: number of replicas that must have a write before the target
        acknowledges it.
    """

    instances: Count = 3
    entries_limit: Count | None = 9
    acknowledgement: Acknowledgement = Acknowledgement.primary_and_replica
    insufficient_instances: InsufficientInstances = InsufficientInstances.read_only
    promotion_wait_s: Seconds = 30.0
    primary_read_share: Share = 0.5
    ledger_retention_s: Seconds = 86_400.0
    promotion: Promotion = Promotion.ordered
    fencing: Fencing = Fencing.leases
    positions: PositionSource = PositionSource.probes
    connection_limit: Count | None = None
    reserved_connections: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0
    synchronous_replicas: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0

    def usable_connections(self, announced: int) -> int:
        """Return the number of connections of an instance that the entries share.

        :param announced: connection limit that the instance announces.
        """
        return max(1, (self.connection_limit or announced) - self.reserved_connections)


class Policy(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Limits and consistency of some callers at some groups; the first matching policy applies.

    :param callers: names of callers, or ``*`` for all.
    :param groups: names of groups, or ``*`` for all.
    :param max_age_s: maximum age of the data of a read, in seconds; ``None`` if a read tolerates
        no age.
    :param deadline_s: seconds after which a request is abandoned.
    :param catch_up_wait_s: maximum wait for a replica to catch up, in seconds.
    :param retry_share: retries allowed for each request, on average.
    :param transaction_limit_s: maximum duration of a transaction, in seconds.
    :param idle_in_transaction_s: maximum pause inside a transaction, in seconds.
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
        """Tell whether the policy applies to a caller and a group."""
        return _matches_name(self.callers, caller) and _matches_name(self.groups, group)


class GroupsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a section of kind ``groups``."""

    groups: dict[Name, GroupSettings]


class PoliciesBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a section of kind ``policies``; the first matching policy applies."""

    policies: tuple[Policy, ...]


class OperationsBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a section of kind ``operations``, for interventions of the on-call team.

    :param pause_failover: groups whose primary is not replaced.
    :param read_only: groups that accept no writes.
    """

    pause_failover: tuple[Name, ...] = ()
    read_only: tuple[Name, ...] = ()


class OwnersBody(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of the section of kind ``owners``.

    :param sections: SHA-256 digest of the owner's token by name of the section.
    """

    sections: dict[Name, Sha256Hex]


class Route(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A database name that callers connect to, and how its statements are served.

    :param database: name that callers select.
    :param group: database group that serves it.
    :param max_age_s: maximum age of the data of a read, in seconds; not used by routes whose
        consistency is ``primary``.
    :param statement_timeout_s: seconds after which a statement is abandoned.
    :param target_latency_s: seconds within which an operation should finish.
    :param priority: 0 is served first.
    :param max_attempts: maximum number of times that a statement is sent to an instance.
    :param public: whether callers need no key of a workspace.
    """

    name: str
    database: str
    group: str
    consistency: Consistency
    statement_timeout_s: Annotated[float, msgspec.Meta(gt=0, le=31_536_000)]
    max_age_s: Seconds = 0.0
    target_latency_s: Seconds = 1.0
    priority: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    max_attempts: Count = 2
    public: bool = False


class Workspace(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """A customer of an operator, with its own keys and its own cap.

    :param key_digests: digests of its keys (``digest_key``); the keys themselves are not kept.
    :param priority: 0 is the most important.
    :param rate_per_s: operations per second that its cap allows in the long run; ``None`` for no cap.
    :param burst: operations that its cap allows at once; without it, those of one second.
    """

    name: str
    key_digests: tuple[str, ...] = ()
    priority: Annotated[int, msgspec.Meta(ge=0, le=100)] = 0
    rate_per_s: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] | None = None
    burst: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] | None = None


class WorkspacesBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a section of kind ``workspaces``, in JSON.

    It is a section of its own, so that a change of a route does not send the workspaces again.
    """

    workspaces: tuple[Workspace, ...]


class RoutesBody(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Body of a section of kind ``routes``: groups and the databases that they serve.

    The body is JSON, which parses much faster than YAML, as there may be hundreds of routes.

    :param idle_in_transaction_s: maximum pause inside a transaction, in seconds.
    :param cross_zone_cost_ms: milliseconds that a read must save in another availability zone to
        be sent there; left out if no price is stated, so that older releases read the section.
    """

    routes: tuple[Route, ...]
    groups: dict[str, GroupSettings]
    idle_in_transaction_s: Seconds = 5.0
    cross_zone_cost_ms: CostMilliseconds | msgspec.UnsetType = msgspec.UNSET


SectionBody = GroupsBody | PoliciesBody | OperationsBody | OwnersBody | RoutesBody | WorkspacesBody

BODY_TYPES: Mapping[SectionKind, type[msgspec.Struct]] = MappingProxyType(
    {
        SectionKind.groups: GroupsBody,
        SectionKind.policies: PoliciesBody,
        SectionKind.operations: OperationsBody,
        SectionKind.owners: OwnersBody,
        SectionKind.routes: RoutesBody,
        SectionKind.workspaces: WorkspacesBody,
    }
)


def _matches_name(names: tuple[str, ...], name: str) -> bool:
    return ANY in names or name in names
