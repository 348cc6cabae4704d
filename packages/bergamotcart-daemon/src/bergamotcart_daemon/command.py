"""Entry point of ``bergamotcartd``."""

from bergamotcart_daemon.startup import ignore_reloads

__all__ = ('main',)


def main() -> int:
    """Run the command line.

    :returns: exit status; 2 if flags or settings are wrong.
    """
    ignore_reloads()
    # Importing the other modules takes half a second, during which signals may arrive.
    from bergamotcart_daemon.main import main as run

    return run()
