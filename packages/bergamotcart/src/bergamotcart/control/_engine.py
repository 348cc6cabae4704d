"""Control engine of one member, driven by explicit steps."""

from collections.abc import Iterable

from bergamotcart.control._configuration import (
    ControlConfiguration,
    ControlStatus,
    ControlStepResult,
)
from bergamotcart.control._events import ControlInput, DurableState
from bergamotcart.control._runtime import Runtime


class ControlEngine:
    """State machine of one control member; it performs no I/O and reads no clock."""

    __slots__ = ('_configuration', '_durable', '_runtime')

    def __init__(self, configuration: ControlConfiguration, durable: DurableState) -> None:
        """Create a member that starts with the first step, which gives it the time.

        :param configuration: settings.
        :param durable: content of the data folder; a new folder has a new random incarnation.
        """
        self._configuration = configuration
        self._durable = durable
        self._runtime: Runtime | None = None

    def step(self, now: float, pending_inputs: Iterable[ControlInput]) -> ControlStepResult:
        """Handle inputs and run all systems.

        :param now: monotonic time in seconds.
        :param pending_inputs: inputs in order of arrival.
        :returns: actions to perform in order, and the time at which the next step is due if no
            input arrives before.
        """
        if self._runtime is None:
            self._runtime = Runtime(now, self._configuration, self._durable)
        return self._runtime.step(now, tuple(pending_inputs))

    def status(self, now: float) -> ControlStatus:
        """Return the status for health checks, metrics and the forwarding of requests.

        :param now: monotonic time in seconds.
        """
        if self._runtime is None:
            hard_state = self._durable.hard_state
            return ControlStatus(
                leader=None,
                leads=False,
                voter=False,
                term=hard_state.term,
                commit_index=0,
                revision=0,
            )
        return self._runtime.status(now)
