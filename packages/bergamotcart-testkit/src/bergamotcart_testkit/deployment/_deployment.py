"""A running deployment."""

import shutil
import tempfile
import uuid
from contextlib import AsyncExitStack
from functools import partial
from pathlib import Path

import aiohttp
import yaml

from bergamotcart_testkit.addresses import Address
from bergamotcart_testkit.deployment._clients import (
    UNREACHABLE,
    HttpClient,
    RelayClient,
    Reply,
    TargetClient,
    TargetStatus,
)
from bergamotcart_testkit.deployment._layout import Layout
from bergamotcart_testkit.deployment._network import CALLERS
from bergamotcart_testkit.deployment._plan import (
    ADMIN_TOKEN,
    EntryPlan,
    Plan,
    TargetPlan,
    make_plan,
)
from bergamotcart_testkit.deployment._process import ManagedProcess
from bergamotcart_testkit.deployment._waiting import wait_until
from bergamotcart_testkit.relay import Drop, LinkSettings


class Deployment:
    """Starts all processes of a layout and stops them when it is closed.

    Use it as an asynchronous context manager.
    """

    def __init__(
        self,
        layout: Layout,
        seed: int = 0,
        folder: Path | None = None,
        extra_control: tuple[str, ...] = (),
    ) -> None:
        """Plan the processes; nothing is started yet.

        :param seed: seed of the relays.
        :param folder: folder for logs and data; a temporary one is removed at the end.
        :param extra_control: further options of the control processes.
        :raises FileExistsError: if the folder is not empty; its data would contain addresses of an
            earlier run.
        """
        if folder and folder.exists() and any(folder.iterdir()):
            raise FileExistsError(f'deployment folder {folder} is not empty')
        self.layout = layout
        self.seed = seed
        self._owns_folder = folder is None
        self.folder = folder or Path(tempfile.mkdtemp(prefix='bergamotcart-'))
        self.plan: Plan = make_plan(layout, self.folder, extra_control)
        self.relays: dict[str, RelayClient] = {}
        self._exit_stack = AsyncExitStack()
        self._http: HttpClient | None = None
        self._processes: dict[str, ManagedProcess] = {}

    async def __aenter__(self) -> 'Deployment':
        """Start relays and processes, without waiting for them to be ready."""
        async with AsyncExitStack() as stack:
            self._exit_stack = stack
            await self._start_all()
            # All processes are started: from now on ``__aexit__`` stops them.
            self._exit_stack = stack.pop_all()
        return self

    async def __aexit__(self, *exception: object) -> None:
        """Stop all processes, each by its own process identifier."""
        for process in self._processes.values():
            process.resume()
            process.terminate()
        await self._exit_stack.aclose()

    @property
    def http(self) -> HttpClient:
        """Client for the HTTP interfaces."""
        if self._http is None:
            raise RuntimeError('the deployment has no HTTP client before it is started')
        return self._http

    @property
    def group(self) -> str:
        """First group of the layout."""
        return self.layout.groups[0]

    @property
    def processes(self) -> dict[str, ManagedProcess]:
        """All processes by name."""
        return self._processes

    def entry(self, availability_zone: str, number: int = 1) -> EntryPlan:
        """Return an entry of an availability zone."""
        name = f'entry-{availability_zone}-{number}'
        return next(entry for entry in self.plan.entries if entry.name == name)

    def target_plan(self, instance: str) -> TargetPlan:
        """Return the plan of an instance."""
        return next(target for target in self.plan.targets if target.name == instance)

    def target(self, instance: str) -> TargetClient:
        """Return a client of an instance."""
        return TargetClient(self.http, self.target_plan(instance).admin)

    async def wait_until_ready(self, apply_document: bool = True) -> None:
        """Wait until every entry serves and every group has a primary with its replicas.

        :param apply_document: define the groups first.
        """
        if apply_document:
            await self.apply_default_document()
        await wait_until(partial(_all_serving, self), 'all entries serve')
        for group in self.layout.groups:
            await self.wait_for_settled_primary(group)

    async def apply_default_document(self) -> None:
        """Define the groups of the layout, and a policy for a caller whose reads may be 5 s old."""
        groups = {
            group: {'instances': len(self.layout.availability_zones)}
            for group in self.layout.groups
        }
        await self.apply_section('databases', 'groups', {'groups': groups})
        policies = [
            {'name': 'aged', 'callers': ['aged'], 'max_age_s': 5.0},
            {'name': 'default'},
        ]
        await self.apply_section('callers', 'policies', {'policies': policies})

    async def apply_section(
        self, section: str, kind: str, body: object, base_version: int = 0
    ) -> Reply:
        """Apply a section through any control process that answers.

        :returns: the answer that accepts the change.
        """
        change = {
            'section': section,
            'kind': kind,
            'base_version': base_version,
            'change_id': uuid.uuid4().hex,
            'body': yaml.safe_dump(body),
            'dry_run': False,
        }

        description = f'a control process accepts the change of section {section}'
        return await wait_until(partial(self.try_change, change), description)

    async def send_change(self, address: Address, change: dict[str, object]) -> Reply | None:
        """Send a change to one control process; ``None`` means that it did not answer."""
        try:
            return await self.http.post(address, '/v1/changes', change, ADMIN_TOKEN)
        except UNREACHABLE:
            return None

    async def try_change(self, change: dict[str, object]) -> Reply | None:
        """Send a change to one control process after the other until one accepts it."""
        for control in self.plan.controls:
            if control.process.is_answering:
                reply = await self.send_change(control.http, change)
                if reply and reply.is_ok:
                    return reply
        return None

    async def wait_for_settled_primary(self, group: str) -> TargetStatus:
        """Wait until a group has one primary that all its running replicas follow.

        :returns: the status of the primary.
        """
        return await wait_until(
            lambda: self.find_settled_primary(group),
            f'all running replicas of {group} follow one primary',
        )

    async def find_primary(self, group: str) -> TargetStatus | None:
        """Return the primary of the newest term, if any answers."""
        statuses = await _read_statuses(self, group)
        primaries = [status for status in statuses if status.role == 'primary']
        return max(primaries, key=lambda status: status.term, default=None)

    async def find_settled_primary(self, group: str) -> TargetStatus | None:
        """Return the primary if every other instance that answers follows it at its term."""
        statuses = await _read_statuses(self, group)
        primary = await self.find_primary(group)
        if primary is None:
            return None
        others = [status for status in statuses if status.instance != primary.instance]
        all_follow = all(
            status.following == primary.instance and status.log_term == primary.log_term
            for status in others
        )
        return primary if all_follow and others else None

    async def isolate_zone(self, availability_zone: str, drop: Drop = Drop.both) -> None:
        """Drop traffic between an availability zone and the others; callers still reach it."""
        await _change_links(self, availability_zone, LinkSettings(drop=drop))

    async def reconnect_zone(self, availability_zone: str) -> None:
        """Restore the links between an availability zone and the others."""
        settings = self.plan.network.link_settings(availability_zone)
        await _change_links(self, availability_zone, settings)

    def empty_data_folder(self, name: str) -> None:
        """Empty the data folder of a process that does not run."""
        process = self._processes[name]
        if process.is_running:
            raise RuntimeError(f'cannot empty the data folder of {name} while it runs')
        shutil.rmtree(process.data_folder)

    async def is_serving(self, entry: EntryPlan) -> bool:
        """Tell whether an entry reports on ``/health`` that it serves callers."""
        reply = await self.http.try_get(entry.http, '/health')
        return reply is not None and reply.is_ok

    async def _start_all(self) -> None:
        if self._owns_folder:
            self._exit_stack.callback(shutil.rmtree, self.folder, ignore_errors=True)
        session = aiohttp.ClientSession()
        self._http = HttpClient(await self._exit_stack.enter_async_context(session))
        for source in (*self.layout.availability_zones, CALLERS):
            self._start_relay(source)
        for plan in (*self.plan.controls, *self.plan.targets, *self.plan.entries):
            self._start_process(plan.process)

    def _start_process(self, process: ManagedProcess) -> None:
        self._processes[process.name] = process
        self._exit_stack.push_async_callback(process.stop)
        process.start()

    def _start_relay(self, source: str) -> None:
        network = self.plan.network
        address = next(network.free_addresses)
        settings = network.link_settings(source)
        arguments = ['-m', 'bergamotcart_testkit.relay', '--http-listen', str(address)]
        arguments.extend(('--delay', str(settings.delay), '--jitter', str(settings.jitter)))
        arguments.extend(('--seed', str(self.seed)))
        for link in network.links_from(source):
            arguments.extend(('--link', f'{link.name}={link.listen}={link.target}'))
        self.relays[source] = RelayClient(self.http, address)
        name = f'relay-{source}'
        self._start_process(ManagedProcess(name, tuple(arguments), self.folder / name))


async def _change_links(deployment: Deployment, zone: str, settings: LinkSettings) -> None:
    for other in deployment.layout.availability_zones:
        if other != zone:
            await deployment.relays[zone].change(f'{zone}>{other}:*', settings)
            await deployment.relays[other].change(f'{other}>{zone}:*', settings)


async def _read_statuses(deployment: Deployment, group: str) -> list[TargetStatus]:
    targets = [target for target in deployment.plan.targets if target.group == group]
    running = [target.name for target in targets if target.process.is_running]
    statuses = [await deployment.target(name).status() for name in running]
    return [status for status in statuses if status]


async def _all_serving(deployment: Deployment) -> bool:
    for entry in deployment.plan.entries:
        if not await deployment.is_serving(entry):
            return False
    return True
