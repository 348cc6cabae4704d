"""Injects faults during a load and measures the phases of the failovers that follow."""

import asyncio
import enum
import time
from collections.abc import Iterator
from datetime import datetime
from functools import partial

import msgspec

from bergamotcart_testkit.deployment import Deployment, wait_until
from bergamotcart_testkit.load import Load, Verdict

_RECOVERY_WRITES = 30
# For 5 s after the last change, control does not replace a primary only because it is silent.
_PAUSE_AFTER_ISOLATION_S = 6.0
_PAUSE_AFTER_KILL_S = 1.0


@enum.unique
class Fault(enum.StrEnum):
    """Fault that is injected during the load."""

    none = 'none'
    kill = 'kill'
    isolate = 'isolate'
    lag = 'lag'
    leave = 'leave'


class Failover(msgspec.Struct, kw_only=True):
    """One replacement of a primary; all durations are in seconds.

    Each phase begins where the phase before it ends; the first one begins at the fault.

    :param at: monotonic clock of the fault, in seconds.
    :param gap_s: from the fault until the first write sent after it was acknowledged.
    :param detection_s: until control froze the group.
    :param freeze_s: until the first instance received the order to stop following.
    :param collection_s: until the new primary was chosen.
    :param promotion_s: until the group was opened.
    :param publication_s: until a write was acknowledged.
    """

    fault: Fault
    group: str
    instance: str
    at: float
    gap_s: float | None = None
    detection_s: float | None = None
    freeze_s: float | None = None
    collection_s: float | None = None
    promotion_s: float | None = None
    publication_s: float | None = None


class ControlDecision(msgspec.Struct, frozen=True, kw_only=True):
    """A decision about a group in the log of a control process."""

    timestamp: str
    system: str = ''
    action: str = ''
    reason: str = ''
    group: str = ''

    def monotonic_time(self) -> float:
        """Return the time of the decision on the monotonic clock of the machine."""
        offset = time.time() - time.monotonic()
        return datetime.fromisoformat(self.timestamp).timestamp() - offset


def read_decisions(deployment: Deployment, group: str) -> list[ControlDecision]:
    """Return the failover decisions about a group from all control logs, by time."""
    decisions: list[ControlDecision] = []
    for control in deployment.plan.controls:
        decisions.extend(_parse_decisions(control.process.log_file.read_bytes().splitlines()))
    matching = [each for each in decisions if each.system == 'failover' and each.group == group]
    return sorted(matching, key=lambda each: each.timestamp)


async def add_phases(deployment: Deployment, failover: Failover) -> None:
    """Set the phases of a failover from the control logs and the orders to instances."""
    decisions = [
        each
        for each in read_decisions(deployment, failover.group)
        if each.monotonic_time() >= failover.at
    ]
    frozen_at = _first_time_of(decisions, 'freeze')
    ordered_at = await _first_stop_order_time(deployment, failover)
    chosen_at = _first_time_of(decisions, 'promote')
    opened_at = _first_time_of(decisions, 'open')
    written_at = None if failover.gap_s is None else failover.at + failover.gap_s
    failover.detection_s = _duration(failover.at, frozen_at)
    failover.freeze_s = _duration(frozen_at, ordered_at)
    failover.collection_s = _duration(ordered_at, chosen_at)
    failover.promotion_s = _duration(chosen_at, opened_at)
    failover.publication_s = _duration(opened_at, written_at)


async def kill_primaries(deployment: Deployment, load: Load, until: float) -> list[Failover]:
    """Kill and restart the primary of each group in turn, until a monotonic time."""
    failovers: list[Failover] = []
    round_number = 0
    while time.monotonic() < until:
        groups = deployment.layout.groups
        group = groups[round_number % len(groups)]
        round_number += 1
        primary = await deployment.wait_for_settled_primary(group)
        process = deployment.processes[primary.instance]
        fault_at = time.monotonic()
        process.kill()
        failover = Failover(fault=Fault.kill, group=group, instance=primary.instance, at=fault_at)
        await _measure_gap(load, failover)
        await add_phases(deployment, failover)
        failovers.append(failover)
        process.start()
        await wait_until(
            deployment.target(primary.instance).status,
            f'restarted instance {primary.instance} returns its status',
        )
        await deployment.wait_for_settled_primary(group)
        await asyncio.sleep(_PAUSE_AFTER_KILL_S)
    return failovers


