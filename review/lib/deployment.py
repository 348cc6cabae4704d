"""Small deployment on loopback: real processes of the project, and stand-ins for everything else.

The stand-ins follow the users' pages (PROTOCOL.md): instances of replicated databases that speak
the line protocol and send heartbeats, the platform's promotion service, an operator and clients.
"""

import asyncio
import contextlib
import ctypes
import itertools
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout, web

ROOT = Path(__file__).resolve().parents[2]
MAX_MESSAGE_BYTES = 1024 * 1024
HEARTBEAT_S = 0.6
PROMOTE_S = 0.3
GRACE_S = 6.0
_LIBC = ctypes.CDLL(None)
_BORN = itertools.count(int(time.time() * 1000))


def kill_with_parent():
    _LIBC.prctl(1, signal.SIGKILL)


class Record:
    """What was sent, answered and run; written to ``record.txt`` beside the script."""

    def __init__(self, path):
        self.started = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8', errors='backslashreplace')

    def note(self, text):
        line = f'{time.monotonic() - self.started:8.3f} {text}'
        self.file.write(line + '\n')
        self.file.flush()

    def say(self, text):
        self.note(text)
        print(text, flush=True)


# ---------------------------------------------------------------------------------------------
# Databases


class Commit:
    """One commit; ``previous`` links the log."""

    __slots__ = ('number', 'previous', 'statement', 'term', 'writes')

    def __init__(self, number, term, statement, writes, previous):
        self.number, self.term = number, term
        self.statement, self.writes, self.previous = statement, writes, previous

    def __repr__(self):
        return f'{self.term}.{self.number}'


def log_of(tail):
    while tail is not None:
        yield tail
        tail = tail.previous


class Service:
    """A replicated database: logs, replication over the network, and promotions."""

    def __init__(self, name, record, lag_s, sync_replicas=0):
        self.name, self.record, self.lag_s, self.sync = name, record, lag_s, sync_replicas
        self.term = 3
        self.primary = None
        self.instances = {}
        self.newest_token = 0
        self.waiting = {}
        self.promote_s = PROMOTE_S
        self.promotions = []

    def add(self, instance):
        self.instances[instance.name] = instance
        if self.primary is None:
            self.primary = instance.name

    async def commit(self, instance, statement, writes):
        """Append a commit at the primary; return when it may be acknowledged."""
        commit = Commit(
            instance.number + 1, self.term, statement, writes, instance.tail
        )
        instance.tail = commit
        received = asyncio.get_running_loop().create_future()
        self.waiting[commit] = (set(), received)

        def arrive(replica):
            if not (replica.running and replica.receives) or replica.name == self.primary:
                return
            # The stream is in order: a replica that lacks earlier commits gets them first.
            if instance.name == self.primary and commit in log_of(instance.tail):
                if replica.number < commit.number:
                    replica.tail = commit
                self.note_received(replica)

        for replica in list(self.instances.values()):
            if replica is not instance and replica.running:
                asyncio.get_running_loop().call_later(
                    self.lag_s(instance, replica), arrive, replica
                )
        if self.sync:
            await received
        self.waiting.pop(commit, None)
        return commit

    def note_received(self, replica):
        """Let the commits be acknowledged that enough replicas have received."""
        log = set(log_of(replica.tail))
        for commit, (receivers, received) in self.waiting.items():
            if commit in log:
                receivers.add(replica.name)
                if len(receivers) >= self.sync and not received.done():
                    received.set_result(None)

    def join(self, replica):
        """Add a new replica, which starts with the log of the primary."""
        replica.tail = self.instances[self.primary].tail
        self.add(replica)

    def promote(self, name):
        if name == self.primary:
            return
        chosen = self.instances[name]
        lost = []
        kept = set(log_of(chosen.tail))
        for other in self.instances.values():
            while other.tail is not None and other.tail not in kept:
                lost.append(other.tail)
                other.tail = other.tail.previous
            other.receiving = True
        self.term += 1
        self.record.say(
            f'promote {name} (log {chosen.tail}), term {self.term}; was {self.primary};'
            f' rolled back {sorted({repr(each) for each in lost})[:8]}'
        )
        self.promotions.append((name, kept, time.monotonic()))
        self.primary = name
        for other in self.instances.values():
            other.send_heartbeat_soon()


