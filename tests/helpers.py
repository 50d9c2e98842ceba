"""A fake host that prints what the node does, a clock, and the comparison with a kept trace."""
import heapq
import os
from pathlib import Path

from firwalk.host import Condition, Effect, Group, Outcome
from firwalk.logic import Node, Offering, Tenant

TRACES = Path(__file__).parent / "traces"


class Fake:
    """Carries out nothing; writes one line for each act and runs the node's timers in order."""

    def __init__(self, **settings):
        self.now, self.lines, self.timers, self.counter, self.called = 0.0, [], [], 0, []
        self.quiet = True  # leave probes out of the trace
        known = dict(own_number=0, nodes=1, zone=0, offerings=[offering()], tenants=[Tenant(10.0)],
                     tick=0.005, most=5, copies=True, may_cancel=True, may_probe=True, longest_advice=2.0,
                     reports="on_probe", tells_start=True, must_ask=False, crossing=0.0, handshake=0.0,
                     beyond_share=1.0, by_work=True, cold_from=0.2, cold_for=10.0, fall_multiple=3.0,
                     fall_window=2.0)
        known.update(settings)
        self.node = Node(self, 7, 0.0, **known)
        self.executors = {}

    def say(self, text):
        self.lines.append(f"{self.now:7.3f} {text}")

    def send(self, task, executor, limit):
        self.say(f"send {task.ref}#{len(task.assignments) - 1} to {executor.ref}")

    def bounce(self, task, wait):
        self.say(f"bounce {task.ref}, come back in {wait:.2f}")

    def abandon(self, task):
        self.say(f"abandon {task.ref}")

    def cancel(self, assignment):
        self.called.append(assignment)
        self.say(f"cancel {assignment.task.ref}#{assignment.number} at {assignment.executor.ref}")

    def probe(self, executor):
        if not self.quiet:
            self.say(f"probe {executor.ref}")

    def close_idle(self, executor):
        self.say(f"close {executor.ref}")

    def set_timer(self, when, act, about):
        self.counter += 1
        heapq.heappush(self.timers, (when, self.counter, act, about))

    def tell_peer(self, peer, content):
        self.say(f"tell {peer}")

    def watch(self, on):
        self.say(f"watch {on}")

    def ask_list(self):
        self.say("ask for the list")

    def note(self, line):
        self.say(f"note {line}")

    # -- what a test lets happen -----------------------------------------------------------------------

    def until(self, when):
        while self.timers and self.timers[0][0] <= when:
            at, _, act, about = heapq.heappop(self.timers)
            self.now = max(self.now, at)
            act(self.now, about)
        self.now = when

    def hear(self, *names, condition=Condition.READY, zone=0, cell=0, came_up=0.0, slots=2):
        for name in names:
            if name not in self.executors:
                self.executors[name] = self.node.new_executor(name, 0, zone, cell)
                self.executors[name].slots = slots
            executor = self.executors[name]
            self.node.heard(self.now, executor, condition, came_up)
        self.node.list_heard()

    def task(self, name, cost=0.1, kind=0, budget=None, again=False):
        budget = budget or self.node.offerings[kind].expiry
        return self.node.task_arrived(self.now, name, kind, 0, budget, cost, 1.0, 0.0, again)

    def start(self, task, number=0):
        self.node.started(self.now, task.assignments[number])

    def end(self, task, how, number=0):
        assignment = task.assignments[number]
        done = how is Outcome.FINISHED or not task.open
        self.say(f"{how.name.lower().replace('_', ' ')} {task.ref}#{number} at {assignment.executor.ref}")
        self.node.ended(self.now, assignment, how, self.now - assignment.sent, done, None)

    def compare(self, name):
        text = "\n".join(self.lines) + "\n"
        path = TRACES / f"{name}.txt"
        if os.environ.get("KEEP_TRACES"):
            path.write_text(text)
        assert text == path.read_text()


def offering(effect=Effect.IDEMPOTENT, group=Group.ALL, due=0.5, expiry=5.0, late=0.0, remembered=3.0):
    return Offering(due, expiry, importance=5.0, late=late, effect=effect, group=group, remembered=remembered,
                    stretch=2.0)
