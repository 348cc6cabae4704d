"""The control engine: one member, driven by steps."""

from collections.abc import Iterable

from bergamotcart.control._config import ControlConfig, ControlOutbox, ControlStatus
from bergamotcart.control._events import ControlInput, DurableState
from bergamotcart.control._runtime import Runtime


class ControlEngine:
    """One control member, without I/O and without a clock."""

    __slots__ = ('_config', '_durable', '_runtime')

    def __init__(self, config: ControlConfig, durable: DurableState) -> None:
        """Prepare a member; it starts with the first step, which brings the time.

        :param config: settings.
        :param durable: content of the data folder; a new folder has a new random incarnation.
        """
        self._config = config
        self._durable = durable
        self._runtime: Runtime | None = None

    def step(self, now: float, inbox: Iterable[ControlInput]) -> ControlOutbox:
        """Handle inputs and run all systems.

        :param now: seconds, monotonic.
        :param inbox: inputs in order of arrival.
        :returns: actions in order, and the time of the next step without any input.
        """
        if self._runtime is None:
            self._runtime = Runtime(now, self._config, self._durable)
        return self._runtime.step(now, tuple(inbox))

    def status(self, now: float) -> ControlStatus:
        """Return figures for health checks, metrics and forwarding.

        :param now: seconds.
        """
        if self._runtime is None:
            hard = self._durable.hard
            return ControlStatus(
                leader=None,
                leads=False,
                voter=False,
                term=hard.term,
                commit_index=0,
                revision=0,
            )
        return self._runtime.status(now)
