"""When the endpoint list is watched: the first watch, and repeats after failures."""

from __future__ import annotations

from firwalk.policy.interface import Host
from firwalk.policy.policy_config import SMALL_FLEET, PolicyConfig, RandomSource

POLL_GAP_S = 0.1  # between polls, for each node beyond a small fleet
FIRST_POLLS_S = 1.0  # over which the first polls of all nodes are spread
RETRY_S = 0.35
MAX_RETRY_S = 2.0
SILENT_SPREAD_S = 0.7  # over which polls after silence are spread
MAX_DOUBLINGS = 9


class EndpointPolling:
    """Polls no faster than the discovery service can answer all nodes: it answers late polls too."""

    def __init__(self, host: Host, config: PolicyConfig, random: RandomSource, now: float) -> None:
        self.host = host
        self.random = random
        self.misses = 0  # failures in a row
        nodes_beyond = max(config.node_count - SMALL_FLEET, 0)
        self.gap_s = min(nodes_beyond * POLL_GAP_S, config.list_deadline_s / 3)
        if config.must_watch_endpoints:
            spread = min(self.gap_s, FIRST_POLLS_S) / config.node_count
            self._watch_at(now + (config.clock_resolution_s + spread) * config.node_index)

    def _watch_at(self, when: float) -> None:
        self.host.set_timer(when, lambda *_: self.host.watch_endpoints(True), None)

    def record_failure(self, now: float, is_silent: bool) -> None:
        """Set the next poll, with backoff; the service refused the last one, or `is_silent`."""
        refusals = self.misses + (not is_silent)
        self.misses += 1
        backoff = min(RETRY_S * 2.0 ** min(refusals, MAX_DOUBLINGS) + self.gap_s * refusals, MAX_RETRY_S)
        draw = self.random.draw()
        wait = (0.5 + draw) * backoff if refusals else draw * SILENT_SPREAD_S
        self._watch_at(now + wait)
