"""Signal set-up that runs before the other modules are imported."""

import signal

__all__ = ('ignore_reloads',)


def ignore_reloads() -> None:
    """Ignore SIGHUP until the daemon installs its handler.

    The default action would end the process. Settings that change in the meantime are read during
    the start.
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
