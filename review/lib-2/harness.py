"""Small deployment of the real programs on loopback, with stand-ins for everything around them.

The programs are started with the commands of ``deploy/system.toml``. Instances, clients, the operator
and the platform are stand-ins that follow ``PROTOCOL.md``; they use only the standard library.
"""

import asyncio
import itertools
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
BROKEN, HELD, NOT_RUN = 1, 0, 2
# As in the pages' example of a small deployment.
GRACE_S = 6.0
_RESERVATION_PORT = 49151
_ids = itertools.count(1)


class CaseError(Exception):
    """The case could not run."""


def now():
    """Return seconds on the steady clock."""
    return time.monotonic()


class Record:
    """Writes what was sent, answered and run to ``record.txt`` beside the case."""

    def __init__(self, folder):
        self._file = (Path(folder) / 'record.txt').open('w')
        self._started_at = now()
        self.findings = []

    def note(self, text):
        self._file.write(f'{now() - self._started_at:8.3f} {text}\n')
        self._file.flush()

    def broken(self, rule, text):
        self.findings.append((rule, text))
        self.note(f'RULE BROKEN {rule}: {text}')


class Network:
    """Addresses 127.N.9.x that no other run on this machine uses."""

    def __init__(self):
        for number in random.SystemRandom().sample(range(1, 250), 249):
            self.prefix = f'127.{number}.9'
            self._reservation = socket.socket(type=socket.SOCK_DGRAM)
            try:
                self._reservation.bind((f'{self.prefix}.1', _RESERVATION_PORT))
            except OSError:
                self._reservation.close()
                continue
            return
        raise CaseError('no free network on loopback')

    def host(self, number):
        return f'{self.prefix}.{number}'

    def close(self):
        self._reservation.close()


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for each in sockets:
        each.bind(('127.0.0.1', 0))
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


# The line protocol


def encode(kind, *fields):
    return (' '.join((kind, *fields)) + '\r\n').encode()


async def read_line(reader):
    """Return the words of a message, or ``None`` at the end of the connection."""
    try:
        line = await reader.readuntil(b'\r\n')
    except (asyncio.IncompleteReadError, OSError):
        return None
    return line[:-2].decode()


class Answer:
    """Answer to one message of a client; ``code`` is empty after a success."""

    def __init__(self):
        self.rows, self.code, self.text, self.proof, self.state = [], '', '', '', ''
        self.complete = False

    def __str__(self):
        if not self.complete:
            return f'no complete answer ({len(self.rows)} rows)'
        outcome = f'ERROR {self.code} {self.text}' if self.code else f'COMPLETE {self.proof}'
        return f'rows {len(self.rows)}, {outcome}, READY {self.state}'


class Client:
    """One session of a client."""

    def __init__(self, record, name, reader, writer):
        self._record, self.name = record, name
        self.reader, self.writer = reader, writer

    @classmethod
    async def open(cls, record, address, database, who, name='client', limit=2**21):
        reader, writer = await asyncio.open_connection(*address, limit=limit)
        client = cls(record, name, reader, writer)
        record.note(f'{name} > STARTUP {database} {who}')
        writer.write(encode('STARTUP', database, who))
        return client, await client.read_answer()

    async def query(self, text, statement=None, timeout_s=20.0):
        """Send a statement, and return its identifier and its answer."""
        statement = statement or f'q{next(_ids):05d}'
        self._record.note(f'{self.name} > QUERY {statement} {text[:80]}')
        try:
            self.writer.write(encode('QUERY', statement, text))
        except OSError:
            return statement, Answer()
        try:
            async with asyncio.timeout(timeout_s):
                return statement, await self.read_answer()
        except TimeoutError:
            return statement, Answer()

    async def read_answer(self):
        answer = Answer()
        while True:
            line = await read_line(self.reader)
            if line is None:
                break
            kind, _, rest = line.partition(' ')
            if kind == 'DATAROW':
                answer.rows.append(rest)
            elif kind == 'ERROR':
                answer.code, _, answer.text = rest.partition(' ')
                if answer.code in {'NODB', 'NOAUTH'} and not answer.state:
                    # An error in answer to STARTUP is followed by a close.
                    pass
            elif kind == 'COMPLETE':
                answer.proof = rest
            else:
                answer.state = rest.split(' ')[0]
                answer.complete = True
                break
        self._record.note(f'{self.name} < {answer}')
        return answer

    def close(self):
        self.writer.transport.abort()