class Connection:
    def __init__(self, writer):
        self.writer = writer
        self.settings, self.prepared = {}, {}
        self.transaction = None

    @property
    def state(self):
        if self.transaction is None:
            return 'I'
        return 'E' if self.transaction['failed'] else 'T'


class StatementError(Exception):
    pass


class Instance:
    """One instance: 5 slots, ``work_s`` for each read, write and commit."""

    def __init__(self, deployment, service, name, zone, work_s=0.004, slots=5, max_conns=34):
        self.deployment, self.service, self.name, self.zone = deployment, service, name, zone
        self.work_s, self.slots_count, self.max_conns = work_s, slots, max_conns
        self.tail = None
        self.running = False
        self.receiving = True  # False after PAUSE
        self.deaf = False  # receives nothing for a while (replica_lag, deaf)
        self.state = 'ready'
        self.sequence = 0
        self.born = next(_BORN)
        self.host, self.port = deployment.instance_host(), 0
        self.connections = set()
        self.server = None
        self.slots = asyncio.Semaphore(slots)
        self.proofs = itertools.count(1)
        self.one_way_s = 0.0  # network delay of each message to or from its callers
        self.beat = asyncio.Event()
        self.beat_task = None
        self.draining_acknowledged_at = None

    @property
    def number(self):
        return self.tail.number if self.tail else 0

    @property
    def position(self):
        return f'{self.tail.term}.{self.tail.number}' if self.tail else '3.0'

    @property
    def receives(self):
        return self.receiving and not self.deaf

    @property
    def is_primary(self):
        return self.service.primary == self.name

    async def start(self):
        self.born = next(_BORN)
        self.sequence = 0
        self.server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=MAX_MESSAGE_BYTES
        )
        self.port = self.server.sockets[0].getsockname()[1]
        self.running = True
        if not self.is_primary:
            self.service.note_received(self)
        self.beat_task = asyncio.create_task(self._send_heartbeats())

    def crash(self):
        """End without notice; the log is kept, and connections are reset."""
        if not self.running:
            return
        self.running = False
        self.server.close()
        for connection in list(self.connections):
            connection.writer.transport.abort()
        self.beat_task.cancel()

    def send_heartbeat_soon(self):
        self.beat.set()

    async def _send_heartbeats(self):
        while True:
            self.beat.clear()
            self.sequence += 1
            state = self.state
            body = {
                'service': self.service.name,
                'address': f'{self.host}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'capacity': self.slots_count,
                'state': state,
                'cold_remaining_ms': 0,
                'db_role': 'primary' if self.is_primary else 'replica',
                'seq': self.sequence,
                'born': self.born,
            }
            acknowledged = await self.deployment.call_control(
                'POST', f'/api/Instances.Heartbeat/{self.name}', json.dumps(body).encode()
            )
            if acknowledged and state == 'draining' and self.draining_acknowledged_at is None:
                self.draining_acknowledged_at = time.monotonic()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(HEARTBEAT_S):
                    await self.beat.wait()

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        self.connections.add(connection)
        try:
            line = await read_line(reader)
            words = line.split(b' ')
            if words[0] != b'STARTUP' or len(words) < 3:
                return
            if words[1].decode() != self.service.name or (
                len(words) > 3 and words[3].decode() != self.name
            ):
                writer.write(b'ERROR WRONGNODE ' + self.name.encode() + b'\r\n')
                return
            if len(self.connections) > self.max_conns:
                writer.write(b'ERROR TOOMANY full\r\n')
                return
            writer.write(self._ready(connection))
            while True:
                line = await read_line(reader)
                kind, _, rest = line.partition(b' ')
                if kind != b'QUERY':
                    return
                identifier, _, text = rest.partition(b' ')
                await self._travel()
                answer = await self._run(connection, identifier.decode(), text)
                answer += self._ready(connection)
                await self._travel()
                writer.write(answer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.LimitOverrunError):
            pass
        finally:
            connection.transaction = None
            self.connections.discard(connection)
            writer.close()

    async def _travel(self):
        if self.one_way_s:
            await asyncio.sleep(self.one_way_s)

    def _ready(self, connection):
        return f'READY {connection.state} {self.position}\r\n'.encode()

    async def _run(self, connection, identifier, text):
        try:
            return await self._execute(connection, identifier, text)
        except StatementError as error:
            code = str(error)
            if connection.transaction is not None and code != 'RETRY':
                connection.transaction['failed'] = True
            return f'ERROR {code} {self.name}\r\n'.encode()

    def _complete(self, rows=(), proof=None):
        lines = [b'DATAROW ' + row + b'\r\n' for row in rows]
        return b''.join(lines) + f'COMPLETE {proof or "-"}\r\n'.encode()

    def _prove(self):
        return f'{self.name}.{self.born}.{next(self.proofs)}'

    async def _execute(self, connection, identifier, text):
        if text.startswith(b'WAITLSN '):
            _, position, text = text.split(b' ', 2)
            term, _, number = position.decode().partition('.')
            # The log has a position if it reached it in that term or kept it from there.
            if not self._has(int(term), int(number)):
                raise StatementError('LAGGING')
        word, _, rest = text.partition(b' ')
        if word == b'STATUS' or word in {b'PAUSE', b'RESUME', b'STEPDOWN'}:
            if word == b'PAUSE' and int(rest) > self.service.term and not self.is_primary:
                self.receiving = False
            if word == b'RESUME':
                self.receiving = True
                self._catch_up()
            if word != b'STATUS':
                self.deployment.record.note(f'{self.name} gets {text.decode()}, log {self.position}')
            role = 'primary' if self.is_primary else 'replica'
            row = f'{role} {self.service.term} {self.position} {self.service.term} 0'
            row = f'{row} {self.slots_count - self.slots._value} {len(self.connections)}'
            return self._complete([row.encode()])
        if word == b'DISCARD':
            connection.settings.clear()
            connection.prepared.clear()
            return self._complete()
        if word == b'SET':
            name, _, setting = rest.partition(b' ')
            connection.settings[name] = setting
            return self._complete()
        if word == b'PARSE':
            name, _, shape = rest.partition(b' ')
            connection.prepared[name] = shape
            return self._complete()
        if word == b'CLOSE':
            connection.prepared.pop(rest, None)
            return self._complete()
        if word == b'ROLLBACK':
            connection.transaction = None
            return self._complete()
        transaction = connection.transaction
        if transaction is not None and transaction['failed']:
            raise StatementError('MALFORMED')
        if word == b'BEGIN':
            read_only = rest == b'READ'
            if not read_only and not self.is_primary:
                raise StatementError('READONLY')
            connection.transaction = {
                'read_only': read_only, 'failed': False, 'term': self.service.term,
                'writes': [], 'statements': [],
            }
            return self._complete()
        if word == b'EXECUTE':
            name, _, arguments = rest.partition(b' ')
            shape = connection.prepared.get(name)
            if shape is None:
                raise StatementError('NOSTMT')
            word, rest = shape.split(b' ')[0], arguments
        async with self.slots:
            await asyncio.sleep(self.work_s)
        if not self.running:
            raise EOFError
        if transaction is not None and not transaction['read_only']:
            is_harmless_commit = word == b'COMMIT' and not transaction['writes']
            led = self.is_primary and transaction['term'] == self.service.term
            if not led and not is_harmless_commit:
                raise StatementError('READONLY')
        proof = self._prove()
        if word == b'COMMIT':
            if transaction is None:
                raise StatementError('MALFORMED')
            connection.transaction = None
            if transaction['writes']:
                await self.service.commit(self, identifier, tuple(transaction['statements']))
            self.deployment.run(self, identifier, text, proof)
            return self._complete(proof=proof)
        if word == b'READ':
            self.deployment.run(self, identifier, text, proof)
            return self._complete([b'v' + str(self.number).encode()], proof)
        if word == b'WRITE':
            if not self.is_primary:
                raise StatementError('READONLY')
            if transaction is not None:
                transaction['writes'].append(rest)
                transaction['statements'].append(identifier)
                self.deployment.run(self, identifier, text, proof)
                return self._complete(proof=proof)
            await self.service.commit(self, identifier, (identifier,))
            self.deployment.run(self, identifier, text, proof)
            return self._complete(proof=proof)
        raise StatementError('MALFORMED')

    def _has(self, term, number):
        if number == 0:
            return True
        for commit in log_of(self.tail):
            if commit.number == number:
                return commit.term == term
            if commit.number < number:
                return False
        return False

    def hear_again(self):
        self.deaf = False
        self._catch_up()

    def _catch_up(self):
        if not (self.running and self.receives):
            return
        primary = self.service.instances.get(self.service.primary)
        if primary is not None and primary.running and primary.number > self.number:
            self.tail = primary.tail
            self.service.note_received(self)