async def isolate_primaries(deployment: Deployment, load: Load, until: float) -> list[Failover]:
    """Isolate and reconnect each availability zone in turn, until a monotonic time."""
    failovers: list[Failover] = []
    round_number = 0
    while time.monotonic() < until:
        zones = deployment.layout.availability_zones
        zone = zones[round_number % len(zones)]
        round_number += 1
        affected = [failover async for failover in _expected_failovers(deployment, zone)]
        await deployment.isolate_zone(zone)
        isolated_at = time.monotonic()
        for failover in affected:
            failover.at = isolated_at
            await _measure_gap(load, failover)
            await add_phases(deployment, failover)
            failovers.append(failover)
        await deployment.reconnect_zone(zone)
        for group in deployment.layout.groups:
            await deployment.wait_for_settled_primary(group)
        await asyncio.sleep(_PAUSE_AFTER_ISOLATION_S)
    return failovers


async def delay_replicas(deployment: Deployment, lag_s: float, until: float) -> None:
    """Delay replication to one replica of each group, until a monotonic time."""
    for group in deployment.layout.groups:
        primary = await deployment.wait_for_settled_primary(group)
        names = [target.name for target in deployment.plan.targets if target.group == group]
        replica = next(name for name in names if name != primary.instance)
        await deployment.target(replica).configure(lag=lag_s)
    await asyncio.sleep(max(0.0, until - time.monotonic()))


async def let_replica_leave(deployment: Deployment, until: float) -> float:
    """Make a replica announce that it leaves.

    :returns: seconds between the announcement and the last statement that it executed.
    """
    group = deployment.group
    primary = await deployment.wait_for_settled_primary(group)
    names = [target.name for target in deployment.plan.targets if target.group == group]
    leaving = next(name for name in names if name != primary.instance)
    left_at = time.monotonic()
    await deployment.target(leaving).leave()
    await asyncio.sleep(max(0.0, until - time.monotonic()))
    history = await deployment.target(leaving).history()
    return max([event.time - left_at for event in history] + [0.0])


def writes_per_interval(load: Load, interval_s: float) -> Iterator[tuple[float, int]]:
    """Yield the start of each interval and the number of writes acknowledged in it."""
    ends = sorted(
        operation.answer.ended
        for operation in load.journal.operations
        if operation.is_acknowledged_write and operation.verdict is Verdict.ran
    )
    counts: dict[int, int] = {}
    for end in ends:
        bucket = int(end / interval_s)
        counts[bucket] = counts.get(bucket, 0) + 1
    for bucket in range(min(counts, default=0), max(counts, default=-1) + 1):
        yield bucket * interval_s, counts.get(bucket, 0)


async def _measure_gap(load: Load, failover: Failover) -> None:
    condition = partial(_first_acknowledgement, load, failover)
    resumed_at = await wait_until(
        condition, f'a write to {failover.group} after the fault is acknowledged'
    )
    failover.gap_s = resumed_at - failover.at
    await load.wait_for_acknowledged_writes(_RECOVERY_WRITES, failover.group)


async def _first_acknowledgement(load: Load, failover: Failover) -> float | None:
    return load.journal.first_acknowledgement_after(failover.group, failover.at)


async def _expected_failovers(deployment: Deployment, zone: str):
    for group in deployment.layout.groups:
        primary = await deployment.wait_for_settled_primary(group)
        if deployment.target_plan(primary.instance).availability_zone == zone:
            yield Failover(fault=Fault.isolate, group=group, instance=primary.instance, at=0.0)


async def _first_stop_order_time(deployment: Deployment, failover: Failover) -> float | None:
    times: list[float] = []
    for target in deployment.plan.targets:
        if target.group == failover.group and target.process.is_running:
            orders = await deployment.target(target.name).orders()
            times.extend(order.time for order in orders if order.name == 'stop_following')
    return min([when for when in times if when >= failover.at], default=None)


def _parse_decisions(lines: list[bytes]) -> Iterator[ControlDecision]:
    for line in lines:
        if b'"failover"' in line:
            yield msgspec.json.decode(line, type=ControlDecision)


def _first_time_of(decisions: list[ControlDecision], action: str) -> float | None:
    times = [each.monotonic_time() for each in decisions if each.action == action]
    return min(times, default=None)


def _duration(start: float | None, end: float | None) -> float | None:
    return None if start is None or end is None else end - start
