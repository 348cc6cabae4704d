"""A primary with a synchronous replica crashes while the other replica receives nothing."""

import asyncio
import sys
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / 'lib'))
from deployment import (  # noqa: E402
    Client, ClientClosed, Deployment, Instance, Record, Service, in_time, new_id, route, trouble,
)

# One way between zones, in regions of their own (serambi-tumbuh); in a zone 0.1 ms.
BETWEEN_ZONES_S = 0.012
IN_ZONE_S = 0.0001
WRITERS = 4
DEAF_S = 6.0


def one_way_s(instance, replica):
    return IN_ZONE_S if instance.zone == replica.zone else BETWEEN_ZONES_S


class Writer:
    """A client that writes, and goes to another entry when its session ends."""

    def __init__(self, deployment, number, acknowledged):
        self.deployment, self.number, self.acknowledged = deployment, number, acknowledged

    async def run(self, stop):
        while not stop.is_set():
            entry = self.deployment.random.choice(self.deployment.entries)
            client = Client(self.deployment, entry, 'lepu270', f'u{self.number}')
            try:
                await client.open()
                while not stop.is_set():
                    await self.write(client)
                    await asyncio.sleep(0.05)
            except (ClientClosed, OSError, TimeoutError):
                await asyncio.sleep(0.1)
            finally:
                client.close()

    async def write(self, client):
        record = self.deployment.record
        identifier = new_id()
        record.note(f'u{self.number} sends {identifier} WRITE 1a4 x')
        word, rest, _, _ = await client.query(identifier, 'WRITE 1a4 x')
        record.note(f'u{self.number} gets {identifier} {word} {rest[:60]}')
        if word == 'COMPLETE':
            self.acknowledged[identifier] = time.monotonic()
        else:
            await asyncio.sleep(0.2)


async def main():
    record = Record(HERE / 'record.txt')
    deployment = Deployment(record)
    async with deployment:
        service = Service('huyo11a', record, one_way_s, sync_replicas=1)
        deployment.services[service.name] = service
        await deployment.start_processes()
        leader = await deployment.find_leader()
        if leader is None:
            record.say('no leader of control')
            return 2
        near = leader.name.split('-')[1]
        zones = ['z1', 'z2', 'z3']
        zones.remove(near)
        # The primary and one replica are in other zones than the leader of control.
        for zone in (*zones, near):
            instance = Instance(deployment, service, f'i-{zone}', zone, work_s=0.006)
            instance.one_way_s = IN_ZONE_S if zone == near else BETWEEN_ZONES_S
            service.add(instance)
            await instance.start()
        record.say(f'the leader of control is in {near}, the primary in {zones[0]}')
        # The instances have checked in with every control process before the first config arrives.
        await asyncio.sleep(3)
        if not await deployment.put_config(7, [route('lepu270', service.name)], sync_replicas=1):
            record.say('no config was acknowledged')
            return 2
        if not await deployment.wait_ready():
            record.say('the entries are not ready')
            return 2
        acknowledged, stop = {}, asyncio.Event()
        writers = [
            asyncio.create_task(Writer(deployment, number, acknowledged).run(stop))
            for number in range(WRITERS)
        ]
        await asyncio.sleep(4)
        if len(acknowledged) < 20:
            record.say('the deployment does not serve writes')
            return 2
        primary, deaf = service.instances[service.primary], service.instances[f'i-{near}']
        if trouble():
            deaf.deaf = True
            record.say(f'replica_lag: {deaf.name} receives nothing (log {deaf.position})')
        await asyncio.sleep(DEAF_S / 2)
        if trouble():
            logs = {name: each.position for name, each in service.instances.items()}
            record.say(f'the primary {primary.name} crashes; logs: {logs}')
            primary.crash()
        await asyncio.sleep(DEAF_S / 2)
        if trouble():
            deaf.hear_again()
        await asyncio.sleep(2)
        if trouble():
            await primary.start()
            record.say('the former primary is back')
        await asyncio.sleep(4)
        stop.set()
        await asyncio.gather(*writers)
        # RULES.md, LOST: where the service has sync_replicas, an acknowledged commit isn't in the
        # log of the instance that is promoted.
        lost = []
        for name, kept, promoted_at in service.promotions:
            statements = {each for commit in kept for each in commit.writes}
            missing = [
                identifier for identifier, at in acknowledged.items()
                if identifier not in statements and at < promoted_at
            ]
            lost.extend((name, identifier) for identifier in missing)
        for name, identifier in lost:
            record.note(f'lost: {identifier} was acknowledged, and is not in the log of {name}')
        record.say(
            f'{len(acknowledged)} writes acknowledged, promoted {[each[0] for each in service.promotions]},'
            f' {len(lost)} acknowledged writes not in the log of the promoted instance'
        )
        record.say('BROKEN: LOST' if lost else 'held')
        return 1 if lost else 0


if __name__ == '__main__':
    sys.exit(in_time(110, main()))
