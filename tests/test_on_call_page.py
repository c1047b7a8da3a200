"""docs/on-call.md lists exactly the log events, metrics, counter kinds and status fields of the code.

The names in the code are read from its syntax trees, those on the page from the first column of its tables.
A commit that adds, renames or removes a name has to change the page too: operators rely on it.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "on-call.md"
NOT_OPERATED = {"emulator", "scenarios", "standins", "traces"}  # run in tests; operators do not see them

LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}
LOGGERS = {"log", "_log", "logger", "_logger"}
COUNTERS = {"counts", "_counts"}  # maps from kind and name to a count
COUNT_CALLS = {"count", "_count"}  # callbacks with the arguments kind and name
GAUGE_TYPES = {"Gauge", "Histogram", "Summary"}
METRIC_FAMILY = "MetricFamily"
COUNTER_SUFFIX = "_total"  # added to counters by the exposition format

FORWARDS = {  # modules with a function that forwards the literal event of its callers
    "martenlead/cli/edge.py",
}


@dataclass(frozen=True)
class Module:
    """The syntax tree of a file of the program; `name` is its path from the root."""

    name: str
    tree: ast.Module


def read_program() -> list[Module]:
    """All modules of the program that operators run."""
    paths = sorted((ROOT / "martenlead").rglob("*.py"))
    return [
        Module(path.relative_to(ROOT).as_posix(), ast.parse(path.read_text()))
        for path in paths
        if path.relative_to(ROOT / "martenlead").parts[0] not in NOT_OPERATED
    ]


def parse_module(source: str, name: str = "martenlead/edge/example.py") -> Module:
    return Module(name, ast.parse(source))


# -- names in the code


def walk_with_functions(
    tree: ast.AST, functions: tuple[ast.AST, ...] = ()
) -> Iterator[tuple[ast.AST, tuple[ast.AST, ...]]]:
    """Each node with its enclosing functions and loops, the innermost last."""
    for node in ast.iter_child_nodes(tree):
        yield node, functions
        is_scope = isinstance(node, (ast.FunctionDef, ast.AsyncFunctionDef, ast.Lambda, ast.For))
        yield from walk_with_functions(node, (*functions, node) if is_scope else functions)


def last_name(node: ast.expr) -> str:
    """`c` of `a.b.c`, and of `c`."""
    match node:
        case ast.Attribute(attr=name) | ast.Name(id=name):
            return name
    return ""


def is_logger(node: ast.expr) -> bool:
    """Whether this is a structlog logger: one stored under a usual name, or a new one."""
    match node:
        case ast.Call(func=ast.Attribute(value=value, attr="bind")):
            return is_logger(value)
        case ast.Call(func=function):
            return last_name(function) == "get_logger"
    return last_name(node) in LOGGERS


def texts_of(node: ast.expr, scopes: tuple[ast.AST, ...]) -> set[str] | None:
    """The possible literal values of an expression; None if they cannot be determined."""
    match node:
        case ast.Constant(value=str(text)):
            return {text}
        case ast.IfExp(body=body, orelse=other):
            first, second = texts_of(body, scopes), texts_of(other, scopes)
            return None if first is None or second is None else first | second
        case ast.Name(id=name):
            return texts_assigned(name, scopes)
    return None


def texts_assigned(name: str, scopes: tuple[ast.AST, ...]) -> set[str] | None:
    """The literal values of a variable, from the innermost function, loop or module that assigns it."""
    for scope in reversed(scopes):
        if isinstance(scope, ast.For):
            if name in loop_variables(scope):
                return texts_looped_over(scope.iter, scopes)
            continue
        nodes = scope.body if isinstance(scope, ast.Module) else ast.walk(scope)
        values = [
            node.value
            for node in nodes
            if isinstance(node, ast.Assign)
            and any(isinstance(t, ast.Name) and t.id == name for t in node.targets)
        ]
        if values:
            return texts_of_all(values)
    return None


def loop_variables(loop: ast.For) -> list[str]:
    """The variable of a loop; the first of two, which is the key of an item."""
    target = loop.target.elts[0] if isinstance(loop.target, ast.Tuple) else loop.target
    return [target.id] if isinstance(target, ast.Name) else []


def texts_looped_over(node: ast.expr, scopes: tuple[ast.AST, ...]) -> set[str] | None:
    """The elements of a literal sequence, or the keys of the map that a function of the module returns."""
    match node:
        case ast.Tuple(elts=elements) | ast.List(elts=elements):
            return texts_of_all(elements)
        case ast.Call(func=ast.Attribute(value=ast.Call(func=ast.Name(id=function)), attr="items")):
            for definition in ast.iter_child_nodes(scopes[0]):
                if isinstance(definition, ast.FunctionDef) and definition.name == function:
                    return returned_keys(definition) or None
    return None


def texts_of_all(nodes: list[ast.expr]) -> set[str] | None:
    """The possible literal values of all expressions; None if those of one cannot be determined."""
    found = [texts_of(node, ()) for node in nodes]
    return None if None in found else set().union(*(texts for texts in found if texts))


@dataclass
class Found:
    """The names found, and the places where a name cannot be determined."""

    names: set[str]
    undetermined: list[str]

    def add(self, module: Module, node: ast.expr, texts: set[str] | None) -> None:
        """Adds the names of an expression, or its place if `texts` is None."""
        if texts is None:
            self.undetermined.append(f"{module.name}:{node.lineno}: {ast.unparse(node)}")
        else:
            self.names |= texts


def log_events(modules: list[Module]) -> Found:
    """The first arguments of all calls of loggers."""
    found = Found(set(), [])
    for module in modules:
        for node, scopes in walk_with_functions(module.tree, (module.tree,)):
            match node:
                case ast.Call(func=ast.Attribute(value=receiver, attr=level), args=[event, *_]) if (
                    level in LEVELS and is_logger(receiver)
                ):
                    texts = texts_of(event, scopes)
                    if texts is not None or module.name not in FORWARDS:
                        found.add(module, event, texts)
                case ast.Call(func=ast.Attribute(value=ast.Name(id="self"), attr=name), args=[event, *_]) if (
                    name in LOGGERS
                ):  # a callback that logs its first argument
                    found.add(module, event, texts_of(event, scopes))
    return found


def metrics(modules: list[Module]) -> Found:
    """The names of Prometheus metrics, as they are exported."""
    found = Found(set(), [])
    for module in modules:
        for node, scopes in walk_with_functions(module.tree, (module.tree,)):
            if not isinstance(node, ast.Call) or not node.args:
                continue
            kind = last_name(node.func)
            if not kind.endswith(METRIC_FAMILY) and kind not in GAUGE_TYPES:
                continue
            texts = metric_names(node.args[0], scopes)
            if texts is not None and kind.startswith("Counter"):
                texts = {name if name.endswith(COUNTER_SUFFIX) else name + COUNTER_SUFFIX for name in texts}
            found.add(module, node.args[0], texts)
    return found


def metric_names(node: ast.expr, scopes: tuple[ast.AST, ...]) -> set[str] | None:
    """The names that a literal or an f-string gives to a metric."""
    if not isinstance(node, ast.JoinedStr):
        return texts_of(node, scopes)
    names = {""}
    for part in node.values:
        texts = texts_of(part.value if isinstance(part, ast.FormattedValue) else part, scopes)
        if texts is None:
            return None
        names = {name + text for name in names for text in texts}
    return names


def counter_kinds(modules: list[Module]) -> Found:
    """The kinds of counters, as in `counts["final", name]` and `count("state_saved", state)`."""
    found = Found(set(), [])
    for module in modules:
        for node, scopes in walk_with_functions(module.tree, (module.tree,)):
            match node:
                case ast.Subscript(value=counter, slice=ast.Tuple(elts=[kind, _])) if (
                    last_name(counter) in COUNTERS
                ):
                    found.add(module, kind, texts_of(kind, scopes))
                case ast.Call(func=function, args=[kind, _]) if last_name(function) in COUNT_CALLS:
                    found.add(module, kind, texts_of(kind, scopes))
    return found


@dataclass(frozen=True)
class StatusReport:
    """A function or class whose fields operators see.

    `section` is the heading of the page's table, `prefix` is prepended to each field; with `is_counter` the
    fields are the names of a class's counters.
    """

    section: str
    module: str
    name: str
    prefix: str = ""
    is_counter: bool = False
    omitted: str = ""  # a field that is not sent under its own name


def find_definition(tree: ast.Module, name: str) -> ast.AST:
    """The class or function of a dotted name."""
    found: ast.AST = tree
    for part in name.split("."):
        found = next(
            node
            for node in ast.iter_child_nodes(found)
            if isinstance(node, (ast.ClassDef, ast.FunctionDef, ast.AsyncFunctionDef)) and node.name == part
        )
    return found


def status_fields(definition: ast.AST, report: StatusReport) -> set[str]:
    """The fields of one report, with its prefix."""
    if report.is_counter:
        names = counted_names(definition)
    elif isinstance(definition, ast.ClassDef):
        names = struct_fields(definition)
    else:
        names = returned_keys(definition)
    return {report.prefix + name for name in names if name != report.omitted}


def counted_names(definition: ast.AST) -> set[str]:
    """The names of all `counts["name"]` that are changed; a conditional name counts as both its values."""
    names: set[str] = set()
    for node in ast.walk(definition):
        match node:
            case ast.AugAssign(target=ast.Subscript(value=counter, slice=name)) if last_name(
                counter
            ) in COUNTERS and not isinstance(name, ast.Tuple):
                texts = texts_of(name, ())
                assert texts is not None, f"line {node.lineno}: {ast.unparse(name)} cannot be told"
                names |= texts
    return names


def struct_fields(definition: ast.ClassDef) -> set[str]:
    """The fields of a record, by their encoded names."""
    names = set()
    for node in definition.body:
        if isinstance(node, ast.AnnAssign) and isinstance(node.target, ast.Name):
            given = next(
                (
                    keyword.value.value
                    for keyword in (node.value.keywords if isinstance(node.value, ast.Call) else [])
                    if keyword.arg == "name" and isinstance(keyword.value, ast.Constant)
                ),
                None,
            )
            names.add(str(given or node.target.id))
    return names


def returned_keys(definition: ast.AST) -> set[str]:
    """The keys of the literal maps that a function returns; keys of nested maps follow a dot."""
    names: set[str] = set()
    for node in ast.walk(definition):
        if isinstance(node, ast.Return) and node.value is not None:
            names |= keys_of(node.value)
    return names


def keys_of(node: ast.expr) -> set[str]:
    """The keys of a literal map, or of the maps in a list comprehension."""
    match node:
        case ast.ListComp(elt=element):
            return keys_of(element)
        case ast.Dict(keys=keys, values=values):
            names = set()
            for key, value in zip(keys, values, strict=True):
                if isinstance(key, ast.Constant):
                    inner = keys_of(value) if isinstance(value, ast.Dict) else set()
                    names |= {f"{key.value}.{name}" for name in inner} or {str(key.value)}
            return names
    return set()


STATUS_REPORTS: list[StatusReport] = [
    StatusReport("Status of an edge", "martenlead/edge/status_report.py", "StatusReport"),
    StatusReport("Status of an edge", "martenlead/edge/status_report.py", "EndpointListStatus", "roster."),
    StatusReport("Status of an edge", "martenlead/edge/status_report.py", "WorkerStatus", "runners."),
    StatusReport("Its queues", "martenlead/admission/controller.py", "AdmissionController.status_report"),
    StatusReport("Its queues", "martenlead/admission/controller.py", "AdmissionController", is_counter=True),
    StatusReport("Its queues", "martenlead/admission/reservations.py", "Reservations", is_counter=True),
    StatusReport("Its planner", "martenlead/planner/status.py", "EdgeLinkStatus", omitted="counts"),
    StatusReport(
        "Its planner", "martenlead/planner/edge_session.py", "EdgeSession", "link_", is_counter=True
    ),
    StatusReport("Its planner", "martenlead/planner/planner_client.py", "PlannerClient.report_status"),
    StatusReport("Its planner", "martenlead/planner/planner_client.py", "PlannerClient", is_counter=True),
    StatusReport("Status of a planner", "martenlead/planner/status.py", "PlannerStatus"),
    StatusReport(
        "Status of a planner", "martenlead/planner/status.py", "PlannerLinkStatus", "edges.", omitted="counts"
    ),
    StatusReport(
        "Status of a planner",
        "martenlead/planner/planner_session.py",
        "PlannerSession",
        "edges.link_",
        is_counter=True,
    ),
    StatusReport("Status of an agent", "martenlead/layers/agent_messages.py", "AgentStatus"),
]
"""What operators see besides log events and metrics. `test_every_status_report_is_compared` fails if a
function that reports a status is missing."""

STATUS_FUNCTIONS = {"report_status", "status_report", "report_workers"}  # all functions of these names


def read_status(modules: list[Module]) -> dict[str, set[str]]:
    """The status fields by section of the page."""
    trees = {module.name: module.tree for module in modules}
    found: dict[str, set[str]] = {}
    for report in STATUS_REPORTS:
        fields = status_fields(find_definition(trees[report.module], report.name), report)
        assert fields, f"{report.module} {report.name} reports nothing that can be read"
        found.setdefault(report.section, set()).update(fields)
    return found


# -- names on the page


def page_names(text: str, section: str) -> list[str]:
    """The names in code style in the first column of a section's table."""
    match = re.search(rf"^##+ {re.escape(section)}\n(.*?)(?=^##|\Z)", text, re.MULTILINE | re.DOTALL)
    assert match is not None, f"the page has no section {section!r}"
    return re.findall(r"^\| `([^`]+)` \|", match[1], re.MULTILINE)


