"""Renders the page of an experiment: one self-contained HTML file with its figures, tables and plots."""

from __future__ import annotations

import html
import io
import json
from collections import defaultdict
from collections.abc import Callable
from statistics import fmean
from typing import Any

from martenlead.emulator.experiment import Comparison, Plan, compare
from martenlead.emulator.job import Outcome

STYLE = """body{font:15px/1.5 system-ui,sans-serif;max-width:1000px;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;text-align:right;
border-bottom:1px solid #ddd}
td:first-child,th:first-child{text-align:left}svg{max-width:100%;height:auto}
.better{color:#064}.worse{color:#a20}"""


def render_page(plan: Plan, outcomes: list[Outcome]) -> str:
    """Returns the whole page as HTML."""
    parts = [f"<h1>{html.escape(plan.name)}</h1>"]
    breaches = [outcome.breaches for outcome in outcomes if outcome.breaches is not None]
    audited = (
        f"{sum(breaches)} breaches of the rules in {len(breaches)} audited days" if breaches else "no audit"
    )
    parts.append(
        f"<p>{len(outcomes)} emulated days, {sum(outcome.tasks for outcome in outcomes)} tasks, "
        f"seeds 1 to {plan.seeds}; "
        f"{audited}. Virtual time: nothing here was measured on sockets.</p>"
    )
    parts += ["<h2>Service</h2>", render_table(compare(outcomes, plan.baseline))]
    for figure, title in (("loads", "Loads"), ("p99_ms", "p99 of latency, ms")):
        parts += [f"<h2>{title}</h2>", render_table(compare(outcomes, plan.baseline, figure))]
    for title, svg in render_plots(plan, outcomes).items():
        parts += [f"<h2>{html.escape(title)}</h2>", svg]
    body = "\n".join(parts)
    return (
        f'<!doctype html><html lang="en"><meta charset="utf-8"><title>{html.escape(plan.name)}</title>'
        f"<style>{STYLE}</style><body>{body}</body></html>\n"
    )


def render_plots(plan: Plan, outcomes: list[Outcome]) -> dict[str, str]:
    """Returns the plots of the page as SVG by title."""
    svg_by_title = {f"Service over {axis}": plot_service(plan, outcomes, axis) for axis in plan.axes}
    svg_by_title["Latency"] = plot_latencies(outcomes)
    svg_by_title["Loads over time"] = plot_over_time(outcomes, lambda second: second.loads, "loads a second")
    worst = min(outcomes, key=lambda outcome: outcome.worst_ten_seconds)
    if plan.minute_of is not None and plan.minute_of < len(outcomes):
        worst = outcomes[plan.minute_of]
    svg_by_title["A bad minute"] = plot_bad_minute(worst)
    return svg_by_title


def render_table(compared: list[Comparison]) -> str:
    """Returns comparisons with the baseline as an HTML table."""
    rows = []
    for comparison in compared:
        same = comparison.low <= 0 <= comparison.high
        css_class = "" if same else "better" if comparison.difference > 0 else "worse"
        interval = (
            ""
            if comparison.policy == ""
            else f"{comparison.difference:+.3f} ({comparison.low:+.3f} to {comparison.high:+.3f})"
        )
        rows.append(
            f"<tr><td>{html.escape(comparison.script)} {html.escape(format_axes(comparison.at))}</td>"
            f"<td>{html.escape(comparison.policy)}</td>"
            f'<td>{comparison.mean:.3f}</td><td class="{css_class}">{interval}</td>'
            f"<td>{comparison.seeds}</td></tr>"
        )
    head = "<tr><th>day</th><th>policy</th><th>mean</th><th>against the baseline, 95%</th><th>seeds</th></tr>"
    return f"<table>{head}{''.join(rows)}</table>"


def format_axes(at: str) -> str:
    """Returns the axis values of a job (JSON) as readable text."""
    return ", ".join(f"{name} {value}" for name, value in json.loads(at).items())


def render_svg(draw: Callable[[Any], None], size: tuple[float, float] = (8, 4)) -> str:
    """Returns a plot as SVG: the same bytes for the same figures."""
    import matplotlib

    matplotlib.use("svg")
    from matplotlib import pyplot

    with pyplot.rc_context({"svg.hashsalt": "martenlead", "svg.fonttype": "none", "font.size": 10}):
        figure, axes = pyplot.subplots(figsize=size)
        draw(axes)
        axes.grid(alpha=0.3)
        handles, _ = axes.get_legend_handles_labels()
        if handles:
            axes.legend(fontsize=8)
        svg = io.StringIO()
        figure.savefig(svg, format="svg", bbox_inches="tight", metadata={"Date": None})
        pyplot.close(figure)
    return svg.getvalue()[svg.getvalue().index("<svg") :]


