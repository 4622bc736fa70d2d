"""A small histogram of few coarse bins. Its edges and how much it keeps are the caller's choice."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import pairwise


class Histogram:
    """Counts in coarse bins, halved when `keep` are in, so that what is old fades."""

    def __init__(self, edges: Sequence[float], keep: int) -> None:
        self.edges = edges
        self.counts = [0.0] * (len(edges) + 1)
        self.total, self.keep = 0.0, keep
        self.quantile_cache: dict[float, float] = {}  # since the last addition; asked far more often

    def add(self, value: float) -> None:
        """Counts a value; at `keep` values all counts are halved, so that old ones fade."""
        self.counts[next((i for i, edge in enumerate(self.edges) if value <= edge), len(self.edges))] += 1
        self.total += 1
        self.quantile_cache.clear()
        if self.total >= self.keep:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, q: float) -> float:
        """Even spread within a bin; the last bin is taken to end at twice the last edge. 0 where empty."""
        if q not in self.quantile_cache:
            self.quantile_cache[q] = self._compute_quantile(q)
        return self.quantile_cache[q]

    def _compute_quantile(self, q: float) -> float:
        seen, lower = 0.0, 0.0
        for count, edge in zip(self.counts, (*self.edges, 2 * self.edges[-1]), strict=True):
            if count and seen + count >= q * self.total:
                return lower + (edge - lower) * (q * self.total - seen) / count
            seen, lower = seen + count, edge
        return 0.0

    def rescale(self, factor: float) -> None:
        """All values are `factor` times what they were; each bin's are taken to spread evenly over it."""
        bounds = (0.0, *self.edges, 2 * self.edges[-1])
        counts = [0.0] * len(self.counts)
        for count, (low, high) in zip(self.counts, pairwise(bounds), strict=True):
            if count:
                for index, share in self._overlaps(low * factor, high * factor):
                    counts[index] += count * share
        self.counts = counts
        self.quantile_cache.clear()

    def _overlaps(self, low: float, high: float) -> Iterator[tuple[int, float]]:
        """The bins that a span reaches into, with the part of it in each; the last bin has no end."""
        bounds = (0.0, *self.edges, float("inf"))
        for index, (begin, end) in enumerate(pairwise(bounds)):
            overlap = min(high, end) - max(low, begin)
            if overlap > 0:
                yield index, overlap / (high - low)
