"""Sends one changed section and keeps the base copy of its file up to date."""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from bergamotcart_ctl import documents
from bergamotcart_ctl.client import ControlClient, RefusedError, UnreachableError
from bergamotcart_ctl.commands._base import write_error, write_output

_CHANGES_PATH: Final = '/v1/changes'


@dataclass(frozen=True, slots=True)
class ApplyPlan:
    """The sections that ``apply`` sends and the options that it sends them with.

    :param path: path of the document file; its base copy is in the same folder.
    :param change_id: change identifier given with ``--change-id``, if any.
    :param base_version: version given with ``--base-version``, if any; it is not stored in the
        base copy.
    """

    path: Path
    base: documents.BaseCopy
    sections: Mapping[str, documents.Section]
    change_id: str | None
    dry_run: bool
    base_version: int | None = None


async def send_section(client: ControlClient, plan: ApplyPlan, name: str) -> int:
    """Send one section and update the base copy.

    :returns: the revision that the change created, or 0 for a dry run.
    :raises ControlError: if it is refused, or its outcome is unknown.
    """
    body = _build_body(plan, name)
    if plan.dry_run:
        response = await client.post(_CHANGES_PATH, body)
        write_output(f'{name}: valid')
    else:
        response = await _post_change(client, plan, name, body)
        _store_new_version(plan, name, response)
        write_output(
            f'{name}: version {response.get("version")}, revision {response.get("revision")}'
        )
    if response.get('diff'):
        write_output(str(response['diff']))
    return int(response.get('revision') or 0)


def _build_body(plan: ApplyPlan, name: str) -> dict[str, object]:
    section = plan.sections[name]
    base_section = plan.base.sections.get(name)
    base_copy_version = base_section.version if base_section else 0
    pending = plan.base.pending.get(name)
    return {
        'section': name,
        'kind': section.kind,
        'base_version': base_copy_version if plan.base_version is None else plan.base_version,
        'change_id': plan.change_id or _reuse_change_id(pending, section) or uuid.uuid4().hex,
        'body': section.body,
        'dry_run': plan.dry_run,
    }


def _reuse_change_id(
    pending: documents.PendingChange | None,
    section: documents.Section,
) -> str | None:
    # A section that was edited after the pending change was sent is a different change and
    # needs a new identifier.
    if pending is None or pending.body != section.body:
        return None
    return pending.change_id


async def _post_change(
    client: ControlClient,
    plan: ApplyPlan,
    name: str,
    body: dict[str, object],
) -> dict[str, object]:
    change_id = str(body['change_id'])
    plan.base.pending[name] = documents.PendingChange(
        change_id=change_id,
        body=plan.sections[name].body,
    )
    documents.store_base_copy(plan.path, plan.base)
    try:
        return await client.post(_CHANGES_PATH, body)
    except UnreachableError:
        write_error(
            f'{name}: the outcome of change {change_id} is unknown; '
            'run apply again without editing the section',
        )
        raise
    except RefusedError:
        plan.base.pending.pop(name)
        documents.store_base_copy(plan.path, plan.base)
        raise


def _store_new_version(plan: ApplyPlan, name: str, response: Mapping[str, object]) -> None:
    section = plan.sections[name]
    plan.base.pending.pop(name)
    if section.body:
        plan.base.sections[name] = documents.Section(
            kind=section.kind,
            body=section.body,
            version=int(response.get('version') or 0),
        )
    else:
        plan.base.sections.pop(name, None)
    documents.store_base_copy(plan.path, plan.base)
