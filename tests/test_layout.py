"""No circle of imports, also not of those for types alone; nothing that serves imports the laboratory."""

import ast
import gc
from pathlib import Path

ROOT = Path(__file__).parents[1]


def parse(path):
    """The tree of a module. A collection meanwhile may run a finalizer that parses as well, which CPython
    before 3.12.2 takes for a fault of its own (gh-106905)."""
    gc.disable()
    try:
        return ast.parse(path.read_text())
    finally:
        gc.enable()


def imports(path):
    """What a module imports of this project, wherever it says so; not inside functions, for types too."""
    found = {}
    for node in ast.walk(parse(path)):
        if isinstance(node, ast.ImportFrom) and node.module and node.module.startswith("firwalk"):
            for name in node.names:
                inner = ROOT / (node.module.replace(".", "/") + f"/{name.name}.py")
                found[f"{node.module}.{name.name}" if inner.exists() else node.module] = None
        elif isinstance(node, ast.Import):
            found |= {name.name: None for name in node.names if name.name.startswith("firwalk")}
    return list(found)


def graph(root=ROOT / "firwalk"):
    named = {}
    for path in root.rglob("*.py"):
        name = ".".join(path.relative_to(root.parent).with_suffix("").parts).removesuffix(".__init__")
        named[name] = imports(path)
    return named


def circles(named):
    """Modules that come back to themselves."""
    found, done = [], {}

    def walk(name, way):
        if name in way:
            found.append([*way[way.index(name) :], name])
        elif name not in done:
            for other in named.get(name, []):
                walk(other, [*way, name])
            done[name] = None

    for name in named:
        walk(name, [])
    return found


def test_there_is_no_circle_of_imports():
    named = graph()
    assert len(named) > 30 and circles(named) == []


def test_a_circle_would_be_found():
    assert circles({"a": ["b"], "b": ["c"], "c": ["a"]}) == [["a", "b", "c", "a"]]


def test_what_serves_imports_neither_laboratory_nor_command_line():
    for name, others in graph().items():
        if not name.startswith(("firwalk.lab", "firwalk.cli")):
            assert not [o for o in others if o.startswith(("firwalk.lab", "firwalk.cli"))], name
        if name.startswith("firwalk.cluster"):
            assert not [o for o in others if o.startswith(("firwalk.net", "firwalk.dispatcher"))], name
