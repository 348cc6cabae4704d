"""Differences between two documents, and what a change from one to the other does.

Keys and tokens are counted, never shown.
"""

import collections
import enum
import functools
from collections.abc import Iterator, Mapping
from typing import Final

import msgspec

from bergamotcart.documents import _schema as schema

_Bodies = Mapping[str, schema.SectionBody]
_SECRET_FIELDS: Final = frozenset(('key_digests',))


@enum.unique
class ChangeKind(enum.StrEnum):
    """What happens to the part of a document that differs."""

    added = 'added'
    removed = 'removed'
    changed = 'changed'


class Difference(msgspec.Struct, frozen=True):
    """One difference.

    :param subject: the part that differs, such as ``route shop``.
    :param effect: what the change does.
    """

    kind: ChangeKind
    subject: str
    effect: str


def compare_documents(before: _Bodies, after: _Bodies) -> tuple[Difference, ...]:
    """Return how two documents differ.

    :param before: bodies of the sections in force, by name.
    :param after: bodies that would replace them.
    """
    earlier, later = _list_parts(before), _list_parts(after)
    differences: list[Difference] = []
    for removed in sorted(earlier.keys() - later.keys()):
        effect = _describe_removal(earlier[removed])
        differences.append(Difference(ChangeKind.removed, removed, effect))
    for added in sorted(later.keys() - earlier.keys()):
        effect = _describe_addition(later[added])
        differences.append(Difference(ChangeKind.added, added, effect))
    for subject in sorted(earlier.keys() & later.keys()):
        differences.extend(
            Difference(ChangeKind.changed, subject, effect)
            for effect in _describe_change(earlier[subject], later[subject])
        )
    return tuple(differences)


class _Setting(msgspec.Struct, frozen=True):
    """A field of a section that belongs to no named part.

    :param is_secret: whether its value must not be shown.
    """

    value: object
    is_secret: bool = False


_Part = schema.Route | schema.GroupSettings | schema.Policy | schema.Workspace | _Setting


def _list_parts(bodies: _Bodies) -> dict[str, _Part]:
    """Return the named parts of all sections by the text that names them."""
    parts: dict[str, _Part] = {}
    for name, body in bodies.items():
        parts.update(_list_section_parts(body, name))
        if isinstance(body, schema.GroupsBody | schema.RoutesBody):
            parts.update({f'group {group}': settings for group, settings in body.groups.items()})
    return parts


@functools.singledispatch
def _list_section_parts(body: schema.SectionBody, name: str) -> Iterator[tuple[str, _Part]]:
    """Yield the parts of one section, except groups."""
    return iter(())


@_list_section_parts.register
def _list_routes(body: schema.RoutesBody, name: str) -> Iterator[tuple[str, _Part]]:
    for route in body.routes:
        yield f'route {route.database}', route
    yield f'{name} idle_in_transaction_s', _Setting(body.idle_in_transaction_s)
    if body.cross_zone_cost_ms is not msgspec.UNSET:
        yield f'{name} cross_zone_cost_ms', _Setting(body.cross_zone_cost_ms)


@_list_section_parts.register
def _list_policies(body: schema.PoliciesBody, name: str) -> Iterator[tuple[str, _Part]]:
    yield f'{name} order of policies', _Setting([policy.name for policy in body.policies])
    counts: collections.Counter[str] = collections.Counter()
    for policy in body.policies:
        counts[policy.name] += 1
        # Several policies may have the same name, such as the default one.
        yield f'policy {policy.name} {counts[policy.name]} of {name}', policy


@_list_section_parts.register
def _list_workspaces(body: schema.WorkspacesBody, name: str) -> Iterator[tuple[str, _Part]]:
    for workspace in body.workspaces:
        yield f'workspace {workspace.name}', workspace


@_list_section_parts.register
def _list_operations(body: schema.OperationsBody, name: str) -> Iterator[tuple[str, _Part]]:
    yield f'{name} pause_failover', _Setting(sorted(body.pause_failover))
    yield f'{name} read_only', _Setting(sorted(body.read_only))


@_list_section_parts.register
def _list_owners(body: schema.OwnersBody, name: str) -> Iterator[tuple[str, _Part]]:
    for section, token_hash in body.sections.items():
        yield f'owner of {section}', _Setting(token_hash, is_secret=True)


def _describe_addition(part: _Part) -> str:
    if isinstance(part, schema.Route):
        return f'callers may connect; served by the group {part.group}'
    if isinstance(part, schema.Workspace):
        return f'{len(part.key_digests)} keys become valid; {_describe_cap(part)}'
    if isinstance(part, _Setting):
        return 'is set' if part.is_secret else f'is set to {_show(part.value)}'
    return 'comes into force'


def _describe_removal(part: _Part) -> str:
    if isinstance(part, schema.Route):
        return 'the route is dropped: its sessions end, and callers that connect are refused'
    if isinstance(part, schema.GroupSettings):
        return 'the group is dropped: its requests are refused and its primary is not replaced'
    if isinstance(part, schema.Workspace):
        return f'{len(part.key_digests)} keys are withdrawn: their sessions end with NOAUTH'
    return 'no longer applies'


def _describe_change(old: _Part, new: _Part) -> Iterator[str]:
    if old == new:
        return
    if isinstance(old, _Setting) and isinstance(new, _Setting):
        yield 'changes' if old.is_secret else f'{_show(old.value)} becomes {_show(new.value)}'
        return
    if isinstance(old, schema.Workspace) and isinstance(new, schema.Workspace):
        yield from _describe_keys(old, new)
        yield from _describe_caps(old, new)
    for field in type(new).__struct_fields__:
        before, after = getattr(old, field), getattr(new, field)
        if before != after and field not in _SECRET_FIELDS and not _is_cap(new, field):
            yield f'{field}: {_show(before)} becomes {_show(after)}'


def _describe_keys(old: schema.Workspace, new: schema.Workspace) -> Iterator[str]:
    withdrawn = len(set(old.key_digests) - set(new.key_digests))
    added = len(set(new.key_digests) - set(old.key_digests))
    if withdrawn:
        yield f'{withdrawn} keys are withdrawn: their sessions end with NOAUTH'
    if added:
        yield f'{added} keys become valid'


def _describe_caps(old: schema.Workspace, new: schema.Workspace) -> Iterator[str]:
    for field in ('rate_per_s', 'burst'):
        before, after = getattr(old, field), getattr(new, field)
        if before == after:
            continue
        is_lowered = after is not None and (before is None or after < before)
        word = 'lowered' if is_lowered else 'raised'
        effect = ': operations above it are refused' if is_lowered else ''
        yield f'the cap is {word}, {field}: {_show(before)} becomes {_show(after)}{effect}'


def _is_cap(part: _Part, field: str) -> bool:
    return isinstance(part, schema.Workspace) and field in {'rate_per_s', 'burst'}


def _describe_cap(workspace: schema.Workspace) -> str:
    if workspace.rate_per_s is None:
        return 'no cap'
    return f'a cap of {workspace.rate_per_s:g} operations a second'


def _show(shown: object) -> str:
    return 'none' if shown is None else msgspec.json.encode(shown).decode()
