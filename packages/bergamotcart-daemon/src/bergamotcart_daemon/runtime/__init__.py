"""Daemons of both roles, and what runs them."""

from bergamotcart_daemon.runtime._adapters import (
    CallerFrontend,
    ControlAdapters,
    EntryAdapters,
)
from bergamotcart_daemon.runtime._control import ControlDaemon
from bergamotcart_daemon.runtime._daemon import Daemon, read_clock
from bergamotcart_daemon.runtime._entry import EntryDaemon
from bergamotcart_daemon.runtime._loop import EngineLoop
from bergamotcart_daemon.runtime._process import build_daemon, run_daemon

__all__ = (
    'CallerFrontend',
    'ControlAdapters',
    'ControlDaemon',
    'Daemon',
    'EngineLoop',
    'EntryAdapters',
    'EntryDaemon',
    'build_daemon',
    'read_clock',
    'run_daemon',
)
