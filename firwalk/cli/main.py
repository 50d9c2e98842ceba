"""The `firwalk` command: checks files, operates a running fleet and runs tests in the laboratory.

Exit codes: 0 success, 1 a violation or a rejected command, 2 invalid input, 130 interrupted by Ctrl-C.
"""

from __future__ import annotations

import asyncio
import json
import os
import sys
import time
from dataclasses import asdict
from typing import Annotated

import typer
from rich.console import Console
from rich.progress import Progress

app = typer.Typer(
    no_args_is_help=True,
    add_completion=False,
    pretty_exceptions_enable=False,
    help="Operate and test firwalk, a dispatcher that pushes tasks to executors.",
)
lab = typer.Typer(
    no_args_is_help=True, help="Test real processes under faults, or a simulated cluster in virtual time."
)
app.add_typer(lab, name="lab")
zone = typer.Typer(
    no_args_is_help=True, help="Manage zones of a running fleet through any node's management address."
)
app.add_typer(zone, name="zone")
contracts = typer.Typer(no_args_is_help=True, help="Check and inspect budgets of teams across the fleet.")
app.add_typer(contracts, name="contracts")
roll = typer.Typer(
    no_args_is_help=True,
    help="Roll out a release or settings in stages (docs/stages.md).",
)
app.add_typer(roll, name="roll")
ChangeName = Annotated[str, typer.Argument(help="name of the change: NAME.toml in the folder of changes")]
ManagementAddress = Annotated[str, typer.Option("--at", help="management address of a node, HOST:PORT")]
RegionFlag = Annotated[
    bool, typer.Option("--region", help="NAME is a region; the command applies to all of its zones or none")
]
ZoneName = Annotated[str, typer.Argument(help="name of the zone in the settings")]


def _exit_with_errors(lines: list[str]) -> None:
    for line in lines:
        print(f"firwalk: {line}", file=sys.stderr)
    raise typer.Exit(2)


@app.command()
def check(
    file: Annotated[str, typer.Argument(help="operations file (TOML)")],
    config: Annotated[str | None, typer.Option(help="node configuration that the file must match")] = None,
) -> None:
    """Validate an operations file and print each error on a line."""
    from firwalk.config import operations
    from firwalk.config.node_config import error_lines, load

    loaded, errors = operations.load(file)
    if config is not None and loaded is not None:
        try:
            errors = [f"{file}: {line}" for line in operations.find_conflicts(loaded, load(config))]
        except Exception as error:
            errors = [f"{config}: {line}" for line in error_lines(error)]
    if errors:
        _exit_with_errors(errors)
    print(f"{file}: valid")


def _print_answer(at: str, line: str) -> None:
    """Send a command to a node and print the answer; exit with 1 if rejected, with 2 if unreachable."""
    print(_send_command(at, line) or "done")


def _send_command(at: str, line: str) -> str:
    import socket

    try:
        host, _, port = at.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=5.0) as sock:
            sock.sendall(line.encode() + b"\n")
            answer = b"".join(iter(lambda: sock.recv(4096), b"")).decode().strip()
    except (OSError, ValueError) as error:
        _exit_with_errors([f"{at}: {error}"])
    status, _, text = answer.partition(" ")
    if status != "+OK":
        print(f"firwalk: {text or 'no answer'}", file=sys.stderr)
        raise typer.Exit(1)
    return text


@zone.command()
def show(at: ManagementAddress) -> None:
    """Show the state of each zone and where its tasks are served."""
    _print_answer(at, "ZONE SHOW")


@zone.command()
def drain(
    name: ZoneName,
    at: ManagementAddress,
    region: RegionFlag = False,
    dry_run: Annotated[bool, typer.Option("--dry-run", help="show where its traffic would go")] = False,
) -> None:
    """Drain a zone across the fleet if the other zones have capacity for its load."""
    _print_answer(at, f"ZONE {'DRY' if dry_run else 'DRAIN'} {'region ' if region else ''}{name}")


