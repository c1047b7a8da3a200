"""Renames modules, top-level names and members of classes across the tree, as a table says.

    python tools/rename.py TABLE [--root FOLDER]

A table (TOML) has up to three parts:

    [modules]                             # dotted module -> dotted module; files are moved with `git mv`
    "package.old" = "package.new"

    [names."package.module"]              # classes, functions and constants defined at the top of a module
    OldName = "NewName"
    Moved = "package.other.NewName"       # dotted: it has moved to another module

    [members."package.module.Class"]      # attributes and methods, seen on that class and its subclasses
    old = "new"
    other = "part.new"                    # dotted: the member has moved to an object that the class has

    [receivers]                           # expressions by which objects of a class go where mypy sees `Any`
    "package.module.Class" = '(\\w+\\.)*(task|request)'

Members are told apart by the type that mypy gives the expression before the dot. A module's move is applied
first; the names in the other parts are those after it. What a table asks for may be done already: running it
again changes nothing. Run the formatter afterwards.
"""

from __future__ import annotations

import argparse
import re
import subprocess
import sys
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

import libcst as cst
from libcst.metadata import MetadataWrapper, PositionProvider
from mypy import build
from mypy.find_sources import create_source_list
from mypy.nodes import Expression, MemberExpr, MypyFile, RefExpr, TypeInfo
from mypy.options import Options
from mypy.traverser import NameAndMemberCollector
from mypy.types import CallableType, Instance, Type, TypeType, TypeVarType, UnionType, get_proper_type

FOLDERS = ("martenlead", "tests", "support", "benchmarks", "tools")
UNKNOWN = "?"

Place = tuple[str, int, int]  # path, line, and column behind the expression


@dataclass
class Table:
    """What is to be renamed."""

    modules: dict[str, str] = field(default_factory=dict)
    names: dict[str, dict[str, str]] = field(default_factory=dict)
    members: dict[str, dict[str, str]] = field(default_factory=dict)
    receivers: dict[str, str] = field(default_factory=dict)

    @classmethod
    def read(cls, path: Path) -> Table:
        return cls(**tomllib.loads(path.read_text()))


def sources(root: Path) -> list[Path]:
    """Every Python file of the tree that the project owns."""
    return sorted(p for folder in FOLDERS for p in (root / folder).rglob("*.py"))


def module_of(root: Path, path: Path) -> str:
    parts = path.relative_to(root).with_suffix("").parts
    return ".".join(parts[:-1] if parts[-1] == "__init__" else parts)


# -- what mypy knows of expressions


@dataclass
class Types:
    """For each member access, the classes that the expression before the dot may be of."""

    members: dict[Place, set[str]] = field(default_factory=dict)
    classes: dict[Place, str] = field(default_factory=dict)  # for each expression that names a class: which
    bases: dict[str, set[str]] = field(default_factory=dict)

    def is_a(self, name: str, wanted: str) -> bool:
        return name == wanted or wanted in self.bases.get(name, ())


def infer_types(root: Path, files: list[Path]) -> Types:
    """Checks the tree with mypy and reads the types that it gave."""
    options = Options()
    options.export_types = options.preserve_asts = True
    options.incremental = False
    options.cache_dir = "/dev/null"
    options.check_untyped_defs = True
    options.ignore_missing_imports = True
    options.mypy_path = [str(root)]
    options.explicit_package_bases = True
    options.namespace_packages = True
    found = create_source_list([str(f) for f in files], options)
    result = build.build(found, options)
    types = Types()
    owned = {str(f) for f in files}
    for state in result.graph.values():
        tree = state.tree
        if tree is None or str(Path(tree.path).resolve()) not in owned:
            continue
        _read_classes(tree, types)
        _read_expressions(tree, result.types, types)
    return types


def _read_classes(tree: MypyFile, types: Types) -> None:
    for _, symbol, _ in tree.local_definitions():
        if isinstance(symbol.node, TypeInfo):
            types.bases[symbol.node.fullname] = {base.fullname for base in symbol.node.mro}


