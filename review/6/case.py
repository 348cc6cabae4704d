"""A key is taken from a client between its BEGIN and its first statement, and given back."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / 'lib-2'))
import harness

FOLDER = Path(__file__).resolve().parent
SERVICE, HOST, KEY = 'huvo11a', 'lepu270', 'mh2rryt-9f31'


def build_config(deployment, version, *keys):
    tenants = [
        {'name': 'south', 'api_keys': ['other-key-77'], 'priority': 1},
        {'name': 'north', 'api_keys': list(keys), 'priority': 1},
    ]
    return harness.make_config(
        version,
        deployment.services.values(),
        [(HOST, 'primary', SERVICE, 1000)],
        tenants=tenants,
    )


async def run(with_trouble):
    contracts = ['base', 'drain', 'config', 'cost', 'recover', 'sql', 'tenants']
    deployment = harness.Deployment(
        FOLDER, [lambda record: harness.Service(record, SERVICE)], contracts=contracts
    )
    async with deployment:
        await deployment.send_config(build_config(deployment, 3, KEY))
        await deployment.wait_until_served(HOST, KEY)
        service = deployment.services[SERVICE]
        client, _ = await harness.Client.open(deployment.record, deployment.entry_address(), HOST, KEY)
        _, begun = await client.query('BEGIN')
        if begun.code or begun.state != 'T':
            raise harness.CaseError('BEGIN was not answered with READY T')
        # The transaction is idle for about 1.5 s, half of tx_idle_ms.
        if with_trouble:
            await deployment.send_config(build_config(deployment, 7))
            await asyncio.sleep(0.6)
            await deployment.send_config(build_config(deployment, 12, KEY))
            await asyncio.sleep(0.6)
        else:
            await asyncio.sleep(1.5)
        write, written = await client.query('WRITE 1a4 xkqpwnzd')
        _, ended = await client.query('ROLLBACK')
        await asyncio.sleep(0.5)
        judge(deployment.record, service, write, written, ended)
        client.close()
    return deployment


def judge(record, service, write, written, ended):
    committed = [commit for commit in service.commits if write in commit.statements]
    runs = [run for run in service.runs if run[0] == write]
    if runs and runs[0][3] is None:
        record.broken('PINNED', f'{write} ran outside the transaction that its client has begun')
    if committed:
        record.broken(
            'UNASKED',
            f'{write} of a transaction is committed, and its client has sent only ROLLBACK '
            f'(answers: {written}; {ended})',
        )


harness.run_case(run)
