"""Checks of a document: the errors for which control refuses it, and warnings.

Control and ``bergamotctl config check`` use the same functions, so that both agree.
"""

import functools
from collections.abc import Iterable, Iterator, Mapping
from typing import Final

import msgspec

from bergamotcart.documents import _schema as schema
from bergamotcart.documents._document import Document, DocumentError, Problem, parse_section
from bergamotcart.messages import SectionRow

_MS_PER_S: Final = 1000


class CheckedDocument(msgspec.Struct, frozen=True):
    """Result of a check.

    :param bodies: bodies of the well-formed sections by the name of their section.
    :param errors: reasons for which control refuses the document.
    :param warnings: entries that can never match, and limits that contradict each other; control
        accepts them.
    """

    bodies: dict[str, schema.SectionBody]
    errors: tuple[Problem, ...] = ()
    warnings: tuple[Problem, ...] = ()


def check_sections(
    rows: Iterable[SectionRow], replication_lag_s: float | None = None
) -> CheckedDocument:
    """Check a complete document.

    :param rows: all sections of the document.
    :param replication_lag_s: usual lag of replicas in seconds, or ``None`` if it is not known.
    """
    bodies: dict[str, schema.SectionBody] = {}
    errors: list[Problem] = []
    # The same problems are reported in the same order, whatever the order of the sections.
    for row in sorted(rows, key=lambda section: section.name):
        try:
            bodies[row.name] = parse_section(row.name, row.kind, row.body)
        except DocumentError as error:
            errors.extend(error.problems)
    if not errors:
        try:
            Document(bodies, revision=0)
        except DocumentError as error:
            errors.extend(error.problems)
    warnings = tuple(find_warnings(bodies, replication_lag_s))
    return CheckedDocument(bodies, tuple(errors), warnings)


def find_errors(rows: Iterable[SectionRow]) -> tuple[Problem, ...]:
    """Return the reasons for which a document is refused; none if it is valid."""
    return check_sections(rows).errors


def find_warnings(
    bodies: Mapping[str, schema.SectionBody], replication_lag_s: float | None = None
) -> Iterator[Problem]:
    """Yield the warnings for the bodies of all sections.

    :param replication_lag_s: usual lag of replicas in seconds, or ``None`` if it is not known.
    """
    context = _Context(bodies, replication_lag_s)
    for name, body in sorted(bodies.items()):
        path = f'sections.{name}'
        yield from _check_body(body, path, context)
        if isinstance(body, schema.GroupsBody | schema.RoutesBody):
            for group, settings in body.groups.items():
                yield from _check_group(f'{path}.groups.{group}', settings)


class _Context(msgspec.Struct, frozen=True):
    """What the checks of one section use of the others.

    :param policies: policies that match before those of the section.
    """

    bodies: Mapping[str, schema.SectionBody]
    replication_lag_s: float | None
    policies: list[schema.Policy] = msgspec.field(default_factory=list)


@functools.singledispatch
def _check_body(body: schema.SectionBody, path: str, context: _Context) -> Iterator[Problem]:
    """Yield the warnings for one section; sections of other kinds have none."""
    return iter(())


@_check_body.register
def _check_owners(body: schema.OwnersBody, path: str, context: _Context) -> Iterator[Problem]:
    for section in sorted(body.sections.keys() - context.bodies.keys()):
        message = 'matches nothing: the document has no such section'
        yield Problem(f'{path}.sections.{section}', message)


@_check_body.register
def _check_routes(body: schema.RoutesBody, path: str, context: _Context) -> Iterator[Problem]:
    for index, route in enumerate(body.routes):
        yield from _check_route(f'{path}.routes[{index}]', route, context.replication_lag_s)
    unused = body.groups.keys() - {each.group for each in body.routes}
    for group in sorted(unused):
        yield Problem(f'{path}.groups.{group}', 'matches nothing: no route leads to the group')
    price_ms = body.cross_zone_cost_ms
    longest_s = max((each.statement_timeout_s for each in body.routes), default=0)
    if price_ms is not msgspec.UNSET and body.routes and price_ms >= longest_s * _MS_PER_S:
        message = f'is not less than the longest timeout ({longest_s:g} s), so no read ever leaves'
        yield Problem(f'{path}.cross_zone_cost_ms', message)


def _check_route(
    path: str, route: schema.Route, replication_lag_s: float | None
) -> Iterator[Problem]:
    objective_s, timeout_s = route.target_latency_s, route.statement_timeout_s
    if objective_s > timeout_s:
        message = f'the objective of {objective_s:g} s exceeds the timeout of {timeout_s:g} s'
        yield Problem(f'{path}.target_latency_s', message)
    elif route.max_attempts * objective_s > timeout_s:
        message = (
            f'{route.max_attempts} attempts that take the objective of {objective_s:g} s do not '
            f'fit the timeout of {timeout_s:g} s'
        )
        yield Problem(f'{path}.max_attempts', message)
    if route.consistency is schema.Consistency.primary:
        if route.max_age_s:
            message = 'is never used: a route of the consistency "primary" allows no age'
            yield Problem(f'{path}.max_age_s', message)
        return
    yield from _check_age(f'{path}.max_age_s', route.max_age_s, replication_lag_s)