def _read_expressions(tree: MypyFile, known: dict[Expression, Type], types: Types) -> None:
    path = str(Path(tree.path).resolve())
    collector = NameAndMemberCollector()
    tree.accept(collector)
    expressions: list[RefExpr] = [*collector.name_exprs, *collector.member_exprs]
    for one in expressions:
        place = path, one.end_line or 0, one.end_column or 0
        if isinstance(one.node, TypeInfo):
            types.classes[place] = one.node.fullname
        if isinstance(one, MemberExpr):
            types.members.setdefault(place, set()).update(_classes_of(one.expr, known))


def _classes_of(expression: Expression, known: dict[Expression, Type]) -> set[str]:
    if isinstance(expression, RefExpr) and isinstance(expression.node, TypeInfo):
        return {expression.node.fullname}
    kind = known.get(expression)
    return _names_of(kind) if kind is not None else {UNKNOWN}


def _names_of(kind: Type) -> set[str]:
    kind = get_proper_type(kind)
    if isinstance(kind, Instance):
        return {kind.type.fullname}
    if isinstance(kind, UnionType):
        return {name for item in kind.items for name in _names_of(item)}
    if isinstance(kind, TypeVarType):
        return _names_of(kind.upper_bound)
    if isinstance(kind, TypeType):
        return _names_of(kind.item)
    if isinstance(kind, CallableType) and kind.is_type_obj():
        return {kind.type_object().fullname}
    return {UNKNOWN}


# -- moves of modules


def move_modules(root: Path, modules: dict[str, str]) -> None:
    """Moves files and folders; what has moved already is passed over."""
    for old, new in modules.items():
        before, after = (root / Path(*name.split(".")) for name in (old, new))
        source = before if before.is_dir() else before.with_suffix(".py")
        if not source.exists():
            continue
        target = after if source.is_dir() else after.with_suffix(".py")
        target.parent.mkdir(parents=True, exist_ok=True)
        done = subprocess.run(["git", "mv", str(source), str(target)], cwd=root, check=False)
        if done.returncode:  # not under version control, as in a test
            source.rename(target)


def moved(name: str, modules: dict[str, str]) -> str:
    """A dotted name after the moves."""
    for old, new in modules.items():
        if name == old or name.startswith(old + "."):
            return new + name[len(old) :]
    return name


def dotted(node: cst.BaseExpression | None) -> str:
    """The dotted name that an expression is, or nothing."""
    if isinstance(node, cst.Name):
        return node.value
    if isinstance(node, cst.Attribute):
        before = dotted(node.value)
        return f"{before}.{node.attr.value}" if before else ""
    return ""


class OneImportALine(cst.CSTTransformer):
    """Gives an import statement that became two a line of its own for each."""

    def leave_SimpleStatementLine(
        self, original_node: cst.SimpleStatementLine, updated_node: cst.SimpleStatementLine
    ) -> cst.SimpleStatementLine | cst.FlattenSentinel[cst.SimpleStatementLine]:
        if len(updated_node.body) == len(original_node.body):
            return updated_node
        first, *others = [one.with_changes(semicolon=cst.MaybeSentinel.DEFAULT) for one in updated_node.body]
        lines = [updated_node.with_changes(body=[first])]
        return cst.FlattenSentinel([*lines, *(cst.SimpleStatementLine([one]) for one in others)])


