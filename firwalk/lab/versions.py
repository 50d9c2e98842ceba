"""Program versions for the rig's staged rollouts: a good one and faulty ones of several kinds.

`python versions.py KIND PID NODES` runs the firwalk found on the path with that defect, on "all" nodes or
only on those listed (`1,3`), so that the defect shows in a later stage. It exits when process PID, the rig,
is gone: agents and nodes outlive an agent that is killed, and must not outlive the rig. It imports nothing of
firwalk but the program itself, so that it can also run an older release.
"""

from __future__ import annotations

import faulthandler
import os
import random
import runpy
import signal
import sys
import threading
import time

RIG_POLL_INTERVAL = 0.3  # Seconds between checks that the rig is alive.
ERROR_SHARE = 0.3  # Share of responses that the version with errors turns into errors.
SLOWDOWN = 1.3  # Factor by which the slow version lengthens responses.
LEAK_BYTES = 2_000_000  # Bytes that the leaking version allocates every 0.1 s.
FAIL_AFTER = 3.0  # Seconds of serving until a version hangs or dies.
CRASH_ONE_IN = 10  # The crashing version fails one start in this many.


def _exit_with_rig(pid: int) -> None:
    """Exit the process once the rig's process is gone."""
    while True:
        time.sleep(RIG_POLL_INTERVAL)
        try:
            os.kill(pid, 0)
        except OSError:
            os._exit(0)


def good() -> None:
    pass


def _intercept_outcomes(change) -> None:
    """Route each outcome through `change(dispatcher, pending, how, again)`; `again(how)` reports it."""
    from firwalk.dispatcher import dispatcher

    real = dispatcher.Dispatcher.report_outcome

    def report(self, pending, number, how, load=None, result=b""):
        change(self, pending, how, lambda how: real(self, pending, number, how, load, result))

    dispatcher.Dispatcher.report_outcome = report


def errors() -> None:
    """Report three in ten completed attempts as errors."""
    from firwalk.policy.interface import Outcome

    chance = random.Random(os.getpid())

    def change(dispatcher, pending, how, again):
        spoilt = how is Outcome.COMPLETED and chance.random() < ERROR_SHARE
        again(Outcome.ERROR if spoilt else how)

    _intercept_outcomes(change)


def slow() -> None:
    """Delay completed attempts by three tenths of their duration."""
    import asyncio

    from firwalk.policy.interface import Outcome

    def change(dispatcher, pending, how, again):
        if how is not Outcome.COMPLETED:
            again(how)
            return
        wait = (dispatcher.clock() - pending.request.attempts[-1].sent_at) * (SLOWDOWN - 1.0)
        asyncio.get_running_loop().call_later(wait, again, how)

    _intercept_outcomes(change)


def wrong() -> None:
    """Report all completed attempts of one request class, the last by name, as errors."""
    from firwalk.policy.interface import Outcome

    def change(dispatcher, pending, how, again):
        mine = pending.labels[0] == max(dispatcher.request_classes)
        again(Outcome.ERROR if mine and how is Outcome.COMPLETED else how)

    _intercept_outcomes(change)


def spoilt() -> None:
    """Corrupt the body of one in four responses, which only a check of results detects."""
    from firwalk.net.client_requests import RequestHandler

    real, count = RequestHandler._answer, [0]

    def answer(self, client, status, body, *rest, **more):
        count[0] += 1
        other = status == 200 and count[0] % 4 == 0
        real(self, client, status, b"nonsense" if other else body, *rest, **more)

    RequestHandler._answer = answer


def crash() -> None:
    """Exit at once in one of ten starts."""
    if random.Random(os.urandom(8)).randrange(CRASH_ONE_IN) == 0:
        os._exit(3)


def no_start() -> None:
    os._exit(3)


def _after_start(act) -> None:
    """Call `act` some seconds after the service begins to accept connections."""
    import asyncio

    from firwalk.net import service

    real = service.Service._accept

    def accept(self):
        real(self)
        asyncio.get_running_loop().call_later(FAIL_AFTER, act)

    service.Service._accept = accept


def dies() -> None:
    _after_start(lambda: os._exit(4))


def hangs() -> None:
    _after_start(lambda: time.sleep(3600.0))


def leak() -> None:
    import asyncio

    from firwalk.net import service

    real, held = service.Service._accept, []

    def more():
        held.append(bytearray(os.urandom(1024) * (LEAK_BYTES // 1024)))
        asyncio.get_running_loop().call_later(0.1, more)

    def accept(self):
        real(self)
        more()

    service.Service._accept = accept


def mute() -> None:
    """Use a protocol version of its own, so that peers and this node ignore each other's datagrams."""
    from firwalk.cluster import messages

    messages.VERSION = 77


def drops_what_is_handed_over() -> None:
    """Exit at the first request handed over by the predecessor process."""
    from firwalk.net import restart_successor

    restart_successor.SuccessorRole._resume_request = lambda self, *about: os._exit(5)


def _node_number() -> str:
    """Return the number of this node, from the name in its configuration."""
    import json

    with open(os.environ["BALANCER_CONFIG"]) as file:
        return json.load(file)["name"].removeprefix("n")


KINDS = {
    act.__name__.replace("_", "-"): act
    for act in (
        good,
        errors,
        slow,
        wrong,
        spoilt,
        crash,
        no_start,
        dies,
        hangs,
        leak,
        mute,
        drops_what_is_handed_over,
    )
}

if __name__ == "__main__":
    kind, rig, nodes = sys.argv[1], int(sys.argv[2]), sys.argv[3]
    faulthandler.register(signal.SIGUSR2)  # Prints stack traces, to debug a hang.
    threading.Thread(target=_exit_with_rig, args=(rig,), daemon=True).start()
    if nodes == "all" or _node_number() in nodes.split(","):
        KINDS[kind]()
    del sys.argv[1:4]
    sys.path.pop(0)  # Drops this script's folder, whose files are not modules of the program.
    runpy.run_module("firwalk", run_name="__main__", alter_sys=True)