# Database stand-in


class Commit:
    def __init__(self, number, term, statements, writes):
        self.number, self.term, self.statements, self.writes = number, term, statements, writes


class Service:
    """A database of one primary and its replicas."""

    def __init__(self, record, name, count=3, sync=0, lag_s=0.008):
        self.record, self.name, self.sync, self.lag_s = record, name, sync, lag_s
        self.term = 3
        self.instances = [Instance(self, f'i-{name}-{number}') for number in range(count)]
        self.primary = self.instances[0]
        # Every run of a client's statement: (statement, text, instance, transaction, settings).
        self.runs = []
        self.commits = []

    def find(self, name):
        return next((each for each in self.instances if each.name == name), None)

    async def replicate(self):
        """Bring commits to the replicas that receive, ``lag_s`` after they were made."""
        while True:
            await asyncio.sleep(0.002)
            for each in self.instances:
                if each is self.primary or not (each.is_running and each.receives):
                    continue
                if not self.primary.is_running:
                    continue
                while len(each.log) < len(self.primary.log):
                    commit, at = self.primary.log[len(each.log)]
                    if now() < at + self.lag_s:
                        break
                    each.log.append((commit, at))

    def promote(self, instance):
        if instance is self.primary:
            return
        self.term += 1
        self.primary = instance
        self.record.note(f'platform: {instance.name} leads term {self.term} at {instance.position}')
        for each in self.instances:
            while each.log and (
                len(each.log) > len(instance.log) or each.log[-1] != instance.log[len(each.log) - 1]
            ):
                each.log.pop()


class Connection:
    def __init__(self, writer):
        self.writer = writer
        self.settings, self.prepared, self.transaction = {}, {}, None

    @property
    def state(self):
        return 'I' if self.transaction is None else 'T'


class Transaction:
    def __init__(self, number, read_only, term):
        self.number, self.read_only, self.term = number, read_only, term
        self.statements, self.writes = [], []


class StatementError(Exception):
    pass