class MoveImports(OneImportALine):
    """Import statements after moves of modules. `from package import module` takes the local name that the
    module had, so that the code below stays as it is."""

    def __init__(self, modules: dict[str, str]) -> None:
        self.modules = modules

    def leave_ImportFrom(
        self, original_node: cst.ImportFrom, updated_node: cst.ImportFrom
    ) -> cst.ImportFrom | cst.FlattenSentinel[cst.ImportFrom]:
        module = dotted(updated_node.module)
        if not module or isinstance(updated_node.names, cst.ImportStar):
            return updated_node
        new = moved(module, self.modules)
        if new != module:
            return updated_node.with_changes(module=cst.parse_expression(new))
        return self._members_that_moved(module, updated_node, updated_node.names)

    def _members_that_moved(
        self, module: str, statement: cst.ImportFrom, names: object
    ) -> cst.ImportFrom | cst.FlattenSentinel[cst.ImportFrom]:
        stay, others = [], []
        for alias in names:  # type: ignore[attr-defined]
            name = alias.name.value
            new = moved(f"{module}.{name}", self.modules)
            if new == f"{module}.{name}":
                stay.append(alias.with_changes(comma=cst.MaybeSentinel.DEFAULT))
                continue
            package, _, last = new.rpartition(".")
            local = alias.asname.name.value if alias.asname else name
            asname = cst.AsName(cst.Name(local)) if local != last else None
            one = cst.ImportAlias(cst.Name(last), asname)
            others.append(cst.ImportFrom(cst.parse_expression(package), [one]))
        if not others:
            return statement
        kept = [statement.with_changes(names=stay, lpar=None, rpar=None)] if stay else []
        return cst.FlattenSentinel([*kept, *others])

    def leave_Import(self, original_node: cst.Import, updated_node: cst.Import) -> cst.Import:
        names = [
            alias.with_changes(name=cst.parse_expression(moved(dotted(alias.name), self.modules)))
            for alias in updated_node.names
        ]
        return updated_node.with_changes(names=names)

    def leave_SimpleString(
        self, original_node: cst.SimpleString, updated_node: cst.SimpleString
    ) -> cst.SimpleString:
        """A string that is a module's dotted name, as `monkeypatch.setattr` takes it."""
        text = updated_node.value
        name = text[1:-1]
        new = moved(name, self.modules) if re.fullmatch(r"[\w.]+", name) else name
        return updated_node.with_changes(value=text[0] + new + text[-1]) if new != name else updated_node


# -- names and members


