"""References on pages are valid: links to other pages, and names of files and tests.

Guards against a page that still names a test after the test was renamed or removed.
"""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = ("martenlead", "tests", "support", "benchmarks")
HISTORY = {"docs/gap.md", "docs/ROADMAP.md"}  # they also name what no longer exists
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


def read_python_files() -> dict[str, str]:
    """The text of each Python file, by its path."""
    return {
        path.relative_to(ROOT).as_posix(): path.read_text()
        for folder in FOLDERS
        for path in sorted((ROOT / folder).rglob("*.py"))
    }


def broken_links(text: str, folder: Path) -> list[str]:
    """Relative links of a page in `folder` whose target does not exist."""
    return [
        link for link in LINK.findall(text) if not link.startswith("http") and not (folder / link).exists()
    ]


def missing_files(text: str, files: set[str]) -> list[str]:
    """Python files that are named by the end of their path, but do not exist."""
    return [
        name
        for name in sorted(set(FILE.findall(text)))
        if not any(file == name or file.endswith("/" + name) for file in files)
    ]


def missing_names(text: str, files: dict[str, str]) -> list[str]:
    """Long names in code style that occur neither in a Python file nor in its path."""
    searched_text = "\n".join([*files, *files.values()])
    return [name for name in sorted(set(TEST.findall(text))) if name not in searched_text]


@pytest.fixture(scope="module")
def files() -> dict[str, str]:
    return read_python_files()


@pytest.mark.parametrize("page", PAGES)
def test_links_have_a_target(page: str) -> None:
    path = ROOT / page
    assert broken_links(path.read_text(), path.parent) == []


@pytest.mark.parametrize("page", NAMES_FILES)
def test_files_named_by_a_page_exist(page: str, files: dict[str, str]) -> None:
    assert missing_files((ROOT / page).read_text(), set(files)) == []


@pytest.mark.parametrize("page", NAMES_TESTS)
def test_tests_named_by_a_page_exist(page: str, files: dict[str, str]) -> None:
    text = (ROOT / page).read_text()
    assert len(TEST.findall(text)) > 10
    assert missing_names(text, files) == []


def test_missing_references_are_reported(tmp_path: Path) -> None:
    text = "[a](there.md), [b](gone.md#x), `edge/gone.py`, `edge/here.py`, `a_test_here`, `a_test_gone`"
    (tmp_path / "there.md").touch()
    files = {"martenlead/edge/here.py": "def test_a_test_here(): ..."}
    assert broken_links(text, tmp_path) == ["gone.md"]
    assert missing_files(text, set(files)) == ["edge/gone.py"]
    assert missing_names(text, files) == ["a_test_gone"]
