"""Sending one changed section."""

import uuid
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Final

from bergamotcart_ctl import changes
from bergamotcart_ctl.client import ControlClient, RefusedError, UnreachableError
from bergamotcart_ctl.commands._base import report_line, write_output

_PATH: Final = '/v1/changes'


@dataclass(frozen=True, slots=True)
class Plan:
    """What to send.

    :param path: the document file; its base copy lies beside it.
    :param change_id: identifier that the operator chose, if any.
    :param base_version: version that the operator stated, which the base copy does not keep.
    """

    path: Path
    base: changes.BaseCopy
    sections: Mapping[str, changes.Section]
    change_id: str | None
    dry_run: bool
    base_version: int | None = None


async def send_section(client: ControlClient, plan: Plan, name: str) -> int:
    """Send one section and update the base copy.

    :returns: the revision that the change created, or 0 for a dry run.
    :raises ControlError: if it is refused, or its outcome is unknown.
    """
    body = _build_body(plan, name)
    if plan.dry_run:
        answer = await client.post(_PATH, body)
        write_output(f'{name}: valid')
    else:
        answer = await _send(client, plan, name, body)
        _keep_version(plan, name, answer)
        write_output(f'{name}: version {answer.get("version")}, revision {answer.get("revision")}')
    if answer.get('diff'):
        write_output(str(answer['diff']))
    return int(answer.get('revision') or 0)


def _build_body(plan: Plan, name: str) -> dict[str, object]:
    section = plan.sections[name]
    known = plan.base.sections.get(name)
    read_version = known.version if known else 0
    pending = plan.base.pending.get(name)
    return {
        'section': name,
        'kind': section.kind,
        'base_version': read_version if plan.base_version is None else plan.base_version,
        'change_id': plan.change_id or _reuse(pending, section) or uuid.uuid4().hex,
        'body': section.body,
        'dry_run': plan.dry_run,
    }


def _reuse(pending: changes.PendingChange | None, section: changes.Section) -> str | None:
    # A file that was edited since then is another change and needs another identifier.
    if pending is None or pending.body != section.body:
        return None
    return pending.change_id


async def _send(
    client: ControlClient,
    plan: Plan,
    name: str,
    body: dict[str, object],
) -> dict[str, object]:
    change_id = str(body['change_id'])
    plan.base.pending[name] = changes.PendingChange(
        change_id=change_id,
        body=plan.sections[name].body,
    )
    changes.store_base_copy(plan.path, plan.base)
    try:
        return await client.post(_PATH, body)
    except UnreachableError:
        report_line(f'{name}: the outcome of change {change_id} is unknown; apply it again')
        raise
    except RefusedError:
        plan.base.pending.pop(name)
        changes.store_base_copy(plan.path, plan.base)
        raise


def _keep_version(plan: Plan, name: str, answer: Mapping[str, object]) -> None:
    section = plan.sections[name]
    plan.base.pending.pop(name)
    if section.body:
        plan.base.sections[name] = changes.Section(
            kind=section.kind,
            body=section.body,
            version=int(answer.get('version') or 0),
        )
    else:
        plan.base.sections.pop(name, None)
    changes.store_base_copy(plan.path, plan.base)
