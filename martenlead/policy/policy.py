"""Every decision of a dispatcher: where a task goes, which copies are held, what is given up; docs/design.md.

Called by engine.py: `background` and `task` give generators that yield what they want done and are resumed
with what came of it; `heard`, `ordered`, `closed` and `roster` tell what was observed. `runner` and `model`
make the objects that stand for ids at the door. The types of both directions stand in interface.py.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Iterator
from dataclasses import replace
from random import Random
from typing import Any

from martenlead.policy import types as io
from martenlead.policy.candidates import RANKED_WHOLE, CandidateIndex, Ranking

MS = 1_000_000
SECOND = 1000 * MS
HIGH, LOW = 0.8, 0.6  # the design's dead band
NEW_COPIES = 2  # a model and period, as the design starts; as many again as are held, once that is more
FIRST_PERIOD = SECOND // 4
ENOUGH, LONG = 16, 8  # tasks, or else periods, that a model's rate is taken from
GAPS = 6  # a last copy is kept for so many of the model's mean gaps
CREDIT_EARNED, CREDIT_MOST = 0.2, 10.0  # an answer earns, a further hand-off costs 1
FIRST_WIDTH, LEAST_WIDTH = 16.0, 4.0  # of all dispatchers together, at one runner
RENEWERS = 3  # front ends that renew a copy, of all that hold it
CHOICES = 6  # runners of the shared order that a new copy is chosen from, of all dispatchers together
CROWDED = 1.3  # own tasks at a runner, against its part of all that are out
FAIR = 0.5  # of a runner's part of all tasks: what one copy counts for at most
LATE = 0.2  # a part of answers that long tasks alone do not make late
FADING = 0.99  # a period: what is left of the best rate seen, which has to outlast a release
NEWS = 4  # answers that tell a runner's pace: where few come, they are kept for longer
KNOWN = 3.0  # answers that a model's latencies of an earlier life count for at most
SORTED = 1024  # models up to which those with most tasks are checked first; beyond, the last asked for
CHECKED, SLICE = 64, MS  # models that are checked at once, and the time until the next of them
KEPT = 64  # copies of a model; beyond, what is not in use is forgotten
FADED = 0.01  # tasks of a model that its rate still counts: it is checked no more
GROWTH = 0.4  # of the ration is for new copies: renewals need the rest, and the store its peace
SPARE = 0.3  # of a runner's width is kept from repeated tasks and those over their customer's share
FAILED = frozenset({io.Result.ERROR, io.Result.BROKEN})  # the runner's fault, or else the task's
UNHEARD = frozenset({io.Result.UNREACHED, io.Result.BROKEN})
BAD_TASK = 2  # runners where it ended in an error: it would at the others too
APART = 20 * MS  # errors that come closer than that at a runner are one
FAILING = 0.4  # of a runner's last answers for an offering: from there on it gets trials only
PAR = SECOND // 10
BIN = math.log(1.5)


class Histogram:
    """Latencies in bins half as wide again as the last, halved once they hold much: old news fades."""

    def __init__(self) -> None:
        self.bins = [0.0] * 24
        self.total = self.sum = 0.0

    def add(self, lag: int) -> None:
        at = int(math.log(max(lag, MS) / MS) / BIN)
        self.bins[min(at, 23)] += 1
        self.total += 1
        self.sum += lag
        if self.total > 60:
            self.halve()

    def halve(self) -> None:
        self.bins = [n / 2 for n in self.bins]
        self.total /= 2
        self.sum /= 2

    def blend(self, bins: list[float], sum_: float, worth: float) -> None:
        """Adds what was seen in an earlier life, as a few answers: what comes now soon says more than it."""
        seen = sum(bins)
        if len(bins) == len(self.bins) and seen:
            worth *= min(1.0, KNOWN / seen)
            self.bins = [n + worth * more for n, more in zip(self.bins, bins, strict=True)]
            self.total += worth * seen
            self.sum += worth * sum_

    def quantile(self, share: float) -> int:
        left = share * self.total
        for at, n in enumerate(self.bins):
            if n >= left and n:
                return int(MS * math.exp(BIN * (at + max(0.1, left / n))))
            left -= n
        return 0

    def mean(self) -> int:
        return int(self.sum / self.total) if self.total else 0


class Copy:
    """One runner's copies of one model, as this dispatcher believes in them."""

    def __init__(self, runner: Runner, model: Model) -> None:
        self.runner, self.model = runner, model
        self.latency = Histogram()
        self.out = 0
        self.held = False  # by an order of ours, to be renewed
        self.stands = False  # loaded, to our knowledge
        # last use or order, from which the idle time runs at the earliest; when an order for it failed
        self.touched = self.refused = -1 << 62
        self.ordered = 0  # the order still out, since when


