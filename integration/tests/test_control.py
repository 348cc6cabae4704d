"""Tests of failures of control processes, and of conflicting changes by operators."""

import asyncio
import uuid
from functools import partial
from http import HTTPStatus

import msgspec
import yaml

from bergamotcart_testkit.checked_load import checked_load
from bergamotcart_testkit.deployment import (
    ADMIN_TOKEN,
    ControlPlan,
    Deployment,
    Reply,
    all_entries_report_revision,
    control_document,
    control_leader,
    control_status,
    wait_until,
)
from bergamotcart_testkit.load import LoadSettings

_MISSED_CHANGES = 300


def _policies(number: int) -> dict[str, object]:
    return {'policies': [{'name': 'extra', 'callers': [f'nobody{number}']}]}


def _change(section: str, base_version: int, number: int) -> dict[str, object]:
    return {
        'section': section,
        'kind': 'policies',
        'base_version': base_version,
        'change_id': uuid.uuid4().hex,
        'body': yaml.safe_dump(_policies(number)),
        'dry_run': False,
    }


async def _apply_change(deployment: Deployment, section: str, base_version: int) -> int:
    """Apply a change and return the revision of the document afterwards."""
    await deployment.apply_section(section, 'policies', _policies(base_version), base_version)
    status = await control_status(deployment)
    return int(str(status['revision']))


async def _wait_until_entries_report(deployment: Deployment, revision: int) -> None:
    condition = partial(all_entries_report_revision, deployment, revision)
    await wait_until(condition, f'revision {revision} is in force on all entries')


async def _wait_until_readmitted(
    deployment: Deployment, name: str, former_incarnation: str
) -> None:
    """Wait until a member that lost its data votes again, under a new incarnation."""
    await wait_until(
        partial(_is_readmitted, deployment, name, former_incarnation),
        f'{name} votes again under a new incarnation',
    )


async def _is_readmitted(deployment: Deployment, name: str, former_incarnation: str) -> bool:
    status = await control_status(deployment)
    members = msgspec.convert(status['members'], list[dict[str, object]])
    return any(
        member['name'] == name and member['voter'] and member['incarnation'] != former_incarnation
        for member in members
    )


async def _incarnation(deployment: Deployment, name: str) -> str:
    status = await control_status(deployment)
    members = msgspec.convert(status['members'], list[dict[str, object]])
    return next(str(each['incarnation']) for each in members if each['name'] == name)


async def _leader_and_followers(deployment: Deployment) -> tuple[ControlPlan, list[ControlPlan]]:
    leader = await control_leader(deployment)
    plans = deployment.plan.controls
    followers = [plan for plan in plans if plan.name != leader]
    return next(plan for plan in plans if plan.name == leader), followers


async def _section_version(deployment: Deployment, section: str) -> int:
    document = await control_document(deployment)
    sections = msgspec.convert(document['sections'], list[dict[str, object]])
    versions = {str(each['name']): int(str(each['version'])) for each in sections}
    return versions.get(section, 0)


async def _try_change(deployment: Deployment, change: dict[str, object]) -> Reply | None:
    return await deployment.try_change(change)


async def _leader_is_not(deployment: Deployment, name: str) -> bool:
    return await control_leader(deployment) != name


async def test_paused_leader_resumes_after_changes(deployment: Deployment) -> None:
    """Guards against a former leader that resumes and acts on outdated state."""
    async with checked_load(deployment, LoadSettings(seed=31)) as load:
        leader, _ = await _leader_and_followers(deployment)
        leader.process.pause()
        await wait_until(partial(_leader_is_not, deployment, leader.name), 'another member leads')
        for version in range(5):
            revision = await _apply_change(deployment, 'isolated', version)
        old_primary = await deployment.wait_for_settled_primary(deployment.group)
        deployment.processes[old_primary.instance].kill()
        await load.wait_for_acknowledged_writes(40, deployment.group)
        leader.process.resume()
        await load.wait_for_acknowledged_writes(40, deployment.group)
        assert await _section_version(deployment, 'isolated') == 5
        await _wait_until_entries_report(deployment, revision)


