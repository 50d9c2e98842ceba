"""Records of the membership protocol: members as one node sees them, pending probes and suspicions."""

from __future__ import annotations

from typing import NamedTuple

from firwalk.cluster.host import State
from firwalk.cluster.messages import MembershipUpdate


class Member:
    """One member as this node sees it."""

    def __init__(self, node_id: int) -> None:
        self.node_id = node_id
        self.state = State.DOWN
        self.incarnation = 0
        self.generation = 0
        self.is_known = False  # True once anything was received from or about the member.
        self.suspected_at = 0.0
        self.suspecters: dict[int, None] = {}  # Node ids that suspect the member, in order of arrival.

    def to_update(self) -> MembershipUpdate:
        """Return what this node knows of the member, as an update for other nodes."""
        return MembershipUpdate(self.node_id, self.incarnation, self.generation, int(self.state))


class Requester(NamedTuple):
    """The node on whose behalf a member is pinged, and the number of that node's probe."""

    node_id: int
    probe_number: int


class Probe:
    """A ping of a member, pending until its period is over; `requester`: None for a probe of this node."""

    def __init__(self, number: int, member: Member, requester: Requester | None) -> None:
        self.number = number
        self.member = member
        self.requester = requester
        self.is_answered = False
        self.helper_count = 0
        self.nack_count = 0


class Suspicion(NamedTuple):
    """A suspicion of a member, which the member refutes with a higher incarnation."""

    member: Member
    incarnation: int