class Runner:
    def __init__(self, facts: io.RunnerFacts, now: int, width: float) -> None:
        self.facts = facts
        self.listed = False
        self.copies: dict[Model, Copy] = {}
        self.out = self.running = 0  # hand-offs, and those of them that should have met a copy
        self.width, self.credit = width, 1.0
        self.fulls = self.silent = 0  # turned away, or unanswered, in a row
        self.late = 0.0  # part of the last answers that came late
        self.failed: dict[io.Offering, float] = {}  # part of the last answers that were errors
        self.failed_last = -1 << 62
        self.heard = now
        self.widened = self.waiting = self.next = 0  # waiting: since when an answer is overdue
        self.ramp = 0  # the start that `next` was drawn for
        self.ratio = Histogram()  # of PAR, an answer that took as long as usual


class Model:
    def __init__(self, facts: io.ModelFacts, now: int) -> None:
        self.facts = facts
        self.copies: dict[Runner, Copy] = {}
        self.latency = Histogram()
        self.home: Runner | None = None
        self.ranking = Ranking(facts.mark)
        self.second = self.first = now
        self.counts = [0, 0]  # tasks of this second, this period
        self.seen = self.cost = self.most = 0.0  # tasks within span; mean of the hints; Rmax
        self.span = 0
        self.last = self.tasks = self.added = 0


