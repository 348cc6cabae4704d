"""Stand-ins of the users' platform for the cases of this review: standard library only.

It starts the project's programs with the commands of the deploy file as separate processes on
loopback addresses. Database instances, the promotion service, the operator and the clients are
stand-ins that follow PROTOCOL.md. Everything seen is written to record.txt in the folder of a case.
"""

import asyncio
import contextlib
import itertools
import json
import os
import random
import shlex
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
DRAIN_S = 7.0
GRACE_S = 6.0
HEARTBEAT_S = 1.2
PROMOTE_S = 0.3
FIRST_TERM = 3


def clock() -> float:
    return time.monotonic()


class Record:
    """Lines of record.txt, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / 'record.txt').open('w')
        self._start = clock()

    def add(self, text: str) -> None:
        self._file.write(f'{clock() - self._start:8.3f} {text}\n')
        self._file.flush()


# --- addresses and HTTP -------------------------------------------------------------------------


class Network:
    """A loopback network 127.N.9.0/24 that no other run uses."""

    def __init__(self) -> None:
        for number in random.SystemRandom().sample(range(1, 250), 249):
            self._guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            self.prefix = f'127.{number}.9'
            try:
                self._guard.bind((f'{self.prefix}.1', 49151))
                return
            except OSError:
                self._guard.close()
        raise OSError('no loopback network is free')

    def host(self, number: int) -> str:
        return f'{self.prefix}.{number}'

    def close(self) -> None:
        self._guard.close()


async def http(method: str, address: str, path: str, body=None, headers=(), timeout=1.0):
    """Return status, headers and body of an HTTP call; status 0 without an answer."""
    try:
        async with asyncio.timeout(timeout):
            host, port = address.rsplit(':', 1)
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                data = b'' if body is None else body if isinstance(body, bytes) else json.dumps(body).encode()
                lines = [f'{method} {path} HTTP/1.1', f'Host: {address}', 'Connection: close']
                lines += [f'Content-Length: {len(data)}', 'Content-Type: application/json', *headers]
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + data)
                answer = await reader.read()
            finally:
                writer.close()
    except (OSError, TimeoutError):
        return 0, {}, b''
    head, _, payload = answer.partition(b'\r\n\r\n')
    first, *rest = head.decode('latin-1').split('\r\n')
    if len(first.split(' ')) < 2:
        return 0, {}, b''
    fields = dict(line.lower().split(': ', 1) for line in rest if ': ' in line)
    return int(first.split(' ')[1]), fields, payload


async def call_control(addresses, method, path, body=None, timeout=1.0):
    """Call a node that serves control, following 307 twice; return status, body and node."""
    for address in addresses:
        target, where = address, path
        for _ in range(3):
            status, fields, payload = await http(method, target, where, body, timeout=timeout)
            if status != 307:
                break
            target = fields['location'].split('//')[1].split('/')[0]
        if status and status < 500 and status not in (307, 408, 429):
            return status, payload, target
    return 0, b'', ''


# --- databases ----------------------------------------------------------------------------------


class Commit:
    __slots__ = ('term', 'number', 'ids', 'writes')

    def __init__(self, term, number, ids, writes):
        self.term, self.number, self.ids, self.writes = term, number, ids, writes


class Service:
    """One database: its instances, their logs and the one that leads."""

    def __init__(self, name: str, record: Record, sync: int = 0) -> None:
        self.name, self.record, self.sync = name, record, sync
        self.term = FIRST_TERM
        self.instances: dict[str, Instance] = {}
        self.leader = ''
        self.promoted: list[tuple[float, str, list[Commit]]] = []
        self.token = 0

    def promote_now(self, name: str) -> None:
        chosen = self.instances[name]
        if name == self.leader or not chosen.running:
            return
        self.term += 1
        self.leader = name
        self.promoted.append((clock(), name, list(chosen.log)))
        self.record.add(f'platform: {name} leads term {self.term} at {chosen.position()}')
        for other in self.instances.values():
            if other is not chosen and other.running:
                other.follow(chosen)
        chosen.feed_all()


class Instance:
    """One instance of a database, which speaks the wire protocol."""

    def __init__(self, service: Service, name: str, host: str, port: int, zone: str, lag_s=(0.004, 0.016)):
        self.service, self.name, self.host, self.port, self.zone = service, name, host, port, zone
        self.lag_s = lag_s
        self.log: list[Commit] = []
        self.rows: dict[str, str] = {}
        self.running = False
        self.arrives_at = 0.0
        self.draining = False
        self.deaf = False
        self.heard = True
        self.seq = 0
        self.born = 0
        self.work_s = 0.004
        self.row = ''
        self.slots = asyncio.Semaphore(5)
        self.max_conns = 34
        self._server = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._proofs = itertools.count(1)
        self._arrived = asyncio.Event()
        self.hook = None
        self.runs: list[tuple[float, str, str]] = []
        service.instances[name] = self

    @property
    def address(self) -> str:
        return f'{self.host}:{self.port}'

    def leads(self) -> bool:
        return self.service.leader == self.name

    def position(self) -> str:
        last = self.log[-1] if self.log else None
        return f'{last.term}.{last.number}' if last else '0.0'

    async def start(self, *, empty=False) -> None:
        """Start; an instance that starts again under its id may hold nothing."""
        if empty:
            self.log, self.rows = [], {}
        self.seq, self.draining = 0, False
        self.born = max(int(time.time() * 1000), self.born + 1)
        self.running = True
        self._server = await asyncio.start_server(self._serve, self.host, self.port, limit=2**21)
        leader = self.service.instances.get(self.service.leader)
        if leader and leader is not self and leader.running:
            self.follow(leader)
        elif self.leads():
            for other in self.service.instances.values():
                if other is not self and other.running:
                    other.follow(self)
            self.feed_all()

    def crash(self) -> None:
        self.running = False
        if self._server:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    # Replication: the leader sends each commit; a replica has it after its lag.
    def follow(self, leader: 'Instance') -> None:
        common = 0
        while common < min(len(self.log), len(leader.log)) and self.log[common] is leader.log[common]:
            common += 1
        if common < len(self.log):
            del self.log[common:]
            self.rows = {}
            for commit in self.log:
                self.rows.update(commit.writes)

    def feed_all(self) -> None:
        loop, count = asyncio.get_running_loop(), len(self.log)
        for other in self.service.instances.values():
            if other is not self:
                # Commits arrive in their order.
                at = max(loop.time() + random.uniform(*other.lag_s), other.arrives_at)
                other.arrives_at = at
                loop.call_at(at, self._feed, other, count)

    def _feed(self, other: 'Instance', count: int) -> None:
        if not (self.running and self.leads() and other.running and not other.deaf):
            return
        have = len(other.log)
        if have and (have > len(self.log) or other.log[-1] is not self.log[have - 1]):
            other.follow(self)
            have = len(other.log)
        for commit in self.log[have:count]:
            other.log.append(commit)
            other.rows.update(commit.writes)
        self._arrived.set()

    async def _commit(self, ids, writes) -> bool:
        """Append a commit; return whether it may be acknowledged."""
        term = self.service.term
        commit = Commit(term, len(self.log) + 1, tuple(ids), dict(writes))
        self.log.append(commit)
        self.rows.update(commit.writes)
        self.feed_all()
        while self.running and self.leads() and self.service.term == term:
            holders = sum(
                len(other.log) >= commit.number and other.log[commit.number - 1] is commit
                for other in self.service.instances.values()
                if other is not self
            )
            if holders >= self.service.sync:
                return True
            self._arrived.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._arrived.wait(), 0.02)
        return False

    # Sessions
    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        state = {'settings': {}, 'prepared': {}, 'tx': None}
        try:
            line = (await reader.readuntil(b'\r\n'))[:-2].decode()
            word, service, _, *expected = line.split(' ')
            if word != 'STARTUP' or service != self.service.name or expected not in ([], [self.name]):
                writer.write(f'ERROR WRONGNODE {self.name}\r\n'.encode())
                return
            if len(self._writers) > self.max_conns:
                writer.write(f'ERROR TOOMANY {self.name}\r\n'.encode())
                return
            await asyncio.sleep(0.012)
            writer.write(f'READY I {self.position()}\r\n'.encode())
            while True:
                line = (await reader.readuntil(b'\r\n'))[:-2].decode('utf-8', 'surrogateescape')
                if line == 'TERMINATE':
                    return
                _, ident, text = line.split(' ', 2)
                answer = await self._answer(state, ident, text)
                if not self.running:
                    return
                if answer is None:
                    writer.transport.abort()
                    return
                tx = state['tx']
                mark = 'I' if tx is None else 'E' if tx['failed'] else 'T'
                answer = [*answer, f'READY {mark} {self.position()}', '']
                writer.write('\r\n'.join(answer).encode('utf-8', 'surrogateescape'))
                await writer.drain()
        except (OSError, EOFError, ValueError, asyncio.CancelledError):
            # The connection has broken, or the case is over.
            pass
        finally:
            state['tx'] = None
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, state, ident, text):
        fail = None
        word = text.split(' ', 1)[0]
        if word == 'WAITLSN':
            _, need, text = text.split(' ', 2)
            term, number = need.split('.')
            index = int(number)
            if index and not (
                len(self.log) >= index and self.log[index - 1].term <= int(term)
                if self.log and self.log[-1].term == int(term)
                else self.log and self.log[-1].term > int(term)
            ):
                fail = 'LAGGING'
            word = text.split(' ', 1)[0]
        rest = text[len(word) + 1:]
        if word in ('SET', 'PARSE'):
            name, _, value = rest.partition(' ')
            state['settings' if word == 'SET' else 'prepared'][name] = value
            return ['COMPLETE -']
        if word == 'DISCARD':
            state['settings'].clear()
            state['prepared'].clear()
            return ['COMPLETE -']
        if word in ('STATUS', 'PAUSE', 'RESUME', 'STEPDOWN'):
            role = 'primary' if self.leads() else 'replica'
            term = self.service.term if self.leads() else (self.log[-1].term if self.log else 0)
            row = f'{role} {term} {self.position()} {term} 0 0 {len(self._writers)}'
            return [f'DATAROW {row}', 'COMPLETE -']
        tx = state['tx']
        if word == 'ROLLBACK':
            state['tx'] = None
            return ['COMPLETE -']
        async with self.slots:
            await asyncio.sleep(self.work_s)
            if not self.running:
                return None
            if fail is None and tx is not None and tx['failed']:
                fail = 'MALFORMED'
            if word == 'EXECUTE' and fail is None:
                name, _, rest = rest.partition(' ')
                if name not in state['prepared']:
                    fail = 'NOSTMT'
                else:
                    word = state['prepared'][name].split(' ')[0]
            plain = tx is not None and not tx['read']
            wrote = bool(tx and tx['writes'])
            lost = plain and (not self.leads() or tx['term'] != self.service.term)
            if fail is None and lost and not (word == 'COMMIT' and not wrote):
                fail = 'READONLY'
            if fail is None and word == 'WRITE' and not self.leads():
                fail = 'READONLY'
            if fail is None and word == 'BEGIN' and rest != 'READ' and not self.leads():
                fail = 'READONLY'
            if fail is not None:
                if tx is not None:
                    tx['failed'] = True
                return [f'ERROR {fail} {self.name}']
            if word == 'BEGIN':
                state['tx'] = {'read': rest == 'READ', 'writes': {}, 'ids': [], 'failed': False,
                               'term': self.service.term}
                return ['COMPLETE -']
            if ident != '-':
                self.runs.append((clock(), ident, text))
                self.service.record.add(f'{self.name} runs {ident} {text[:60]}')
            if self.hook is not None:
                await self.hook(self, ident, text)
            proof = f'COMPLETE {self.name}.{next(self._proofs)}'
            if word == 'READ':
                item = rest.split(' ')[0]
                value = self.row or (tx and tx['writes'].get(item)) or self.rows.get(item, 'none')
                return [f'DATAROW {value}', proof]
            if word == 'WRITE':
                item, _, value = rest.partition(' ')
                if tx is not None:
                    tx['writes'][item] = value
                    tx['ids'].append(ident)
                    return [proof]
                return [proof] if await self._commit([ident], {item: value}) else None
            if word == 'COMMIT':
                state['tx'] = None
                if wrote and not await self._commit(tx['ids'], tx['writes']):
                    return None
                return [proof]
            return ['ERROR MALFORMED unknown']


# --- the whole deployment -----------------------------------------------------------------------


class Deployment:
    """Three core machines, some fronts, one or more databases, the promotion service."""

    def __init__(self, folder: Path, services=(('ledger', 0),), fronts=1, bounds=None, memory_mb=300,
                 routes=None) -> None:
        self.record = Record(folder)
        self.network = Network()
        self.temp = Path(tempfile.mkdtemp(prefix='review-'))
        self.zones = ('z-a', 'z-b', 'z-c')
        self.cores = [f'core-{n}' for n in range(3)]
        self.fronts = [f'front-{n}' for n in range(fronts)]
        names = self.cores + self.fronts
        self.hosts = {name: self.network.host(10 + n) for n, name in enumerate(names)}
        self.ports = {'front': 7801, 'ready': 7802, 'control': 7803, 'peer': 7440}
        self.cloud = f'{self.network.host(5)}:7804'
        self.bounds = {'fencing_required': True, 'grace_s': GRACE_S, 'stable_window_ms': 4000,
                       'config_apply_ms': 3000, 'drain_ms': 7000, **(bounds or {})}
        self.memory_mb = memory_mb
        self.services: dict[str, Service] = {}
        for index, (name, sync) in enumerate(services):
            service = Service(name, self.record, sync)
            self.services[name] = service
            for n in range(3):
                host = self.network.host(100 + 10 * index + n)
                Instance(service, f'{name}-{n}', host, 7900, self.zones[n])
            service.leader = f'{name}-0'
        self.routes = routes
        self.processes: dict[str, asyncio.subprocess.Process] = {}
        self.bootstrap = True
        self.tasks: list[asyncio.Task] = []
        self.version = 0
        self.cloud_hook = None
        self.start_gaps_s: dict[str, float] = {}
        self.seeds: list[str] = []

    def control_address(self, core: str) -> str:
        return f'{self.hosts[core]}:{self.ports["control"]}'

    def control_addresses(self) -> list[str]:
        found = [self.control_address(core) for core in self.cores]
        return random.sample(found, len(found))

    def write_settings(self, name: str) -> Path:
        role, number = name.split('-')
        host = self.hosts[name]
        zone = self.zones[int(number) % 3]
        seeds = self.seeds or [self.control_address(core) for core in self.cores]
        disk = self.temp / name / 'data'
        lines = [
            f'node_name = "{name}"', f'role = "{"control" if role == "core" else "entry"}"',
            f'machine_class = "{role}"', f'ip = "{host}"', f'zone = "{zone}"', f'region = "{zone}"',
            f'internal_port_range = [{self.ports["peer"]},{self.ports["peer"] + 15}]',
            f'seeds = {json.dumps(seeds)}', f'bootstrap = {json.dumps(self.bootstrap)}',
            f'counts_as_loss = {json.dumps(role == "core")}', 'heartbeat_ms = 1200',
            'contracts = ["base","drain","config","cost","recover","sql"]', 'config_mode = "highest"',
        ]
        if role == 'core':
            disk.mkdir(parents=True, exist_ok=True)
            lines.append(f'data_dir = "{disk}"')
        lines += ['[zones]', *(f'{each} = "{each}"' for each in self.zones), '[listen]']
        if role == 'core':
            lines.append(f'control = "{host}:{self.ports["control"]}"')
        else:
            lines += [f'front = "{host}:{self.ports["front"]}"', f'ready = "{host}:{self.ports["ready"]}"']
        lines += ['[limits]', 'cpu_share = 0.537', 'cores = 2', f'memory_mb = {self.memory_mb}',
                  'max_fds = 4200', 'link_mbps = 1000.0', 'disk_mb = 0']
        lines += ['[fault_tolerance]', 'machines = 1', 'zones = 0', 'regions = 0', '[bounds]']
        lines += [f'{key} = {json.dumps(value)}' for key, value in self.bounds.items()]
        lines += ['[cloud_api]', f'address = "{self.cloud}"', 'rate_per_s = 50.0',
                  'duties = ["failover"]', 'duty_per_s = 50.0']
        path = self.temp / name / 'local.toml'
        path.parent.mkdir(exist_ok=True)
        path.write_text('\n'.join(lines) + '\n')
        return path

    async def start_process(self, name: str) -> None:
        deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        role = deploy['roles']['control' if name.startswith('core') else 'entry']
        words = shlex.split(role['run'])
        kept = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        env = {**kept, 'PYTHONPATH': str(ROOT / 'target' / 'deps'), **role.get('env', {}),
               'BERGAMOTCART_CONFIG': str(self.write_settings(name))}
        log = (self.temp / name / 'log').open('ab')
        process = await asyncio.create_subprocess_exec(
            *words, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.processes[name] = process
        self.record.add(f'{name} started')

    def resident_mb(self, name: str) -> float:
        """Return the resident memory of a process in units of 2**20 bytes."""
        try:
            text = Path(f'/proc/{self.processes[name].pid}/status').read_text()
        except OSError:
            return 0
        return int(text.split('VmRSS:')[1].split()[0]) / 1024 if 'VmRSS:' in text else 0

    def signal(self, name: str, number: int) -> None:
        process = self.processes[name]
        if process.returncode is None:
            self.record.add(f'{signal.Signals(number).name} to {name}')
            process.send_signal(number)

    async def __aenter__(self):
        for service in self.services.values():
            for instance in service.instances.values():
                await instance.start()
        host, port = self.cloud.split(':')
        self._cloud_server = await asyncio.start_server(self._serve_cloud, host, int(port))
        for name in self.fronts + self.cores:
            await asyncio.sleep(self.start_gaps_s.get(name, 0))
            await self.start_process(name)
        for service in self.services.values():
            for instance in service.instances.values():
                self.tasks.append(asyncio.create_task(self._beat(instance)))
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for process in self.processes.values():
            if process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    process.send_signal(signal.SIGCONT)
                    process.kill()
            await process.wait()
        self._cloud_server.close()
        for service in self.services.values():
            for instance in service.instances.values():
                instance.crash()
        self.network.close()
        # Logs and data of the processes are kept only if asked for.
        if 'KEEP' not in os.environ:
            shutil.rmtree(self.temp, ignore_errors=True)

    # The promotion service
    async def _serve_cloud(self, reader, writer) -> None:
        with contextlib.suppress(OSError, EOFError, ValueError, KeyError):
            while True:
                head = (await reader.readuntil(b'\r\n\r\n')).decode()
                fields = dict(line.lower().split(': ', 1) for line in head.split('\r\n')[1:] if ': ' in line)
                body = json.loads(await reader.readexactly(int(fields.get('content-length', 0))))
                holder, token = fields['lease-holder'], int(fields['fencing-token'])
                status = await self._promote(body, holder, token)
                if status is None:
                    break
                writer.write(f'HTTP/1.1 {status} x\r\nContent-Length: 0\r\n\r\n'.encode())
                await writer.drain()
        writer.close()

    async def _promote(self, body, holder, token):
        service = self.services[body['service']]
        self.record.add(f'promotion call: {body} by {holder} with {token}')
        if self.cloud_hook is not None:
            answer = await self.cloud_hook(service, body, holder, token)
            if answer is not NotImplemented:
                return answer
        return self.carry_out(service, body, token)

    def carry_out(self, service, body, token) -> int:
        instance = service.instances.get(body['id'])
        if self.bounds['fencing_required'] and token < service.token:
            return 409
        if instance is None or not instance.running:
            return 409
        service.token = max(service.token, token)
        asyncio.get_running_loop().call_later(PROMOTE_S, service.promote_now, instance.name)
        return 200

    # Check-ins
    def beat_body(self, instance: Instance) -> dict:
        instance.seq += 1
        return {'service': instance.service.name, 'address': instance.address, 'zone': instance.zone,
                'version': 'v1', 'capacity': 5, 'state': 'draining' if instance.draining else 'ready',
                'cold_remaining_ms': 0, 'db_role': 'primary' if instance.leads() else 'replica',
                'seq': instance.seq, 'born': instance.born}

    async def beat(self, instance: Instance) -> bool:
        body = self.beat_body(instance)
        path = f'/api/Instances.Heartbeat/{instance.name}'
        status, _, node = await call_control(self.control_addresses(), 'POST', path, body)
        if body['state'] == 'draining':
            self.record.add(f'{instance.name} says draining: {status} from {node}')
        return 200 <= status < 300

    async def _beat(self, instance: Instance) -> None:
        shown = None
        next_at = clock()
        while True:
            state = (instance.running, instance.leads(), instance.draining)
            if instance.running and instance.heard and (clock() >= next_at or state != shown):
                shown, next_at = state, clock() + HEARTBEAT_S
                if not await self.beat(instance):
                    next_at = clock() + 0.2
            await asyncio.sleep(0.05)

    # The operator
    def config(self, version: int, changes=None) -> dict:
        routes = self.routes or [
            {'name': f'r-{name}', 'host': name, 'path_prefix': '/', 'route_type': 'primary',
             'timeout_ms': 1000, 'target_latency_ms': 400, 'priority': 1, 'service': name, 'max_attempts': 2}
            for name in self.services]
        services = [{'name': name, 'health_check': '/health', 'max_conns': 34, 'protocol': 'h1',
                     'tls': False, 'sync_replicas': service.sync} for name, service in self.services.items()]
        limits = {'max_header_bytes': 16384, 'max_body_bytes': 262144, 'header_timeout_ms': 3000,
                  'idle_timeout_ms': 15000, 'tx_idle_ms': 3000}
        return {'version': version, 'routes': routes, 'services': services, 'limits': limits,
                **(changes or {})}

    async def put(self, body=None, patience=15.0) -> int:
        if body is None:
            self.version += 3
            body = self.config(self.version)
        end = clock() + patience
        while clock() < end:
            status, payload, node = await call_control(
                self.control_addresses(), 'POST', '/api/Config.Put', body)
            if status:
                self.record.add(f'operator: version {body["version"]} answered {status} by {node} {payload[:200]}')
                return status
            await asyncio.sleep(0.2)
        return 0

    async def wait_serving(self, database: str, patience=20.0) -> bool:
        end = clock() + patience
        while clock() < end:
            ready = [await http('GET', f'{self.hosts[front]}:{self.ports["ready"]}', '/api/ready')
                     for front in self.fronts]
            if all(status == 200 for status, *_ in ready):
                client = Client(self, self.fronts[0], database, 'warm')
                if await client.open():
                    answer = await client.ask('WRITE warm 1')
                    client.close()
                    if answer and answer[0].startswith('COMPLETE'):
                        return True
            await asyncio.sleep(0.2)
        return False


class Client:
    """One session of a client."""

    numbers = itertools.count(1)

    def __init__(self, deployment: Deployment, front: str, database: str, who: str, small=False) -> None:
        self.deployment, self.front, self.database, self.who = deployment, front, database, who
        self.small = small
        self.state = 'I'
        self.id = ''

    async def open(self, timeout=2.0) -> bool:
        host, port = self.deployment.hosts[self.front], self.deployment.ports['front']
        try:
            async with asyncio.timeout(timeout):
                raw = socket.socket()
                raw.setblocking(False)
                if self.small:
                    raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16384)
                await asyncio.get_running_loop().sock_connect(raw, (host, port))
                limit = 4096 if self.small else 2**21
                self.reader, self.writer = await asyncio.open_connection(sock=raw, limit=limit)
                self.writer.write(f'STARTUP {self.database} {self.who}\r\n'.encode())
                line = (await self.reader.readuntil(b'\r\n')).decode()
        except (OSError, EOFError, TimeoutError):
            return False
        return line.startswith('READY')

    def send(self, text: str) -> str:
        self.id = f'{next(self.numbers):06x}{random.randrange(16**6):06x}'
        self.deployment.record.add(f'{self.who} sends {self.id} {text[:60]}')
        self.writer.write(f'QUERY {self.id} {text}\r\n'.encode())
        return self.id

    async def ask(self, text: str, timeout=8.0):
        """Return the lines of the answer without READY, or None if there is no whole answer."""
        ident = self.send(text)
        lines = []
        try:
            async with asyncio.timeout(timeout):
                while True:
                    line = (await self.reader.readuntil(b'\r\n'))[:-2].decode('utf-8', 'surrogateescape')
                    if line.startswith('READY'):
                        self.state = line.split(' ')[1]
                        self.deployment.record.add(f'{self.who} got {ident} {lines[0][:80] if lines else ""} {self.state}')
                        return lines
                    lines.append(line)
        except (OSError, EOFError, TimeoutError, ValueError) as error:
            self.deployment.record.add(f'{self.who} got no whole answer to {ident}: {error!r} {str(lines)[:80]}')
            self.state = '?'
            return None

    def close(self) -> None:
        with contextlib.suppress(Exception):
            self.writer.close()


class CannotRun(Exception):
    """The case could not be played."""


def main(case) -> None:
    """Play a case: it returns the list of what broke the rule."""
    folder = Path(sys.argv[0]).resolve().parent
    try:
        broken = asyncio.run(asyncio.wait_for(case(folder), 115))
    except Exception as error:
        # Exit 1 says that the rule was broken, so no other error may end with it.
        traceback.print_exc()
        print(f'could not run: {error!r}')
        sys.exit(2)
    for line in broken:
        print(line)
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