async def read_line(reader):
    line = await reader.readuntil(b'\r\n')
    return line[:-2]


# ---------------------------------------------------------------------------------------------
# Processes and the platform


class Process:
    """One process of the project, started with the command of ``deploy/system.toml``."""

    def __init__(self, deployment, name, role, host):
        self.deployment, self.name, self.role, self.host = deployment, name, role, host
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.popen = None
        self.starts = 0
        self.own_ends = []
        self.expected_end = False

    def write_settings(self, bootstrap):
        deployment = self.deployment
        front, ready, control, first_internal = deployment.ports
        seeds = [f'{each.host}:{control}' for each in deployment.controls]
        listen = (
            f'front = "{self.host}:{front}"\nready = "{self.host}:{ready}"'
            if self.role == 'entry'
            else f'control = "{self.host}:{control}"'
        )
        data = '' if self.role == 'entry' else f'data_dir = "{self.folder}/data"\n'
        serves = 'front' if self.role == 'entry' else 'control'
        machine_class = 'front' if self.role == 'entry' else 'core'
        text = f'''node_name = "{self.name}"
role = "{self.role}"
machine_class = "{machine_class}"
serves = ["{serves}"]
ip = "{self.host}"
zone = "{self.name.rsplit('-', 1)[0].split('-', 1)[1]}"
region = "r1"
internal_port_range = [{first_internal},{first_internal + 15}]
seeds = {json.dumps(seeds)}
bootstrap = {json.dumps(bootstrap)}
counts_as_loss = {json.dumps(self.role == 'control')}
discovery = "registry"
entry = "vip"
heartbeat_ms = 600
contracts = ["base","drain","config","cost","recover","sql"]
config_mode = "highest"
{data}[zones]
z1 = "r1"
z2 = "r2"
z3 = "r3"
[listen]
{listen}
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4200
link_mbps = 1000.0
disk_mb = 128
[fault_tolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
stable_window_ms = 4000
ack_timeout_ms = 5000
catch_up_s = 4
drain_ms = 7000
grace_s = 6
loss_slack_ms = 200
config_apply_ms = 3000
downgrade_slack_ms = 250
outer_ms = 12000
recovery_s = 12
fencing_required = true
thaw_slack_ms = 300
[cloud_api]
address = "{deployment.authority}"
rate_per_s = 50.0
duties = ["failover"]
duty_per_s = 50.0
'''
        (self.folder / 'local.toml').write_text(text)

    def start(self):
        self.starts += 1
        self.expected_end = False
        env = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        env |= {
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'BERGAMOTCART_CONFIG': str(self.folder / 'local.toml'),
            'SSL_CERT_FILE': '/dev/null',
            'PYTHONDONTWRITEBYTECODE': '1',
        }
        with (self.folder / 'log.txt').open('ab') as log:
            self.popen = subprocess.Popen(
                ['python3', '-S', 'platform/bin/bergamotcart-platform'],
                cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log,
                stderr=subprocess.STDOUT, preexec_fn=kill_with_parent,
            )

    def signal(self, number):
        if self.popen is not None and self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    async def stop(self):
        self.expected_end = True
        if self.popen is None or self.popen.poll() is not None:
            return
        self.signal(signal.SIGTERM)
        for _ in range(60):
            if self.popen.poll() is not None:
                return
            await asyncio.sleep(0.05)
        self.popen.kill()
        self.popen.wait()


