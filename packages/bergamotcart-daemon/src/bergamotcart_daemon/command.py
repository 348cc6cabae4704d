"""Entry point of the program."""

from bergamotcart_daemon.startup import ignore_reloads

__all__ = ('main',)


def main() -> int:
    """Run the command line.

    :returns: exit status; 2 if flags or settings are wrong.
    """
    ignore_reloads()
    # Loading the rest takes half a second, in which signals may come already.
    from bergamotcart_daemon.main import main as run

    return run()
