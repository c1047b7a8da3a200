"""Renames modules, top-level names and members of classes across the tree, as a table says.

    python -m tools.rename TABLE [--root FOLDER]

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
first; the names in the other parts are those after it. A string that is a dotted name, as
`monkeypatch.setattr` takes it, follows. What a table asks for may be done already: running it again changes
nothing. Run the formatter afterwards.
"""

from __future__ import annotations

import argparse
import sys
from pathlib import Path

import libcst as cst
from libcst.metadata import MetadataWrapper

from tools.renaming.inference import Types, infer_types
from tools.renaming.members import Rename
from tools.renaming.modules import MoveImports, move_modules
from tools.renaming.table import Table, module_of, sources


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
    options = parser.parse_args()
    changed = rename(options.root, Table.read(options.table))
    sys.stdout.write(f"{len(changed)} files changed\n")


if __name__ == "__main__":
    main()