async def test_two_operators_with_one_base_version(deployment: Deployment) -> None:
    """Guards against two accepted changes with the same base version."""
    await _apply_change(deployment, 'contested', 0)
    controls = deployment.plan.controls
    changes = [_change('contested', 1, number) for number in range(len(controls))]
    replies = await asyncio.gather(
        *(
            deployment.send_change(control.http, change)
            for control, change in zip(controls, changes, strict=True)
        )
    )
    statuses = [reply.status for reply in replies if reply]
    assert statuses.count(HTTPStatus.OK) == 1, replies
    assert statuses.count(HTTPStatus.CONFLICT) == len(controls) - 1, replies
    conflict = next(reply for reply in replies if reply and reply.status == HTTPStatus.CONFLICT)
    body = conflict.body.decode()
    assert 'nobody' in body, body
    assert await _section_version(deployment, 'contested') == 2


async def test_change_resent_after_lost_answer(deployment: Deployment) -> None:
    """Guards against a resent change that is applied again, or refused as a conflict."""
    await _apply_change(deployment, 'resent', 0)
    change = _change('resent', 1, 7)
    control = deployment.plan.controls[0]
    content = msgspec.json.encode(change)
    head = (
        f'POST /v1/changes HTTP/1.1\r\nHost: {control.http}\r\n'
        f'Authorization: Bearer {ADMIN_TOKEN}\r\nContent-Type: application/json\r\n'
        f'Content-Length: {len(content)}\r\n\r\n'
    )
    _, writer = await asyncio.open_connection(control.http.host, control.http.port)
    writer.write(head.encode() + content)
    await writer.drain()
    writer.close()
    accepted = partial(_try_change, deployment, change)
    first = await wait_until(accepted, 'the resent change is accepted')
    repeated = await wait_until(accepted, 'the change that was sent again is answered once more')
    assert first.json() == repeated.json()
    assert await _section_version(deployment, 'resent') == 2


async def test_both_followers_lose_data_one_after_other(deployment: Deployment) -> None:
    """Guards against the loss of accepted state when two members lose their disks in turn."""
    async with checked_load(deployment, LoadSettings(seed=32)) as load:
        _, followers = await _leader_and_followers(deployment)
        first, second = followers
        revision = await _apply_change(deployment, 'repaired', 0)
        former_incarnation = await _incarnation(deployment, first.name)
        first.process.kill()
        deployment.empty_data_folder(first.name)
        first.process.start()
        await _wait_until_readmitted(deployment, first.name, former_incarnation)
        former_incarnation = await _incarnation(deployment, second.name)
        second.process.kill()
        deployment.empty_data_folder(second.name)
        assert await _section_version(deployment, 'repaired') == 1
        revision = await _apply_change(deployment, 'repaired', 1)
        await load.wait_for_acknowledged_writes(20, deployment.group)
        second.process.start()
        await _wait_until_readmitted(deployment, second.name, former_incarnation)
        assert await _section_version(deployment, 'repaired') == 2
        await _wait_until_entries_report(deployment, revision)


async def test_both_followers_killed_and_one_loses_data(deployment: Deployment) -> None:
    """Guards against a member that lost its data and votes against state it had accepted."""
    async with checked_load(deployment, LoadSettings(seed=33)) as load:
        _, followers = await _leader_and_followers(deployment)
        first, second = followers
        revision = await _apply_change(deployment, 'early', 0)
        former_incarnation = await _incarnation(deployment, first.name)
        first.process.kill()
        second.process.kill()
        deployment.empty_data_folder(first.name)
        first.process.start()
        second.process.start()
        assert await _section_version(deployment, 'early') == 1
        await _wait_until_entries_report(deployment, revision)
        await _wait_until_readmitted(deployment, first.name, former_incarnation)
        await load.wait_for_acknowledged_writes(20, deployment.group)


async def test_restart_after_hundreds_of_missed_changes(deployment: Deployment) -> None:
    """Guards against processes that cannot catch up, or start with an old document."""
    entry = deployment.plan.entries[0]
    _, followers = await _leader_and_followers(deployment)
    first, second = followers
    deployment.processes[entry.name].kill()
    first.process.kill()
    for version in range(_MISSED_CHANGES):
        await deployment.apply_section('missed', 'policies', _policies(version), version)
    revision = int(str((await control_status(deployment))['revision']))
    first.process.start()
    second.process.kill()
    # The majority now needs the member that missed all changes.
    assert await _section_version(deployment, 'missed') == _MISSED_CHANGES
    await deployment.apply_section('missed', 'policies', _policies(0), _MISSED_CHANGES)
    deployment.processes[entry.name].start()
    await _wait_until_entries_report(deployment, revision + 1)
    await wait_until(partial(deployment.is_serving, entry), 'the restarted entry serves')