class Instance:
    """One copy of a database, which speaks the wire protocol."""

    def __init__(self, service, name):
        self.service, self.name = service, name
        self.log = []
        self.is_running = self.receives = True
        self.leaving = False
        self.sequence = 0
        self.confirmed_state = ''
        self.born = int(time.time() * 1000)
        self.slots, self.max_conns = 5, 34
        self.work_s = 0.003
        # Row to answer, by item.
        self.rows = {}
        self.connections = set()
        self._numbers = itertools.count(1)
        self._proofs = itertools.count(1)
        self._server = None
        self._free_slots = asyncio.Semaphore(self.slots)

    @property
    def role(self):
        return 'primary' if self.service.primary is self else 'replica'

    @property
    def position(self):
        term = self.log[-1][0].term if self.log else 3
        return f'{term}.{len(self.log)}'

    @property
    def address(self):
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def start(self):
        self._free_slots = asyncio.Semaphore(self.slots)
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0, limit=2**21)

    def stop(self):
        if self._server is not None:
            self._server.close()
        for connection in tuple(self.connections):
            connection.writer.transport.abort()

    async def _serve(self, reader, writer):
        connection = Connection(writer)
        self.connections.add(connection)
        try:
            await self._serve_session(reader, connection)
        except OSError:
            pass
        finally:
            self.connections.discard(connection)
            writer.close()

    async def _serve_session(self, reader, connection):
        startup = await read_line(reader)
        if startup is None:
            return
        words = startup.split(' ')
        if words[0] != 'STARTUP' or words[1] != self.service.name or words[3:] not in ([], [self.name]):
            connection.writer.write(encode('ERROR', 'WRONGNODE', self.name))
            return
        if len(self.connections) > self.max_conns:
            connection.writer.write(encode('ERROR', 'TOOMANY', self.name))
            return
        connection.writer.write(encode('READY', connection.state, self.position))
        while (line := await read_line(reader)) is not None:
            kind, _, rest = line.partition(' ')
            if kind != 'QUERY':
                return
            statement, _, text = rest.partition(' ')
            await self._answer(connection, statement, text)

    async def _answer(self, connection, statement, text):
        try:
            rows, proof = await self._run(connection, statement, text)
            messages = [encode('DATAROW', row) for row in rows] + [encode('COMPLETE', proof)]
        except StatementError as error:
            messages = [encode('ERROR', str(error), self.name)]
        messages.append(encode('READY', connection.state, self.position))
        connection.writer.write(b''.join(messages))
        await connection.writer.drain()

    async def _run(self, connection, statement, text):
        floor = None
        if text.startswith('WAITLSN '):
            _, floor, text = text.split(' ', 2)
        verb, _, rest = text.partition(' ')
        if verb in {'READ', 'WRITE', 'EXECUTE', 'COMMIT'}:
            async with self._free_slots:
                await asyncio.sleep(self.work_s)
                return await self._run_work(connection, statement, verb, rest, floor)
        return self._run_other(connection, verb, rest, floor), '-'

    def _run_other(self, connection, verb, rest, floor):
        name, _, value = rest.partition(' ')
        if verb == 'STATUS':
            return [f'{self.role} {self.service.term} {self.position} 0 0 0 {len(self.connections)}']
        if verb == 'SET':
            connection.settings[name] = value
        elif verb == 'PARSE':
            connection.prepared[name] = value
        elif verb == 'CLOSE':
            connection.prepared.pop(name, None)
        elif verb == 'DISCARD':
            connection.settings.clear()
            connection.prepared.clear()
        elif verb == 'BEGIN':
            self._check_floor(floor)
            if not rest and self.role != 'primary':
                raise StatementError('READONLY')
            connection.transaction = Transaction(next(self._numbers), bool(rest), self.service.term)
        elif verb == 'ROLLBACK':
            connection.transaction = None
        else:
            raise StatementError('MALFORMED')
        return []

    def _check_floor(self, floor):
        if floor is not None:
            term, _, number = floor.partition('.')
            has = int(number) == 0 or (
                len(self.log) >= int(number) and self.log[int(number) - 1][0].term <= int(term)
            )
            if not has:
                raise StatementError('LAGGING')

    async def _run_work(self, connection, statement, verb, rest, floor):
        self._check_floor(floor)
        transaction = connection.transaction
        is_lead = self.role == 'primary' and (
            transaction is None or transaction.term == self.service.term
        )
        if transaction is not None and not transaction.read_only and not is_lead:
            if verb != 'COMMIT' or transaction.writes:
                raise StatementError('READONLY')
        if verb == 'COMMIT':
            if transaction is None:
                raise StatementError('MALFORMED')
            self._note_run(connection, statement, 'COMMIT')
            connection.transaction = None
            if transaction.writes:
                await self._commit(transaction.statements, transaction.writes)
            return [], self._proof()
        shape = ''
        if verb == 'EXECUTE':
            name, _, rest = rest.partition(' ')
            if name not in connection.prepared:
                raise StatementError('NOSTMT')
            verb, _, shape = connection.prepared[name].partition(' ')
        item, _, data = rest.partition(' ')
        if verb == 'READ':
            self._note_run(connection, statement, f'READ {item}')
            return self.rows.get(item) or [self._read(item)], self._proof()
        if not is_lead:
            raise StatementError('READONLY')
        self._note_run(connection, statement, f'WRITE {item}')
        if transaction is not None:
            transaction.statements.append(statement)
            transaction.writes.append((item, data))
        else:
            await self._commit([statement], [(item, data)])
        return [], self._proof()

    def _read(self, item):
        for commit, _ in reversed(self.log):
            for key, data in reversed(commit.writes):
                if key == item:
                    return data
        return 'none'

    async def _commit(self, statements, writes):
        service = self.service
        commit = Commit(len(self.log) + 1, service.term, list(statements), list(writes))
        entry = (commit, now())
        self.log.append(entry)
        service.commits.append(commit)
        service.record.note(f'{self.name}: commit {self.position} of {" ".join(statements)}')
        while service.sync and not any(
            entry in each.log for each in service.instances if each is not self
        ):
            await asyncio.sleep(0.002)

    def _note_run(self, connection, statement, text):
        number = connection.transaction.number if connection.transaction else None
        run = (statement, text, self.name, number, dict(connection.settings))
        self.service.runs.append(run)
        where = f'transaction {number}' if number else 'no transaction'
        self.service.record.note(f'{self.name}: runs {statement} {text[:60]} ({where})')

    def _proof(self):
        return f'{self.name}.{next(self._proofs)}'


