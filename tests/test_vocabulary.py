"""Withdrawn words stay out of the identifiers and file names of finished packages.

Standard terms of the field have replaced these words. A finished package is removed from `TO_BE_DONE`, which
may only shrink. Modules that implement a protocol or a stored format may use its words.
"""

from __future__ import annotations

import ast
import re
from collections.abc import Iterator
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent / "martenlead"
TO_BE_DONE = {
    "days",
    "emulator",
    "standins",
}
PROTOCOL_MODULES: dict[str, str] = {}
"""Module path -> reason why it keeps the words of a protocol or of a stored format."""
WITHDRAWN = {
    *("appointment", "asked", "best", "books", "border", "box", "boxes", "brain", "copies", "copy"),
    *("credit", "customer", "customers", "depot", "door", "fading", "fetch", "gate", "going", "hasten"),
    *("heard", "held", "keeper", "lasting", "life", "model", "models", "most", "news", "offering"),
    *("offerings", "order", "ordered", "orders", "out", "pick", "pulse", "quiet", "ration", "revenue"),
    *("roster", "runner", "runners", "satisfied", "scrap", "scrapped", "seen", "shelf", "spare"),
    *("stands", "tape", "task", "tasks", "tell", "told", "touched", "untold", "vault", "wanted", "way"),
    *("ways", "whole", "width", "worth"),
}
STANDARD_TERMS = {
    "task_group": "the name in anyio",
    "carry_out": "to perform a decision; defined on the naming page",
    "OutOfSync": "the field's term for a replica of state that has missed an update",
}
PHRASES = re.compile(
    r"hand_?off|turn(ed)?_?back|call(ed)?_?off|takeback|sent_?on|let_?in|handed_?off", re.IGNORECASE
)


def packages() -> set[str]:
    return {p.name for p in ROOT.iterdir() if p.is_dir() and (p / "__init__.py").exists()}


def words(name: str) -> set[str]:
    """The words of an identifier in snake case or camel case, in lower case."""
    parts = re.split(r"_+", re.sub(r"(?<=[a-z0-9])(?=[A-Z])", "_", name))
    return {part.lower() for part in parts if part}


def is_withdrawn(name: str) -> bool:
    """Whether a name holds a withdrawn word or phrase."""
    for term in STANDARD_TERMS:
        name = name.replace(term, "")
    return bool(words(name) & WITHDRAWN or PHRASES.search(name))


def names_given(tree: ast.Module) -> Iterator[tuple[int, str]]:
    """Line and identifier of each definition, parameter, variable and attribute that a module sets."""
    for node in ast.walk(tree):
        match node:
            case ast.FunctionDef() | ast.AsyncFunctionDef() | ast.ClassDef():
                yield node.lineno, node.name
            case ast.arg():
                yield node.lineno, node.arg
            case ast.Name(ctx=ast.Store()):
                yield node.lineno, node.id
            case ast.Attribute(ctx=ast.Store()):
                yield node.lineno, node.attr
            case ast.alias(asname=str(name)):
                yield node.lineno, name


def withdrawn_in(path: Path) -> list[str]:
    module = path.relative_to(ROOT).as_posix()
    found = [f"{module}: its name"] if is_withdrawn(path.stem) else []
    for line, name in names_given(ast.parse(path.read_text())):
        if is_withdrawn(name):
            found.append(f"{module}:{line}: {name}")
    return found


def test_the_packages_to_be_done_exist() -> None:
    assert packages() >= TO_BE_DONE


@pytest.mark.parametrize("package", sorted(packages() - TO_BE_DONE))
def test_a_finished_package_has_no_withdrawn_word(package: str) -> None:
    modules = sorted((ROOT / package).rglob("*.py"))
    assert modules
    found = [
        problem
        for path in modules
        if path.relative_to(ROOT).as_posix() not in PROTOCOL_MODULES
        for problem in withdrawn_in(path)
    ]
    assert found == []


@pytest.mark.parametrize(
    ("text", "name"),
    [
        ("def pick(): pass", "pick"),
        ("class Runner: pass", "Runner"),
        ("def f(copies): pass", "copies"),
        ("x.width = 1", "width"),
        ("from a import b as the_brain", "the_brain"),
        ("ALL_CREDIT: int = 1", "ALL_CREDIT"),
        ("def turn_back(): pass", "turn_back"),
        ("HandOff = 1", "HandOff"),
        ("def sentOn(): pass", "sentOn"),
        ("told = 1", "told"),
    ],
)
def test_a_withdrawn_word_is_found(text: str, name: str) -> None:
    assert [found for _, found in names_given(ast.parse(text)) if is_withdrawn(found)] == [name]


def test_a_standard_term_is_not_a_withdrawn_word() -> None:
    assert not is_withdrawn("task_group")
    assert not is_withdrawn("OutOfSyncError")
    assert is_withdrawn("task")
    assert is_withdrawn("Out")