def differences(text: str, section: str, names: set[str]) -> list[str]:
    """The missing, surplus and duplicate names of a section's table."""
    rows = page_names(text, section)
    missing = [f"{section}: `{name}` is not on the page" for name in sorted(names - set(rows))]
    surplus = [f"{section}: `{name}` is not in the code" for name in sorted(set(rows) - names)]
    duplicate = [f"{section}: `{name}` has two rows" for name in sorted(set(rows)) if rows.count(name) > 1]
    return missing + surplus + duplicate


def rename_problems(text: str, names: set[str]) -> list[str]:
    """In the table of renamed events: old names that the code still has, and new names that it lacks.

    Words after an old name restrict it to some programs, so that the others may still have it.
    """
    section = text[text.index("## Renamed log events") :]
    rows = re.findall(r"^\| `([^`]+)`([^|]*) \| `([^`]+)` \|", section, re.MULTILINE)
    still = [f"`{old}` is still in the code" for old, programs, _ in rows if old in names and not programs]
    return still + [f"`{new}` is not in the code" for _, _, new in rows if new not in names]


@pytest.fixture(scope="module")
def program() -> list[Module]:
    return read_program()


@pytest.mark.parametrize(
    ("section", "find"),
    [("Log events", log_events), ("Metrics", metrics), ("Counter kinds", counter_kinds)],
)
def test_the_page_lists_the_names_of_the_code(
    section: str, find: Callable[[list[Module]], Found], program: list[Module]
) -> None:
    found = find(program)
    assert found.undetermined == []
    assert found.names
    assert differences(PAGE.read_text(), section, found.names) == []