# HTTP


async def http_call(address, method, path, body=b'', timeout_s=1.0, headers=()):
    """Return status, headers and body of a response, or status 0 without one."""
    host, _, port = address.partition(':')
    lines = [
        f'{method} {path} HTTP/1.1',
        f'Host: {address}',
        'Connection: close',
        'Content-Type: application/json',
        f'Content-Length: {len(body)}',
        *headers,
    ]
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
                return _parse_response(await reader.read())
            finally:
                writer.close()
    except (OSError, TimeoutError, ValueError):
        return 0, {}, b''


def _parse_response(received):
    head, separator, body = received.partition(b'\r\n\r\n')
    if not separator:
        return 0, {}, b''
    first, *others = head.decode('latin-1').split('\r\n')
    headers = dict(line.lower().split(': ', 1) for line in others if ': ' in line)
    if int(headers.get('content-length', len(body))) != len(body):
        return 0, {}, b''
    return int(first.split(' ')[1]), headers, body


class PlatformApi:
    """The platform's promotions, which check fences."""

    def __init__(self, record, services):
        self._record, self._services = record, services
        self.newest = {}
        self.calls = []
        self._server = None

    @property
    def address(self):
        host, port = self._server.sockets[0].getsockname()[:2]
        return f'{host}:{port}'

    async def start(self):
        self._server = await asyncio.start_server(self._serve, '127.0.0.1', 0)

    def stop(self):
        self._server.close()

    async def _serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode()
            headers = dict(
                line.lower().split(': ', 1) for line in head.split('\r\n')[1:] if ': ' in line
            )
            body = await reader.readexactly(int(headers.get('content-length', 0)))
            status = self._handle(headers, json.loads(body))
            reason = {200: 'OK', 409: 'Conflict', 404: 'Not Found'}[status]
            writer.write(
                f'HTTP/1.1 {status} {reason}\r\nContent-Length: 0\r\nConnection: close\r\n\r\n'.encode()
            )
            await writer.drain()
        except (OSError, ValueError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    def _handle(self, headers, form):
        service = self._services.get(form['service'])
        instance = service and service.find(form['id'])
        token = int(headers['fencing-token'])
        call = (headers['lease-holder'], token, form['service'], form['id'])
        self.calls.append(call)
        status = 200
        if instance is None or not instance.is_running:
            status = 409
        elif token < self.newest.get(service.name, 0):
            status = 409
        else:
            self.newest[service.name] = token
            asyncio.get_running_loop().call_later(0.3, service.promote, instance)
        self._record.note(f'platform: POST /promotions {call} -> {status}')
        return status


# Processes


class Machine:
    """One machine with one process."""

    def __init__(self, deployment, name, role, number, zone):
        self.deployment, self.name, self.role, self.zone = deployment, name, role, zone
        self.host = deployment.network.host(number)
        self.folder = deployment.folder / name
        self.folder.mkdir()
        self.bootstrap = True
        self.process = None

    def write_settings(self):
        ports, d = self.deployment.ports, self.deployment
        seeds = [f'{each.host}:{ports["control"]}' for each in d.controls[:3]]
        serves = 'front' if self.role == 'entry' else 'control'
        lines = [
            f'node_name = "{self.name}"',
            f'role = "{self.role}"',
            f'machine_class = "{"front" if self.role == "entry" else "core"}"',
            f'serves = ["{serves}"]',
            f'ip = "{self.host}"',
            f'zone = "{self.zone}"',
            f'region = "{self.zone}"',
            f'internal_port_range = [{ports["peer"]}, {ports["peer"]}]',
            f'seeds = {json.dumps(seeds)}',
            f'bootstrap = {json.dumps(self.bootstrap)}',
            f'counts_as_loss = {json.dumps(self.role == "control")}',
            'heartbeat_ms = 1200',
            f'contracts = {json.dumps(d.contracts)}',
            'config_mode = "highest"',
        ]
        if self.role == 'control':
            lines.append(f'data_dir = "{self.folder}/data"')
        lines += ['[zones]', *(f'{zone} = "{zone}"' for zone in d.zones)]
        lines += ['[listen]']
        if self.role == 'entry':
            lines += [f'front = "{self.host}:{ports["front"]}"', f'ready = "{self.host}:{ports["ready"]}"']
        else:
            lines += [f'control = "{self.host}:{ports["control"]}"']
        limits = {'memory_mb': 300, 'max_fds': 4200, 'link_mbps': 1000.0} | d.limits
        lines += ['[limits]', *(f'{name} = {value}' for name, value in limits.items())]
        lines += ['[fault_tolerance]', 'machines = 1', 'zones = 0', 'regions = 0']
        bounds = {
            'seed_lag_s': 3,
            'addr_reuse_s': 2,
            'stable_window_ms': 4000,
            'ack_timeout_ms': 5000,
            'catch_up_s': 4,
            'drain_ms': 7000,
            'grace_s': 6,
            'loss_slack_ms': 200,
            'config_apply_ms': 3000,
            'downgrade_slack_ms': 250,
            'outer_ms': 12000,
            'recovery_s': 12,
            'fencing_required': True,
            'thaw_slack_ms': 300,
        } | d.bounds
        lines += ['[bounds]', *(f'{name} = {json.dumps(value)}' for name, value in bounds.items())]
        lines += [
            '[cloud_api]',
            f'address = "{d.platform.address}"',
            'rate_per_s = 50.0',
            'duties = ["failover"]',
            'duty_per_s = 50.0',
        ]
        draft = self.folder / 'local.toml.new'
        draft.write_text('\n'.join(lines) + '\n')
        draft.replace(self.folder / 'local.toml')

    async def start(self):
        role = self.deployment.deploy['roles'][self.role]
        command = role['run'].split(' ')
        kept = ('PATH', 'HOME', 'LANG')
        env = {name: os.environ[name] for name in kept if name in os.environ}
        env |= role.get('env', {}) | {'BERGAMOTCART_CONFIG': str(self.folder / 'local.toml')}
        env |= {'PYTHONDONTWRITEBYTECODE': '1'}
        with (self.folder / 'log.txt').open('ab') as log:
            self.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.deployment.record.note(f'{self.name} started')

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.deployment.record.note(f'{self.name}: {signal.Signals(number).name}')
            self.process.send_signal(number)

    async def wait(self, timeout_s):
        """Wait for the end of the process; return whether it has ended."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.process.wait()
        except TimeoutError:
            return False
        self.deployment.record.note(f'{self.name} ended with {self.process.returncode}')
        return True

    async def terminate(self):
        """Stop the process as the platform does: SIGTERM, then SIGKILL after the grace period."""
        self.signal(signal.SIGTERM)
        if not await self.wait(GRACE_S):
            self.signal(signal.SIGKILL)
            await self.wait(5)


class Deployment:
    """Three control processes and some entries, with their surroundings."""

    def __init__(self, case_folder, services, entries=1, contracts=None, limits=None, bounds=None):
        self.record = Record(case_folder)
        self.network = Network()
        self.folder = Path(tempfile.mkdtemp(prefix='bergamotcart-case-'))
        self.zones = ['zone-a', 'zone-b', 'zone-c']
        self.contracts = contracts or ['base', 'drain', 'config', 'cost', 'recover', 'sql']
        self.limits, self.bounds = limits or {}, bounds or {}
        names = ('front', 'ready', 'control', 'peer')
        self.ports = dict(zip(names, free_ports(len(names)), strict=True))
        self.deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
        self.services = {each.name: each for each in (make(self.record) for make in services)}
        self.platform = PlatformApi(self.record, self.services)
        zones = itertools.cycle(self.zones)
        self.controls = [
            Machine(self, f'core-{n}', 'control', 11 + n, next(zones)) for n in range(3)
        ]
        zones = itertools.cycle(self.zones)
        self.entries = [
            Machine(self, f'front-{n}', 'entry', 31 + n, next(zones)) for n in range(entries)
        ]
        self._tasks = []

    @property
    def machines(self):
        return self.controls + self.entries

    @property
    def instances(self):
        return [each for service in self.services.values() for each in service.instances]

    async def __aenter__(self):
        if not (ROOT / 'target' / 'deps').exists():
            raise CaseError('the system is not built')
        await self.platform.start()
        for instance in self.instances:
            await instance.start()
        for service in self.services.values():
            self.run_task(service.replicate())
        for machine in self.machines:
            machine.write_settings()
            await machine.start()
            machine.bootstrap = False
        for instance in self.instances:
            self.run_task(self._check_in(instance))
        return self

    async def __aexit__(self, *_):
        for machine in self.machines:
            if machine.process is not None and machine.process.returncode is None:
                machine.process.kill()
                await machine.process.wait()
        for task in self._tasks:
            task.cancel()
        for instance in self.instances:
            instance.stop()
        self.platform.stop()
        self.network.close()
        if os.environ.get('KEEP'):
            self.record.note(f'logs kept in {self.folder}')
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def run_task(self, coroutine):
        task = asyncio.create_task(coroutine)
        self._tasks.append(task)
        return task

    def entry_address(self, number=0):
        return self.entries[number].host, self.ports['front']

    async def _check_in(self, instance):
        zone = self.zones[instance.service.instances.index(instance) % len(self.zones)]
        while True:
            if instance.is_running:
                instance.sequence += 1
                form = {
                    'service': instance.service.name,
                    'address': instance.address,
                    'zone': zone,
                    'version': 'v1',
                    'capacity': instance.slots,
                    'state': 'draining' if instance.leaving else 'ready',
                    'cold_remaining_ms': 0,
                    'db_role': instance.role,
                    'seq': instance.sequence,
                    'born': instance.born,
                }
                path = f'/api/Instances.Heartbeat/{instance.name}'
                for control in random.sample(self.controls, len(self.controls)):
                    address = f'{control.host}:{self.ports["control"]}'
                    status, _, _ = await http_call(address, 'POST', path, json.dumps(form).encode())
                    if 200 <= status < 300:
                        instance.confirmed_state = form['state']
                        break
            await asyncio.sleep(1.2)

    async def send_config(self, form, limit_s=30.0):
        """Send a config to one control process after the other until it is confirmed or refused."""
        body = json.dumps(form).encode()
        self.record.note(f'operator > Config.Put version {form["version"]}')
        end = now() + limit_s
        for control in itertools.cycle(self.controls):
            if now() > end:
                raise CaseError(f'version {form["version"]} got no confirmation')
            address, path = f'{control.host}:{self.ports["control"]}', '/api/Config.Put'
            for _ in range(3):
                status, headers, answer = await http_call(address, 'POST', path, body)
                if status != 307:
                    break
                _, _, rest = headers['location'].partition('://')
                address, _, path = rest.partition('/')
                path = f'/{path}'
            if status == 200 or status in {400, 409, 412, 413, 422}:
                self.record.note(f'operator < {status} for version {form["version"]}')
                return status
            await asyncio.sleep(0.1)

    async def wait_until_served(self, database, who, number=0, limit_s=30.0):
        """Wait until a read of a database succeeds through an entry."""
        end = now() + limit_s
        while now() < end:
            try:
                async with asyncio.timeout(3):
                    client, opened = await Client.open(
                        self.record, self.entry_address(number), database, who, 'probe'
                    )
                    if opened.complete and not opened.code:
                        _, answer = await client.query('READ probe')
                        client.close()
                        if answer.complete and not answer.code:
                            return
                    else:
                        client.close()
            except (OSError, TimeoutError):
                pass
            await asyncio.sleep(0.2)
        raise CaseError(f'{database} was not served within {limit_s} s')


def read_memory_mb(pid):
    """Return the resident memory of a process in MB (2**20 bytes), or 0 without it."""
    try:
        for line in Path(f'/proc/{pid}/status').read_text().splitlines():
            if line.startswith('VmRSS:'):
                return int(line.split()[1]) / 1024
    except OSError:
        pass
    return 0.0


class MemoryLimit:
    """Does as the platform does: ends a process above ``memory_mb``, and starts it again.

    :ivar ends: number of ends, by machine.
    :ivar peaks: highest resident memory in MB, by machine.
    """

    def __init__(self, deployment, machines, limit_mb):
        self._deployment, self._limit_mb = deployment, limit_mb
        self.ends = {machine.name: 0 for machine in machines}
        self.peaks = {machine.name: 0.0 for machine in machines}
        for machine in machines:
            deployment.run_task(self._watch(machine))

    def judge(self):
        """Apply the rule 'Fault': three ends each on at least two machines, with no impairment."""
        record = self._deployment.record
        for name, count in self.ends.items():
            record.note(f'{name}: {count} ends, peak {self.peaks[name]:.0f} MB')
        often = sorted(name for name, count in self.ends.items() if count >= 3)
        if len(often) >= 2:
            record.broken(
                'Fault',
                f'processes ended by themselves (memory over the limit) three times on '
                f'{", ".join(often)}, with no impairment',
            )

    async def _watch(self, machine):
        while True:
            await asyncio.sleep(0.005)
            if machine.process is None or machine.process.returncode is not None:
                continue
            memory_mb = read_memory_mb(machine.process.pid)
            self.peaks[machine.name] = max(self.peaks[machine.name], memory_mb)
            if memory_mb > self._limit_mb:
                self._deployment.record.note(
                    f'platform: {machine.name} uses {memory_mb:.0f} MB of {self._limit_mb}'
                )
                machine.signal(signal.SIGKILL)
                await machine.wait(5)
                self.ends[machine.name] += 1
                await asyncio.sleep(0.3)
                await machine.start()


def make_config(version, services, routes, tx_idle_ms=3000, **others):
    """Return a config; routes are (host, kind, service, timeout_ms)."""
    return {
        'version': version,
        'routes': [
            {
                'name': f'r-{host}',
                'host': host,
                'path_prefix': '/',
                'route_type': kind,
                'timeout_ms': timeout_ms,
                'target_latency_ms': min(timeout_ms, 1000),
                'priority': 1,
                'service': service,
                'max_attempts': 2,
                'max_staleness_ms': 0 if kind == 'primary' else 1500,
            }
            for host, kind, service, timeout_ms in routes
        ],
        'services': [
            {
                'name': each.name,
                'health_check': '/health',
                'max_conns': each.instances[0].max_conns,
                'protocol': 'h1',
                'tls': False,
                'sync_replicas': each.sync,
            }
            for each in services
        ],
        'limits': {
            'max_header_bytes': 16384,
            'max_body_bytes': 262144,
            'header_timeout_ms': 3000,
            'idle_timeout_ms': 15000,
            'tx_idle_ms': tx_idle_ms,
        },
        **others,
    }


def run_case(coroutine_function):
    """Run a case and exit with 1 if it broke a rule, 0 if not, 2 if it could not run."""
    with_trouble = os.environ.get('TROUBLE', '1') != '0'
    try:
        deployment = asyncio.run(_run_limited(coroutine_function, with_trouble))
    except (CaseError, OSError, TimeoutError) as error:
        sys.stderr.write(f'the case could not run: {error!r}\n')
        sys.exit(NOT_RUN)
    findings = deployment.record.findings
    for rule, text in findings:
        print(f'{rule}: {text}')
    print('rule broken' if findings else 'rule held')
    sys.exit(BROKEN if findings else HELD)


async def _run_limited(coroutine_function, with_trouble):
    async with asyncio.timeout(110):
        return await coroutine_function(with_trouble)
