"""Failures of accept: of one connection, which delay nobody, and such that last."""

import asyncio
import errno
import os
import socket
import time

import pytest
from test_endings import some_clients

from firwalk.net.errors import MAX_DELAY_S, Backoff


class Listener:
    """A listener whose next calls of accept fail."""

    def __init__(self, numbers):
        self.sock, self.numbers = socket.create_server(("127.0.0.1", 0), backlog=256), list(numbers)
        self.sock.setblocking(False)

    def fileno(self):
        return self.sock.fileno()

    def accept(self):
        if self.numbers:
            number = self.numbers.pop(0)
            raise OSError(number, os.strerror(number))
        return self.sock.accept()


def seconds_until_accepted(numbers):
    async def run():
        clients, listener = some_clients(), Listener(numbers)
        theirs = socket.create_connection(listener.sock.getsockname())
        began = time.monotonic()
        accepting = asyncio.ensure_future(clients.accept(listener))
        while not clients.open:
            await asyncio.sleep(0.001)
            assert time.monotonic() < began + 5.0
        took = time.monotonic() - began
        accepting.cancel()
        theirs.close()
        listener.sock.close()
        return took

    return asyncio.run(run())


@pytest.mark.parametrize("number", [errno.ECONNABORTED, errno.EINTR, errno.EPROTO, errno.ENETUNREACH])
def test_connections_that_fail_at_their_accept_delay_nobody_behind_them(number):
    """Each cost 50 ms: with a hundred clients that came at once the last waited for a second."""
    assert seconds_until_accepted([number] * 10) < 0.1


@pytest.mark.parametrize("number", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_moment_without_descriptors_delays_clients_by_milliseconds(number):
    assert seconds_until_accepted([number]) < 0.03


def test_a_failure_that_lasts_is_not_tried_without_a_pause():
    pause = Backoff()
    waits = [pause.next_delay_s() for _ in range(20)]
    assert waits[0] < 0.005 and waits[-1] == MAX_DELAY_S and waits == sorted(waits)
    pause.reset()
    assert pause.next_delay_s() == waits[0]