@pytest.mark.parametrize("section", sorted({report.section for report in STATUS_REPORTS}))
def test_the_page_lists_each_status_field(section: str, program: list[Module]) -> None:
    assert differences(PAGE.read_text(), section, read_status(program)[section]) == []


def test_every_status_report_is_compared(program: list[Module]) -> None:
    compared = {report.name.rpartition(".")[2] for report in STATUS_REPORTS}
    places = {(report.module, report.name.rpartition(".")[2]) for report in STATUS_REPORTS}
    left = [
        f"{module.name}: {node.name}"
        for module in program
        for node in ast.walk(module.tree)
        if isinstance(node, ast.FunctionDef) and node.name in STATUS_FUNCTIONS
        if (module.name, node.name) not in places
        and not (node.returns is not None and last_name(node.returns) in compared)
    ]
    assert left == []


def test_renamed_events_of_the_page_match_the_code(program: list[Module]) -> None:
    assert rename_problems(PAGE.read_text(), log_events(program).names) == []


# -- tests of this comparison

EXAMPLE = """
import structlog
class Example:
    def run(self, is_snapshot, event):
        log = structlog.get_logger().bind(edge="a")
        log.info("one_started", port=1)
        self.log.warning("two_failed" if is_snapshot else "three_failed", why="x")
        kind = "four_listed" if is_snapshot else "five_listed"
        self._log.error(kind)
        self._log("six_resumed", "why")
        structlog.get_logger().info("seven_stopped")
        math.log("no event")
        print.info("no event")
        self.counts["final", name] += 1
        self._count("state_saved", self.state)
        yield CounterMetricFamily("martenlead", "help", labels=["kind"])
        for name in ("held", "models"):
            yield GaugeMetricFamily(f"martenlead_{name}", name, value=1.0)
        for name, value in gauges(report).items():
            yield GaugeMetricFamily(f"martenlead_{name}", name, value=value)
    def report_status(self):
        return {"edge": 1, "roster": {"version": 1, "runners": 2}, **{f"link_{n}": n for n in self.counts}}
    def change(self):
        self.counts["fenced"] += 1
        self.counts["took over" if self.on else "handed over"] += 1
def gauges(report):
    return {"tick_ms": report.tick_ms}
class Sent(msgspec.Struct):
    edge: str
    pending: int = msgspec.field(name="held")
"""
PAGE_EXAMPLE = """
## Log events

| event | what it means |
| --- | --- |
| `one_started` | `no_event` |
| `two_failed` | - |

## Metrics

| metric |
| --- |
| `martenlead_total` |
"""


