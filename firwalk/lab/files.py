"""Generates the files of a run: node and agent configuration, operations file, changes and contracts."""

from __future__ import annotations

import os
import shlex
import sys
from pathlib import Path
from typing import Any

import orjson

from firwalk.lab import versions
from firwalk.lab.addresses import Addresses
from firwalk.lab.scenario import Scenario, settings

FLEET_NAME = "lab"
CHANGE_NAME = "c"
# Limit of file descriptors of a node.
MAX_DESCRIPTORS = 512
AGENT_POLL_INTERVAL_S = 0.25
OPERATORS_FILE, FILE_WITHOUT_STAGES, CONTRACTS_FILE = "cluster.toml", "cluster-old.toml", "contracts.toml"


class Files:
    """Writes the files for a scenario into the run's folder."""

    def __init__(self, scenario: Scenario, folder: Path, addresses: Addresses):
        self.scenario, self.folder, self.addresses = scenario, folder, addresses
        self.contracts_version = 0

    def node(self, node: int, known: Any) -> dict[str, Any]:
        """Return the configuration of a node; `known` is its initial list of executors."""
        fleet, addresses = self.scenario.fleet, self.addresses
        tag = {"tag": "s1"} if self.scenario.roll is not None else {}
        return tag | {
            "name": f"n{node}",
            "listen": _host_port(addresses.node(node)),
            "management": addresses.management(node),
            "discovery": _host_port(addresses.discovery(node)),
            "limits": {"memory_mb": fleet.memory_mb, "sockets": MAX_DESCRIPTORS},
            "peer_listen": _host_port(addresses.peer(node)),
            "peers": [_host_port(addresses.peer_relay(node, other)) for other in range(fleet.nodes)],
            "peers_all": _host_port(addresses.broadcast_relay(node)),
            "known": known,
            "settings": settings(self.scenario, node),
        }

    def operators(self) -> Path | None:
        """Write the operations file and the files it refers to; return None without a cluster."""
        cluster = self.scenario.cluster
        if cluster is None:
            return None
        text = (
            f'[fleet]\nname = "{FLEET_NAME}"\n\n[lease]\nvoters = {cluster.voters}\n'
            f"length = {cluster.length}\ndrift = {cluster.drift}\n\n"
            f"[members]\nperiod = {cluster.period}\nanswer = {cluster.answer}\n\n"
            f'[plan]\nreport = {cluster.report}\nhold = {cluster.hold}\n\n[log]\nevents = "all"\n'
            + self._zones()
            + self._budgets()
        )
        path = self.folder / OPERATORS_FILE
        path.write_text(text + self._stages())
        (self.folder / FILE_WITHOUT_STAGES).write_text(text)
        self.new_contracts(1.0)
        return path

    def agent(self, node: int) -> dict[str, Any] | None:
        """Return the configuration of the node's agent, or None if the rig starts the node itself."""
        roll = self.scenario.roll
        if roll is None:
            return None
        config: dict[str, Any] = {
            "config": "config.json",
            "releases": "../releases",
            "folder": "run",
            "every": AGENT_POLL_INTERVAL_S,
            "release": "v1",
            "operations": f"../{OPERATORS_FILE}",
            "management": [self.addresses.management(node, slot) for slot in range(2)],
            "events": True,
            "ready": roll.ready,
            "confirm": roll.confirm,
            "hang": roll.hang,
        }
        if roll.old and node % 2:  # an old release rejects a file with unknown sections
            config |= {"release": "v0", "operations": f"../{FILE_WITHOUT_STAGES}"}
        if roll.check:
            config["check"] = [sys.executable, "-m", "firwalk.lab.check", self.scenario.offerings[0].name]
        return config

    def new_contracts(self, times: float) -> None:
        """Write a new version of the contracts, with the scenario's budgets multiplied by `times`."""
        self.contracts_version += 1
        (self.folder / CONTRACTS_FILE).write_text(self._contracts(self.contracts_version, times))

    def _contracts(self, version: int, times: float) -> str:
        lines = [f"version = {version}"]
        for team in self.scenario.teams:
            lines += [
                "",
                "[[teams]]",
                f'name = "{team.name}"',
                f"budget = {team.budget * times}",
                f"period = {team.period}",
                f"burst = {team.burst}",
                f'beyond = "{team.beyond}"',
            ]
            lines += [f"guaranteed = {team.guaranteed * times}"] if team.guaranteed else []
        return "\n".join([*lines, ""])

    def _budgets(self) -> str:
        if not self.scenario.teams:
            return ""
        length = self.scenario.cluster.part_length
        return f'\n[budgets]\ncontracts = "{CONTRACTS_FILE}"\nlength = {length}\n'

    def _zones(self) -> str:
        cluster = self.scenario.cluster
        regions = [
            f"r{number} = {orjson.dumps(zones).decode()}" for number, zones in enumerate(cluster.regions)
        ]
        head = ["", "[zones]", f"head_room = {cluster.head_room}", "[zones.regions]"]
        return "\n".join([*head, *regions, ""]) if regions else ""

    def _stages(self) -> str:
        """Return the [stages] section; write the change and the releases for it."""
        roll = self.scenario.roll
        if roll is None:
            return ""
        self._releases()
        (self.folder / "changes").mkdir(exist_ok=True)
        subject = 'settings = "s2"\nbefore = "s1"' if roll.settings else 'release = "v2"\nbefore = "v1"'
        if roll.contracts:
            subject = 'contracts = "2"\nbefore = "1"'
            contracts = self._contracts(2, roll.contracts)
            (self.folder / "changes" / "contracts-2.toml").write_text(contracts)
        compare = "".join(f"{word} = {value}\n" for word, value in roll.compare.items())
        stages = orjson.dumps(roll.stages).decode()
        change = f"{subject}\nstages = {stages}\n[compare]\n{compare}"
        (self.folder / "changes" / f"{CHANGE_NAME}.toml").write_text(change)
        return f'\n[stages]\nchanges = "changes"\nsettle = {roll.settle}\nat_once = {roll.at_once}\n'

    def _releases(self) -> None:
        roll, releases = self.scenario.roll, self.folder / "releases"
        harmed = ",".join(map(str, roll.harms)) or "all"
        for name, kind, tree in (("v1", "good", ""), ("v2", roll.new, ""), ("v0", "good", roll.old)):
            (releases / name).mkdir(parents=True, exist_ok=True)
            path = f"PYTHONPATH={shlex.quote(tree)} " if tree else ""
            program = f"{shlex.quote(sys.executable)} -O {shlex.quote(versions.__file__)}"
            run = releases / name / "run"
            run.write_text(f"#!/bin/sh\n{path}exec {program} {kind} {os.getpid()} {harmed}\n")
            run.chmod(0o755)
        (releases / "s2").mkdir(exist_ok=True)
        (releases / "s2" / "settings.json").write_bytes(orjson.dumps(roll.settings))


def _host_port(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