@zone.command()
def restore(name: ZoneName, at: ManagementAddress, region: RegionFlag = False) -> None:
    """Return a drained zone to service gradually."""
    _print_answer(at, f"ZONE RESTORE {'region ' if region else ''}{name}")


def _load_contracts(file: str, config: str | None = None):
    """Load and validate contracts; exit with 2 after printing each error on a line."""
    from firwalk.broker import contracts as contracts_file
    from firwalk.config.node_config import error_lines, load

    loaded, errors = contracts_file.load(file)
    if loaded is not None and config is not None:
        try:
            errors = [
                f"{file}: {line}" for line in contracts_file.find_conflicts(loaded, load(config)["settings"])
            ]
        except Exception as error:
            errors = [f"{config}: {line}" for line in error_lines(error)]
    if errors:
        _exit_with_errors(errors)
    return loaded


@contracts.command("check")
def check_contracts(
    file: Annotated[str, typer.Argument(help="contracts file (TOML)")],
    config: Annotated[str | None, typer.Option(help="node configuration that the file must match")] = None,
) -> None:
    """Validate a contracts file and print each error on a line."""
    loaded = _load_contracts(file, config)
    print(f"{file}: valid, version {loaded.version}, {len(loaded.teams)} teams")


@contracts.command()
def diff(
    old: Annotated[str, typer.Argument(help="current contracts")],
    new: Annotated[str, typer.Argument(help="new contracts")],
) -> None:
    """Show which teams gain or lose budget, one per line."""
    from firwalk.broker.contracts import differences

    before, after = _load_contracts(old), _load_contracts(new)
    for line in differences(before, after) or ["no team gains or loses"]:
        print(line)
    if after.version <= before.version:
        _exit_with_errors(
            [f"{new}: version: {after.version} is not above {before.version}: nodes would ignore it"]
        )


@contracts.command("show")
def show_contracts(at: ManagementAddress) -> None:
    """Show each team's share of budget at a node and what was spent there."""
    _print_answer(at, "BUDGETS")


@roll.command("check")
def check_change(file: Annotated[str, typer.Argument(help="file of the change (TOML)")]) -> None:
    """Validate the file of a change and print each error on a line."""
    from firwalk.config import rollout_file

    change, _, errors = rollout_file.load(file)
    if change is None:
        _exit_with_errors(errors)
    print(f"{file}: valid, {change.kind()} {change.before} to {change.what()}, {len(change.stages)} stages")


@roll.command("start")
def start_change(
    name: ChangeName,
    at: ManagementAddress,
    dry_run: Annotated[
        bool,
        typer.Option(
            "--dry-run", help="show the nodes of each stage and those without a node to compare with"
        ),
    ] = False,
) -> None:
    """Start a rollout, which advances automatically and rolls back if the new version does worse."""
    if not dry_run:
        _print_answer(at, f"ROLL START {name}")
        return
    page = 0
    while (line := _send_command(at, f"ROLL DRY {name} {page}")) != "end":
        print(line)
        page += 1


@roll.command()
def hold(at: ManagementAddress) -> None:
    """Pause the rollout; nodes on the new version stay on it."""
    _print_answer(at, "ROLL HOLD")


@roll.command()
def resume(at: ManagementAddress) -> None:
    """Resume a paused rollout; a stopped one restarts from its first stage."""
    _print_answer(at, "ROLL RESUME")


@roll.command()
def back(at: ManagementAddress) -> None:
    """Roll all nodes back to the previous version and stop the rollout."""
    _print_answer(at, "ROLL BACK")


@roll.command("status")
def change_status(
    at: ManagementAddress,
    watch: Annotated[
        bool, typer.Option("--watch", help="refresh each second until the rollout ends")
    ] = False,
) -> None:
    """Show the stages of the rollout and the metrics of both versions."""
    from rich.live import Live

    from firwalk.cli import picture

    status = picture.read(lambda line: _send_command(at, line))
    console = Console()
    if not watch or picture.is_finished(status):
        console.print(picture.drawn(status))
        return
    with Live(picture.drawn(status), console=console, auto_refresh=False) as live:
        while not picture.is_finished(status):
            time.sleep(1.0)
            status = picture.read(lambda line: _send_command(at, line))
            live.update(picture.drawn(status), refresh=True)


