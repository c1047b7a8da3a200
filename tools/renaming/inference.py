"""Infers the types of expressions with mypy; members are identified by them."""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path

from mypy import build
from mypy.find_sources import create_source_list
from mypy.nodes import Expression, MemberExpr, MypyFile, RefExpr, TypeInfo
from mypy.options import Options
from mypy.traverser import NameAndMemberCollector
from mypy.types import CallableType, Instance, Type, TypeType, TypeVarType, UnionType, get_proper_type

UNKNOWN = "?"

Place = tuple[str, int, int]  # path, end line and end column of an expression


@dataclass
class Types:
    """The inferred types of the expressions in a tree."""

    members: dict[Place, set[str]] = field(default_factory=dict)  # member access -> classes of its receiver
    classes: dict[Place, str] = field(default_factory=dict)  # expression that names a class -> that class
    bases: dict[str, set[str]] = field(default_factory=dict)  # class -> its bases, itself included

    def is_a(self, name: str, base: str) -> bool:
        """Whether the class `name` is `base` or a subclass of it."""
        return name == base or base in self.bases.get(name, ())


def infer_types(root: Path, files: list[Path]) -> Types:
    """Checks the tree with mypy and collects the inferred types."""
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
