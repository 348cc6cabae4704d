"""Command that runs a stand-in target."""

import asyncio
import logging
from contextlib import AsyncExitStack
from pathlib import Path
from types import MappingProxyType
from typing import Final

from aiohttp import ClientSession
from cleo.commands.command import Command
from cleo.helpers import option

from bergamotcart_testkit.addresses import Address
from bergamotcart_testkit.server_process import serve_http, wait_for_signal
from bergamotcart_testkit.target._admin import AdminServer
from bergamotcart_testkit.target._announcements import announce_to_all
from bergamotcart_testkit.target._files import History, LogFile
from bergamotcart_testkit.target._instance import Instance
from bergamotcart_testkit.target._mysql import MysqlListener
from bergamotcart_testkit.target._orders import OrderExecutor
from bergamotcart_testkit.target._replication import Replication
from bergamotcart_testkit.target._settings import TargetSettings, Tuning
from bergamotcart_testkit.target._slots import Slots

_TUNING_OPTIONS: Final = MappingProxyType(
    {
        'slots': 'statements executed at the same time',
        'connections': 'open client connections that are accepted',
        'connect-delay': 'seconds until a new connection receives the greeting',
        'lag': 'replication delay of a replica, in seconds',
        'execution-time': 'minimum duration of a statement, in seconds',
        'lock-wait': 'seconds that a writing transaction waits for another one',
        'idle-transaction': 'seconds until an idle transaction is rolled back',
    }
)
_LOG_FILE: Final = 'log.jsonl'


async def run_target(settings: TargetSettings) -> None:
    """Serve until the process gets SIGTERM or SIGINT."""
    async with AsyncExitStack() as stack:
        folder = settings.data_folder
        log_file = LogFile(folder / _LOG_FILE if folder else None)
        instance = Instance(settings, log_file, History(settings.history_file))
        stack.callback(instance.close)
        http = await stack.enter_async_context(ClientSession())
        replication = Replication(instance, http)
        stack.push_async_callback(replication.stop)
        admin = AdminServer(instance, OrderExecutor(instance, replication))
        await serve_http(stack, admin.application(), settings.admin_listen)
        listener = MysqlListener(instance, Slots(instance.tuning))
        stack.push_async_callback(listener.stop)
        await listener.start()
        announcement_task = asyncio.create_task(announce_to_all(instance, http))
        stack.callback(announcement_task.cancel)
        await wait_for_signal()


class TargetCommand(Command):
    """Runs one instance of a database group."""

    name = 'target'
    description = 'Runs a stand-in target'
    options = [
        option('group', None, 'database group', flag=False),
        option('instance', None, 'name of the instance', flag=False),
        option('availability-zone', None, 'availability zone', flag=False),
        option('mysql-listen', None, 'listening address for MySQL connections', flag=False),
        option('admin-listen', None, 'listening address for orders over HTTP', flag=False),
        option('entry', None, 'HTTP address of an entry', flag=False, multiple=True),
        option(
            'address-translation',
            None,
            'address to connect to instead of an advertised one, as FROM=TO',
            flag=False,
            multiple=True,
        ),
        option('data-folder', None, 'folder that keeps the log', flag=False),
        option(
            'history-file', None, 'file that keeps the history of executed statements', flag=False
        ),
        *(
            option(name, None, text, flag=False, default=getattr(Tuning(), name.replace('-', '_')))
            for name, text in _TUNING_OPTIONS.items()
        ),
    ]

    def handle(self) -> int:
        """Run the target."""
        logging.basicConfig(level=logging.INFO, format='%(asctime)s %(levelname)s %(message)s')
        # mysql_mimic logs every error that is returned to a caller.
        logging.getLogger('mysql_mimic').setLevel(logging.CRITICAL)
        asyncio.run(run_target(self._settings()))
        return 0

    def _settings(self) -> TargetSettings:
        folder = self.option('data-folder')
        history = self.option('history-file')
        return TargetSettings(
            group=self.option('group'),
            instance=self.option('instance'),
            availability_zone=self.option('availability-zone'),
            mysql_listen=Address.parse(self.option('mysql-listen')),
            admin_listen=Address.parse(self.option('admin-listen')),
            entries=tuple(self.option('entry')),
            address_translation=dict(
                pair.split('=', 1) for pair in self.option('address-translation')
            ),
            data_folder=Path(folder) if folder else None,
            history_file=Path(history) if history else None,
            tuning=self._tuning(),
        )

    def _tuning(self) -> Tuning:
        defaults = Tuning()
        values_by_name = {}
        for name in _TUNING_OPTIONS:
            attribute = name.replace('-', '_')
            values_by_name[attribute] = type(getattr(defaults, attribute))(self.option(name))
        return Tuning(**values_by_name)
