"""Which executors the operators have taken out. No I/O; times are seconds on the caller's clock.

An executor is out from the call that takes it out to the one call back, whatever the list of executors says
meanwhile. Who is out hears no new task: the decisions are told that it drains.
"""

from __future__ import annotations

from firwalk.policy.interface import EndpointState


class Maintenance:
    def __init__(self) -> None:
        self.detached: dict[str, float] = {}  # by id, since when
        self.last_listed: dict[
            str, tuple[EndpointState, float]
        ] = {}  # what the list said last, and when it came up
        self.attached: dict[str, float] = {}  # called back then, with no later start told yet

    def observe(self, name: str, condition: EndpointState, came_up: float) -> tuple[EndpointState, float]:
        """What the list says, turned into what the decisions may know of it."""
        self.last_listed[name] = condition, came_up
        if name in self.detached and condition is EndpointState.READY:
            return EndpointState.DRAINING, came_up
        # It was restarted while out: a list that is behind must not make a cold one pass for warm.
        return condition, max(came_up, self.attached.get(name, 0.0))

    def state(self) -> dict:
        """What another process of the same node must know."""
        return {"out": dict(self.detached), "back": dict(self.attached)}

    def restore(self, state: dict) -> None:
        """All of it or nothing: ValueError and its like if it is none of ours."""
        self.detached, self.attached = [
            {str(name): float(at) for name, at in state.get(word, {}).items()} for word in ("out", "back")
        ]

    def knows(self, name: str) -> bool:
        return name in self.last_listed or name in self.detached

    def detach(self, name: str, now: float) -> None:
        self.detached.setdefault(name, now)
        self.attached.pop(name, None)

    def attach(self, name: str, now: float) -> bool:
        """False: it was not out. Called out twice, one call back undoes both."""
        since = self.detached.pop(name, None)
        if since is not None and self.last_listed.get(name, (None, 0.0))[1] <= since:
            self.attached[name] = now
        return since is not None