@lab.command("list")
def list_() -> None:
    """List the shipped scenarios."""
    from firwalk.lab import scenario

    for path in sorted(scenario.SHIPPED.glob("*.toml")):
        loaded, errors = scenario.load(str(path))
        print(f"{path.stem}: {loaded.run.description if loaded else 'invalid: ' + errors[0]}")


@lab.command()
def run(
    file: Annotated[str, typer.Argument(help="scenario file (TOML) or the name of a shipped scenario")],
    seed: Annotated[int | None, typer.Option(help="seed that replaces the scenario's")] = None,
    out: Annotated[str | None, typer.Option(help="folder for logs and configurations")] = None,
    json_file: Annotated[
        str | None, typer.Option("--json", help="write the report to this file as JSON")
    ] = None,
) -> None:
    """Run a scenario with real processes, inject its faults and check the results."""
    from firwalk.lab import report, scenario

    loaded, errors = scenario.load(file)
    if loaded is None:
        _exit_with_errors(errors)
    try:
        result = _run_scenario(loaded, seed, out)
    except KeyboardInterrupt:
        print("firwalk: interrupted; nothing is left behind", file=sys.stderr)
        raise typer.Exit(130) from None
    for line in report.lines(result):
        print(line)
    if json_file is not None:
        with open(json_file, "w") as target:
            json.dump(result, target, indent=1)
    raise typer.Exit(0 if report.kept(result) else 1)


def _run_scenario(loaded, seed: int | None, out: str | None) -> dict:
    import uvloop

    from firwalk.lab.rig import PortsInUse, Rig

    console = Console(stderr=True)
    with Progress(console=console, transient=True, disable=not console.is_terminal) as progress:
        bar = progress.add_task("starting", total=loaded.run.seconds)

        def tell(line: str) -> None:
            if console.is_terminal:
                progress.update(bar, completed=float(line.split()[0]), description=line)
            else:
                print(line, file=sys.stderr)

        try:
            with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
                return runner.run(Rig(loaded, seed, out, tell=tell).run())
        except (PortsInUse, OSError, RuntimeError) as error:
            _exit_with_errors([str(error)])


@lab.command()
def seeds(
    file: Annotated[str, typer.Argument(help="scenario file (TOML) or the name of a shipped scenario")],
    count: Annotated[int, typer.Option(min=1, help="number of seeds")] = 20,
    start: Annotated[int, typer.Option(min=0, help="first seed")] = 1,
    at_once: Annotated[int, typer.Option(min=1, help="concurrent runs")] = 2,
    alone: Annotated[
        bool, typer.Option("--alone", help="also run each seed without the cluster and compare")
    ] = False,
    without: Annotated[
        str | None,
        typer.Option(help="also run each seed without the clients of this offering and compare the others"),
    ] = None,
    since: Annotated[float, typer.Option(min=0, help="compare from this second on")] = 0.0,
) -> None:
    """Run a scenario with several seeds and summarise the results."""
    from firwalk.lab import report, scenario, several
    from firwalk.lab.rig import PortsInUse

    loaded, errors = scenario.load(file)
    if loaded is None:
        _exit_with_errors(errors)
    if alone and (loaded.cluster is None or loaded.teams):
        _exit_with_errors([f"{file}: --alone: the scenario has no cluster, or has teams that require one"])
    names = [offering.name for offering in loaded.offerings]
    if without is not None and (without not in names or len(names) < 2 or alone):
        _exit_with_errors(
            [f"{file}: --without: must be one of {', '.join(names)}, not the only one, and without --alone"]
        )
    selected = range(start, start + count)
    try:
        if without is not None:
            reports, others = several.without_offering(loaded, without, selected, at_once)
        else:
            reports, others = (
                several.with_and_without(loaded, selected, at_once)
                if alone
                else (several.runs(loaded, selected, at_once), [])
            )
    except (PortsInUse, OSError, RuntimeError) as error:
        _exit_with_errors([str(error)])
    for line in several.lines(reports, loaded):
        print(line)
    if without is not None:
        for line in several.beside_a_flood(reports, others, since):
            print(line)
    elif others:
        print(several.compared(reports, others))
    raise typer.Exit(0 if all(report.kept(result) for result in [*reports, *others]) else 1)


