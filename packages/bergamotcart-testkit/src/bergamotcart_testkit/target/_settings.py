"""Settings of a stand-in target."""

from dataclasses import dataclass, field
from pathlib import Path

from bergamotcart_testkit.addresses import Address


@dataclass(slots=True, kw_only=True)
class Tuning:
    """Limits and delays that can be changed at run time.

    :param slots: statements executed at the same time.
    :param connections: open client connections that are accepted.
    :param connect_delay: seconds until a new connection receives the server's greeting.
    :param lag: replication delay of a replica, in seconds.
    :param execution_time: minimum duration of a statement, in seconds.
    :param lock_wait: seconds that a writing transaction waits for another one.
    :param idle_transaction: seconds without a statement after which an open transaction is rolled
        back; longer than the longest pause that entries allow by default. Without it, an entry
        that is disconnected inside a transaction would block the writes of a group for ever.
    """

    slots: int = 5
    connections: int = 35
    connect_delay: float = 0.01
    lag: float = 0.0
    execution_time: float = 0.001
    lock_wait: float = 5.0
    idle_transaction: float = 6.0


@dataclass(frozen=True, slots=True, kw_only=True)
class TargetSettings:
    """Start-up settings of a stand-in target.

    :param entries: HTTP addresses of the entries to announce itself to.
    :param address_translation: addresses to connect to instead of advertised ones.
    :param data_folder: folder of the log, or ``None`` to start without records after a restart.
    :param history_file: file of the execution history, or ``None`` to write none.
    """

    group: str
    instance: str
    availability_zone: str
    mysql_listen: Address
    admin_listen: Address
    entries: tuple[str, ...] = ()
    address_translation: dict[str, str] = field(default_factory=dict)
    data_folder: Path | None = None
    history_file: Path | None = None
    tuning: Tuning = field(default_factory=Tuning)
