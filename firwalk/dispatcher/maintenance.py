"""Which executors the operators have taken out. No I/O; times are seconds on the caller's clock.

An executor is out from the call that takes it out to the one call back, whatever the list of executors says
meanwhile. Who is out hears no new task: the decisions are told that it drains.
"""

from __future__ import annotations

from firwalk.policy.interface import Condition


class Maintenance:
    def __init__(self) -> None:
        self.out: dict[str, float] = {}  # by id, since when
        self.listed: dict[str, tuple[Condition, float]] = {}  # what the list said last, and when it came up
        self.back: dict[str, float] = {}  # called back then, with no later start told yet

    def hear(self, name: str, condition: Condition, came_up: float) -> tuple[Condition, float]:
        """What the list says, turned into what the decisions may know of it."""
        self.listed[name] = condition, came_up
        if name in self.out and condition is Condition.READY:
            return Condition.DRAINING, came_up
        # It was restarted while out: a list that is behind must not make a cold one pass for warm.
        return condition, max(came_up, self.back.get(name, 0.0))

    def state(self) -> dict:
        """What another process of the same node must know."""
        return {"out": dict(self.out), "back": dict(self.back)}

    def restore(self, state: dict) -> None:
        """All of it or nothing: ValueError and its like if it is none of ours."""
        self.out, self.back = [
            {str(name): float(at) for name, at in state.get(word, {}).items()} for word in ("out", "back")
        ]

    def knows(self, name: str) -> bool:
        return name in self.listed or name in self.out

    def take_out(self, name: str, now: float) -> None:
        self.out.setdefault(name, now)
        self.back.pop(name, None)

    def call_back(self, name: str, now: float) -> bool:
        """False: it was not out. Called out twice, one call back undoes both."""
        since = self.out.pop(name, None)
        if since is not None and self.listed.get(name, (None, 0.0))[1] <= since:
            self.back[name] = now
        return since is not None
