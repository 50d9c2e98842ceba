"""Executors that operators have detached for maintenance. Times are seconds on the caller's clock.

An executor stays detached from an operator's DETACH command until the ATTACH command, regardless of the
endpoint list. The policy sees a detached executor as draining.
"""

from __future__ import annotations

from typing import NamedTuple

from firwalk.policy.interface import EndpointState

# Keys of the state that processes of a node exchange.
DETACHED_KEY = "out"
ATTACHED_KEY = "back"


class MaintenanceStateError(ValueError):
    """The maintenance state of another process is malformed."""


class ListedState(NamedTuple):
    """The state and start time of an executor in the endpoint list."""

    state: EndpointState
    started_at: float


class Maintenance:
    """Detached executors by name, and the last listed state of all executors."""

    def __init__(self) -> None:
        self.detached: dict[str, float] = {}  # time of the command
        self.attached: dict[str, float] = {}  # time of the command, if no later start is listed yet
        self.last_listed: dict[str, ListedState] = {}

    def observe(self, name: str, state: EndpointState, started_at: float) -> ListedState:
        """Record the listed state of an executor; return the state to apply to the policy."""
        self.last_listed[name] = ListedState(state, started_at)
        if name in self.detached and state is EndpointState.READY:
            return ListedState(EndpointState.DRAINING, started_at)
        # The executor was restarted while detached: it must begin a slow start even if the list lags behind.
        return ListedState(state, max(started_at, self.attached.get(name, 0.0)))

    def forget(self, name: str) -> None:
        """Forget an executor that is not detached and has left the list."""
        self.last_listed.pop(name, None)
        self.attached.pop(name, None)

    def state(self) -> dict[str, dict[str, float]]:
        """Return the state to hand over to another process of this node."""
        return {DETACHED_KEY: dict(self.detached), ATTACHED_KEY: dict(self.attached)}

    def restore(self, state: object) -> None:
        """Replace the state by that of another process.

        Raise MaintenanceStateError, and change nothing, if it is malformed.
        """
        detached = _read_times(state, DETACHED_KEY)
        attached = _read_times(state, ATTACHED_KEY)
        self.detached = detached
        self.attached = attached

    def knows(self, name: str) -> bool:
        """Return whether the executor is or was listed, or is detached."""
        return name in self.last_listed or name in self.detached

    def detach(self, name: str, now: float) -> None:
        """Detach an executor. Repeated calls have no further effect."""
        self.detached.setdefault(name, now)
        self.attached.pop(name, None)

    def attach(self, name: str, now: float) -> bool:
        """Attach an executor, even if it was detached repeatedly; return False if it was not detached."""
        detached_at = self.detached.pop(name, None)
        if detached_at is None:
            return False
        listed = self.last_listed.get(name)
        if listed is None or listed.started_at <= detached_at:
            self.attached[name] = now
        return True


def _read_times(state: object, key: str) -> dict[str, float]:
    if not isinstance(state, dict):
        raise MaintenanceStateError(f"maintenance state: {state!r:.60} is not an object")
    try:
        return {str(name): float(at) for name, at in state.get(key, {}).items()}
    except (TypeError, ValueError, AttributeError) as error:
        raise MaintenanceStateError(f"maintenance state, {key!r}: {error}") from error