class Deployment:
    """Three control processes, some entries, services, the platform and an operator."""

    def __init__(self, record, entries=('z1', 'z2', 'z3'), seed=1):
        self.record = record
        self.random = random.Random(seed)
        self.folder = Path(tempfile.mkdtemp(prefix='review-'))
        self.network = random.SystemRandom().randrange(10, 240)
        self.hosts = iter(f'127.{self.network}.7.{number}' for number in range(2, 250))
        self.ports = free_ports(f'127.{self.network}.7.1')
        self.authority = ''
        self.controls, self.entries = [], []
        for zone in ('z1', 'z2', 'z3'):
            self.controls.append(Process(self, f'core-{zone}-1', 'control', next(self.hosts)))
        for number, zone in enumerate(entries):
            self.entries.append(Process(self, f'front-{zone}-{number}', 'entry', next(self.hosts)))
        self.services = {}
        self.runs = []
        self.http = None
        self.tasks = []
        self.stopping = False
        self.promotion_calls = []

    def instance_host(self):
        return next(self.hosts)

    def run(self, instance, identifier, text, proof):
        self.runs.append((identifier, instance.name, text, proof, time.monotonic()))
        self.record.note(f'run {identifier} at {instance.name}: {text[:60]!r} proof {proof}')

    async def __aenter__(self):
        self.http = ClientSession(timeout=ClientTimeout(total=1.0))
        await self._start_authority()
        return self

    async def __aexit__(self, *_):
        self.stopping = True
        for task in self.tasks:
            task.cancel()
        for service in self.services.values():
            for instance in service.instances.values():
                instance.crash()
        await asyncio.gather(*(each.stop() for each in (*self.entries, *self.controls)))
        await self.http.close()
        await self.runner.cleanup()
        kept = os.environ.get('KEEP')
        if kept:
            shutil.copytree(self.folder, kept, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    async def start_processes(self):
        for process in (*self.controls, *self.entries):
            process.write_settings(True)
        for process in (*self.controls, *self.entries):
            process.start()
        self.tasks.append(asyncio.create_task(self._restart_ended()))
        await asyncio.sleep(1.0)
        for process in (*self.controls, *self.entries):
            process.write_settings(False)

    async def _restart_ended(self):
        """As on the platform: a process that ends is started again after a short delay."""
        while not self.stopping:
            await asyncio.sleep(0.05)
            for process in (*self.controls, *self.entries):
                if process.popen.poll() is None or self.stopping or process.expected_end:
                    continue
                process.own_ends.append(time.monotonic())
                self.record.say(
                    f'process {process.name} ended by itself, status {process.popen.returncode}'
                )
                process.start()

    async def _start_authority(self):
        application = web.Application()
        application.add_routes([web.post('/promotions', self._handle_promotion)])
        self.runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        site = web.TCPSite(self.runner, next(self.hosts), 0)
        await site.start()
        self.authority = '{0}:{1}'.format(*self.runner.addresses[0])

    async def _handle_promotion(self, request):
        body = await request.json()
        token, holder = int(request.headers['Fencing-Token']), request.headers['Lease-Holder']
        service = self.services[body['service']]
        instance = service.instances.get(body['id'])
        status = 200
        if token < service.newest_token or instance is None or not instance.running:
            status = 409
        self.record.note(f'promotion of {body["id"]} by {holder}, token {token}: {status}')
        if status == 200:
            service.newest_token = token
            if service.primary != body['id']:
                asyncio.get_running_loop().call_later(
                    service.promote_s, service.promote, body['id']
                )
        return web.Response(status=status)

    async def call_control(self, method, path, body=None, attempts=6):
        """Call control processes in turn until one answers with 2xx; follow redirects."""
        order = self.controls[:]
        self.random.shuffle(order)
        self.last = (0, b'')
        for attempt in range(attempts):
            url = f'http://{order[attempt % 3].host}:{self.ports[2]}{path}'
            for _ in range(3):
                try:
                    async with self.http.request(
                        method, url, data=body, allow_redirects=False
                    ) as response:
                        content = await response.read()
                        if response.status == 307:
                            url = response.headers['Location']
                            continue
                        self.last = (response.status, content)
                        if response.status < 300:
                            return True
                        if response.status < 500 and response.status not in {408, 429}:
                            return False
                        break
                except (ClientError, TimeoutError, OSError):
                    break
            await asyncio.sleep(0.1 * (attempt + 1))
        return False

    async def put_config(self, version, routes, sync_replicas=0, max_conns=34):
        form = {
            'version': version,
            'routes': routes,
            'services': [
                {
                    'name': name, 'health_check': '/health', 'max_conns': max_conns,
                    'protocol': 'h1', 'tls': False, 'sync_replicas': sync_replicas,
                }
                for name in self.services
            ],
            'limits': {
                'max_header_bytes': 16384, 'max_body_bytes': 262144,
                'header_timeout_ms': 3000, 'idle_timeout_ms': 15000, 'tx_idle_ms': 3000,
            },
        }
        for _ in range(40):
            if await self.call_control('POST', '/api/Config.Put', json.dumps(form).encode()):
                self.record.note(f'config {version} acknowledged')
                return True
            await asyncio.sleep(0.2)
        return False

    async def wait_ready(self, count=None):
        """Wait until the entries answer their readiness probe."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            ready = [await self.is_ready(each) for each in self.entries]
            if sum(ready) >= (count or len(self.entries)):
                return True
            await asyncio.sleep(0.1)
        return False

    async def find_leader(self):
        """Return the control process that leads, from the health page of each."""
        deadline = time.monotonic() + 20
        while time.monotonic() < deadline:
            for process in self.controls:
                with contextlib.suppress(ClientError, TimeoutError, OSError):
                    async with self.http.get(f'http://{process.host}:9464/health') as response:
                        form = await response.json()
                        if form.get('leads'):
                            return process
            await asyncio.sleep(0.1)
        return None

    async def is_ready(self, entry):
        try:
            async with self.http.get(
                f'http://{entry.host}:{self.ports[1]}/api/ready'
            ) as response:
                return response.status == 200
        except (ClientError, TimeoutError, OSError):
            return False


def route(host, service, kind='primary', timeout_ms=1000, stale=0):
    form = {
        'name': f'r-{host}', 'host': host, 'path_prefix': '/', 'route_type': kind,
        'timeout_ms': timeout_ms, 'target_latency_ms': 400, 'priority': 1, 'service': service,
        'max_attempts': 2,
    }
    if stale:
        form['max_staleness_ms'] = stale
    return form


def free_ports(host):
    sockets = []
    for _ in range(3):
        sock = socket.socket()
        sock.bind((host, 0))
        sockets.append(sock)
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    # The internal ports lie below the range of outgoing connections.
    return (*ports, random.SystemRandom().randrange(12000, 30000))


# ---------------------------------------------------------------------------------------------
# Clients


class ClientClosed(Exception):
    pass


class Client:
    """One session of a client."""

    def __init__(self, deployment, entry, database, name='u1'):
        self.deployment, self.entry, self.database, self.name = deployment, entry, database, name
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(
            self.entry.host, self.deployment.ports[0], limit=MAX_MESSAGE_BYTES
        )
        self.writer.write(f'STARTUP {self.database} {self.name}\r\n'.encode())
        async with asyncio.timeout(2):
            line = await self._line()
        if not line.startswith(b'READY'):
            raise ClientClosed(line.decode(errors='replace'))
        return self

    async def _line(self):
        try:
            return await read_line(self.reader)
        except (asyncio.IncompleteReadError, OSError) as error:
            raise ClientClosed(repr(error)) from error

    async def query(self, identifier, text):
        """Return the kind of the answer, its fields, its rows, and the state."""
        if isinstance(text, str):
            text = text.encode()
        self.writer.write(b'QUERY ' + identifier.encode() + b' ' + text + b'\r\n')
        rows = []
        while True:
            line = await self._line()
            word, _, rest = line.partition(b' ')
            if word == b'DATAROW':
                rows.append(rest)
                continue
            ready = await self._line()
            state = ready.split(b' ')[1].decode()
            return word.decode(), rest.decode(errors='replace'), rows, state

    def close(self):
        if self.writer is not None:
            self.writer.close()


def new_id():
    return f'{random.SystemRandom().getrandbits(64):016x}'


def in_time(seconds, coroutine):
    """Run a script within its time; return its exit status."""

    async def bounded():
        async with asyncio.timeout(seconds):
            return await coroutine

    try:
        return asyncio.run(bounded())
    except TimeoutError:
        print('the script did not end in time')
        return 2
    except Exception as error:  # the case could not run
        import traceback

        traceback.print_exc()
        print(f'the case could not run: {error!r}')
        return 2


def trouble():
    return os.environ.get('TROUBLE', '1') != '0'


__all__ = [name for name in dir() if not name.startswith('_')]
if __name__ == '__main__':
    sys.exit('import this module')
