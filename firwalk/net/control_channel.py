"""Two processes as one node, while one replaces the other: `docs/in-service.md` tells the order of things.

They talk over a Unix socket in `$TMPDIR`, a JSON object a line, descriptors beside the line that names them.
Nothing is decided here: who accepts follows from one message, who is out is kept by
`firwalk.dispatcher.maintenance`.
"""

from __future__ import annotations

import asyncio
import errno
import os
import socket
import struct
from array import array
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from zlib import crc32

import orjson

from firwalk.net.errors import Pause
from firwalk.net.filters import SO_ATTACH_REUSEPORT_CBPF, always_return
from firwalk.net.opening import SHORT_OF_RESOURCES
from firwalk.net.waiting import readable
from firwalk.observability.log import log_exception, log_external

VERSION = 1
ANSWER_TIME = 2.0  # seconds in which the one before must answer, or it hangs
BUSY_TIME = 5.0  # seconds to wait while it is still handing over to another
AGAIN = 0.1  # seconds between tries meanwhile
PART = 65536  # bytes of a read
MOST_TEXT = 1 << 24  # bytes of a line: the list of a large fleet is one
MOST_FILE = 1 << 20  # bytes of the file
MOST_FILES = 8  # descriptors beside a line
MOST_AT_ONCE = 32  # reads before others have their turn
TOLD_TIME = 0.5  # seconds in which the other process takes over an operator's call


class ChannelClosed(Exception):
    """The other process says nothing that can be understood, or nothing at all."""


