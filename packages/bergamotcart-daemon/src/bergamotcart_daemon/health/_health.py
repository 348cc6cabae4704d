"""Health of a process, apart from the server that reports it."""

import msgspec


class Health(msgspec.Struct, frozen=True):
    """Answer to ``GET /health``.

    :param serving: whether the platform may route requests to this process.
    :param details: JSON body; its key ``state`` holds the state of the process.
    """

    serving: bool
    details: dict[str, object]
