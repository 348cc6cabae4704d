"""Services that drive the engines and run a process."""

from bergamotcart_daemon.runtime._control import ControlDaemon
from bergamotcart_daemon.runtime._entry import EntryDaemon
from bergamotcart_daemon.runtime._loop import EngineLoop
from bergamotcart_daemon.runtime._process import run_daemon

__all__ = ('ControlDaemon', 'EngineLoop', 'EntryDaemon', 'run_daemon')
