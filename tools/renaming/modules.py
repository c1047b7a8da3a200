"""Moves modules: their files, and the import statements and strings that name them."""

from __future__ import annotations

import re
import shutil
import subprocess
from pathlib import Path

import libcst as cst


def move_modules(root: Path, modules: dict[str, str]) -> None:
    """Moves files and folders; skips those that have moved already."""
    for old, new in modules.items():
        before, after = (root / Path(*name.split(".")) for name in (old, new))
        if before.is_dir():
            _move_folder(root, before, after)
        elif before.with_suffix(".py").exists():
            _move(root, before.with_suffix(".py"), after.with_suffix(".py"))


def _move_folder(root: Path, source: Path, target: Path) -> None:
    """Moves the files in a folder; the target may already have modules of earlier moves."""
    for path in sorted(source.rglob("*")):
        if path.is_file() and "__pycache__" not in path.parts:
            _move(root, path, target / path.relative_to(source))
    shutil.rmtree(source)  # only compiled modules are left


def _move(root: Path, source: Path, target: Path) -> None:
    target.parent.mkdir(parents=True, exist_ok=True)
    done = subprocess.run(["git", "mv", str(source), str(target)], cwd=root, check=False)
    if done.returncode:  # outside a git repository, as in a test
        source.rename(target)


def moved(name: str, modules: dict[str, str]) -> str:
    """The dotted name after the moves."""
    for old, new in modules.items():
        if name == old or name.startswith(old + "."):
            return new + name[len(old) :]
    return name


def dotted(node: cst.BaseExpression | None) -> str:
    """The dotted name that an expression consists of, else an empty string."""
    if isinstance(node, cst.Name):
        return node.value
    if isinstance(node, cst.Attribute):
        before = dotted(node.value)
        return f"{before}.{node.attr.value}" if before else ""
    return ""


class OneImportALine(cst.CSTTransformer):
    """Puts each part of an import statement that was split on a line of its own."""

    def leave_SimpleStatementLine(
        self, original_node: cst.SimpleStatementLine, updated_node: cst.SimpleStatementLine
    ) -> cst.SimpleStatementLine | cst.FlattenSentinel[cst.SimpleStatementLine]:
        """Splits a line whose statement was replaced by several."""
        if len(updated_node.body) == len(original_node.body):
            return updated_node
        first, *others = [one.with_changes(semicolon=cst.MaybeSentinel.DEFAULT) for one in updated_node.body]
        lines = [updated_node.with_changes(body=[first])]
        return cst.FlattenSentinel([*lines, *(cst.SimpleStatementLine([one]) for one in others)])


class MoveImports(OneImportALine):
    """Rewrites import statements after modules have moved.

    `from package import module` keeps the local name of the module, so that the code using it is unchanged.
    """

    def __init__(self, modules: dict[str, str]) -> None:
        self.modules = modules

    def leave_ImportFrom(
        self, original_node: cst.ImportFrom, updated_node: cst.ImportFrom
    ) -> cst.ImportFrom | cst.FlattenSentinel[cst.ImportFrom]:
        """Rewrites `from ... import`, which may split into several statements."""
        module = dotted(updated_node.module)
        if not module or isinstance(updated_node.names, cst.ImportStar):
            return updated_node
        return self._move_from(module, updated_node, updated_node.names)

    def _move_from(
        self, module: str, statement: cst.ImportFrom, names: object
    ) -> cst.ImportFrom | cst.FlattenSentinel[cst.ImportFrom]:
        """Handles moves of the module itself and of the modules imported from it."""
        new_module = moved(module, self.modules)
        if new_module != module:
            statement = statement.with_changes(module=cst.parse_expression(new_module))
        stay, others = [], []
        for alias in names:  # type: ignore[attr-defined]
            name = alias.name.value
            new = moved(f"{module}.{name}", self.modules)
            if new == f"{new_module}.{name}":
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
        """Rewrites `import` of moved modules."""
        names = [
            alias.with_changes(name=cst.parse_expression(moved(dotted(alias.name), self.modules)))
            for alias in updated_node.names
        ]
        return updated_node.with_changes(names=names)

    def leave_SimpleString(
        self, original_node: cst.SimpleString, updated_node: cst.SimpleString
    ) -> cst.SimpleString:
        """Rewrites a string that is a module's dotted name, as `monkeypatch.setattr` takes it."""
        text = updated_node.value
        name = text[1:-1]
        new = moved(name, self.modules) if re.fullmatch(r"[\w.]+", name) else name
        return updated_node.with_changes(value=text[0] + new + text[-1]) if new != name else updated_node
