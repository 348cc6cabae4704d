"""Command that runs a relay."""

import asyncio
import logging
from contextlib import AsyncExitStack

from cleo.commands.command import Command
from cleo.helpers import option

from bergamotcart_testkit.addresses import Address
from bergamotcart_testkit.relay._relay import Relay
from bergamotcart_testkit.relay._settings import LinkAddress, LinkSettings
from bergamotcart_testkit.server_process import serve_http, wait_for_signal


class RelayCommand(Command):
    """Runs a fault-injecting relay."""

    name = 'relay'
    description = 'Runs a fault-injecting TCP relay'
    options = [
        option('http-listen', None, 'listening address for changes over HTTP', flag=False),
        option('link', None, 'link to add, as NAME=LISTEN=TARGET', flag=False, multiple=True),
        option('delay', None, 'one-way latency in seconds', flag=False, default=0.0),
        option('jitter', None, 'maximum jitter in seconds', flag=False, default=0.0),
        option('seed', None, 'seed of the jitter', flag=False, default=0),
    ]

    def handle(self) -> int:
        """Run the relay."""
        logging.basicConfig(level=logging.INFO, format='%(asctime)s %(levelname)s %(message)s')
        asyncio.run(self._run())
        return 0

    async def _run(self) -> None:
        settings = LinkSettings(
            delay=float(self.option('delay')),
            jitter=float(self.option('jitter')),
        )
        async with AsyncExitStack() as stack:
            relay = await stack.enter_async_context(Relay(settings, int(self.option('seed'))))
            for text in self.option('link'):
                name, listen, target = text.split('=')
                await relay.add(LinkAddress(name=name, listen=listen, target=target))
            listen_address = Address.parse(self.option('http-listen'))
            await serve_http(stack, relay.application(), listen_address)
            await wait_for_signal()
