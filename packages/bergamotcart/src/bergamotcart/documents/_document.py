"""A complete, checked operator document."""

import functools
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Final

import msgspec

from bergamotcart.documents import _schema as schema
from bergamotcart.messages import SectionRow

_DEFAULT_POLICY: Final = schema.Policy()
_PARSED_SECTIONS: Final = 64
# Routes do not name their callers, so limits per caller do not apply to them.
_UNLIMITED: Final = 1_000_000


@dataclass(frozen=True, slots=True)
class Problem:
    """One fault in a document.

    :param path: place of the fault, such as ``sections.app.policies[0].max_age_s``.
    """

    path: str
    message: str


class DocumentError(ValueError):
    """The document has faults; ``problems`` lists them."""

    def __init__(self, problems: tuple[Problem, ...]) -> None:
        """Keep the problems found."""
        super().__init__('; '.join(f'{fault.path}: {fault.message}' for fault in problems))
        self.problems = problems


@dataclass(frozen=True, slots=True)
class ResolvedRoute:
    """A route with the limits that its requests have."""

    route: schema.Route
    policy: schema.Policy


class Document:
    """The sections in force, resolved for look-ups.

    :param revision: log index of the last change.
    """

    __slots__ = ('_groups', '_operations', '_owners', '_policies', '_routes', 'revision')

    def __init__(self, bodies: dict[str, schema.SectionBody], revision: int) -> None:
        """Index the bodies by what they hold.

        :raises DocumentError: if sections contradict each other.
        """
        self._groups: dict[str, schema.GroupSettings] = {}
        self._policies: list[schema.Policy] = []
        self._operations: list[schema.OperationsBody] = []
        self._owners: dict[str, str] = {}
        self._routes: dict[str, ResolvedRoute] = {}
        self.revision = revision
        problems = [problem for name in sorted(bodies) for problem in self._add(name, bodies[name])]
        problems.extend(self._check_references(bodies))
        if problems:
            raise DocumentError(tuple(problems))

    @classmethod
    def from_sections(cls, sections: Iterable[SectionRow], revision: int) -> 'Document':
        """Parse and check all sections.

        :param sections: committed rows of the document.
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
        """SHA-256 of the token of each owned section."""
        return dict(self._owners)

    def group(self, name: str) -> schema.GroupSettings | None:
        """Return the settings of a group, or ``None`` if the document has no such group."""
        return self._groups.get(name)

    def policy(self, caller: str, group: str) -> schema.Policy:
        """Return the first policy that covers a caller and a group, or the safe default."""
        for policy in self._policies:
            if policy.matches(caller, group):
                return policy
        return _DEFAULT_POLICY

    def route(self, database: str) -> 'ResolvedRoute | None':
        """Return how a database name is served, or ``None`` if no route has it."""
        return self._routes.get(database)

    def is_failover_paused(self, group: str) -> bool:
        """Tell whether the on-call team has paused the replacement of a group's primary."""
        return any(group in body.pause_failover for body in self._operations)

    def is_read_only(self, group: str) -> bool:
        """Tell whether the on-call team has stopped writes to a group."""
        return any(group in body.read_only for body in self._operations)

    def _add(self, name: str, body: schema.SectionBody) -> list[Problem]:
        if isinstance(body, schema.GroupsBody):
            return self._add_groups(name, body)
        if isinstance(body, schema.PoliciesBody):
            self._policies.extend(body.policies)
        elif isinstance(body, schema.OperationsBody):
            self._operations.append(body)
        elif isinstance(body, schema.RoutesBody):
            return [*self._add_groups(name, body), *self._add_routes(name, body)]
        else:
            self._owners.update(body.sections)
        return []

    def _add_routes(self, name: str, body: schema.RoutesBody) -> list[Problem]:
        problems: list[Problem] = []
        for index, route in enumerate(body.routes):
            path = f'sections.{name}.routes[{index}]'
            if route.database in self._routes:
                problems.append(Problem(f'{path}.database', 'another route has this database'))
            if route.group not in body.groups:
                fault = f'no group {route.group!r} is defined'
                problems.append(Problem(f'{path}.group', fault))
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

    def _add_groups(
        self,
        name: str,
        body: schema.GroupsBody | schema.RoutesBody,
    ) -> list[Problem]:
        problems = [
            Problem(f'sections.{name}.groups.{group}', 'another section defines this group')
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
                for path, group in _references(body)
                if group not in self._groups
            )
        return problems


# A change of one section leaves the others as they are, and each is parsed again
# with every change of the document and of a group's phase.
@functools.lru_cache(maxsize=_PARSED_SECTIONS)
def parse_section(name: str, kind: str, body: str) -> schema.SectionBody:
    """Parse the YAML text of one section.

    :param name: name of the section, used in the paths of faults.
    :param kind: value of ``SectionKind``.
    :param body: YAML text.
    :returns: the typed body.
    :raises DocumentError: naming the path of the fault.
    """
    prefix = f'sections.{name}'
    try:
        body_type = schema.BODY_TYPES[schema.SectionKind(kind)]
    except ValueError as error:
        raise DocumentError((Problem(prefix, f'unknown kind {kind!r}'),)) from error
    try:
        if body_type is schema.RoutesBody:
            return msgspec.json.decode(body, type=body_type)
        return msgspec.convert(_load_yaml(prefix, body), body_type)
    except msgspec.ValidationError as error:
        message, _, path = str(error).partition(' - at `$')
        suffix = path.rstrip('`')
        raise DocumentError((Problem(f'{prefix}{suffix}', message),)) from error
    except msgspec.DecodeError as error:
        raise DocumentError((Problem(prefix, f'malformed JSON: {error}'),)) from error


def _load_yaml(prefix: str, body: str) -> object:
    # Loading the parser takes a noticeable part of a start, and routes do without it.
    import yaml

    # The parser of libyaml is several times faster; not every platform has it.
    loader = getattr(yaml, 'CSafeLoader', yaml.SafeLoader)
    try:
        return yaml.load(body, Loader=loader)
    except yaml.YAMLError as error:
        raise DocumentError((Problem(prefix, f'malformed YAML: {error}'),)) from error


def _references(body: schema.SectionBody) -> list[tuple[str, str]]:
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
