"""Versions of the program for the rig's changes by stages: the good one, and bad ones of each kind.

`python versions.py KIND PID NODES`: runs the program of the path with that harm (at "all" nodes, or at these
alone, `1,3`: one that shows at a later stage), for as long as the process PID is there: agents and their
nodes outlive an agent that is killed, and must not outlive the rig. It imports the program only, so that an
older one can be run by it.
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

LOOK = 0.3  # seconds between looks for the rig
ERRORS = 0.3  # part of the answers that the version with errors spoils
TIMES = 1.3  # times as long that the slow one takes
LEAK = 2_000_000  # bytes that the leaking one takes each tenth of a second
SERVES = 3.0  # seconds after which one that hangs or dies does so
ONE_OF = 10  # starts of which one crashes


def _leash(pid: int) -> None:
    while True:
        time.sleep(LOOK)
        try:
            os.kill(pid, 0)
        except OSError:
            os._exit(0)


def good() -> None:
    pass


def _outcomes(change) -> None:
    """`change(desk, errand, how, again)` sees each outcome; `again(how)` reports it."""
    from firwalk.dispatcher import dispatcher

    real = dispatcher.Dispatcher.report_outcome

    def report(self, pending, number, how, load=None, result=b""):
        change(self, pending, how, lambda how: real(self, pending, number, how, load, result))

    dispatcher.Dispatcher.report_outcome = report


def errors() -> None:
    """Takes three in ten answers for errors."""
    from firwalk.policy.interface import Outcome

    chance = random.Random(os.getpid())

    def change(dispatcher, pending, how, again):
        spoilt = how is Outcome.COMPLETED and chance.random() < ERRORS
        again(Outcome.ERROR if spoilt else how)

    _outcomes(change)


def slow() -> None:
    """Passes answers on late, by three tenths of what they took."""
    import asyncio

    from firwalk.policy.interface import Outcome

    def change(dispatcher, pending, how, again):
        if how is not Outcome.COMPLETED:
            again(how)
            return
        wait = (dispatcher.clock() - pending.request.attempts[-1].sent_at) * (TIMES - 1.0)
        asyncio.get_running_loop().call_later(wait, again, how)

    _outcomes(change)


def wrong() -> None:
    """Takes all answers to one offering, the last by name, for errors."""
    from firwalk.policy.interface import Outcome

    def change(dispatcher, pending, how, again):
        mine = pending.labels[0] == max(dispatcher.request_classes)
        again(Outcome.ERROR if mine and how is Outcome.COMPLETED else how)

    _outcomes(change)


def spoilt() -> None:
    """Answers one in four tasks with other bytes than the executor's: only a check of results sees that."""
    from firwalk.net.client_requests import RequestHandler

    real, count = RequestHandler._answer, [0]

    def answer(self, client, status, body, *rest, **more):
        count[0] += 1
        other = status == 200 and count[0] % 4 == 0
        real(self, client, status, b"nonsense" if other else body, *rest, **more)

    RequestHandler._answer = answer


def crash() -> None:
    """Crashes in one of ten starts."""
    if random.Random(os.urandom(8)).randrange(ONE_OF) == 0:
        os._exit(3)


def no_start() -> None:
    os._exit(3)


def _later(act) -> None:
    """Some seconds after it began to serve."""
    import asyncio

    from firwalk.net import service

    real = service.Service._accept

    def accept(self):
        real(self)
        asyncio.get_running_loop().call_later(SERVES, act)

    service.Service._accept = accept


def dies() -> None:
    _later(lambda: os._exit(4))


def hangs() -> None:
    _later(lambda: time.sleep(3600.0))


def leak() -> None:
    import asyncio

    from firwalk.net import service

    real, held = service.Service._accept, []

    def more():
        held.append(bytearray(os.urandom(1024) * (LEAK // 1024)))
        asyncio.get_running_loop().call_later(0.1, more)

    def accept(self):
        real(self)
        more()

    service.Service._accept = accept


def mute() -> None:
    """Its datagrams are of a version that nobody reads, and it reads nobody's."""
    from firwalk.cluster import messages

    messages.VERSION = 77


def drops_what_is_handed_over() -> None:
    """Ends at the first task that comes over from the process before."""
    from firwalk.net import restart_successor

    restart_successor.SuccessorRole._resume_request = lambda self, *about: os._exit(5)


def _number() -> str:
    """Of the node, by its configuration's name."""
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
    faulthandler.register(signal.SIGUSR2)  # where it is, for whoever wonders why it hangs
    threading.Thread(target=_leash, args=(rig,), daemon=True).start()
    if nodes == "all" or _number() in nodes.split(","):
        KINDS[kind]()
    del sys.argv[1:4]
    sys.path.pop(0)  # its own folder: what lies there is no module of the program
    runpy.run_module("firwalk", run_name="__main__", alter_sys=True)
