"""The lease message by message, and as a state machine whose network and clocks hypothesis drives."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from firwalk.cluster import messages as m
from firwalk.cluster.lease import Acceptor, Proposer
from firwalk.cluster.random_source import RandomSource

LENGTH, DRIFT = 2.0, 0.01


class Box:
    """A host that keeps what it is told to send."""

    def __init__(self):
        self.sent, self.events, self.timers = [], [], []

    def tell(self, seat, message):
        self.sent.append((seat, message))

    def set_timer(self, when, act, about):
        self.timers.append((when, act, about))

    def event(self, what, **about):
        self.events.append((what, about))


def voter(generation=5, started=-10.0):
    box = Box()
    return Acceptor(box, generation, started, lease_s=LENGTH, drift=DRIFT), box


def test_a_voter_grants_nothing_until_what_it_may_have_granted_is_over():
    one, box = voter(started=0.0)
    one.on_prepare(2.0, 1, (1, 1, 1))
    assert isinstance(box.sent[-1][1], m.Refuse)
    one.on_prepare(2.05, 1, (2, 1, 1))
    assert box.sent[-1][1] == m.Promise((2, 1, 1), None)


def test_a_promise_of_a_life_before_counts_for_nothing():
    one, box = voter(generation=5)
    one.on_prepare(0.0, 1, (3, 1, 1))
    again, box = voter(generation=6)
    again.on_propose(0.0, 1, m.Propose((3, 1, 1), 2000, 5))
    assert isinstance(box.sent[-1][1], m.Refuse) and again.lease_holder(0.1) is None


def test_a_doubled_proposal_prolongs_nothing():
    one, box = voter()
    one.on_prepare(0.0, 1, (3, 1, 1))
    for at in (0.1, 1.0):
        one.on_propose(at, 1, m.Propose((3, 1, 1), 2000, 5))
    assert one.lease_holder(2.05) == (3, 1, 1) and one.lease_holder(2.11) is None


def test_a_longer_lease_than_its_own_is_refused():
    one, box = voter()
    one.on_prepare(0.0, 1, (3, 1, 1))
    one.on_propose(0.0, 1, m.Propose((3, 1, 1), 2001, 5))
    assert one.lease_holder(0.1) is None


def test_a_late_release_ends_no_later_lease():
    one, _ = voter()
    for ballot in ((3, 1, 1), (4, 2, 2)):
        one.on_prepare(0.0, 1, ballot)
        one.on_propose(0.0, 1, m.Propose(ballot, 2000, 5))
    one.on_release(0.1, (3, 1, 1))
    assert one.lease_holder(0.2) == (4, 2, 2)
    one.on_release(0.3, (4, 2, 2))
    assert one.lease_holder(0.4) is None


def test_the_holder_is_over_before_any_voter_could_be():
    one, _ = voter()
    box = Box()
    candidate = Proposer(box, 0, 9, [0], one, RandomSource(1), lease_s=LENGTH, drift=DRIFT)
    candidate._start_round(100.0)
    candidate.on_promise(100.5, 0, 5, m.Promise(candidate.ballot))
    candidate.on_accept(101.0, 0, m.Accept(candidate.ballot))
    assert candidate.is_holder(102.4) and not candidate.is_holder(100.5 + LENGTH * 0.99 / 1.01)


class Leases(RuleBasedStateMachine):
    """Three seats; hypothesis delivers, drops and doubles datagrams, moves the clocks, restarts seats."""

    def __init__(self):
        super().__init__()
        self.now, self.generations, self.net = 0.0, 0, []
        self.seats, self.claims = [None] * 3, {}
        for number in range(3):
            self._begin(number, -10.0)

    def _begin(self, number, started):
        self.generations += 1
        box, generation = Box(), self.generations
        one = Acceptor(box, generation, started, lease_s=LENGTH, drift=DRIFT)
        candidate = Proposer(
            box, number, generation, [0, 1, 2], one, RandomSource(generation), lease_s=LENGTH, drift=DRIFT
        )
        self.seats[number] = (box, one, candidate, generation)
        self.claims.pop(number, None)

    def _collect(self):
        for number, (box, _, candidate, generation) in enumerate(self.seats):
            self.net += [(number, generation, to, message) for to, message in box.sent]
            box.sent.clear()
            self.claims[number] = candidate.held_until

    @rule(number=st.integers(0, 2))
    def tries(self, number):
        self.seats[number][2]._start_round(self.now)
        self._collect()

    @rule(which=st.integers(0, 10**6), keep=st.booleans())
    def arrives(self, which, keep):
        if not self.net:
            return
        at = which % len(self.net)
        sender, generation, to, message = self.net[at] if keep else self.net.pop(at)
        _, one, candidate, _ = self.seats[to]
        if isinstance(message, m.Prepare):
            one.on_prepare(self.now, sender, message.ballot)
        elif isinstance(message, m.Propose):
            one.on_propose(self.now, sender, message)
        elif isinstance(message, m.Promise):
            candidate.on_promise(self.now, sender, generation, message)
        elif isinstance(message, m.Accept):
            candidate.on_accept(self.now, sender, message)
        elif isinstance(message, m.Refuse):
            candidate.on_refuse(self.now, message)
        self._collect()

    @rule()
    def all_arrive(self):
        for _ in range(4 * len(self.net)):
            self.arrives(0, False)

    @rule(by=st.sampled_from((0.1, 0.5, 1.0, 1.9, 2.1)))
    def time_goes_on(self, by):
        self.now += by

    @rule(number=st.integers(0, 2))
    def restarts(self, number):
        self._begin(number, self.now)

    @invariant()
    def one_holds_at_most(self):
        assert sum(until > self.now for until in self.claims.values()) <= 1


TestLeases = Leases.TestCase
TestLeases.settings = settings(max_examples=120, stateful_step_count=60, deadline=None, derandomize=True)
