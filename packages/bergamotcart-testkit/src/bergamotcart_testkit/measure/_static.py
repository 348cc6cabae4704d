"""Figures without a fault: idle cost, added latency, throughput, distribution of changes."""

import asyncio
import time
from functools import partial
from itertools import starmap

import psutil

from bergamotcart_testkit.addresses import Address
from bergamotcart_testkit.deployment import (
    Deployment,
    EntryPlan,
    TargetPlan,
    control_status,
    in_force_everywhere,
    wait_until,
)
from bergamotcart_testkit.load import Caller, Directives, run_setup
from bergamotcart_testkit.measure._figures import Figure, LatencyHistogram, percentile

_IDLE_S = 5.0
_KILOBYTE = 1000
_MEGABYTE = 1_000_000
_LATENCY_READS = 300
_THROUGHPUT_S = 4.0
_THROUGHPUT_CONNECTIONS = 32
_CHANGE_COUNT = 20
_READ_SQL = 'SELECT id, note FROM probes WHERE id = 1'
_AGED_DIRECTIVES = Directives(max_age='5s')


async def measure_idle_cost(deployment: Deployment) -> list[Figure]:
    """Measure processor time, traffic and memory of entries without callers."""
    processes = [psutil.Process(entry.process.pid) for entry in deployment.plan.entries]
    cpu_before, bytes_before = _cpu_seconds(processes), await _peer_bytes(deployment)
    await asyncio.sleep(_IDLE_S)
    count = len(processes)
    cpu_share = (_cpu_seconds(processes) - cpu_before) / _IDLE_S / count
    # Only links between availability zones are counted, which carry two thirds of the traffic.
    relayed = (await _peer_bytes(deployment) - bytes_before) / _IDLE_S / count
    memory = max(process.memory_info().rss for process in processes) / _MEGABYTE
    note = 'all relayed traffic between processes, scaled by 3/2; includes that of control'
    return [
        Figure(name='idle entry: core', measured=100 * cpu_share, target=1, unit='%'),
        Figure(
            name='idle entry: traffic',
            measured=relayed * 1.5 / _KILOBYTE,
            target=5,
            unit='KB/s',
            note=note,
        ),
        Figure(name='idle entry: memory', measured=memory, target=100, unit='MB'),
    ]


async def prepare_reads(deployment: Deployment) -> None:
    """Create the table and the row that the measured reads use."""
    statements = (
        'CREATE TABLE IF NOT EXISTS probes (id BIGINT PRIMARY KEY, note VARCHAR(64))',
        "INSERT IGNORE INTO probes (id, note) VALUES (1, 'probe')",
    )
    for group in deployment.layout.groups:
        await run_setup(deployment.plan.entries, group, statements)


async def measure_added_latency(deployment: Deployment) -> Figure:
    """Measure by how much an entry delays reads, compared with direct reads in its zone."""
    target = await _find_replica(deployment)
    group = target.group
    entry = deployment.entry(target.availability_zone)
    entry_ms = await _read_latency('entry', entry.mysql, group)
    direct_ms = await _read_latency('target', target.mysql, group)
    return Figure(
        name='latency added to a statement, median',
        measured=entry_ms - direct_ms,
        target=2,
        unit='ms',
        note=f'{entry_ms:.2f} ms through an entry, {direct_ms:.2f} ms direct, reads tolerate 5 s',
    )


async def _find_replica(deployment: Deployment) -> TargetPlan:
    """Find a replica, since an entry of its zone sends such reads to it."""
    group = deployment.group
    primary = await deployment.wait_until_settled(group)
    return next(
        target
        for target in deployment.plan.targets
        if target.group == group and target.name != primary.instance
    )


async def measure_throughput(deployment: Deployment) -> Figure:
    """Count the reads that one entry process answers to many connections."""
    entry = deployment.plan.entries[0]
    groups = deployment.layout.groups
    process = psutil.Process(entry.process.pid)
    cpu_before = _cpu_seconds([process])
    started = time.monotonic()
    until = started + _THROUGHPUT_S
    connections = [
        (entry, groups[number % len(groups)], until) for number in range(_THROUGHPUT_CONNECTIONS)
    ]
    counts = await asyncio.gather(*starmap(_count_reads, connections))
    elapsed = time.monotonic() - started
    cores = (_cpu_seconds([process]) - cpu_before) / elapsed
    return Figure(
        name='throughput of one entry',
        measured=sum(counts) / elapsed,
        target=1000,
        unit='statements/s',
        at_least=True,
        note=f'{_THROUGHPUT_CONNECTIONS} connections; the entry used {cores:.2f} cores',
    )


async def measure_distribution(deployment: Deployment) -> Figure:
    """Measure the time from a document change until every entry reports its revision."""
    times: list[float] = []
    for number in range(_CHANGE_COUNT):
        body = {'policies': [{'name': 'extra', 'callers': [f'nobody{number}']}]}
        started = time.monotonic()
        await deployment.apply('extra', 'policies', body, base_version=number)
        condition = partial(in_force_everywhere, deployment, await _document_revision(deployment))
        await wait_until(condition, 'the change is in force on all entries', poll_s=0.01)
        times.append(time.monotonic() - started)
    return Figure(
        name=f'configuration in force on {deployment.layout.entries} entries, p99',
        measured=percentile(times, 0.99),
        target=1,
        unit='s',
        note=f'{_CHANGE_COUNT} changes, includes the time to commit',
    )


async def _document_revision(deployment: Deployment) -> int:
    status = await control_status(deployment)
    return int(str(status['revision']))


async def _read_latency(name: str, address: Address, group: str) -> float:
    caller = await Caller.connect(name, address, 'aged', group)
    histogram = LatencyHistogram()
    for _ in range(_LATENCY_READS):
        answer = await caller.execute(_READ_SQL, _AGED_DIRECTIVES)
        if answer.ran:
            histogram.add(answer.ended - answer.started)
    caller.close()
    return histogram.percentile_ms(50)


async def _count_reads(entry: EntryPlan, group: str, until: float) -> int:
    caller = await Caller.connect(entry.name, entry.mysql, 'aged', group)
    count = 0
    while time.monotonic() < until:
        answer = await caller.execute(_READ_SQL, _AGED_DIRECTIVES)
        count += answer.ran
    caller.close()
    return count


def _cpu_seconds(processes: list[psutil.Process]) -> float:
    times = [process.cpu_times() for process in processes]
    return sum(each.user + each.system for each in times)


async def _peer_bytes(deployment: Deployment) -> int:
    total = 0
    for relay in deployment.relays.values():
        links = await relay.links()
        total += sum(link.relayed_bytes for link in links if link.name.endswith(':peer'))
    return total
