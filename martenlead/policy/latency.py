"""Usual latencies, estimated from histograms in which old responses lose weight.

The estimate is the mean of warm run latencies if responses report warmth, otherwise the lower
quartile of all latencies (docs/design.md, "Kept"; the paper's equation 1 needs it for Rmax). A
worker's pace is how many times longer than usual its responses take (docs/design.md, "Health").
Latencies are whole nanoseconds.
"""

from __future__ import annotations

import math

from martenlead.policy.types import Settings

MILLISECOND = 1_000_000
SECOND = 1000 * MILLISECOND
# Value in a histogram of latency ratios of a response that took exactly the usual time.
USUAL_RATIO = SECOND // 10
# The last bin begins at 11 s, beyond any latency objective that a response still meets.
BINS = 24
# Each bin is 1.5 times as wide as the one before, so that quantiles are right within a fifth.
LOG_BIN_RATIO = math.log(1.5)
# Total above which all counts are halved: enough responses for a quartile, and few enough that a
# change of the latency shows soon.
HALVED_ABOVE = 60
# Largest number of responses that an earlier run counts for, so that new ones soon outweigh it.
EARLIER_RUN_RESPONSES = 3.0
LOWER_QUARTILE = 0.25
# Responses at the usual pace that each worker is assumed to have given before its first one.
PRIOR_RESPONSES = 2


class LatencyHistogram:
    """Latencies in bins of growing width; counts are halved above a total, so old ones decay."""

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
        """Halves the weight of all latencies added so far."""
        self.bins = [count / 2 for count in self.bins]
        self.total /= 2
        self.sum_ns /= 2

    def blend(self, bins: list[float], sum_ns: float, weight: float) -> None:
        """Adds the histogram of an earlier run, with the weight of a few responses at most."""
        earlier = sum(bins)
        if len(bins) == len(self.bins) and earlier:
            weight *= min(1.0, EARLIER_RUN_RESPONSES / earlier)
            self.bins = [count + weight * more for count, more in zip(self.bins, bins, strict=True)]
            self.total += weight * earlier
            self.sum_ns += weight * sum_ns

    def quantile(self, share: float) -> int:
        """The latency below which this share of latencies lies, interpolated; 0 if empty."""
        left = share * self.total
        for place, count in enumerate(self.bins):
            if count >= left and count:
                return int(MILLISECOND * math.exp(LOG_BIN_RATIO * (place + max(0.1, left / count))))
            left -= count
        return 0

    def mean(self) -> int:
        """The mean latency; 0 if empty."""
        return int(self.sum_ns / self.total) if self.total else 0


class LatencyEstimates:
    """This dispatcher's estimates of the usual latency of a warm run."""

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.all_functions = LatencyHistogram()

    def warm_run_ns(self, histogram: LatencyHistogram) -> int:
        """The usual latency of a warm run.

        The mean if only warm runs were added, otherwise the lower quartile, which cold starts do
        not affect.
        """
        if self.settings.tells_warmth:
            return histogram.mean()
        return histogram.quantile(LOWER_QUARTILE)

    def pace(self, ratios: LatencyHistogram) -> float:
        """How many times longer than usual a worker takes, due to slow cores or other requests."""
        mean = self.warm_run_ns(ratios)
        return (PRIOR_RESPONSES + mean * ratios.total / USUAL_RATIO) / (
            PRIOR_RESPONSES + ratios.total
        )
