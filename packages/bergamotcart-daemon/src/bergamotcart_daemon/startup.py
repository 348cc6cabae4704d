"""What a process does before it loads the rest of the program."""

import signal

__all__ = ('ignore_reloads',)


def ignore_reloads() -> None:
    """Ignore SIGHUP until the daemon takes it.

    Its default is to end the process. Settings that change meanwhile are read by the start itself.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
