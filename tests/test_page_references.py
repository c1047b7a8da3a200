"""What pages refer to is there: pages that they link to, files and tests that they name.

A test that a page gives as the proof of a term, and that is renamed or removed, leaves the page wrong.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = ("martenlead", "tests", "support", "benchmarks")
HISTORY = {"docs/gap.md", "docs/ROADMAP.md"}  # they name what was, too
PAGES = sorted(
    path.relative_to(ROOT).as_posix()
    for path in (ROOT / "README.md", *ROOT.glob("docs/*.md"), *ROOT.glob("docs/*/*.md"))
    if path.parent.name != "incidents"
)
NAMES_TESTS = ["docs/architecture.md", "docs/design/node.md"]
NAMES_FILES = [page for page in PAGES if page not in HISTORY and "/measured/" not in page]

LINK = re.compile(r"\]\(([^)#\s]+)")
FILE = re.compile(r"`([\w./-]+\.py)`")
TEST = re.compile(r"`([a-z0-9]+(?:_[a-z0-9]+){2,})`")  # three words or more


def code() -> dict[str, str]:
    """The text of each Python file, by its path."""
    return {
        path.relative_to(ROOT).as_posix(): path.read_text()
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob("*.py"))
    }


def broken_links(text: str, folder: Path) -> list[str]:
    """Relative links of a page in `folder` that lead nowhere."""
    return [
        link for link in LINK.findall(text) if not link.startswith("http") and not (folder / link).exists()
    ]


def missing_files(text: str, files: set[str]) -> list[str]:
    """Python files that are named by the end of their path, and are none."""
    return [
        name
        for name in sorted(set(FILE.findall(text)))
        if not any(file == name or file.endswith("/" + name) for file in files)
    ]


def missing_names(text: str, files: dict[str, str]) -> list[str]:
    """Long names in code style that no file has: of a test, a function, a file."""
    everything = "\n".join([*files, *files.values()])
    return [name for name in sorted(set(TEST.findall(text))) if name not in everything]


@pytest.fixture(scope="module")
def files() -> dict[str, str]:
    return code()


@pytest.mark.parametrize("page", PAGES)
def test_links_lead_somewhere(page: str) -> None:
    path = ROOT / page
    assert broken_links(path.read_text(), path.parent) == []


@pytest.mark.parametrize("page", NAMES_FILES)
def test_files_that_a_page_names_are_there(page: str, files: dict[str, str]) -> None:
    assert missing_files((ROOT / page).read_text(), set(files)) == []


@pytest.mark.parametrize("page", NAMES_TESTS)
def test_tests_that_a_page_names_are_there(page: str, files: dict[str, str]) -> None:
    text = (ROOT / page).read_text()
    assert len(TEST.findall(text)) > 10
    assert missing_names(text, files) == []


def test_what_is_not_there_is_told(tmp_path: Path) -> None:
    text = "[a](there.md), [b](gone.md#x), `edge/gone.py`, `edge/here.py`, `a_test_here`, `a_test_gone`"
    (tmp_path / "there.md").touch()
    files = {"martenlead/edge/here.py": "def test_a_test_here(): ..."}
    assert broken_links(text, tmp_path) == ["gone.md"]
    assert missing_files(text, set(files)) == ["edge/gone.py"]
    assert missing_names(text, files) == ["a_test_gone"]
