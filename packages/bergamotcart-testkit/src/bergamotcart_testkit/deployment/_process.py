"""Processes of a deployment."""

import asyncio
import ctypes
import os
import signal
import subprocess
import sys
from pathlib import Path
from typing import Final

_STOP_TIMEOUT_S: Final = 5.0
_POLL_INTERVAL_S: Final = 0.02
_PR_SET_PDEATHSIG: Final = 1
_LIBC: Final = ctypes.CDLL(None)


class ManagedProcess:
    """One process, which is signalled only by its own process identifier.

    The kernel kills it when its launcher ends, so that no process outlives the launcher.
    """

    def __init__(self, name: str, arguments: tuple[str, ...], folder: Path) -> None:
        """Prepare a process that is not started yet.

        :param arguments: arguments of the Python interpreter.
        :param folder: folder for its log and its data.
        """
        self.name = name
        self.folder = folder
        self.arguments = arguments
        self.data_folder = folder / 'data'
        self.log_file = folder / 'log.txt'
        self._popen: subprocess.Popen[bytes] | None = None
        self._paused = False

    @property
    def is_running(self) -> bool:
        """Whether the process was started and has not ended."""
        return self._popen is not None and self._popen.poll() is None

    @property
    def is_answering(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.is_running and not self._paused

    @property
    def pid(self) -> int:
        """Identifier of the running process."""
        return self._require_started().pid

    def start(self) -> None:
        """Start the process; its output is appended to its log file."""
        self.data_folder.mkdir(parents=True, exist_ok=True)
        with self.log_file.open('ab') as output:
            self._popen = subprocess.Popen(
                (sys.executable, *self.arguments),
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=subprocess.STDOUT,
                preexec_fn=_kill_with_parent,
            )

    def kill(self) -> None:
        """Kill the process at once."""
        self._signal(signal.SIGKILL)
        self._require_started().wait()

    def terminate(self) -> None:
        """Ask the process to shut down."""
        self._signal(signal.SIGTERM)

    def send_sighup(self) -> None:
        """Send SIGHUP, which tells the process that its settings have changed."""
        self._signal(signal.SIGHUP)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP, which it cannot catch."""
        self._signal(signal.SIGSTOP)
        self._paused = True

    def resume(self) -> None:
        """Continue a paused process."""
        self._signal(signal.SIGCONT)
        self._paused = False

    async def wait(self, timeout_s: float) -> int:
        """Wait until the process has ended.

        :param timeout_s: longest wait, in seconds.
        :returns: the exit status.
        :raises TimeoutError: if the process still runs after that.
        """
        async with asyncio.timeout(timeout_s):
            while self.is_running:
                await asyncio.sleep(_POLL_INTERVAL_S)
        return self._require_started().returncode

    async def stop(self) -> None:
        """Terminate the process, or kill it if it does not end within the time-out."""
        if not self.is_running:
            return
        if self._paused:
            self.resume()
        self.terminate()
        try:
            await self.wait(_STOP_TIMEOUT_S)
        except TimeoutError:
            self.kill()

    def _signal(self, number: signal.Signals) -> None:
        if self.is_running:
            os.kill(self._require_started().pid, number)

    def _require_started(self) -> 'subprocess.Popen[bytes]':
        if self._popen is None:
            raise RuntimeError(f'process {self.name} has not been started')
        return self._popen


def _kill_with_parent() -> None:
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)
