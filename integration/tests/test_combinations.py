"""Tests of two failures at once, and of the isolation of all availability zones."""

from functools import partial

from bergamotcart_testkit.checked_load import checked_load, open_session
from bergamotcart_testkit.deployment import Deployment, TargetStatus, control_leader, wait_until
from bergamotcart_testkit.load import LoadSettings, Session, Verdict


async def _has_newer_primary(deployment: Deployment, old_primary: TargetStatus) -> bool:
    primary = await deployment.find_primary(old_primary.group)
    return primary is not None and primary.term > old_primary.term


async def _all_refused(sessions: list[Session]) -> bool:
    operations = [await session.write_register() for session in sessions]
    return all(operation.verdict is Verdict.not_run for operation in operations)


async def test_primary_and_control_leader_killed_together(deployment: Deployment) -> None:
    """Guards against a failover that is not completed if the leader that started it dies."""
    async with checked_load(deployment, LoadSettings(seed=41)) as load:
        await load.wait_for_acknowledged_writes(30, deployment.group)
        old_primary = await deployment.wait_for_settled_primary(deployment.group)
        leader = await control_leader(deployment)
        deployment.processes[old_primary.instance].kill()
        deployment.processes[leader].kill()
        await wait_until(
            partial(_has_newer_primary, deployment, old_primary),
            f'{old_primary.instance} is replaced',
        )
        await load.wait_for_acknowledged_writes(40, deployment.group)


async def test_primary_isolated_and_entry_killed(deployment: Deployment) -> None:
    """Guards against a freeze that waits forever for the lease of a dead entry."""
    async with checked_load(deployment, LoadSettings(seed=42)) as load:
        await load.wait_for_acknowledged_writes(30, deployment.group)
        old_primary = await deployment.wait_for_settled_primary(deployment.group)
        zone = deployment.target_plan(old_primary.instance).availability_zone
        entry = next(each for each in deployment.plan.entries if each.availability_zone != zone)
        await deployment.isolate_zone(zone)
        deployment.processes[entry.name].kill()
        await wait_until(
            partial(_has_newer_primary, deployment, old_primary),
            f'{old_primary.instance} is replaced',
        )
        await load.wait_for_acknowledged_writes(40, deployment.group)


async def test_control_leader_isolated_and_entry_killed(deployment: Deployment) -> None:
    """Guards against a new leader that never learns of an instance in the zone of a dead entry."""
    async with checked_load(deployment, LoadSettings(seed=44)) as load:
        await load.wait_for_acknowledged_writes(30, deployment.group)
        leader = await control_leader(deployment)
        plans = deployment.plan.controls
        zone = next(each.availability_zone for each in plans if each.name == leader)
        entry = next(each for each in deployment.plan.entries if each.availability_zone != zone)
        deployment.processes[entry.name].kill()
        await deployment.isolate_zone(zone)
        await load.wait_for_acknowledged_writes(40, deployment.group)


async def test_all_zones_separated(deployment: Deployment) -> None:
    """Guards against writes that are accepted in two zones while no majority exists."""
    async with checked_load(deployment, LoadSettings(seed=43)) as load:
        await load.wait_for_acknowledged_writes(30, deployment.group)
        sessions = [
            await open_session(load, entry.availability_zone, (entry,))
            for entry in deployment.plan.entries
        ]
        for session in sessions:
            await session.connect()
        for zone in deployment.layout.availability_zones:
            await deployment.isolate_zone(zone)
        await wait_until(partial(_all_refused, sessions), 'every zone refuses writes as not run')
        for zone in deployment.layout.availability_zones:
            await deployment.reconnect_zone(zone)
        await load.wait_for_acknowledged_writes(30, deployment.group)