@lab.command()
def hard(
    kind: Annotated[str, typer.Argument(help="zones or rolls")],
    nodes: Annotated[int, typer.Option(min=6, max=24, help="number of processes")] = 12,
    count: Annotated[int, typer.Option(min=1, help="number of seeds")] = 5,
    start: Annotated[int, typer.Option(min=0, help="first seed")] = 1,
    at_once: Annotated[int, typer.Option(min=1, help="concurrent runs")] = 2,
    case: Annotated[list[str] | None, typer.Option(help="run only this case; may be repeated")] = None,
) -> None:
    """Run the hard cases of zones, each with and without zone control, or a rollout to each version."""
    from firwalk.lab import hard as hard_cases
    from firwalk.lab.rig import PortsInUse

    if kind not in hard_cases.KINDS:
        _exit_with_errors([f"{kind}: {' or '.join(hard_cases.KINDS)} is wanted"])
    known = hard_cases.KINDS[kind][0](nodes)
    unknown = [name for name in case or [] if name not in known]
    if unknown:
        _exit_with_errors([f"case: there is no {unknown[0]}; known are {', '.join(known)}"])
    try:
        passed = hard_cases.played(kind, nodes, range(start, start + count), at_once, case or [], print)
    except (PortsInUse, OSError, RuntimeError) as error:
        _exit_with_errors([str(error)])
    raise typer.Exit(0 if passed else 1)


@lab.command()
def rolls(
    nodes: Annotated[int, typer.Option(min=2, max=2000, help="number of nodes")] = 200,
    count: Annotated[int, typer.Option(min=1, help="number of seeds")] = 10,
    start: Annotated[int, typer.Option(min=0, help="first seed")] = 1,
    kinds: Annotated[str, typer.Option(help="comma-separated kinds of versions, or all")] = "all",
    rate: Annotated[float, typer.Option(min=0.01, help="tasks per second and node")] = 4.0,
    beside: Annotated[
        bool, typer.Option("--beside", help="also roll out without comparison, and to all nodes at once")
    ] = False,
    workers: Annotated[int, typer.Option(min=0, help="number of processes; 0 means one per core")] = 0,
) -> None:
    """Simulate staged rollouts: which are stopped, how soon, and how many tasks a bad version served."""
    from firwalk.lab import rolls as simulation

    selected = list(simulation.KINDS) if kinds == "all" else kinds.split(",")
    unknown = [kind for kind in selected if kind not in simulation.KINDS]
    if unknown:
        _exit_with_errors([f"kinds: unknown kind {unknown[0]}; known are {', '.join(simulation.KINDS)}"])
    results = simulation.many(
        nodes,
        range(start, start + count),
        selected,
        rate,
        workers or len(os.sched_getaffinity(0)),
        simulation.WAYS if beside else simulation.WAYS[:1],
    )
    for line in simulation.lines(results, nodes):
        print(line)
    raise typer.Exit(1 if any(one.breaks for one in results) else 0)


@lab.command()
def cost(
    sizes: Annotated[str, typer.Option(help="comma-separated numbers of nodes")] = "12,40,200,1000",
) -> None:
    """Simulate fleets of several sizes and print datagrams and bytes per second and node."""
    from firwalk.lab import several

    try:
        selected = [int(size) for size in sizes.split(",")]
    except ValueError:
        _exit_with_errors([f"sizes: must be comma-separated integers, not {sizes!r}"])
    for size in selected:
        print(several.cost(size))


