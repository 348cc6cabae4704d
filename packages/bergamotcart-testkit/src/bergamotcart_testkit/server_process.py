"""HTTP server and shutdown signals of the server processes of this package."""

import asyncio
import signal
from contextlib import AsyncExitStack

from aiohttp import web

from bergamotcart_testkit.addresses import Address


async def serve_http(stack: AsyncExitStack, application: web.Application, address: Address) -> None:
    """Serve an application until the stack is closed."""
    runner = web.AppRunner(application, access_log=None, shutdown_timeout=0.1)
    stack.push_async_callback(runner.cleanup)
    await runner.setup()
    await web.TCPSite(runner, address.host, address.port).start()


async def wait_for_signal() -> None:
    """Wait until the process receives SIGTERM or SIGINT."""
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopped.set)
    await stopped.wait()
