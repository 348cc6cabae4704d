"""Command-line flags of the daemon."""

from typing import Final

import msgspec

ENVIRONMENT_PREFIX: Final = 'BERGAMOTCART_'
_BOTH: Final = 'both'
_CONTROL: Final = 'control'
_ENTRY: Final = 'entry'


class Flag(msgspec.Struct, frozen=True):
    """One command-line flag; ``roles`` names the roles that accept it."""

    name: str
    roles: str
    help_text: str
    repeatable: bool = False

    @property
    def field(self) -> str:
        """Name of the settings field."""
        return self.name.replace('-', '_')

    @property
    def environment_variable(self) -> str:
        """Name of the environment variable."""
        return f'{ENVIRONMENT_PREFIX}{self.field.upper()}'

    @property
    def description(self) -> str:
        """Complete help text."""
        repeatable = ' Repeatable.' if self.repeatable else ''
        return (
            f'[{self.roles}] {self.help_text}{repeatable} '
            f'(environment: {self.environment_variable})'
        )


FLAGS: Final = (
    Flag('role', _BOTH, 'Role of this process: entry or control.'),
    Flag('name', _BOTH, 'Name of the process, unique in its control domain.'),
    Flag('availability-zone', _BOTH, 'Availability zone of its VM.'),
    Flag('control-domain', _BOTH, 'Control domain, "default" if not given.'),
    Flag('peer-listen', _BOTH, 'Address for messages between processes, host:port.'),
    Flag('http-listen', _BOTH, 'Address for HTTP, host:port.'),
    Flag('peer-advertise', _BOTH, 'Address at which peers connect; --peer-listen by default.'),
    Flag(
        'control-member',
        _BOTH,
        'Initial control member and its inter-process address, NAME=ADDRESS.',
        repeatable=True,
    ),
    Flag(
        'control-zone',
        _CONTROL,
        'Availability zone of an initial control member, NAME=ZONE.',
        repeatable=True,
    ),
    Flag(
        'operator-address',
        _BOTH,
        'HTTP address of a control member, NAME=ADDRESS.',
        repeatable=True,
    ),
    Flag(
        'address-translation',
        _BOTH,
        'Connect to TO wherever a peer or target advertised FROM, FROM=TO.',
        repeatable=True,
    ),
    Flag(
        'announce-to',
        _BOTH,
        'Processes to which targets announce themselves, entry (default) or control.',
    ),
    Flag(
        'target-expiry',
        _BOTH,
        'Age in seconds at which an announcement expires, default 3.',
    ),
    Flag('mysql-listen', _ENTRY, 'Address for callers, host:port.'),
    Flag(
        'session-key',
        _ENTRY,
        'Secret of at least 16 bytes that authenticates session tokens; the same on all entries.',
    ),
    Flag(
        'zone-region',
        _ENTRY,
        'Region of an availability zone, ZONE=REGION; reads prefer targets in the same region.',
        repeatable=True,
    ),
    Flag('data-folder', _CONTROL, 'Folder for durable state.'),
    Flag(
        'found-domain',
        _CONTROL,
        'Whether the control members may form a new control domain, default true.',
    ),
    Flag(
        'tolerated-losses',
        _CONTROL,
        'Control members that may fail at the same time; new members join automatically until '
        'there are enough voters for that. By default, the operator changes the members.',
    ),
    Flag(
        'cross-zone-cost-ms',
        _CONTROL,
        'Milliseconds that a read must save in another availability zone to be sent there, where '
        'the operator document states none; without it, the load alone decides.',
    ),
    Flag('admin-token', _CONTROL, 'Bearer token of the administrator.'),
    Flag('lease-duration', _CONTROL, 'Length of a lease in seconds, default 1.0.'),
    Flag('lease-renewal', _CONTROL, 'Seconds between lease renewals, default 0.25.'),
    Flag(
        'silence-timeout',
        _BOTH,
        'Seconds until a silent target counts as unreachable, default 0.8.',
    ),
    Flag('leader-heartbeat', _CONTROL, 'Seconds between heartbeats of the leader, default 0.1.'),
    Flag('election-timeout-min', _CONTROL, 'Minimum election timeout in seconds, default 0.4.'),
    Flag('election-timeout-max', _CONTROL, 'Maximum election timeout in seconds, default 0.8.'),
    Flag(
        'cap-window',
        _CONTROL,
        'Seconds in which the operations of a capped workspace are counted, default 5.',
    ),
    Flag(
        'cap-overage',
        _CONTROL,
        'Share by which these operations may exceed the cap, default 0.1.',
    ),
    Flag(
        'cap-slack',
        _CONTROL,
        'Number of operations by which they may exceed the cap besides, default 20.',
    ),
    Flag('connect-timeout', _ENTRY, 'Seconds to open a connection to a target, default 0.5.'),
    Flag('statement-timeout', _ENTRY, 'Seconds that a statement may take, default 30.'),
    Flag(
        'drain-notice',
        _ENTRY,
        'Seconds for which a draining entry still accepts new sessions, default 0.',
    ),
    Flag(
        'drain-limit',
        _ENTRY,
        'Seconds after which a draining entry rolls back open transactions; unlimited by default.',
    ),
    Flag(
        'memory-limit-mb',
        _BOTH,
        'Resident memory that the process may use, in MB; unlimited by default.',
    ),
    Flag(
        'descriptor-limit',
        _BOTH,
        'Descriptors that the process may open; unlimited by default.',
    ),
    Flag(
        'message-timeout',
        _BOTH,
        'Seconds for a whole message once its first byte has arrived, default 60.',
    ),
    Flag('answer-timeout', _BOTH, 'Seconds in which a client must take an answer, default 60.'),
    Flag('startup-timeout', _BOTH, 'Seconds in which a caller must log in, default 10.'),
    Flag(
        'max-message-bytes',
        _BOTH,
        'Greatest size of a command of a caller where memory or descriptors are limited, '
        'default and maximum 1048576.',
    ),
    Flag('log-level', _BOTH, 'debug, info, warning or error; default info.'),
)
