"""Renames modules, top-level names and class members across the tree, as a table specifies.

    python -m tools.rename TABLE [--root FOLDER]

A table (TOML) has up to four parts:

    [modules]                             # dotted module -> dotted module; files are moved with `git mv`
    "package.old" = "package.new"

    [names."package.module"]              # classes, functions and constants defined at the top of a module
    OldName = "NewName"
    Moved = "package.other.NewName"       # dotted: it has moved to another module

    [members."package.module.Class"]      # attributes and methods of that class and its subclasses
    old = "new"
    other = "part.new"                    # dotted: the member has moved to an object that the class has

    [receivers]                           # class -> regular expression of receivers that mypy sees as `Any`
    "package.module.Class" = '(\\w+\\.)*(task|request)'

Members are identified by the type that mypy infers for the expression before the dot. Module moves are
applied first, so the other parts use the new module names. A string that is a dotted name, as
`monkeypatch.setattr` takes it, is renamed too. Applying a table twice changes nothing the second time. Run
the formatter afterwards.
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
    """Applies a table to a tree and returns the files that changed."""
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
    """Parses the command line, applies the table and prints the number of changed files."""
    parser = argparse.ArgumentParser(description="Renames across the tree, as a table specifies.")
    parser.add_argument("table", type=Path)
    parser.add_argument("--root", type=Path, default=Path())
    options = parser.parse_args()
    changed = rename(options.root, Table.read(options.table))
    sys.stdout.write(f"{len(changed)} files changed\n")


if __name__ == "__main__":
    main()
