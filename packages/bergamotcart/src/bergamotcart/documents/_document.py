"""The complete, validated operator document."""

import functools
from collections.abc import Iterable
from typing import Final

import msgspec

from bergamotcart.documents import _schema as schema
from bergamotcart.documents._workspace_directory import WorkspaceDirectory, digest_key
from bergamotcart.messages import SectionRow

_DEFAULT_POLICY: Final = schema.Policy()
_PARSE_CACHE_SIZE: Final = 64
# Bodies that programs write, which may be long: JSON parses much faster than YAML.
_JSON_BODY_TYPES: Final = frozenset((schema.RoutesBody, schema.WorkspacesBody))
# Limits of the policy of a route: routes name no callers, so limits per caller do not apply.
_UNLIMITED: Final = 1_000_000


class Problem(msgspec.Struct, frozen=True):
    """One problem in a document.

    :param path: path of the invalid field, such as ``sections.app.policies[0].max_age_s``.
    :param message: description of the problem.
    """

    path: str
    message: str


class DocumentError(ValueError):
    """The document is invalid; ``problems`` lists why."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Store the problems and join them into the message."""
        super().__init__('; '.join(f'{problem.path}: {problem.message}' for problem in problems))
        self.problems = problems


class ResolvedRoute(msgspec.Struct, frozen=True):
    """A route with the policy that applies to its requests."""

    route: schema.Route
    policy: schema.Policy


class Document:
    """The sections in force, indexed for look-ups.

    :param revision: log index of the last change.
    """

    __slots__ = (
        '_cross_zone_cost_ms',
        '_groups',
        '_operations',
        '_owners',
        '_policies',
        '_routes',
        '_workspaces',
        'revision',
    )

    def __init__(self, bodies: dict[str, schema.SectionBody], revision: int) -> None:
        """Index the bodies of the sections.

        :param bodies: bodies by the name of their section.
        :param revision: log index of the last change.
        :raises DocumentError: if sections contradict each other.
        """
        self._groups: dict[str, schema.GroupSettings] = {}
        self._policies: list[schema.Policy] = []
        self._operations: list[schema.OperationsBody] = []
        self._owners: dict[str, str] = {}
        self._routes: dict[str, ResolvedRoute] = {}
        self._workspaces = WorkspaceDirectory()
        self._cross_zone_cost_ms: float | None = None
        self.revision = revision
        problems = [
            problem for name in sorted(bodies) for problem in self._add_section(name, bodies[name])
        ]
        problems.extend(self._check_references(bodies))
        if problems:
            raise DocumentError(tuple(problems))

    @classmethod
    def from_sections(cls, sections: Iterable[SectionRow], revision: int) -> 'Document':
        """Parse and validate all sections.

        :param sections: committed sections of the document.
        :param revision: log index of the last change.
        :raises DocumentError: if a section is malformed or sections contradict each other.
        """
        bodies = {row.name: parse_section(row.name, row.kind, row.body) for row in sections}
        return cls(bodies, revision)

    @property
    def groups(self) -> dict[str, schema.GroupSettings]:
        """All groups by name."""
        return dict(self._groups)

    @property
    def owner_hashes(self) -> dict[str, str]:
        """SHA-256 digest of the owner's token by name of the section."""
        return dict(self._owners)

    def group(self, name: str) -> schema.GroupSettings | None:
        """Return the settings of a group, or ``None`` if the document has no such group."""
        return self._groups.get(name)

    def policy(self, caller: str, group: str) -> schema.Policy:
        """Return the first policy that matches a caller and a group, or the default policy."""
        for policy in self._policies:
            if policy.matches(caller, group):
                return policy
        return _DEFAULT_POLICY

    def route(self, database: str) -> 'ResolvedRoute | None':
        """Return the route of a database name, or ``None`` if there is none."""
        return self._routes.get(database)

    @property
    def shortest_objective_s(self) -> float | None:
        """Shortest latency objective of all routes with one in seconds, or ``None``."""
        objectives = (resolved.route.target_latency_s for resolved in self._routes.values())
        return min(filter(None, objectives), default=None)

    @property
    def cross_zone_cost_ms(self) -> float | None:
        """Milliseconds that a read must save in another availability zone, or ``None``."""
        return self._cross_zone_cost_ms

    @property
    def has_workspaces(self) -> bool:
        """Whether callers belong to workspaces and need a key, except on public routes."""
        return len(self._workspaces) > 0

    @property
    def workspaces(self) -> tuple[schema.Workspace, ...]:
        """All workspaces."""
        return self._workspaces.workspaces

    def workspace(self, name: str) -> schema.Workspace | None:
        """Return the workspace with a name, or ``None``."""
        return self._workspaces.get(name)

    def find_workspace(self, key: str) -> schema.Workspace | None:
        """Return the workspace that holds a key, or ``None`` if none does."""
        return self._workspaces.find_by_digest(digest_key(key))

    def find_workspace_by_digest(self, digest: str) -> schema.Workspace | None:
        """Return the workspace that holds the key with a digest (``digest_key``), or ``None``."""
        return self._workspaces.find_by_digest(digest)

    def is_failover_paused(self, group: str) -> bool:
        """Tell whether operators have paused the replacement of a group's primary."""
        return any(group in body.pause_failover for body in self._operations)

    def is_read_only(self, group: str) -> bool:
        """Tell whether operators have made a group read-only."""
        return any(group in body.read_only for body in self._operations)

    def _add_section(self, name: str, body: schema.SectionBody) -> list[Problem]:
        if isinstance(body, schema.GroupsBody):
            return self._add_groups(name, body)
        if isinstance(body, schema.PoliciesBody):
            self._policies.extend(body.policies)
        elif isinstance(body, schema.OperationsBody):
            self._operations.append(body)
        elif isinstance(body, schema.RoutesBody):
            return [*self._add_groups(name, body), *self._add_routes(name, body)]
        elif isinstance(body, schema.WorkspacesBody):
            return self._add_workspaces(name, body)
        else:
            self._owners.update(body.sections)
        return []

    def _add_routes(self, name: str, body: schema.RoutesBody) -> list[Problem]:
        if body.cross_zone_cost_ms is not msgspec.UNSET:
            self._cross_zone_cost_ms = body.cross_zone_cost_ms
        problems: list[Problem] = []
        for index, route in enumerate(body.routes):
            path = f'sections.{name}.routes[{index}]'
            if route.database in self._routes:
                problems.append(
                    Problem(
                        f'{path}.database', f'another route has the database {route.database!r}'
                    )
                )
            if route.group not in body.groups:
                message = f'the section defines no group {route.group!r}'
                problems.append(Problem(f'{path}.group', message))
            policy = schema.Policy(
                max_age_s=None
                if route.consistency is schema.Consistency.primary
                else route.max_age_s,
                deadline_s=route.statement_timeout_s,
                idle_in_transaction_s=body.idle_in_transaction_s,
                max_connections=_UNLIMITED,
                max_in_flight=_UNLIMITED,
            )
            self._routes[route.database] = ResolvedRoute(route, policy)
        return problems

    def _add_workspaces(self, name: str, body: schema.WorkspacesBody) -> list[Problem]:
        problems: list[Problem] = []
        for index, workspace in enumerate(body.workspaces):
            message = self._workspaces.add(workspace)
            if message is not None:
                problems.append(Problem(f'sections.{name}.workspaces[{index}]', message))
        return problems

    def _add_groups(
        self,
        name: str,
        body: schema.GroupsBody | schema.RoutesBody,
    ) -> list[Problem]:
        problems = [
            Problem(
                f'sections.{name}.groups.{group}', f'another section defines the group {group!r}'
            )
            for group in body.groups
            if group in self._groups
        ]
        self._groups.update(body.groups)
        return problems

    def _check_references(self, bodies: dict[str, schema.SectionBody]) -> list[Problem]:
        problems: list[Problem] = []
        for name, body in sorted(bodies.items()):
            problems.extend(
                Problem(f'sections.{name}.{path}', f'no section defines the group {group!r}')
                for path, group in _list_group_references(body)
                if group not in self._groups
            )
        return problems


