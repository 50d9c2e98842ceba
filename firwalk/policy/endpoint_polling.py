"""Scheduling of endpoint list watches: the first one, and retries with backoff after failures."""

from __future__ import annotations

from firwalk.policy.interface import Host
from firwalk.policy.policy_config import SMALL_FLEET, PolicyConfig, RandomSource

STAGGER_PER_NODE_S = 0.1  # Each node beyond `SMALL_FLEET` adds this to the interval between polls.
MAX_FIRST_POLL_SPREAD_S = 1.0  # The first polls of all nodes are spread over at most this interval.
BASE_BACKOFF_S = 0.35
MAX_BACKOFF_S = 2.0
TIMEOUT_JITTER_S = 0.7  # Polls after a timeout are spread over this interval.
MAX_BACKOFF_DOUBLINGS = 9


class EndpointPolling:
    """Limits polls to the rate at which the discovery service can answer all nodes.

    The service also spends time on polls whose node has stopped waiting, so faster polling could keep it
    overloaded.
    """

    def __init__(self, host: Host, config: PolicyConfig, random: RandomSource, now: float) -> None:
        self.host = host
        self.random = random
        self.consecutive_failures = 0
        extra_nodes = max(config.node_count - SMALL_FLEET, 0)
        self.stagger_s = min(extra_nodes * STAGGER_PER_NODE_S, config.list_deadline_s / 3)
        if config.must_watch_endpoints:
            spread = min(self.stagger_s, MAX_FIRST_POLL_SPREAD_S) / config.node_count
            self._watch_at(now + (config.clock_resolution_s + spread) * config.node_index)

    def _watch_at(self, when: float) -> None:
        self.host.set_timer(when, lambda *_: self.host.watch_endpoints(True), None)

    def record_failure(self, now: float, is_timeout: bool) -> None:
        """Schedule the next poll with backoff; `is_timeout`: the last one timed out, else it was refused."""
        backoff_steps = self.consecutive_failures + (not is_timeout)
        self.consecutive_failures += 1
        backoff = min(
            BASE_BACKOFF_S * 2.0 ** min(backoff_steps, MAX_BACKOFF_DOUBLINGS)
            + self.stagger_s * backoff_steps,
            MAX_BACKOFF_S,
        )
        draw = self.random.draw()
        wait = (0.5 + draw) * backoff if backoff_steps else draw * TIMEOUT_JITTER_S
        self._watch_at(now + wait)
