"""Tests of failures of instances of a database group."""

import time
from functools import partial

from bergamotcart_testkit.checked_load import checked_load, open_session
from bergamotcart_testkit.deployment import Deployment, TargetStatus, wait_until
from bergamotcart_testkit.load import Load, LoadSettings, Session, Verdict

# Section 1.1, I7: a leaving instance gets no new statement later than this after its announcement,
# in seconds.
LAST_NEW_STATEMENT_S = 3.0


async def _newer_primary(deployment: Deployment, old_primary: TargetStatus) -> TargetStatus | None:
    primary = await deployment.find_primary(old_primary.group)
    return primary if primary and primary.term > old_primary.term else None


async def _wait_for_successor(deployment: Deployment, old_primary: TargetStatus) -> TargetStatus:
    """Wait until another instance is the primary at a newer term."""
    condition = partial(_newer_primary, deployment, old_primary)
    successor = await wait_until(
        condition, f'{old_primary.instance} is replaced as the primary of {old_primary.group}'
    )
    assert successor.instance != old_primary.instance
    return successor


def _replica_names(deployment: Deployment, primary: TargetStatus) -> list[str]:
    names = [target.name for target in deployment.plan.targets if target.group == primary.group]
    return [name for name in names if name != primary.instance]


async def _has_elapsed(since: float, seconds: float) -> bool:
    return time.monotonic() > since + seconds


async def _refuses_write(session: Session) -> bool:
    operation = await session.write_register()
    return operation.verdict is Verdict.not_run


async def test_primary_killed(deployment: Deployment) -> None:
    """Guards against acknowledged writes lost, or run twice, when a primary dies."""
    async with checked_load(deployment, LoadSettings(seed=11)) as load:
        await load.wait_for_acknowledged_writes(30, deployment.group)
        old_primary = await deployment.wait_for_settled_primary(deployment.group)
        deployment.processes[old_primary.instance].kill()
        await _wait_for_successor(deployment, old_primary)
        await load.wait_for_acknowledged_writes(60, deployment.group)


async def test_primary_isolated_while_callers_reach_it(deployment: Deployment) -> None:
    """Guards against a deposed primary that acknowledges writes in its cut-off zone."""
    async with checked_load(deployment, LoadSettings(seed=12)) as load:
        await load.wait_for_acknowledged_writes(30, deployment.group)
        old_primary = await deployment.wait_for_settled_primary(deployment.group)
        zone = deployment.target_plan(old_primary.instance).availability_zone
        await deployment.isolate_zone(zone)
        await _wait_for_successor(deployment, old_primary)
        await load.wait_for_acknowledged_writes(60, deployment.group)
        session_in_zone = await _open_session_in_zone(deployment, load, zone)
        refused = await session_in_zone.write_register()
        assert refused.verdict is Verdict.not_run, refused
        await deployment.reconnect_zone(zone)
        await deployment.wait_for_settled_primary(deployment.group)
        await load.wait_for_acknowledged_writes(30, deployment.group)


async def _open_session_in_zone(deployment: Deployment, load: Load, zone: str) -> Session:
    """Return a session at the entry of a zone, with rows created through the other entries."""
    outside = tuple(entry for entry in deployment.plan.entries if entry.availability_zone != zone)
    session = await open_session(load, 'inside', outside)
    session.settings = session.settings.with_entries((deployment.entry(zone),))
    return session


async def test_isolated_zone_serves_reads_and_refuses_writes(deployment: Deployment) -> None:
    """Guards against an isolated zone that serves no reads, or accepts writes."""
    async with checked_load(deployment, LoadSettings(seed=13)) as load:
        primary = await deployment.wait_for_settled_primary(deployment.group)
        primary_zone = deployment.target_plan(primary.instance).availability_zone
        zones = deployment.layout.availability_zones
        zone = next(each for each in zones if each != primary_zone)
        session = await open_session(load, 'cut', (deployment.entry(zone),))
        written = await session.write_register()
        assert written.answer.ran, written
        read_before = await session.read_own()
        assert read_before.answer.ran, read_before
        await deployment.isolate_zone(zone)
        served = await session.read_own()
        assert served.answer.ran, served
        assert not served.check_failure, served
        await wait_until(
            partial(_refuses_write, session), f'isolated zone {zone} refuses writes as not run'
        )


async def test_replica_far_behind(deployment: Deployment) -> None:
    """Guards against stale reads from a slow replica, and against its promotion."""
    async with checked_load(deployment, LoadSettings(seed=14)) as load:
        old_primary = await deployment.wait_for_settled_primary(deployment.group)
        slow = _replica_names(deployment, old_primary)[0]
        await deployment.target(slow).configure(lag=3.0)
        await load.wait_for_acknowledged_writes(80, deployment.group)
        deployment.processes[old_primary.instance].kill()
        successor = await _wait_for_successor(deployment, old_primary)
        assert successor.instance != slow
        await deployment.target(slow).configure(lag=0.0)
        await load.wait_for_acknowledged_writes(40, deployment.group)


async def test_leaving_instance_executes_no_new_statement(deployment: Deployment) -> None:
    """Guards against new statements on an instance that has announced that it is leaving."""
    async with checked_load(deployment, LoadSettings(seed=15)) as load:
        primary = await deployment.wait_for_settled_primary(deployment.group)
        leaving = _replica_names(deployment, primary)[0]
        await load.wait_for_acknowledged_writes(20, deployment.group)
        left_at = time.monotonic()
        await deployment.target(leaving).leave()
        condition = partial(_has_elapsed, left_at, 2 * LAST_NEW_STATEMENT_S)
        await wait_until(
            condition,
            f'{2 * LAST_NEW_STATEMENT_S:g} s have passed since {leaving} announced its leave',
        )
        await load.wait_for_acknowledged_writes(20, deployment.group)
        events = await deployment.target(leaving).history()
        late = [event for event in events if event.time > left_at + LAST_NEW_STATEMENT_S]
        assert not late, late[:3]
        await deployment.processes[leaving].stop()


async def test_leaving_primary_is_replaced(deployment: Deployment) -> None:
    """Guards against writes that do not resume after the planned leave of a primary."""
    async with checked_load(deployment, LoadSettings(seed=16)) as load:
        await load.wait_for_acknowledged_writes(20, deployment.group)
        old_primary = await deployment.wait_for_settled_primary(deployment.group)
        await deployment.target(old_primary.instance).leave()
        await _wait_for_successor(deployment, old_primary)
        await load.wait_for_acknowledged_writes(40, deployment.group)
        await deployment.processes[old_primary.instance].stop()