class ControlChannel:
    """One connection between the two processes."""

    def __init__(self, sock: socket.socket):
        sock.setblocking(False)
        self.sock, self.text, self.files = sock, b"", deque()
        self.out: deque[tuple[bytes, list[socket.socket]]] = deque()
        self.open, self.writing, self.number = True, False, 0
        self.asked: dict[int, asyncio.Future] = {}
        self.at_once = 0  # reads since others had their turn

    def same_user(self) -> bool:
        _, user, _ = struct.unpack("3i", self.sock.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12))
        return user == os.getuid()

    # -- out ---------------------------------------------------------------------------------------------

    def say(self, about: dict, *files: socket.socket, give: bool = False) -> None:
        """Sends a line, with descriptors beside it; `give`: ours are closed once they are sent. OSError, and
        nothing is sent: there is none left for a copy."""
        about["files"] = len(files)
        self.out.append((orjson.dumps(about) + b"\n", list(files) if give else _copies(files)))
        self._write()

    def _write(self) -> None:
        loop = asyncio.get_running_loop()
        while self.open and self.out:
            data, files = self.out.popleft()
            beside = [(socket.SOL_SOCKET, socket.SCM_RIGHTS, array("i", [f.fileno() for f in files]))]
            try:
                count = self.sock.sendmsg([data], beside if files else [])
            except BlockingIOError:
                self.out.appendleft((data, files))
                break
            except OSError as problem:
                self.out.appendleft((data, files))
                if problem.errno == errno.ETOOMANYREFS:  # the other has yet to take those on their way
                    loop.call_later(AGAIN, self._write)
                    return
                self.open = False
                break
            for file in files:
                file.close()
            if count < len(data):
                self.out.appendleft((data[count:], []))
        if bool(self.open and self.out) != self.writing:
            self.writing = not self.writing
            if self.writing:
                loop.add_writer(self.sock, self._write)
            else:
                loop.remove_writer(self.sock)

    async def ask(self, about: dict) -> bool:
        """Says it and waits until the other says that it is done, or a while; what that one says to it."""
        self.number += 1
        number = self.number
        done = self.asked[number] = asyncio.get_running_loop().create_future()
        try:
            async with asyncio.timeout(TOLD_TIME):
                self.say(about | {"number": number})
                return bool(await done)
        except TimeoutError:
            log_external("the other process of this node does not answer")
            return False
        finally:
            self.asked.pop(number, None)

    # -- in ----------------------------------------------------------------------------------------------

    async def next(self) -> tuple[dict, list[socket.socket]]:
        """The next line and its descriptors; Broken at the end. A read ends behind one line with descriptors:
        were each waited for, a busy loop would take requests over one an iteration, past their deadlines."""
        if b"\n" not in self.text and self.at_once >= MOST_AT_ONCE:
            await asyncio.sleep(0)
            self.at_once = 0
        while b"\n" not in self.text:
            try:
                part, beside, _, _ = self.sock.recvmsg(PART, socket.CMSG_SPACE(4 * MOST_FILES))
                self.at_once += 1
            except BlockingIOError:
                self.at_once = 0
                await readable(self.sock)
                continue
            except OSError as problem:
                raise ChannelClosed(str(problem)) from problem
            for _, kind, data in beside:
                if kind == socket.SCM_RIGHTS:
                    numbers = array("i", data[: len(data) // 4 * 4])
                    self.files.extend(_taken(number) for number in numbers)
            if not part or len(self.text) > MOST_TEXT:
                raise ChannelClosed("it has ended")
            self.text += part
        line, _, self.text = self.text.partition(b"\n")
        try:
            about = orjson.loads(line)
            count = int(about.get("files", 0))
        except (orjson.JSONDecodeError, TypeError, ValueError, AttributeError) as problem:
            raise ChannelClosed(f"it says nonsense: {problem}") from problem
        if count > len(self.files):
            raise ChannelClosed("descriptors are missing")
        return about, [self.files.popleft() for _ in range(count)]

    def close(self) -> None:
        self.open = False
        loop = asyncio.get_running_loop()
        if self.writing:
            loop.remove_writer(self.sock)
        for file in [*self.files, *(f for _, files in self.out for f in files)]:
            file.close()
        self.files.clear()
        self.out.clear()
        for done in self.asked.values():
            if not done.done():
                done.set_result(None)
        self.sock.close()


def _taken(number: int) -> socket.socket:
    """That it does not block is known to the machine, for all who hold it, and not to the new object: a copy
    of that one, made at the next replacement, would make it block, and the loop of each process with it."""
    sock = socket.socket(fileno=number)
    sock.setblocking(False)
    return sock


def _copies(files: tuple[socket.socket, ...]) -> list[socket.socket]:
    copies: list[socket.socket] = []
    try:
        for file in files:
            copies.append(file.dup())
    except OSError:
        for copy in copies:
            copy.close()
        raise
    return copies


class RendezvousSocket:
    """The place in `$TMPDIR` where the next process of this node finds the one before."""

    def __init__(self, folder: str, name: str, listen: str, come: Callable[[ControlChannel], None]):
        self.folder, self.come = Path(folder), come
        stem = f"firwalk-{crc32(f'{name} {listen}'.encode()):08x}"
        self.path, self.file = self.folder / f"{stem}.sock", self.folder / f"{stem}.json"
        self.listener: socket.socket | None = None
        self.accepting: asyncio.Task | None = None

    def _reached(self, act: Callable[[str], None]) -> None:
        """A path longer than a socket's name may be is reached by the folder's descriptor."""
        folder = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            act(f"/proc/self/fd/{folder}/{self.path.name}")
        finally:
            os.close(folder)

    def call(self) -> ControlChannel | None:
        """Reaches the process that accepts now, if there is one."""
        try:
            sock = socket.socket(socket.AF_UNIX)
        except OSError:
            return None
        try:
            self._reached(sock.connect)
            line = ControlChannel(sock)
            if line.same_user():
                return line
        except OSError:
            pass
        sock.close()
        return None

    def listen(self) -> None:
        """From now on the next process finds this one; later, if it cannot be for a moment."""
        problem = self._bind()
        if problem is None or problem.errno in SHORT_OF_RESOURCES:
            self.accepting = asyncio.get_running_loop().create_task(self._listen())
        else:
            log_external(f"no process can take over from this one: {problem}")

    def _bind(self) -> OSError | None:
        """What stands in the way, if something does."""
        sock = None
        try:
            sock = socket.socket(socket.AF_UNIX)
            sock.setblocking(False)
            self.path.unlink(missing_ok=True)
            self._reached(sock.bind)
            sock.listen(8)
        except OSError as problem:
            if sock is not None:
                sock.close()
            return problem
        self.listener = sock
        return None

    async def _listen(self) -> None:
        pause = Pause()
        while self.listener is None:
            await asyncio.sleep(pause.next())
            problem = self._bind()
            if problem is not None and problem.errno not in SHORT_OF_RESOURCES:
                log_external(f"no process can take over from this one: {problem}")
                return
        await self._accept()

    async def _accept(self) -> None:
        while True:
            try:
                await readable(self.listener)
                sock, _ = self.listener.accept()
            except OSError:
                await asyncio.sleep(AGAIN)
                continue
            line = ControlChannel(sock)
            if line.same_user():
                self.come(line)
            else:
                line.close()

    def close(self, unlink: bool = False) -> None:
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        if self.listener is not None:
            if unlink:
                with suppress(OSError):  # one that is left behind answers nobody
                    self.path.unlink(missing_ok=True)
            self.listener.close()
            self.listener = None

    # -- the file ----------------------------------------------------------------------------------------

    def keep(self, about: dict) -> None:
        """Written beside and put in its place whole: a reader finds the old one or the new one."""
        try:
            part = self.file.with_suffix(f".{os.getpid()}")
            part.write_bytes(orjson.dumps(about | {"version": VERSION}))
            part.replace(self.file)
        except OSError as problem:
            log_external(f"who is out cannot be kept: {problem}")

    def kept(self) -> dict:
        """What the file says, or nothing; one that cannot be used costs a line and no more."""
        try:
            if self.file.stat().st_size > MOST_FILE:
                raise ValueError("too long")
            about = orjson.loads(self.file.read_bytes())
            if not isinstance(about, dict) or about.get("version") != VERSION:
                raise ValueError("of another version")
            return about
        except FileNotFoundError:
            return {}
        except (OSError, ValueError) as problem:
            log_external(f"begun without what {self.file.name} keeps: {' '.join(str(problem).split())}")
            return {}


async def connect_to_predecessor(
    meeting: RendezvousSocket,
) -> tuple[ControlChannel | None, dict, list[socket.socket], bool]:
    """Asks the process before for the node: the line to it, its state and descriptors; whether it hangs."""
    loop = asyncio.get_running_loop()
    end = loop.time() + BUSY_TIME
    while (line := meeting.call()) is not None:
        line.say({"hello": VERSION, "takes": ["task"]})
        try:
            async with asyncio.timeout(ANSWER_TIME):
                about, files = await line.next()
        except (TimeoutError, ChannelClosed) as problem:
            line.close()
            if isinstance(problem, TimeoutError):
                return None, {}, [], True
            about = {"busy": True}
        if "state" in about:
            return line, about["state"], files, False
        line.close()
        if loop.time() > end or not about.get("busy"):
            log_external(f"the process before does not hand over: {about.get('why', 'it is busy')}")
            return None, {}, [], True
        await asyncio.sleep(AGAIN)
    return None, {}, [], False


def steer(listener: socket.socket) -> None:
    """All new connections go to the second listener of the group: the first one's process hangs."""
    try:
        always_return(listener, SO_ATTACH_REUSEPORT_CBPF, 1)
    except OSError as problem:
        log_exception("steering new connections", problem)
