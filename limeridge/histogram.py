"""A small histogram with few coarse bins. The user chooses the edges and how many values are kept."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from itertools import pairwise


class Histogram:
    """Counts values in coarse bins and halves all counts at `keep` values, so that old values fade."""

    def __init__(self, edges: Sequence[float], keep: int) -> None:
        self.edges = edges
        self.counts = [0.0] * (len(edges) + 1)
        self.total, self.keep = 0.0, keep
        self.quantile_cache: dict[float, float] = {}  # valid until the next change; read far more often

    def add(self, value: float) -> None:
        """Counts a value; at `keep` values all counts are halved."""
        self.counts[next((i for i, edge in enumerate(self.edges) if value <= edge), len(self.edges))] += 1
        self.total += 1
        self.quantile_cache.clear()
        if self.total >= self.keep:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, q: float) -> float:
        """Interpolates linearly within a bin; the last bin is assumed to end at twice the last edge. Returns
        0 for an empty histogram."""
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
        """Multiplies all values by `factor`, assuming that those of a bin are spread evenly over it."""
        bounds = (0.0, *self.edges, 2 * self.edges[-1])
        counts = [0.0] * len(self.counts)
        for count, (low, high) in zip(self.counts, pairwise(bounds), strict=True):
            if count:
                for index, share in self._overlaps(low * factor, high * factor):
                    counts[index] += count * share
        self.counts = counts
        self.quantile_cache.clear()

    def _overlaps(self, low: float, high: float) -> Iterator[tuple[int, float]]:
        """Yields the bins that a range overlaps, with the part of the range in each; the last bin is
        unbounded."""
        bounds = (0.0, *self.edges, float("inf"))
        for index, (begin, end) in enumerate(pairwise(bounds)):
            overlap = min(high, end) - max(low, begin)
            if overlap > 0:
                yield index, overlap / (high - low)