def plot_service(plan: Plan, outcomes: list[Outcome], axis: str) -> str:
    """Plots service over an axis, one line per policy: the mean over the seeds and all other axes."""
    points_by_policy: dict[str, dict[Any, list[float]]] = defaultdict(lambda: defaultdict(list))
    for outcome in outcomes:
        at = json.loads(outcome.at)
        points_by_policy[outcome.policy][
            at[axis] if not isinstance(at[axis], dict) else json.dumps(at[axis])
        ].append(outcome.service)

    def draw(axes: Any) -> None:
        numbers = all(isinstance(x, (int, float)) for points in points_by_policy.values() for x in points)
        for policy, points in points_by_policy.items():
            xs = sorted(points) if numbers else list(points)
            axes.plot(xs, [fmean(points[x]) for x in xs], marker="o", label=policy)
        if numbers and len({x for p in points_by_policy.values() for x in p}) > 2:
            xs = [x for p in points_by_policy.values() for x in p]
            if min(xs) > 0 and max(xs) / min(xs) >= 8:
                axes.set_xscale("log")
        axes.set_xlabel(axis)
        axes.set_ylabel("service")

    return render_svg(draw)


def plot_latencies(outcomes: list[Outcome]) -> str:
    """Plots, by policy, the share of succeeded requests that took longer than a latency."""
    bins_by_policy: dict[str, dict[float, int]] = defaultdict(lambda: defaultdict(int))
    for outcome in outcomes:
        for bin_ in outcome.latency:
            bins_by_policy[outcome.policy][bin_.ms] += bin_.count

    def draw(axes: Any) -> None:
        for policy, bins in bins_by_policy.items():
            total, xs, ys, so_far = sum(bins.values()), [], [], 0
            for ms in sorted(bins):
                so_far += bins[ms]
                xs.append(ms)
                ys.append(1 - so_far / total if total else 0)
            axes.plot(xs, [max(y, 1e-5) for y in ys], label=policy)
        axes.set_xscale("log")
        axes.set_yscale("log")
        axes.set_xlabel("ms from the first try")
        axes.set_ylabel("part of the satisfied that took longer")

    return render_svg(draw)


def plot_over_time(outcomes: list[Outcome], figure: Callable[[Any], float], name: str) -> str:
    """Plots a figure over the seconds of the day, by policy, as the mean over its days."""
    points_by_policy: dict[str, dict[int, list[float]]] = defaultdict(lambda: defaultdict(list))
    days: dict[str, int] = defaultdict(int)
    for outcome in outcomes:
        days[outcome.policy] += 1
        for second in outcome.seconds:
            points_by_policy[outcome.policy][second.second].append(figure(second))

    def draw(axes: Any) -> None:
        for policy, points in points_by_policy.items():
            xs = sorted(points)
            axes.plot(xs, [sum(points[x]) / days[policy] for x in xs], label=policy)
        axes.set_xlabel("second of the day")
        axes.set_ylabel(name)

    return render_svg(draw)


def plot_bad_minute(outcome: Outcome) -> str:
    """Plots the worst ten seconds of a day with the minute around them."""
    worst_service, start_index = 2.0, 0
    for start in range(max(1, len(outcome.seconds) - 9)):
        span = outcome.seconds[start : start + 10]
        offered = sum(second.wanted for second in span)
        if offered and sum(second.earned for second in span) / offered < worst_service:
            worst_service, start_index = sum(second.earned for second in span) / offered, start
    shown = outcome.seconds[max(0, start_index - 25) : start_index + 35]

    def draw(axes: Any) -> None:
        xs = [second.second for second in shown]
        axes.plot(
            xs, [second.earned / second.wanted if second.wanted else 0 for second in shown], label="service"
        )
        top = max([second.wanted for second in shown] + [1])
        axes.plot(
            xs, [second.wanted / top for second in shown], label=f"revenue asked for, of {top:.0f} a second"
        )
        loads = max([second.loads for second in shown] + [1])
        axes.plot(xs, [second.loads / loads for second in shown], label=f"loads begun, of {loads} a second")
        if outcome.seconds:
            axes.axvspan(
                outcome.seconds[start_index].second, outcome.seconds[start_index].second + 10, alpha=0.1
            )
        axes.set_xlabel("second of the day")

    about = (
        f"{html.escape(outcome.script)} {html.escape(format_axes(outcome.at))}, "
        f"{html.escape(outcome.policy)}, seed {outcome.seed}"
    )
    return f"<p>{about}: service {worst_service:.3f} in its worst ten seconds.</p>{render_svg(draw)}"
