"""Texts outside ASCII: names match however they come, and limits count bytes, not characters.

Guards against the cause of review/9, characters compared with bytes, in the other places that have both.
"""

import asyncio

import pytest
from helpers import OFFERINGS, post
from hypothesis import given
from hypothesis import strategies as st
from test_service import play

from firwalk.agent import host_processes
from firwalk.cluster import messages
from firwalk.cluster.cluster_member import ClusterMember, CommandOutcome
from firwalk.limits.text_size import decode_text, truncate
from firwalk.net import fields
from firwalk.net.management import Management

NAMES = ["são", "größe", "日本", "😀"]
LONG_TEXTS = [name * 100 for name in NAMES]


@given(st.text(max_size=60), st.integers(0, 80))
def test_truncated_text_is_a_beginning_that_fits(text, size):
    part = truncate(text, size)
    assert len(part.encode()) <= size and text.startswith(part)
    if part != text:
        assert len(text[: len(part) + 1].encode()) > size


@pytest.mark.parametrize("name", NAMES)
def test_tenant_in_utf_8_is_the_one_of_the_settings(name):
    _, head = fields.read(b"/read/k", {b"x-request-id": b"r", b"x-tenant": name.encode()})
    assert head.tenant == name
    assert decode_text("são".encode("latin-1")) == "são"


@pytest.mark.parametrize(
    "target, request_class",
    [
        (b"/s%C3%A3o/k", "são"),
        (b"/s%c3%a3o", "são"),
        (b"/%E6%97%A5%E6%9C%AC/k?x=%20", "日本"),
        (b"/read", "read"),
        (b"/read/%C3%A3", "read"),
        (b"/re%61d/k", "read"),
        (b"/re%FFd/k", "re\ufffdd"),
    ],
)
def test_request_class_is_the_first_part_of_the_path_with_its_escapes_read(target, request_class):
    assert fields.read(target, {b"x-request-id": b"r"})[1].request_class == request_class


# Guards against a class of the settings that no request can name: it was answered 404.
def test_request_of_a_class_outside_ascii_is_served():
    async def scenario(world):
        assert await world.ask(post("/relat%C3%B3rio/k", "t")) == (200, b"made of t")

    play(scenario, None, settings={"offerings": [OFFERINGS[0] | {"name": "relatório"}]})


@pytest.mark.parametrize("text", LONG_TEXTS, ids=NAMES)
def test_results_of_commands_fit_into_a_datagram(text):
    sent = []
    member = ClusterMember.__new__(ClusterMember)
    member.host = type("Host", (), {"send": lambda self, node_id, message: sent.append(message)})()
    member._send_result(3, 2**48, CommandOutcome(True, text))
    data = messages.encode(7, 65535, 2**32 - 1, 2**32 - 1, sent[0])
    assert messages.decode(7, data).message == sent[0] and text.startswith(sent[0].text)


@pytest.mark.parametrize("text", LONG_TEXTS, ids=NAMES)
def test_commands_on_rollouts_fit_into_a_datagram(text):
    command = messages.RolloutCommand(
        2**48,
        "failed",
        truncate(text, messages.MAX_ROLLOUT_NAME_BYTES),
        2**32 - 1,
        truncate(text, messages.MAX_REASON_BYTES),
    )
    data = messages.encode(7, 65535, 2**32 - 1, 2**32 - 1, command)
    assert messages.decode(7, data).message == command


class Commands(Management):
    """Commands on zones, without a socket."""

    def __init__(self):
        self.arguments = []
        self.commands, self.commands_with_argument = {}, {"ZONE DRAIN ": self.drain}

    async def drain(self, argument):
        self.arguments.append(argument)
        return "", ""


@pytest.mark.parametrize("name", NAMES)
def test_operators_name_zones_in_utf_8(name):
    commands = Commands()
    asyncio.run(commands._run(f"ZONE DRAIN {name}".encode()))
    assert commands.arguments == [name]


@pytest.mark.parametrize("reason", LONG_TEXTS, ids=NAMES)
def test_agent_reports_a_failure_in_a_line_within_the_limit(reason):
    lines, replies = [], []

    class Processes(host_processes.HostProcesses):
        def __init__(self):
            self.state = type("State", (), {"serving": object()})
            self.supervisor = type("Supervisor", (), {"failure_acknowledged": replies.append})

        async def _call(self, serving, line, timeout_s):
            lines.append(line)
            return "+OK"

    asyncio.run(Processes()._report(7, reason))
    assert replies == [7] and len(lines[0].encode()) <= 256
