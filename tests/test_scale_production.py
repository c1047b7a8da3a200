"""The bounds on a dispatcher's costs in fleets of more workers: their arithmetic, and the simulated runs."""

from __future__ import annotations

from dataclasses import replace

import pytest
from click.testing import CliRunner

from benchmarks.scale import discovery, production
from benchmarks.scale.bounds import BOUNDS, verdicts
from benchmarks.scale.production import INSTANCES, ListScript, Play, play
from benchmarks.scale.sizes import BadSize
from martenlead.node.journal import FrameDecoder, JournalTables

SMALL = Play(
    workers=32,
    dispatchers=2,
    calls=5.0,
    functions=40,
    seconds=20.0,
    sockets=256,
    seed=3,
    limit_seconds=60.0,
)
USUAL = {
    "cpu_seconds": 1.0,
    "peak_memory_bytes": 40e6,
    "descriptors": 100.0,
    "connections_made": 200.0,
    "list_bytes": 20_000.0,
    "share_served": 0.9,
}


@pytest.mark.parametrize(
    ("name", "workers", "limit"),
    [
        ("cpu_seconds", 800, 1.4 + 0.02 + 0.096),
        ("cpu_seconds", 3_200, 1.4 + 0.02 + 0.384),
        ("peak_memory_bytes", 800, 60e6 + 8e6 + 3.2e6),
        ("peak_memory_bytes", 3_200, 60e6 + 8e6 + 12.8e6),
        ("descriptors", 3_200, 240.0),
        ("connections_made", 3_200, 540.0),
        ("list_bytes", 800, 40_000 + 64_000 + 400_000),
        ("list_bytes", 3_200, 40_000 + 64_000 + 1_600_000),
        ("share_served", 3_200, 0.765),
    ],
)
def test_a_bound_is_a_multiple_of_the_usual_figure_a_constant_and_an_amount_per_thousand_workers(
    name: str, workers: int, limit: float
) -> None:
    assert BOUNDS[name].limit(USUAL[name], workers) == pytest.approx(limit)


@pytest.mark.parametrize("name", BOUNDS)
def test_a_figure_at_its_bound_holds_and_one_beyond_it_fails_alone(name: str) -> None:
    workers = 3_200
    at_the_bound = {other: bound.limit(USUAL[other], workers) for other, bound in BOUNDS.items()}
    assert all(verdict.holds for verdict in verdicts(USUAL, at_the_bound, workers))
    beyond = at_the_bound[name] * (0.999 if BOUNDS[name].at_least else 1.001)
    judged = verdicts(USUAL, at_the_bound | {name: beyond}, workers)
    assert [verdict.name for verdict in judged if not verdict.holds] == [name]


def test_a_figure_that_was_not_measured_raises() -> None:
    found = {name: amount for name, amount in USUAL.items() if name != "descriptors"}
    with pytest.raises(KeyError):
        verdicts(USUAL, found, 800)


@pytest.mark.parametrize("workers", [200, 800, 3_200])
def test_the_capacity_of_all_workers_together_is_the_same_at_each_size(workers: int) -> None:
    size = replace(SMALL, workers=workers).size()
    script = ListScript(size, SMALL.seconds)
    listed = script.members.values()
    assert size.instances == INSTANCES
    assert sum(member.weight_thousandths for member in listed) == INSTANCES * discovery.WEIGHT_THOUSANDTHS
    assert size.calls_per_dispatcher == SMALL.calls


def test_a_size_whose_instances_do_not_divide_is_refused() -> None:
    with pytest.raises(BadSize, match="has to divide"):
        replace(SMALL, workers=300).size()


@pytest.mark.parametrize("workers", [32, 128])
def test_the_list_is_sent_in_frames_that_the_program_decodes_in_sequence(workers: int) -> None:
    """Half of the workers are replaced in their zones, and a zone of the same size is lost and returns."""
    size = replace(SMALL, workers=workers).size()
    script = ListScript(size, SMALL.seconds)
    zones = discovery.zone_names(size)
    frames = FrameDecoder(JournalTables(zones, ["standard"], {"standard": 1.0}, False))
    before = {zone: sum(m.zone == zone for m in script.members.values()) for zone in range(size.zones)}
    updates = [update for data in script.due(SMALL.seconds, 10**18) for update in frames.feed(data)]
    assert [update.version for update in updates] == list(range(2, len(updates) + 2))
    last = updates[-1]
    assert last.is_snapshot and len(last.endpoints or []) == workers
    assert {endpoint.state for endpoint in last.endpoints or []} == {"up"}
    after = {zone: sum(m.zone == zone for m in script.members.values()) for zone in range(size.zones)}
    assert after == before
    assert sum(number >= workers for number in script.members) == workers // 2


def test_the_same_seed_gives_the_same_counts_and_all_calls_are_answered() -> None:
    one, other = play(SMALL), play(SMALL)
    counted = ("descriptors", "connections_made", "list_bytes", "share_served")
    assert [one[name] for name in counted] == [other[name] for name in counted]
    assert set(one) == set(BOUNDS)
    assert one["share_served"] > 0.9
    assert one["connections_made"] >= one["descriptors"] > 0


@pytest.mark.parametrize(("factor", "status"), [(1.0, 0), (100.0, production.EXIT_BOUND)])
def test_the_command_says_which_bound_fails_and_ends_with_status_1(
    factor: float, status: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    def played(scenario: Play) -> dict[str, float]:
        """Returns the usual figures, with the CPU time of the largest size multiplied."""
        return USUAL | {"cpu_seconds": factor if scenario.workers == 3_200 else 1.0}

    monkeypatch.setattr(production, "play_apart", played)
    result = CliRunner().invoke(production.main, [])
    assert result.exit_code == status, result.output
    assert ("fails: CPU seconds at 3200 workers" in result.output) == bool(status)


def test_a_size_that_did_not_run_to_its_end_fails_the_command(monkeypatch: pytest.MonkeyPatch) -> None:
    def played(scenario: Play) -> dict[str, float]:
        """Runs the size with a time limit that is too short."""
        return play(replace(scenario, limit_seconds=0.001))

    monkeypatch.setattr(production, "play_apart", played)
    result = CliRunner().invoke(production.main, ["--workers", "32", "--dispatchers", "2"])
    assert result.exit_code == production.EXIT_NOT_PLAYED, result.output