@lab.command()
def fleet(
    file: Annotated[str, typer.Argument(help="scenario file (TOML) or the name of a shipped scenario")],
    nodes: Annotated[int, typer.Option(min=1, max=2000, help="number of nodes")] = 40,
    count: Annotated[int, typer.Option(min=1, help="number of seeds")] = 4,
    start: Annotated[int, typer.Option(min=0, help="first seed")] = 1,
    workers: Annotated[int, typer.Option(min=0, help="number of processes; 0 means one per core")] = 0,
    json_file: Annotated[
        str | None, typer.Option("--json", help="write each run to this file as JSON")
    ] = None,
) -> None:
    """Simulate a scenario at fleet size, with and without zone control."""
    import msgspec

    from firwalk.lab import fleets, scenario

    loaded, errors = scenario.load(file)
    if loaded is None:
        _exit_with_errors(errors)
    unsupported = fleets.misfits(loaded)
    if unsupported:
        _exit_with_errors([f"{file}: {line}" for line in unsupported])
    results = fleets.compared(
        loaded, nodes, range(start, start + count), workers or len(os.sched_getaffinity(0))
    )
    for line in fleets.lines(results, nodes):
        print(line)
    if json_file is not None:
        with open(json_file, "wb") as target:
            target.write(msgspec.json.encode(results))
    raise typer.Exit(1 if any(one.breaks for one in results) else 0)


@lab.command()
def soak(
    first: Annotated[int, typer.Option(min=0, help="first seed")] = 1,
    count: Annotated[int, typer.Option(min=1, max=1000, help="number of seeds")] = 6,
    at_once: Annotated[int, typer.Option(min=1, max=8, help="concurrent runs")] = 2,
    keep: Annotated[str | None, typer.Option(help="folder for records, logs and totals.json")] = None,
) -> None:
    """Test real processes under random overlapping faults; print the history of each failing seed."""
    from pathlib import Path

    import uvloop

    from firwalk.lab.soak import runner

    folder = Path(keep) if keep else None
    seeds = list(range(first, first + count))
    try:
        reports = uvloop.run(runner.run_seeds(seeds, at_once, print, folder))
    except KeyboardInterrupt:
        raise typer.Exit(130) from None
    except OSError as error:
        _exit_with_errors([str(error)])
    totals = runner.totals(reports)
    if folder:
        (folder / "totals.json").write_text(json.dumps(totals, indent=1))
    for key in ("faults", "counts", "broken"):
        print(f"{key}: {', '.join(f'{name} {number}' for name, number in totals[key].items()) or 'none'}")
    print(f"{len(seeds)} seeds, {len(totals['failing'])} failing: {totals['failing']}")
    raise typer.Exit(1 if totals["failing"] else 0)


@lab.command()
def scale(
    sizes: Annotated[
        str, typer.Option(help="comma-separated numbers of executors; the first is the baseline")
    ] = "200,1000,3200",
    rate: Annotated[float, typer.Option(min=1, max=500, help="requests per second")] = 40.0,
    seconds: Annotated[float, typer.Option(min=2, max=120)] = 12.0,
    as_json: Annotated[bool, typer.Option("--json")] = False,
) -> None:
    """Measure the resources of one real node with more and more executors at constant traffic."""
    import uvloop

    from firwalk.lab.scale import run

    try:
        counts = [int(size) for size in sizes.split(",")]
    except ValueError:
        _exit_with_errors([f"--sizes: must be comma-separated integers, not {sizes!r}"])
    try:
        results = [uvloop.run(run.measure(count, rate, seconds)) for count in counts]
    except (OSError, TimeoutError) as error:
        _exit_with_errors([str(error)])
    exceeded = [line for other in results[1:] for line in run.exceeded_limits(results[0], other)]
    if as_json:
        print(json.dumps({"needs": [asdict(usage) for usage in results], "broken": exceeded}))
    else:
        for usage in results:
            print(", ".join(f"{name} {value}" for name, value in asdict(usage).items()))
        for line in exceeded:
            print(f"limit exceeded: {line}")
    raise typer.Exit(1 if exceeded else 0)


