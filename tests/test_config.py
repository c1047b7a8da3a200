"""Settings: an error is reported in one line with file, path and what was expected."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from click.testing import CliRunner

from martenlead.cli.main import commands
from martenlead.config.edge import EdgeSettings, build_policy_settings, read_edge_settings
from martenlead.config.load import ConfigError, build_json_schema, load
from martenlead.days.script import Day, plan

ROOT = Path(__file__).parent.parent
VALID = "{ roster: { port: 1 }, offerings: [(import 'shapes.libsonnet').offering('x', 500, 2000)] }"


def write(tmp_path: Path, text: str) -> Path:
    """Writes settings to `edge.jsonnet` and returns its path."""
    path = tmp_path / "edge.jsonnet"
    path.write_text(text)
    return path


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("{ roster: }", "{path}: "),
        ("{}", "{path}: $: Object missing required field `roster`"),
        (VALID + "+ { rooster: 1 }", "{path}: $: Object contains unknown field `rooster`"),
        (VALID + "+ { tick_ms: 'fast' }", "{path}: $.tick_ms: Expected `float`, got `str`"),
        (VALID + "+ { offerings: [] }", "{path}: $.offerings: Expected `array` of length >= 1"),
        (VALID + "+ { offerings+: super.offerings }", "{path}: $.offerings[1].name: 'x' is used twice"),
        (
            "{ roster: { port: 1 }, offerings: [{ name: 'x', soft_limit_ms: 9, hard_limit_ms: 5, "
            "effect: 'idempotent' }] }",
            "{path}: $.offerings[0].hard_limit_ms: at least soft_limit_ms was expected",
        ),
        (
            "{ roster: { port: 1 }, offerings: [{ name: 'x', soft_limit_ms: 1, hard_limit_ms: 5, "
            "effect: 'deduplicated' }] }",
            "{path}: $.offerings[0].window_ms: a deduplicated offering needs",
        ),
        (VALID + "+ { name: 'a\\r\\nx: y' }", "{path}: $.name: Expected `str` matching regex"),
        (VALID + "+ { name: 'a\\n' }", "{path}: $.name: Expected `str` matching regex"),
        (
            VALID + "+ { roster+: { host: 'h\\nx: y' } }",
            "{path}: $.roster.host: Expected `str` matching regex",
        ),
        ("import 'nothing.libsonnet'", "{path}: "),
    ],
)
def test_invalid_settings_are_reported_in_one_line(tmp_path: Path, text: str, expected: str) -> None:
    path = write(tmp_path, text)
    with pytest.raises(ConfigError) as caught:
        read_edge_settings(path)
    assert str(caught.value).startswith(expected.format(path=path))
    assert "\n" not in str(caught.value)


def test_valid_settings_are_checked_shown_and_converted(tmp_path: Path) -> None:
    path = write(tmp_path, VALID)
    shown = CliRunner().invoke(commands, ["config", "show", str(path)])
    assert json.loads(shown.output)["limits"]["open_tasks"] == 4000
    assert CliRunner().invoke(commands, ["config", "check", str(path)]).output == f"{path}: good\n"
    policy_settings, request_classes, _ = build_policy_settings(read_edge_settings(path))
    assert policy_settings.request_classes == list(request_classes.values())
    assert policy_settings.retry_after_limit_ns == 500_000_000


def test_the_schema_lists_every_setting() -> None:
    schema = build_json_schema(EdgeSettings)
    assert schema["$defs"]["EdgeSettings"]["properties"].keys() == {
        key for key in EdgeSettings.__struct_encode_fields__
    }


def test_every_day_script_and_example_is_valid() -> None:
    for path in sorted((ROOT / "days").glob("*.jsonnet")):
        planned = plan(load(path, Day), 1)
        assert plan(load(path, Day), 1) == planned
    for path in sorted((ROOT / "deploy" / "examples").glob("*.jsonnet")):
        read_edge_settings(path)


def test_an_unknown_kind_of_trouble_is_reported(tmp_path: Path) -> None:
    path = write(tmp_path, "local d = import 'day.libsonnet'; d { troubles: [{ kind: 'storm', at_s: 1 }] }")
    result = CliRunner().invoke(commands, ["day", str(path)])
    assert isinstance(result.exception, ConfigError)
    assert "'storm' is no trouble" in str(result.exception)