class Brain:
    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings = settings
        self.pick = Random(seed).random
        self.now = 0
        self.index = CandidateIndex()
        self.runners: list[Runner] = self.index.workers
        self.weight = 0.0  # of all workers, the most that was listed lately
        self.models: dict[Model, None] = {}
        self.unchecked: deque[Model] = deque()  # of this period
        self.paced: dict[Runner, None] = {}  # those that answered lately
        self.latency = Histogram()
        self.taken: deque[int] = deque()
        self.orders: deque[int] = deque()  # when each was given, once it has ended by when it had arrived
        self.going: dict[io.Order, int] = {}  # not ended, since when: they may arrive at any time
        self.rate = self.best = self.asked = 0.0  # a second: satisfied, the best of it, first tried
        self.peers: float = settings.front_ends  # how many like this one carry all tasks
        self.satisfied = self.first_tries = self.running = self.span = 0
        self.served: dict[io.Customer, int] = {}
        self.rates: dict[io.Customer, float] = {}
        self.period = max(SECOND, settings.keep // 4)  # renewals need a few periods within the keep-alive
        self.soft = min((o.soft_limit for o in settings.offerings), default=SECOND)

    # -- objects for the door, and news of the roster

    def runner(self, facts: io.RunnerFacts) -> Runner:
        return Runner(facts, self.now, FIRST_WIDTH / self.settings.front_ends)

    def model(self, facts: io.ModelFacts) -> Model:
        model = Model(facts, self.now)
        if len(self.models) >= self.settings.functions:
            idle = (m for m in self.models if not any(c.out or c.ordered for c in m.copies.values()))
            self.drop(next(idle, model))
        self.models[model] = None
        return model

    def drop(self, model: Model) -> None:
        """Forgets a model, and what is known of its copies. It comes back by its next task."""
        for runner in model.copies:
            del runner.copies[model]
        model.copies, model.home = {}, None
        self.models.pop(model, None)

    def roster(self, news: Iterable[tuple[Any, io.RunnerFacts]], whole: bool) -> None:
        told = dict(news := list(news))
        for runner, facts in news:
            if facts.since != runner.facts.since and runner.listed:
                self.forget(runner)
            self.enlist(runner, facts)
        for runner in [r for r in self.runners if r not in told] if whole else []:
            self.enlist(runner, replace(runner.facts, state=io.State.GONE))
        for runner in told:
            if runner.facts.state is not io.State.UP:
                self.forget(runner)

    def enlist(self, runner: Runner, facts: io.RunnerFacts) -> None:
        before, listed = runner.facts, facts.state is not io.State.GONE
        same = (before.weight, before.memory) == (facts.weight, facts.memory)
        if runner.listed and not (listed and same):
            self.index.remove(runner)
        runner.facts = facts
        if listed and not (runner.listed and same):
            self.index.add(runner)
        runner.listed = listed

    def forget(self, runner: Runner) -> None:
        """A process that restarted or goes holds nothing that was held before."""
        for copy in runner.copies.values():
            copy.held = copy.stands = False
        runner.silent = runner.waiting = 0
        runner.heard = self.now

    def remember(self, past: io.Past) -> None:
        """What an earlier life of this dispatcher had learnt, for what its age leaves of it. Copies are not
        among it: they are asked for. Orders count in the ration, whoever lived when they were given."""
        self.rate = max(self.rate, past.rate * past.worth)
        self.asked = max(self.asked, past.asked * past.worth)
        self.orders.extendleft(sorted((self.now - age for age in past.orders), reverse=True))
        for told in past.models:
            model: Model = told.model
            model.latency.blend(told.bins, told.lag, told.latency_worth)
            model.seen += told.tasks * told.demand_worth
            model.span += int(told.span * told.demand_worth)
            if told.gap and not model.tasks:
                model.tasks, model.last = 2, self.now - told.idle
                model.first = model.last - told.gap
        for known in past.runners:
            # a runner that was slow then is found slow again; one that is not must not be starved for it
            known.runner.width += max(0.0, known.width - known.runner.width) * known.worth

    # -- what is asked of the fleet

    def background(self) -> list[io.Steps]:
        return [self.checks(), *([self.ask_roster()] if self.settings.asks_roster else [])]

    def ask_roster(self) -> io.Steps:
        while True:
            yield io.AskRoster()
            yield io.Wait(self.now + self.settings.roster_every)

    def checks(self) -> io.Steps:
        """The periodic check of every model, the ones with most tasks first."""
        yield io.Wait(self.now + int(self.pick() * FIRST_PERIOD))  # many dispatchers must not check in step
        born = last = self.now
        while True:
            # one just born holds nothing: its first periods are short, that its copies may double soon
            period = SLICE if self.unchecked else min(self.period, max(FIRST_PERIOD, self.now - born))
            yield io.Wait(self.now + period)
            if self.unchecked:
                yield from self.check_some()
                continue
            self.span, last = self.now - last, self.now
            rate = self.satisfied * SECOND / self.span
            self.rate = (self.rate + rate) / 2 if self.rate else rate
            self.best = max(self.rate, FADING * self.best)
            self.weight = max(self.index.weight, FADING * self.weight)
            asked, self.first_tries, self.satisfied = self.first_tries * SECOND / self.span, 0, 0
            self.asked = (self.asked + asked) / 2 if self.asked else asked
            # one that carries far more than its part must not take itself for the mean of many
            peers = self.settings.quota / max(self.asked, 1e-9)
            self.peers = max(1.0, peers) if 4 * peers < self.settings.front_ends else self.settings.front_ends
            for customer, tasks in self.served.items():
                self.rates[customer] = (self.rates.get(customer, 0.0) + tasks * SECOND / self.span) / 2
                self.served[customer] = 0
            for runner in [r for r in self.paced if r.ratio.total > NEWS]:
                runner.ratio.halve()
            self.paced = {r: None for r in self.paced if r.ratio.total > NEWS}
            self.unchecked.extend(reversed(self.models))
            if len(self.unchecked) <= SORTED:
                self.unchecked = deque(sorted(self.models, key=lambda m: (-m.counts[1], m.facts.mark)))
            yield from self.check_some()

    def check_some(self) -> io.Steps:
        """Of many models, some at once: a check of all would hold up the requests that come meanwhile."""
        for _ in range(min(CHECKED, len(self.unchecked))):
            model = self.unchecked.popleft()
            self.tidy(model)
            model.seen += model.counts[1]
            model.span += self.span
            model.counts, model.added, model.second = [0, 0], 0, self.now
            if model.copies:
                yield from self.check(model, model.seen, model.span)
            if model.seen > ENOUGH or model.span > LONG * self.period:
                model.seen, model.span = model.seen / 2, model.span // 2

    def tidy(self, model: Model) -> None:
        """Runners that are gone and models that nobody asks for come without end."""
        used = {r for r, c in model.copies.items() if c.held or c.out or c.ordered or self.warm(c)}
        for runner in [r for r in model.copies if r not in used]:
            if not runner.listed or len(model.copies) > KEPT:
                del model.copies[runner], runner.copies[model]
        if model.home is not None and (model.home not in model.copies or not model.home.listed):
            model.home = None
        if model.seen < FADED and not model.counts[1] and not used:
            self.drop(model)

    def check(self, model: Model, seen: float, span: int) -> io.Steps:
        """R is this rate times the front ends, which multiplies chance too: by one deviation of the count,
        copies are added on the least that R may be and released on the most."""
        if not self.settings.orders:
            return
        need, chance = seen * self.peers * SECOND / span, 1 / math.sqrt(max(seen, 1))
        held = [c for c in model.copies.values() if c.held and self.usable(c.runner)]
        most = sum(self.capacity(c) for c in held)
        bound = max(NEW_COPIES, len(held))
        while need * (1 - chance) >= HIGH * most and model.added < bound and self.wanted(model):
            runner = self.next_place(model)
            if runner is None:
                break
            copy = self.copy(model, runner)
            if not self.may_order(runner, GROWTH):
                break
            copy.held = True
            if not (copy.stands and copy.touched + self.settings.keep // 2 > self.now):
                yield self.order(copy)
            most += self.capacity(copy)
            held.append(copy)
            model.added += 1
        if not model.added and need * (1 + chance) < LOW * most and len(held) > 1:
            rank = {runner: place for place, runner in enumerate(self.shared_order(model, len(held)))}
            weakest = min(held, key=lambda c: (self.capacity(c), -rank.get(c.runner, len(rank))))
            if need <= HIGH * (most - self.capacity(weakest)):
                weakest.held = False
                held.remove(weakest)
        model.most = sum(self.capacity(c) for c in held)
        if len(held) == 1 and not self.wanted(model):
            held.pop().held = False
        for copy in held:
            if self.now - copy.touched > self.settings.keep // 2 and not copy.ordered:
                if self.pick() * self.settings.front_ends > RENEWERS:
                    copy.touched = self.now  # all hold the same copies: the renewals are the fleet's
                elif self.may_order(copy.runner):
                    yield self.order(copy)
                elif self.now - copy.touched > self.settings.keep:
                    copy.held = copy.stands = False

    def wanted(self, model: Model) -> bool:
        """One-off models deserve no copies; the others are kept for some of their mean gaps."""
        if model.tasks < 2:
            return False
        gap = (model.last - model.first) // (model.tasks - 1)
        return self.now - model.last < min(max(self.period, GAPS * gap), self.worth_holding(model))

    def worth_holding(self, model: Model) -> float:
        """How long a copy may stand idle for one task before its memory costs more than a miss does."""
        s = self.settings
        memory = self.index.memory / max(model.facts.memory, 1.0)
        tasks = max(self.rate, 1.0) * self.peers / SECOND
        missed = 1 - s.late_revenue + s.fetch_price
        return missed * memory / (s.memory_price * tasks) if s.memory_price else math.inf

    def capacity(self, copy: Copy) -> float:
        if copy.runner.fulls > 1 or self.fails(copy.runner):
            return 0.0  # a runner that turns tasks away meets no soft limit: copies grow elsewhere
        own, all_copies = copy.latency, copy.model.latency
        lag = self.run_latency(own if own.total >= 3 else all_copies)
        lag = lag or self.run_latency(self.latency) or self.soft // 4
        if lag > max(self.soft, 1.5 * self.run_latency(all_copies)):
            return 0.0
        rate = self.rate or math.inf  # a dispatcher just born must not take all copies for weak and load more
        fair = FAIR * rate * self.peers * copy.runner.facts.weight / (self.index.weight or 1.0)
        return min(copy.model.facts.lanes * SECOND / lag, max(1.0, fair))

    def run_latency(self, latency: Histogram) -> int:
        return latency.mean() if self.settings.tells_warm else latency.quantile(0.25)

    def shared_order(self, model: Model, replicas: int = 0) -> Iterator[Runner]:
        return model.ranking.candidates(self.index, replicas)

    def next_place(self, model: Model) -> Runner | None:
        """The least loaded of the next few in the shared order: a few dispatchers see alike and choose alike,
        of many each sees little, so that only the plain next one brings their copies together."""
        free: list[Runner] = []
        for runner in self.shared_order(model, len(model.copies)):
            copy = model.copies.get(runner)
            if len(free) >= max(1, CHOICES // self.settings.front_ends):
                break
            if not self.usable(runner) or self.cold(runner) or self.fails(runner):
                continue
            if copy and self.warm(copy) and not copy.held and not self.crowded(runner):
                return runner  # what stands already costs no load
            if copy is None or not (copy.held or self.now < copy.refused + self.settings.keep // 2):
                free.append(runner)
        return min(free, key=self.busy, default=None)

    def order(self, copy: Copy) -> io.Order:
        order = io.Order(copy.runner, copy.model, 1)
        copy.ordered = copy.touched = self.now
        if self.settings.ration_window:
            self.going[order] = self.now
            self.orders.append(self.now)
        return order

    def may_order(self, runner: Runner, part: float = 1.0) -> bool:
        """The ration, counted with a tick to spare on both sides, and the drain rule for orders. It counts an
        order as it arrives, against the tasks before that, and a new connection may take its time."""
        s = self.settings
        if not s.ration_window:
            return self.may_go(runner)
        since = self.now - s.ration_window
        while self.orders and self.orders[0] < since - 2 * s.tick:
            self.orders.popleft()
        while self.going and next(iter(self.going.values())) < since - s.ration_window:
            del self.going[next(iter(self.going))]  # its end was never told
        while self.taken and self.taken[0] < since + s.reach + 2 * s.tick:
            self.taken.popleft()
        given = len(self.orders) + sum(at < since - 2 * s.tick for at in self.going.values())
        return self.may_go(runner) and given + 1 <= part * (s.ration_free + s.ration_share * len(self.taken))

    def ordered(self, order: io.Order, result: io.Result, copies: int) -> None:
        given = self.going.pop(order, None)
        if given is not None:  # answered or not, it may have arrived as late as now: a runner was cut off
            if given in self.orders:
                self.orders.remove(given)
            self.orders.append(self.now)
        copy = self.copy(order.model, order.runner)
        copy.ordered = 0
        new = not copy.stands
        copy.stands = result in (io.Result.SATISFIED, io.Result.FULL, io.Result.ERROR) and copies > 0
        if copy.stands and new and self.pick() * sum(c.held for c in copy.model.copies.values()) < 1:
            copy.model.home = copy.runner  # else all that hold the same copies stick to the first
        if result in (io.Result.SATISFIED, io.Result.FULL, io.Result.ERROR):
            self.alive(order.runner)
        if not copy.stands:
            copy.held, copy.refused = False, self.now

    # -- which runner may take what

    def may_go(self, runner: Runner) -> bool:
        return runner.listed and runner.facts.state is io.State.UP

    def usable(self, runner: Runner) -> bool:
        return self.may_go(runner) and not self.quiet(runner)

    def quiet(self, runner: Runner) -> bool:
        """Answers that stop: unreachable, or tasks out and nothing heard for long. One trial now and then."""
        if runner.silent >= 2:
            return self.now < runner.waiting + SECOND
        return runner.out > 0 and self.now - max(runner.heard, runner.waiting) > 2 * self.soft

    def fails(self, runner: Runner, offering: io.Offering | None = None) -> bool:
        """What fails at once stands idle and looks the least busy, so that it draws ever more tasks."""
        parts = runner.failed.values() if offering is None else (runner.failed.get(offering, 0.0),)
        return max(parts, default=0.0) > FAILING and self.now < runner.failed_last + SECOND

    def alive(self, runner: Runner) -> None:
        runner.heard = self.now
        runner.silent = 0

    def cold(self, runner: Runner) -> bool:
        return bool(runner.facts.since) and self.now - runner.facts.since < self.settings.cold

    def cold_gap(self, runner: Runner, requests: float = 1.0) -> int:
        """Time in which a cold worker may get that many requests of this dispatcher: its part of the ramp.
        Each counts what it satisfied itself, so uneven traffic keeps the sum; the best, as a release lowers
        it, but no more than is asked now, as the best of a few requests is mostly chance."""
        s = self.settings
        growth = (1 - s.cold_from) / max(s.cold, 1)
        share = s.cold_from + growth * max(0, self.now - runner.facts.since)  # clocks of workers may be ahead
        part = runner.facts.weight / max(self.weight, self.index.weight, 1e-9)
        rate = s.fall_multiple * min(self.best, self.asked) * part
        need = requests * SECOND / max(rate, 1e-3) + 1  # ns that it takes a warm worker
        # solves share * gap + growth * gap ** 2 / 2 = need: of many dispatchers, a gap spans most of the ramp
        return int(2 * need / (share + math.sqrt(share**2 + 2 * growth * need)))

    def room(self, runner: Runner, spare: bool) -> bool:
        if self.cold(runner) and runner.ramp != runner.facts.since:
            if not self.best:
                return False  # begun a moment ago: its part is not known, and a guess at it would last
            runner.ramp = runner.facts.since
            runner.next = self.now + self.cold_gap(runner, self.pick())
        width = runner.width * (SPARE if spare else 1.0)
        narrow = spare and width * self.settings.front_ends < LEAST_WIDTH
        return not narrow and self.now >= runner.next and runner.running < max(1.0, width)

    def place(self, task: io.Task, but: set[Runner]) -> Runner | None:
        """Where last seen warm; else the less busy of two random holders; else next in the shared order."""
        model: Model = task.model
        known = [c for c in model.copies.values() if (self.warm(c) or c.ordered) and self.usable(c.runner)]
        wrong = [h.runner for h in task.hand_offs if h.result is io.Result.ERROR]  # not for lack of room
        known = [c for c in known if c.runner not in wrong and not self.fails(c.runner, task.offering)]
        fits = [c for c in known if c.runner not in but and self.fit(task, c.runner)]
        warm = [c for c in fits if self.warm(c)]
        warm = [c for c in warm if c.held] or warm  # what no order holds may lapse
        for copy in warm:
            if copy.runner is model.home and copy.out < model.facts.lanes and not self.crowded(model.home):
                return model.home
        holders = [c for c in warm if not self.crowded(c.runner)] or warm or fits
        if holders:
            two = [holders[int(self.pick() * len(holders))] for _ in range(2)]
            return min(two, key=lambda c: self.busy(c.runner)).runner
        for runner in self.shared_order(model, len(known)):
            if known and len(self.runners) <= RANKED_WHOLE and not self.cold(runner):
                continue  # a load would push out what others need; one just started holds nothing yet
            if runner not in but and self.fit(task, runner):
                return runner
        return None

    def pace(self, runner: Runner) -> float:
        """How many times longer than usual tasks take: slow cores and others' tasks both show."""
        ratio = runner.ratio
        return (2 + self.run_latency(ratio) * ratio.total / PAR) / (2 + ratio.total)

    def busy(self, runner: Runner) -> float:
        return self.pace(runner) * (1 + runner.running)

    def crowded(self, runner: Runner) -> bool:
        """A runner that takes much longer than usual, or has far more than its part of our tasks out."""
        return self.pace(runner) > CROWDED or runner.running > 2 + 2 * self.running / len(self.runners)

    def over_share(self, customer: io.Customer | None) -> bool:
        """Counts as over its share as large a part of a customer's tasks as is beyond its quota."""
        if customer is None or self.settings.over_share >= 1:
            return False
        rate = self.rates.get(customer, 0.0) * self.peers
        return rate > 0 and self.pick() > customer.quota / rate

    def fit(self, task: io.Task, runner: Runner) -> bool:
        return (
            self.usable(runner)
            and not self.fails(runner, task.offering)
            and (runner.credit >= 1 or not task.hand_offs)
            and self.room(runner, task.spare)
            and self.may_repeat(task, runner)
        )

    def may_repeat(self, task: io.Task, runner: Runner) -> bool:
        """No effect twice: the rule's guard, asked before each hand-off."""
        ran = [h for h in task.hand_offs if h.result not in io.NEVER_RAN]
        if not self.settings.twice_out and any(h.result is None for h in ran):
            return False
        offering = task.offering
        if not ran or offering.effect is io.Effect.IDEMPOTENT:
            return True
        if self.now >= self.begin_by(task) or offering.effect is io.Effect.UNREPEATABLE:
            return False
        a, b = ran[0].runner.facts, runner.facts
        same = a.zone == b.zone and (a.cell == b.cell or offering.group is io.Group.ZONE)
        return same or offering.group is io.Group.ALL

    def begin_by(self, task: io.Task) -> int:
        """A repeat of what may have run is dropped as one inside its window only."""
        first = next((h for h in task.hand_offs if h.result not in io.NEVER_RAN), None)
        if first is None or task.offering.effect is io.Effect.IDEMPOTENT:
            return task.give_up
        return first.sent + task.offering.window - 4 * self.settings.tick

    def may_turn_back(self, task: io.Task) -> bool:
        effect, never_ran = task.offering.effect, all(h.result in io.NEVER_RAN for h in task.hand_offs)
        if never_ran or effect is io.Effect.IDEMPOTENT:
            return True
        return effect is io.Effect.DEDUPLICATED and task.offering.group is io.Group.ALL

    # -- a task from end to end

    def task(self, task: io.Task) -> io.Steps:
        model, s = task.model, self.settings
        yield from self.count(task)
        last = task.give_up - 3 * s.tick
        tried: set[Runner] = set()
        while self.now < last and len(task.hand_offs) < s.hand_offs:
            if sum(h.result is io.Result.ERROR for h in task.hand_offs) >= BAD_TASK:
                break
            runner = self.place(task, tried)
            if runner is None and task.hand_offs and task.hand_offs[-1].result is io.Result.ERROR:
                runner = self.place(task, set())  # nobody else may have it: the same runner, once more
            if runner is None:
                break
            if task.hand_offs:
                runner.credit -= 1
            tried.add(runner)
            copy = self.copy(model, runner)
            if not s.loads_on_miss and not self.warm(copy) and not copy.ordered and self.may_order(runner):
                yield self.order(copy)
            hand_off = self.hand_off(task, runner, last)
            yield hand_off
            while hand_off.result is None and self.now <= last:  # never waits on past the give-up time
                slow = max(task.offering.soft_limit // 2, 3 * model.latency.quantile(0.95))
                answer = yield io.Wait(min(last + s.tick, self.now + slow))
                if answer is not None and answer.final:
                    return
                gone_quiet = hand_off.expected and hand_off.runner.heard < hand_off.sent
                if answer is None and gone_quiet and len(task.hand_offs) < s.hand_offs:
                    if s.twice_out:
                        break
                    if s.call_off:
                        yield io.CallOff(hand_off)
        while any(h.result is None for h in task.hand_offs):
            answer = yield io.Wait(last + s.tick)
            if answer is None or answer.final:
                break
        if any(h.result is io.Result.SATISFIED for h in task.hand_offs):
            return
        wait = min(s.turn_back_wait, task.offering.soft_limit // 2)
        yield io.TurnBack(task, wait) if self.may_turn_back(task) else io.Scrap(task)

    def closed(self, task: io.Task, left: bool) -> list[io.Action]:
        """A task that is over leaves nothing waiting. Where its client `left` with its one hand-off out, that
        may end: a runner goes on with most of what is called off, and would be taken for free meanwhile."""
        if left and task.hand_offs and task.hand_offs[0].sent in self.taken:
            self.taken.remove(task.hand_offs[0].sent)  # taken back: no room for orders
        out = [h for h in task.hand_offs if h.result is None and self.settings.call_off]
        return [] if left else [io.CallOff(h) for h in out]

    def count(self, task: io.Task) -> io.Steps:
        """A rate above Rmax runs the check at once."""
        model, s = task.model, self.settings
        self.taken.append(self.now)
        if not s.ration_window and len(self.taken) > 1:
            self.taken.popleft()
        self.models.pop(model, None)
        self.models[model] = None  # the last asked for stands last
        model.tasks += 1
        model.cost += (task.cost - model.cost) / min(model.tasks, 60)
        model.last = self.now
        task.spare = task.again or self.over_share(task.customer)
        if task.customer:
            self.served[task.customer] = self.served.get(task.customer, 0) + 1
        if self.now - model.second > SECOND:
            model.counts[0], model.second = 0, self.now
        if not task.spare:
            model.counts = [n + 1 for n in model.counts]
            self.first_tries += 1
        sure = model.counts[0] - 2 * math.sqrt(model.counts[0])  # above Rmax by more than chance
        if model.tasks > 1 and (not model.most or sure * self.peers > model.most):
            yield from self.check(model, model.counts[0], SECOND)

    def hand_off(self, task: io.Task, runner: Runner, last: int) -> io.HandOff:
        copy = self.copy(task.model, runner)
        runner.out += 1
        copy.out += 1
        if runner.out == 1:
            runner.waiting = self.now
        if self.cold(runner):
            runner.next = self.now + self.cold_gap(runner)
        elif runner.width < 1:  # of many dispatchers, less than one task each: one at times
            runner.next = self.now + int((1 / runner.width - 1) * self.run_latency(self.latency))
        by = self.begin_by(task)
        hand_off = io.HandOff(task, runner, last - self.now, self.now, int(self.warm(copy)), begin_by=by)
        if not copy.stands and not copy.ordered:
            copy.ordered = self.now
        runner.running += hand_off.expected
        self.running += hand_off.expected
        task.hand_offs.append(hand_off)
        return hand_off

    def warm(self, copy: Copy) -> bool:
        """An idle copy may lapse once its keep-alive has passed: belief in it ends there too."""
        return copy.stands and self.now < copy.touched + self.settings.keep

    def copy(self, model: Model, runner: Runner) -> Copy:
        if runner not in model.copies:
            self.models.setdefault(model)  # what has copies is checked
            model.copies[runner] = runner.copies[model] = Copy(runner, model)
        return model.copies[runner]

    # -- what answers teach

    def heard(self, answer: io.Answer) -> None:
        hand_off, result = answer.hand_off, answer.result
        task, runner, lag = hand_off.task, hand_off.runner, answer.lag
        model, copy = task.model, self.copy(task.model, runner)
        hand_off.result = result
        runner.out -= 1
        runner.running -= hand_off.expected
        self.running -= hand_off.expected
        copy.out -= 1
        if result in (io.Result.SATISFIED, io.Result.ERROR, io.Result.FULL, io.Result.MISSING):
            self.alive(runner)
        if result in (io.Result.SATISFIED, *FAILED) and answer.warmth is not io.Warmth.LOAD_FAILED:
            self.judge(hand_off, result in FAILED)
        if result is io.Result.SATISFIED:
            self.satisfied += 1
            runner.fulls = 0
            runner.credit = min(CREDIT_MOST, runner.credit + CREDIT_EARNED)
            warm = answer.warmth is io.Warmth.WARM if self.settings.tells_warm else bool(hand_off.expected)
            if model.home is None or not self.warm(model.copies[model.home]):
                model.home = runner
            copy.touched = max(copy.touched, self.now)
            copy.ordered, copy.stands = 0, True
            if warm:
                usual = self.run_latency(model.latency)
                if task.cost and model.cost:
                    usual = int(usual * task.cost / model.cost)
                if usual:
                    runner.ratio.add(PAR * lag // usual)
                    self.paced[runner] = None
                if lag > 2 * usual and model.home is runner:
                    model.home = None  # of many dispatchers, each moves on by what it meets itself
                for latency in (copy.latency, model.latency, self.latency):
                    latency.add(lag)
                self.widen(runner, lag, task.offering.soft_limit)
            elif not self.settings.tells_warm:
                model.latency.add(lag)
        elif result is io.Result.MISSING:
            copy.stands = False
        elif result is io.Result.FULL:
            self.widen(runner, 2 * task.offering.soft_limit, task.offering.soft_limit)
            runner.fulls += 1
        elif result in UNHEARD or (result is io.Result.SILENT and runner.heard < hand_off.sent):
            runner.silent, runner.waiting = runner.silent + 1, self.now
            if model.home is runner and result in UNHEARD:
                model.home = None

        if result is not io.Result.SATISFIED and not copy.out:
            copy.ordered = 0  # the load that they waited for failed, or never began

    def judge(self, hand_off: io.HandOff, failed: bool) -> None:
        """Whose fault an error is: of one that fails at a second runner too, the task's."""
        task, runner = hand_off.task, hand_off.runner
        before = [h for h in task.hand_offs if h.result in FAILED and h is not hand_off]
        part = runner.failed.get(task.offering, 0.0)
        if failed and not before and self.now < runner.failed_last + APART:
            return  # at once: a client that sends what nobody can use sends much of it
        if not failed or not before:
            runner.failed[task.offering] = part + (failed - part) / 8
            runner.failed_last = self.now if failed else runner.failed_last
        elif len(before) == 1 and before[0].runner is not runner:
            first = before[0].runner.failed
            first[task.offering] = max(0.0, first.get(task.offering, 0.0) - 1 / 8)

    def widen(self, runner: Runner, lag: int, soft: int) -> None:
        """Own tasks at a runner: one more a round in time, a fifth fewer when late, once a soft limit."""
        runner.late += ((lag > soft) - runner.late) / 8
        if lag <= soft // 2 and runner.late <= LATE and runner.running + 1 > runner.width / 2:
            runner.width += min(1 / runner.width, runner.width / 4)
        elif runner.late > LATE and lag > soft and self.now - runner.widened > soft:
            runner.widened = self.now
            runner.width = max(LEAST_WIDTH / self.settings.front_ends, runner.width * 0.8)