@lab.command()
def schedules(
    count: Annotated[int, typer.Option(min=1, help="number of schedules")] = 1000,
    start: Annotated[int, typer.Option(min=0, help="first seed")] = 0,
    drift: Annotated[float, typer.Option(min=0, max=0.9, help="actual clock drift")] = 0.01,
    workers: Annotated[int, typer.Option(min=0, help="number of processes; 0 means one per core")] = 0,
) -> None:
    """Simulate random fault schedules; shrink and print one that violates an invariant."""
    from firwalk.lab import schedules as simulation

    failing_seeds, plans_written = [], 0
    for seed, breaks, plans, _ in simulation.many(
        count, start, drift, workers or len(os.sched_getaffinity(0))
    ):
        plans_written += plans
        if breaks:
            failing_seeds.append(seed)
    print(
        f"{count} schedules from seed {start}, drift {drift}: {len(failing_seeds)} with a violation, "
        f"{plans_written} plans written"
    )
    if failing_seeds:
        shrunk = simulation.shrunk(simulation.drawn(min(failing_seeds), drift))
        print(simulation.history(shrunk, simulation.played(shrunk)[0]))
        raise typer.Exit(1)


@lab.command()
def budgets(
    count: Annotated[int, typer.Option(min=1, help="number of schedules")] = 1000,
    start: Annotated[int, typer.Option(min=0, help="first seed")] = 0,
    drift: Annotated[float, typer.Option(min=0, max=0.9, help="clock drift")] = 0.01,
    workers: Annotated[int, typer.Option(min=0, help="number of processes; 0 means one per core")] = 0,
) -> None:
    """Simulate random fault schedules while budgets are divided and spent."""
    from firwalk.lab import purses

    answers, max_leased, first_violations = 0, 0.0, {}
    for seed, result in purses.many(count, start, drift, workers or len(os.sched_getaffinity(0))):
        answers, max_leased = answers + result.parts, max(max_leased, result.most_out)
        first_violations |= {seed: result.breaks[0]} if result.breaks else {}
    print(
        f"{count} schedules from seed {start}, drift {drift}: {len(first_violations)} with a violation, "
        f"{answers} answers acted on, at most {max_leased:.6f} of the leased budget was outstanding"
    )
    for seed in sorted(first_violations)[:3]:
        print(f"seed {seed}: {first_violations[seed]}")
    raise typer.Exit(1 if first_violations else 0)


@lab.command()
def sharing(
    nodes: Annotated[int, typer.Option(min=6, max=400, help="number of nodes")] = 12,
    count: Annotated[int, typer.Option(min=1, help="number of seeds, from 1")] = 3,
) -> None:
    """Compare the usable budget of leased shares, static equal shares and uncoordinated nodes."""
    from firwalk.lab import sharing as simulation

    for line in simulation.lines(nodes, range(1, count + 1)):
        print(line)


@lab.command()
def teams(
    count: Annotated[int, typer.Option(min=1, max=60000, help="number of teams with a contract")] = 10000,
    nodes: Annotated[int, typer.Option(min=3, max=1000, help="number of nodes")] = 200,
    at_each: Annotated[int, typer.Option(min=1, help="number of teams with demand at each node")] = 20,
) -> None:
    """Simulate budgets of many teams and print the datagrams that they need."""
    from firwalk.lab import sharing as simulation

    result = simulation.many_teams(count, nodes, at_each)
    served = sum(tally.spent for tally in result.tallies.values())
    requested = sum(tally.asked for tally in result.tallies.values())
    print(
        f"{count} teams, {nodes} nodes, {at_each} with demand at each: a node sends {result.datagrams:.1f} "
        f"datagrams and {result.bytes_out:.0f} bytes a second, the coordinator {result.coordinator[0]:.0f} "
        f"and {result.coordinator[1]:.0f}; {served / requested:.3f} of the requested work was admitted, "
        f"violations {len(result.breaks)}"
    )


def main() -> None:
    app()


if __name__ == "__main__":
    main()