def test_names_in_the_code_are_found() -> None:
    modules = [parse_module(EXAMPLE)]
    events = "one_started two_failed three_failed four_listed five_listed six_resumed seven_stopped"
    assert log_events(modules) == Found(set(events.split()), [])
    assert metrics(modules) == Found(
        {"martenlead_" + name for name in ("total", "held", "models", "tick_ms")}, []
    )
    assert counter_kinds(modules) == Found({"final", "state_saved"}, [])


@pytest.mark.parametrize(
    ("name", "is_counter", "fields"),
    [
        ("Example.report_status", False, {"x.edge", "x.roster.version", "x.roster.runners"}),
        ("Example", True, {"x.fenced", "x.took over", "x.handed over"}),
        ("Sent", False, {"x.edge", "x.held"}),
    ],
)
def test_status_fields_are_found(name: str, is_counter: bool, fields: set[str]) -> None:
    module = parse_module(EXAMPLE)
    report = StatusReport("a section", module.name, name, "x.", is_counter)
    assert status_fields(find_definition(module.tree, name), report) == fields


@pytest.mark.parametrize(
    ("names", "found"),
    [
        ({"one_started", "two_failed"}, []),
        ({"one_started", "two_failed", "three_failed"}, ["Log events: `three_failed` is not on the page"]),
        ({"one_started"}, ["Log events: `two_failed` is not in the code"]),
    ],
)
def test_a_missing_and_a_surplus_entry_are_reported(names: set[str], found: list[str]) -> None:
    assert differences(PAGE_EXAMPLE, "Log events", names) == found