class Rename(OneImportALine):
    """Renames of one file."""

    METADATA_DEPENDENCIES = (PositionProvider,)

    def __init__(self, path: Path, module: str, table: Table, types: Types) -> None:
        self.path, self.module, self.table, self.types = str(path.resolve()), module, table, types
        own = table.names.get(module, {})
        self.local = {old: new for old, new in own.items() if "." not in new}  # names in this file
        self.aliases: dict[str, str] = {}  # local names of modules
        self.classes: list[str] = []  # that we are in
        self.functions = 0  # that we are in
        self.patterns: list[str] = []

    # imports

    def visit_ImportFrom(self, node: cst.ImportFrom) -> bool:
        module = dotted(node.module)
        if isinstance(node.names, cst.ImportStar):
            return False
        for alias in node.names:
            name = alias.name.value
            local = alias.asname.name.value if alias.asname else name  # type: ignore[union-attr]
            self.aliases[str(local)] = f"{module}.{name}"
            if not alias.asname and name in self.table.names.get(module, {}):
                self.local[str(name)] = self.table.names[module][str(name)].rpartition(".")[2]
        return False

    def leave_ImportFrom(
        self, original_node: cst.ImportFrom, updated_node: cst.ImportFrom
    ) -> cst.ImportFrom | cst.FlattenSentinel[cst.ImportFrom]:
        renames = self.table.names.get(dotted(updated_node.module), {})
        if isinstance(updated_node.names, cst.ImportStar) or not renames:
            return updated_node
        stay, elsewhere = [], []
        for alias in updated_node.names:
            module, _, new = renames.get(str(alias.name.value), str(alias.name.value)).rpartition(".")
            one = alias.with_changes(name=cst.Name(new), comma=cst.MaybeSentinel.DEFAULT)
            if module:
                elsewhere.append(cst.ImportFrom(cst.parse_expression(module), [one]))
            else:
                stay.append(one)
        if not elsewhere:
            return updated_node.with_changes(names=stay)
        kept = [updated_node.with_changes(names=stay, lpar=None, rpar=None)] if stay else []
        return cst.FlattenSentinel([*kept, *elsewhere])

    # names

    def leave_Name(self, original_node: cst.Name, updated_node: cst.Name) -> cst.Name:
        if original_node in self.untouched or updated_node.value not in self.local:
            return updated_node
        return updated_node.with_changes(value=self.local[updated_node.value])

    def visit_Module(self, node: cst.Module) -> bool:
        """Names that are no references: members, keywords, parameters of classes' bodies."""
        self.untouched: set[cst.CSTNode] = set()
        collector = _Untouched(self.untouched)
        node.visit(collector)
        return True

    # members

    def new_name(self, old: str, classes: set[str]) -> str | None:
        for wanted, renames in self.table.members.items():
            if old in renames and any(self.types.is_a(name, wanted) for name in classes):
                return renames[old]
        return None

    def leave_Attribute(
        self, original_node: cst.Attribute, updated_node: cst.Attribute
    ) -> cst.BaseExpression:
        old = original_node.attr.value
        whole = dotted(original_node.value)
        module = self.aliases.get(whole, whole)
        new_here = self.table.names.get(module, {}).get(old, ".")
        if "." not in new_here:
            return updated_node.with_changes(attr=cst.Name(new_here))
        position = self.get_metadata(PositionProvider, original_node).end
        classes = self.types.members.get((self.path, position.line, position.column), {UNKNOWN})
        new = self.new_name(old, classes)
        if new is None and UNKNOWN in classes:
            new = self.guess(old, original_node.value)
        if new is None:
            return updated_node
        *parts, last = new.split(".")
        before = updated_node.value
        for part in parts:
            before = cst.Attribute(before, cst.Name(part))
        return updated_node.with_changes(value=before, attr=cst.Name(last))

    def guess(self, old: str, receiver: cst.BaseExpression) -> str | None:
        """By the text of the receiver, where mypy knows nothing of it."""
        text = cst.Module([]).code_for_node(receiver)
        for wanted, pattern in self.table.receivers.items():
            if re.fullmatch(pattern, text):
                new = self.table.members.get(wanted, {}).get(old)
                if new is not None:
                    return new
        return None

    def visit_ClassDef(self, node: cst.ClassDef) -> None:
        self.classes.append(".".join([self.classes[-1] if self.classes else self.module, node.name.value]))

    def leave_ClassDef(self, original_node: cst.ClassDef, updated_node: cst.ClassDef) -> cst.ClassDef:
        self.classes.pop()
        return updated_node

    def visit_FunctionDef(self, node: cst.FunctionDef) -> None:
        self.functions += 1

    def leave_FunctionDef(
        self, original_node: cst.FunctionDef, updated_node: cst.FunctionDef
    ) -> cst.FunctionDef:
        self.functions -= 1
        new = self.member_here(original_node.name.value)
        return updated_node.with_changes(name=cst.Name(new)) if new else updated_node

    def leave_AnnAssign(self, original_node: cst.AnnAssign, updated_node: cst.AnnAssign) -> cst.AnnAssign:
        return updated_node.with_changes(target=self._target(updated_node.target))

    def leave_AssignTarget(
        self, original_node: cst.AssignTarget, updated_node: cst.AssignTarget
    ) -> cst.AssignTarget:
        return updated_node.with_changes(target=self._target(updated_node.target))

    def _target(self, target: cst.BaseExpression) -> cst.BaseExpression:
        new = self.member_here(target.value) if isinstance(target, cst.Name) else None
        return cst.Name(new) if new else target

    def member_here(self, name: str) -> str | None:
        """Of a definition in the body of a class."""
        if not self.classes or self.functions:
            return None
        new = self.new_name(name, {self.classes[-1]})
        return new if new and "." not in new else None

    # keywords of constructors and patterns

    def visit_Call(self, node: cst.Call) -> None:
        known = self._class_named(node.func)
        for arg in node.args:
            if arg.keyword is not None and known:
                new = self.new_name(arg.keyword.value, {known})
                if new is not None and "." not in new:
                    self.keywords[arg] = new

    def visit_MatchClass(self, node: cst.MatchClass) -> None:
        known = self._class_named(node.cls)
        for part in node.kwds:
            new = self.new_name(part.key.value, {known}) if known else None
            if new is not None and "." not in new:
                self.keywords[part] = new

    def _class_named(self, node: cst.BaseExpression) -> str:
        position = self.get_metadata(PositionProvider, node).end
        found = self.types.classes.get((self.path, position.line, position.column), "")
        return found or self._class_by_import(dotted(node))

    def _class_by_import(self, name: str) -> str:
        first, _, rest = name.partition(".")
        whole = self.aliases.get(first, f"{self.module}.{first}")
        return f"{whole}.{rest}" if rest else whole

    keywords: dict[cst.CSTNode, str]

    def leave_Arg(self, original_node: cst.Arg, updated_node: cst.Arg) -> cst.Arg:
        new = self.keywords.get(original_node)
        return updated_node.with_changes(keyword=cst.Name(new)) if new else updated_node

    def leave_MatchKeywordElement(
        self, original_node: cst.MatchKeywordElement, updated_node: cst.MatchKeywordElement
    ) -> cst.MatchKeywordElement:
        new = self.keywords.get(original_node)
        return updated_node.with_changes(key=cst.Name(new)) if new else updated_node