def _check_age(path: str, age_s: float, replication_lag_s: float | None) -> Iterator[Problem]:
    if replication_lag_s is not None and age_s < replication_lag_s:
        message = (
            f'the age of {age_s:g} s is below the replication lag of {replication_lag_s:g} s, so '
            'reads wait for replicas or go to the primary'
        )
        yield Problem(path, message)


def _check_group(path: str, settings: schema.GroupSettings) -> Iterator[Problem]:
    is_appointed = settings.promotion is schema.Promotion.authority
    # An authority knows the instances, and the number in the settings is not used.
    if settings.synchronous_replicas >= settings.instances and not is_appointed:
        message = (
            f'more replicas than the other instances of {settings.instances}: writes wait forever'
        )
        yield Problem(f'{path}.synchronous_replicas', message)
    if settings.connection_limit is None:
        return
    usable = settings.connection_limit - settings.reserved_connections
    if usable < 1:
        message = f'leaves none of the {settings.connection_limit} connections to the entries'
        yield Problem(f'{path}.reserved_connections', message)
    elif settings.entries_limit is not None and settings.entries_limit > usable:
        message = (
            f'the quotas of {settings.entries_limit} entries (one connection each) exceed the '
            f'{usable} connections of an instance'
        )
        yield Problem(f'{path}.entries_limit', message)


@_check_body.register
def _check_policies(body: schema.PoliciesBody, path: str, context: _Context) -> Iterator[Problem]:
    for index, policy in enumerate(body.policies):
        policy_path = f'{path}.policies[{index}]'
        reason = _find_mismatch(policy, context.policies)
        if reason:
            yield Problem(policy_path, f'never matches: {reason}')
        yield from _check_policy(policy_path, policy)
        if policy.max_age_s is not None:
            age_path = f'{policy_path}.max_age_s'
            yield from _check_age(age_path, policy.max_age_s, context.replication_lag_s)
        context.policies.append(policy)


def _find_mismatch(policy: schema.Policy, earlier: Iterable[schema.Policy]) -> str:
    """Return why a policy never matches, or an empty string if it may match."""
    if not policy.callers:
        return 'it names no callers'
    if not policy.groups:
        return 'it names no groups'
    for each in earlier:
        if _covers(each.callers, policy.callers) and _covers(each.groups, policy.groups):
            return f'the policy {each.name!r} before it matches the same callers and groups'
    return ''


def _covers(names: tuple[str, ...], others: tuple[str, ...]) -> bool:
    return schema.ANY in names or set(others) <= set(names)


def _check_policy(path: str, policy: schema.Policy) -> Iterator[Problem]:
    pairs = (
        ('catch_up_wait_s', policy.catch_up_wait_s, 'deadline_s', policy.deadline_s),
        (
            'idle_in_transaction_s',
            policy.idle_in_transaction_s,
            'transaction_limit_s',
            policy.transaction_limit_s,
        ),
    )
    for field, limit, other_field, other in pairs:
        if limit > other:
            message = f'{limit:g} is never reached: {other_field} is {other:g}'
            yield Problem(f'{path}.{field}', message)


@_check_body.register
def _check_workspaces(
    body: schema.WorkspacesBody, path: str, context: _Context
) -> Iterator[Problem]:
    sections = context.bodies.values()
    routed = [section for section in sections if isinstance(section, schema.RoutesBody)]
    routes = [route for section in routed for route in section.routes]
    if body.workspaces and routes and all(route.public for route in routes):
        yield Problem(f'{path}.workspaces', 'match nothing: all routes are public')
    for index, workspace in enumerate(body.workspaces):
        yield from _check_workspace(f'{path}.workspaces[{index}]', workspace)


def _check_workspace(path: str, workspace: schema.Workspace) -> Iterator[Problem]:
    if not workspace.key_digests:
        yield Problem(f'{path}.key_digests', 'never matches: the workspace has no key')
    if workspace.rate_per_s is None:
        if workspace.burst is not None:
            yield Problem(f'{path}.burst', 'is never used: the workspace has no rate_per_s')
        return
    if workspace.rate_per_s == 0:
        yield Problem(f'{path}.rate_per_s', 'a cap of 0 refuses all operations in the long run')
    if workspace.burst is not None and workspace.burst < 1:
        yield Problem(f'{path}.burst', 'a burst below 1 refuses every operation')
