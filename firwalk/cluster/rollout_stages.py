"""Selects the nodes of each stage and batch of a rollout."""

from __future__ import annotations

from math import ceil

from firwalk.cluster.node_id_ranges import encode_ranges

StageSpec = str | int | float | list[int]  # An entry of `stages` in a rollout file.


class UnknownStageTarget(Exception):
    """Raised when a stage names a zone or a node that does not exist."""


def node_order(zone_of: dict[int, int], voters: list[int]) -> tuple[list[int], list[int]]:
    """Return the nodes in rollout order, and one control node of each zone, which follow at the end.

    The order alternates between the zones; within a zone, acceptors of the lease come last.
    """
    zones: dict[int, list[int]] = {}
    for node_id in sorted(zone_of, key=lambda node_id: (node_id in voters, node_id)):
        zones.setdefault(zone_of[node_id], []).append(node_id)
    # Largest zones first: there the first node is compared with the most nodes.
    queues = sorted(zones.values(), key=lambda node_ids: (-len(node_ids), node_ids[0]))
    controls = [node_ids.pop() for node_ids in queues]
    order: list[int] = []
    for place in range(max(map(len, queues), default=0)):
        order += [node_ids[place] for node_ids in queues if place < len(node_ids)]
    return order, controls


def stage_nodes(
    stages: list[StageSpec], zone_of: dict[int, int], voters: list[int], zone_names: tuple[str, ...]
) -> list[list[int]]:
    """Return the nodes of each stage, including those of earlier stages; empty stages are left out.

    Raises `UnknownStageTarget`.
    """
    order, controls = node_order(zone_of, voters)
    selected: list[list[int]] = []
    previous: list[int] = []
    for stage in stages:
        targets = _targets(stage, order, zone_of, zone_names)
        added = [node_id for node_id in targets if node_id not in previous]
        if added:
            previous = previous + added
            selected.append(list(previous))
    last = [node_id for node_id in controls if node_id not in previous]
    return [*selected, previous + last] if last else selected


def _targets(
    stage: StageSpec, order: list[int], zone_of: dict[int, int], zone_names: tuple[str, ...]
) -> list[int]:
    if stage == "all":
        return order
    if stage == "one":
        return order[:1]
    if stage == "zone":
        return [node_id for node_id in order if zone_of[node_id] == zone_of[order[0]]] if order else []
    if isinstance(stage, str):
        return _nodes_of_zone(stage.removeprefix("zone:"), order, zone_of, zone_names)
    if isinstance(stage, list):
        unknown = [node_id for node_id in stage if node_id not in zone_of]
        if unknown:
            raise UnknownStageTarget(f"there is no seat {encode_ranges(unknown)}")
        return stage
    count = ceil(stage * len(zone_of)) if isinstance(stage, float) else stage
    return order[:count]


def _nodes_of_zone(
    name: str, order: list[int], zone_of: dict[int, int], zone_names: tuple[str, ...]
) -> list[int]:
    if name not in zone_names:
        raise UnknownStageTarget(f"there is no zone {name}")
    return [node_id for node_id in order if zone_of[node_id] == zone_names.index(name)]


def choose_batch(
    remaining: list[int], up: list[int], max_ratio: float, zone_of: dict[int, int], voters: list[int]
) -> list[int]:
    """Return the next nodes of `remaining` that change their version together.

    They are nodes of one zone: at most `max_ratio` of its nodes that are up, and at most one acceptor of the
    lease. A node that is alone in its zone is skipped, unless all zones have one node or `max_ratio` is 1.
    """
    has_shared_zones = len(set(zone_of.values())) < len(zone_of)
    for node_id in remaining:
        zone = zone_of[node_id]
        peers = [other for other in up if zone_of[other] == zone]
        if max_ratio < 1.0 and len(peers) < 2 and has_shared_zones:
            continue
        max_nodes = max(int(max_ratio * len(peers)), 1)
        return _fill_batch([other for other in remaining if zone_of[other] == zone], max_nodes, voters)
    return []


def _fill_batch(candidates: list[int], max_nodes: int, voters: list[int]) -> list[int]:
    batch: list[int] = []
    has_voter = False
    for node_id in candidates:
        is_voter = node_id in voters
        if len(batch) < max_nodes and not (is_voter and has_voter):
            batch.append(node_id)
            has_voter = has_voter or is_voter
    return batch