class _Untouched(cst.CSTVisitor):
    """Name nodes that refer to nothing of the file's own names."""

    def __init__(self, found: set[cst.CSTNode]) -> None:
        self.found = found

    def visit_Attribute(self, node: cst.Attribute) -> None:
        self.found.add(node.attr)

    def visit_Arg(self, node: cst.Arg) -> None:
        if node.keyword is not None:
            self.found.add(node.keyword)

    def visit_MatchKeywordElement(self, node: cst.MatchKeywordElement) -> None:
        self.found.add(node.key)

    def visit_ImportFrom(self, node: cst.ImportFrom) -> bool:
        for name in _names_in(node):
            self.found.add(name)
        return True


def _names_in(node: cst.CSTNode) -> list[cst.Name]:
    found = [node] if isinstance(node, cst.Name) else []
    for child in node.children:
        found += _names_in(child)
    return found


# -- the whole


def rename(root: Path, table: Table) -> list[Path]:
    """Applies a table to a tree; the files that changed."""
    root = root.resolve()
    changed: set[Path] = set()
    if table.modules:
        move_modules(root, table.modules)
        for path in sources(root):
            if _rewrite(path, cst.parse_module(path.read_text()).visit(MoveImports(table.modules)).code):
                changed.add(path)
    if table.names or table.members:
        files = sources(root)
        types = infer_types(root, files) if table.members else Types()
        for path in files:
            transformer = Rename(path, module_of(root, path), table, types)
            transformer.keywords = {}
            wrapper = MetadataWrapper(cst.parse_module(path.read_text()), unsafe_skip_copy=True)
            if _rewrite(path, wrapper.visit(transformer).code):
                changed.add(path)
    return sorted(changed)


def _rewrite(path: Path, text: str) -> bool:
    if text == path.read_text():
        return False
    path.write_text(text)
    return True


def main() -> None:
    parser = argparse.ArgumentParser(description="Renames across the tree, as a table says.")
    parser.add_argument("table", type=Path)
    parser.add_argument("--root", type=Path, default=Path())
    told = parser.parse_args()
    changed = rename(told.root, Table.read(told.table))
    sys.stdout.write(f"{len(changed)} files changed\n")


if __name__ == "__main__":
    main()
