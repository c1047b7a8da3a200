"""Renames of top-level names and of members of classes, one file at a time."""

from __future__ import annotations

import re
from pathlib import Path

import libcst as cst
from libcst.metadata import PositionProvider

from tools.renaming.inference import UNKNOWN, Types
from tools.renaming.modules import OneImportALine, dotted
from tools.renaming.table import Table


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

    # strings

    def leave_SimpleString(
        self, original_node: cst.SimpleString, updated_node: cst.SimpleString
    ) -> cst.SimpleString:
        """A string that is the dotted name of something at the top of a module."""
        quote, name = updated_node.value[:1], updated_node.value[1:-1]
        if not re.fullmatch(r"[\w.]+\.\w+", name):
            return updated_node
        module, _, last = name.rpartition(".")
        new = self.table.names.get(module, {}).get(last)
        if new is None:
            return updated_node
        whole = new if "." in new else f"{module}.{new}"
        return updated_node.with_changes(value=f"{quote}{whole}{quote}")

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
