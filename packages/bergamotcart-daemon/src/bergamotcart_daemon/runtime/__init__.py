"""Process and engine loop shared by both roles."""

from bergamotcart_daemon.runtime._daemon import Daemon, read_clock, read_process_start
from bergamotcart_daemon.runtime._deferred_services import DeferredServices
from bergamotcart_daemon.runtime._engine_loop import EngineLoop
from bergamotcart_daemon.runtime._runner import run_daemon

__all__ = (
    'Daemon',
    'DeferredServices',
    'EngineLoop',
    'read_clock',
    'read_process_start',
    'run_daemon',
)