def test_a_duplicate_entry_is_reported() -> None:
    page = PAGE_EXAMPLE.replace("| `two_failed` | - |", "| `one_started` | - |")
    assert differences(page, "Log events", {"one_started"}) == ["Log events: `one_started` has two rows"]


def test_a_page_without_the_section_is_reported() -> None:
    with pytest.raises(AssertionError, match="no section 'Counter kinds'"):
        differences(PAGE_EXAMPLE, "Counter kinds", set())


@pytest.mark.parametrize(
    ("line", "find"),
    [
        ("self.log.info(event)", log_events),
        ("self._log(event)", log_events),
        ('log.info(f"{event}_failed")', log_events),
        ("self.counts[kind, name] += 1", counter_kinds),
        ("GaugeMetricFamily(name, name)", metrics),
    ],
)
def test_an_undetermined_name_is_reported(line: str, find: Callable[[list[Module]], Found]) -> None:
    found = find([parse_module(f"def f(self, event, kind, name):\n    {line}\n")])
    assert found.names == set()
    assert len(found.undetermined) == 1


def test_a_forwarded_event_is_read_from_the_callers() -> None:
    source = "f = lambda what, why: log.warning(what, why=why)\n"
    for name in FORWARDS:
        assert log_events([parse_module(source, name)]) == Found(set(), [])
    assert log_events([parse_module(source)]).undetermined != []


@pytest.mark.parametrize(
    ("names", "found"),
    [
        ({"two_failed", "one_failed"}, []),
        ({"two_failed", "one_failed", "it fails"}, ["`it fails` is still in the code"]),
        ({"one_started"}, ["`two_failed` is not in the code", "`one_failed` is not in the code"]),
        ({"two_failed", "one_failed", "it ends"}, []),
    ],
)
def test_a_rename_that_the_code_has_not_made_is_reported(names: set[str], found: list[str]) -> None:
    page = "## Renamed log events\n\n| `it fails` | `two_failed` |\n| `it ends` of edges | `one_failed` |\n"
    assert rename_problems(page, names) == found
