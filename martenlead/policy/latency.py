"""Response times as they are usual: histograms that forget, and what is read from them.

The design takes warm run latencies where responses tell of them, and the lower quartile of all
latencies where they do not (docs/design.md, "Kept"; the paper's equation 1 needs them for Rmax). A
worker's pace is how many times longer than usual its responses take (docs/design.md, "Health").
Latencies are whole nanoseconds.
"""

from __future__ import annotations

import math

from martenlead.policy.types import Settings

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
USUAL_RATIO = (
    SECOND // 10
)  # how a response that took as long as usual is noted in a histogram of ratios
BINS = 24  # the last begins at 11 s, beyond any latency objective that a response still meets
LOG_BIN_RATIO = math.log(
    1.5
)  # each bin is half as wide again as the one before: a quantile is right to a fifth
HALVED_ABOVE = 60  # responses: enough for a quartile, and few enough that a change shows soon
EARLIER_RUN_RESPONSES = 3.0  # at most, that an earlier run counts for: new ones soon outweigh it
LOWER_QUARTILE = 0.25
PRIOR_RESPONSES = 2  # at the usual pace, that a worker is taken to have given before its first


class LatencyHistogram:
    """Latencies in bins of growing size; many counts are halved, so that old ones decay."""

    def __init__(self) -> None:
        self.bins = [0.0] * BINS
        self.total = 0.0
        self.sum_ns = 0.0

    def add(self, latency_ns: int) -> None:
        """Counts one latency."""
        place = int(math.log(max(latency_ns, MILLISECOND) / MILLISECOND) / LOG_BIN_RATIO)
        self.bins[min(place, BINS - 1)] += 1
        self.total += 1
        self.sum_ns += latency_ns
        if self.total > HALVED_ABOVE:
            self.halve()

    def halve(self) -> None:
        """Makes all that was added count for half."""
        self.bins = [count / 2 for count in self.bins]
        self.total /= 2
        self.sum_ns /= 2

    def blend(self, bins: list[float], sum_ns: float, weight: float) -> None:
        """Adds the histogram of an earlier run with the weight of a few responses."""
        earlier = sum(bins)
        if len(bins) == len(self.bins) and earlier:
            weight *= min(1.0, EARLIER_RUN_RESPONSES / earlier)
            self.bins = [count + weight * more for count, more in zip(self.bins, bins, strict=True)]
            self.total += weight * earlier
            self.sum_ns += weight * sum_ns

    def quantile(self, share: float) -> int:
        """The latency below which that share lies, interpolated within its bin; 0 if empty."""
        left = share * self.total
        for place, count in enumerate(self.bins):
            if count >= left and count:
                return int(MILLISECOND * math.exp(LOG_BIN_RATIO * (place + max(0.1, left / count))))
            left -= count
        return 0

    def mean(self) -> int:
        """The mean; 0 where nothing was added."""
        return int(self.sum_ns / self.total) if self.total else 0


class LatencyEstimates:
    """What this dispatcher takes for the usual latency of a warm run."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.all_functions = LatencyHistogram()

    def warm_run_ns(self, histogram: LatencyHistogram) -> int:
        """The usual latency of a warm run.

        The mean where only warm runs were added; else the lower quartile, which cold starts do not
        reach.
        """
        if self.settings.tells_warmth:
            return histogram.mean()
        return histogram.quantile(LOWER_QUARTILE)

    def pace(self, ratios: LatencyHistogram) -> float:
        """How many times longer than usual a worker takes, for slow cores or others' requests."""
        mean = self.warm_run_ns(ratios)
        return (PRIOR_RESPONSES + mean * ratios.total / USUAL_RATIO) / (
            PRIOR_RESPONSES + ratios.total
        )
