"""`python -m support.soak`: runs seeds of the soak, prints a line for each, and exits 1 if one failed."""

from __future__ import annotations

import sys
from concurrent.futures import ProcessPoolExecutor
from functools import partial
from multiprocessing import get_context
from pathlib import Path

import click

from support.soak.play import play_seed


@click.command()
@click.option("--seed", type=int, default=1, show_default=True, help="the first seed")
@click.option("--seeds", type=click.IntRange(1), default=1, show_default=True, help="how many")
@click.option("--jobs", type=click.IntRange(1), default=1, show_default=True, help="how many at a time")
@click.option("--keep", type=click.Path(path_type=Path), help="a folder for logs and reports")
def main(seed: int, seeds: int, jobs: int, keep: Path | None) -> None:
    """Run seeds of the soak, each for about twelve seconds."""
    numbers = range(seed, seed + seeds)
    with ProcessPoolExecutor(jobs, mp_context=get_context("spawn")) as pool:
        lines = []
        for line in pool.map(partial(play_seed, keep=keep), numbers):
            click.echo(line)
            lines.append(line)
    failed = sum("FAILED" in line for line in lines)
    click.echo(f"{len(lines) - failed} seeds passed, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