# All sections are parsed again with every change of the document and of a group's phase; the cache
# avoids parsing those that are unchanged.
@functools.lru_cache(maxsize=_PARSE_CACHE_SIZE)
def parse_section(name: str, kind: str, body: str) -> schema.SectionBody:
    """Parse the text of one section.

    :param name: name of the section, used in the paths of problems.
    :param kind: value of ``SectionKind``.
    :param body: text of the section: JSON for the kinds ``routes`` and ``workspaces``, YAML for all others.
    :returns: the typed body.
    :raises DocumentError: if the text is malformed or a field is invalid; the problem names its
        path.
    """
    prefix = f'sections.{name}'
    try:
        body_type = schema.BODY_TYPES[schema.SectionKind(kind)]
    except ValueError as error:
        raise DocumentError((Problem(prefix, f'unknown kind {kind!r}'),)) from error
    try:
        if body_type in _JSON_BODY_TYPES:
            return msgspec.json.decode(body, type=body_type)
        return msgspec.convert(_load_yaml(prefix, body), body_type)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(' - at `$')
        field_path = path.rstrip('`')
        raise DocumentError((Problem(f'{prefix}{field_path}', message),)) from error
    except msgspec.DecodeError as error:
        raise DocumentError((Problem(prefix, f'malformed JSON: {error}'),)) from error


def _load_yaml(prefix: str, body: str) -> object:
    # Importing the parser takes a noticeable part of the start-up time, and routes do not need it.
    import yaml

    # The parser of libyaml is several times faster but not available on every platform.
    loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
    try:
        return yaml.load(body, Loader=loader)
    # The parser lets errors of many types through from scalars that match no value of their tag.
    except Exception as error:
        raise DocumentError((Problem(prefix, f'malformed YAML: {error}'),)) from error


def _list_group_references(body: schema.SectionBody) -> list[tuple[str, str]]:
    if isinstance(body, schema.PoliciesBody):
        return [
            (f'policies[{index}].groups', group)
            for index, policy in enumerate(body.policies)
            for group in policy.groups
            if group != schema.ANY
        ]
    if isinstance(body, schema.OperationsBody):
        paused = [('pause_failover', group) for group in body.pause_failover]
        return paused + [('read_only', group) for group in body.read_only]
    return []
