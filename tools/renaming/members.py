"""Renames top-level names and class members, one file at a time."""

from __future__ import annotations

import re
from pathlib import Path

import libcst as cst
from libcst.metadata import PositionProvider

from tools.renaming.inference import UNKNOWN, Types
from tools.renaming.modules import OneImportALine, dotted
from tools.renaming.table import Table


class Rename(OneImportALine):
    """Applies the names, members and receivers of a table to one file."""

    METADATA_DEPENDENCIES = (PositionProvider,)

    def __init__(self, path: Path, module: str, table: Table, types: Types) -> None:
        self.path, self.module, self.table, self.types = str(path.resolve()), module, table, types
        own = table.names.get(module, {})
        self.local = {
            old: new for old, new in own.items() if "." not in new
        }  # renamed names that this file uses unqualified
        self.aliases: dict[str, str] = {}  # local name -> dotted name of what was imported
        self.classes: list[str] = []  # the enclosing classes at the current node
        self.functions = 0  # number of enclosing functions at the current node
        self.patterns: list[str] = []

    # imports

    def visit_ImportFrom(self, node: cst.ImportFrom) -> bool:
        """Records the local names that an import statement defines."""
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
        """Renames imported names, and imports moved ones from their new modules."""
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
        """Renames a reference to a top-level name."""
        if original_node in self.untouched or updated_node.value not in self.local:
            return updated_node
        return updated_node.with_changes(value=self.local[updated_node.value])

    def visit_Module(self, node: cst.Module) -> bool:
        """Collects the name nodes that are not references: members, keywords and imported names."""
        self.untouched: set[cst.CSTNode] = set()
        collector = _Untouched(self.untouched)
        node.visit(collector)
        return True

    # strings

    def leave_SimpleString(
        self, original_node: cst.SimpleString, updated_node: cst.SimpleString
    ) -> cst.SimpleString:
        """Renames a string that is the dotted name of a top-level definition."""
        quote, name = updated_node.value[:1], updated_node.value[1:-1]
        if not re.fullmatch(r"[\w.]+\.\w+", name):
            return updated_node
        module, _, last = name.rpartition(".")
        new = self.table.names.get(module, {}).get(last)
        if new is None:
            return updated_node
        full_name = new if "." in new else f"{module}.{new}"
        return updated_node.with_changes(value=f"{quote}{full_name}{quote}")

    # members

    def new_name(self, old: str, classes: set[str]) -> str | None:
        """The new name of a member of one of `classes`, or None if it is not renamed."""
        for base, renames in self.table.members.items():
            if old in renames and any(self.types.is_a(name, base) for name in classes):
                return renames[old]
        return None

    def leave_Attribute(
        self, original_node: cst.Attribute, updated_node: cst.Attribute
    ) -> cst.BaseExpression:
        """Renames a member access, or a top-level name that is qualified by its module."""
        old = original_node.attr.value
        receiver = dotted(original_node.value)
        module = self.aliases.get(receiver, receiver)
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
        """The new name of a member by the text of its receiver, for receivers of unknown type."""
        text = cst.Module([]).code_for_node(receiver)
        for class_name, pattern in self.table.receivers.items():
            if re.fullmatch(pattern, text):
                new = self.table.members.get(class_name, {}).get(old)
                if new is not None:
                    return new
        return None

    def visit_ClassDef(self, node: cst.ClassDef) -> None:
        """Enters a class."""
        self.classes.append(".".join([self.classes[-1] if self.classes else self.module, node.name.value]))

    def leave_ClassDef(self, original_node: cst.ClassDef, updated_node: cst.ClassDef) -> cst.ClassDef:
        """Leaves a class."""
        self.classes.pop()
        return updated_node

    def visit_FunctionDef(self, node: cst.FunctionDef) -> None:
        """Enters a function."""
        self.functions += 1

    def leave_FunctionDef(
        self, original_node: cst.FunctionDef, updated_node: cst.FunctionDef
    ) -> cst.FunctionDef:
        """Leaves a function, and renames it if it is a renamed method."""
        self.functions -= 1
        new = self.member_here(original_node.name.value)
        return updated_node.with_changes(name=cst.Name(new)) if new else updated_node

    def leave_AnnAssign(self, original_node: cst.AnnAssign, updated_node: cst.AnnAssign) -> cst.AnnAssign:
        """Renames an annotated field in the body of a class."""
        return updated_node.with_changes(target=self._target(updated_node.target))

    def leave_AssignTarget(
        self, original_node: cst.AssignTarget, updated_node: cst.AssignTarget
    ) -> cst.AssignTarget:
        """Renames a class attribute where it is assigned in the body of the class."""
        return updated_node.with_changes(target=self._target(updated_node.target))

    def _target(self, target: cst.BaseExpression) -> cst.BaseExpression:
        new = self.member_here(target.value) if isinstance(target, cst.Name) else None
        return cst.Name(new) if new else target

    def member_here(self, name: str) -> str | None:
        """The new name of a definition in the body of a class, or None."""
        if not self.classes or self.functions:
            return None
        new = self.new_name(name, {self.classes[-1]})
        return new if new and "." not in new else None

    # keywords of constructors and patterns

    def visit_Call(self, node: cst.Call) -> None:
        """Finds renamed fields among the keywords of a constructor call."""
        known = self._class_named(node.func)
        for arg in node.args:
            if arg.keyword is not None and known:
                new = self.new_name(arg.keyword.value, {known})
                if new is not None and "." not in new:
                    self.keywords[arg] = new

    def visit_MatchClass(self, node: cst.MatchClass) -> None:
        """Finds renamed fields among the keywords of a class pattern."""
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
        resolved = self.aliases.get(first, f"{self.module}.{first}")
        return f"{resolved}.{rest}" if rest else resolved

    keywords: dict[cst.CSTNode, str]

    def leave_Arg(self, original_node: cst.Arg, updated_node: cst.Arg) -> cst.Arg:
        """Renames a keyword argument found by `visit_Call`."""
        new = self.keywords.get(original_node)
        return updated_node.with_changes(keyword=cst.Name(new)) if new else updated_node

    def leave_MatchKeywordElement(
        self, original_node: cst.MatchKeywordElement, updated_node: cst.MatchKeywordElement
    ) -> cst.MatchKeywordElement:
        """Renames a keyword of a pattern found by `visit_MatchClass`."""
        new = self.keywords.get(original_node)
        return updated_node.with_changes(key=cst.Name(new)) if new else updated_node


class _Untouched(cst.CSTVisitor):
    """Collects the name nodes that do not refer to names of the file."""

    def __init__(self, found: set[cst.CSTNode]) -> None:
        self.found = found

    def visit_Attribute(self, node: cst.Attribute) -> None:
        """Collects the name of a member."""
        self.found.add(node.attr)

    def visit_Arg(self, node: cst.Arg) -> None:
        """Collects the keyword of an argument."""
        if node.keyword is not None:
            self.found.add(node.keyword)

    def visit_MatchKeywordElement(self, node: cst.MatchKeywordElement) -> None:
        """Collects the keyword of a pattern."""
        self.found.add(node.key)

    def visit_ImportFrom(self, node: cst.ImportFrom) -> bool:
        """Collects all names in an import statement."""
        for name in _names_in(node):
            self.found.add(name)
        return True


def _names_in(node: cst.CSTNode) -> list[cst.Name]:
    found = [node] if isinstance(node, cst.Name) else []
    for child in node.children:
        found += _names_in(child)
    return found
