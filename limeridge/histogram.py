"""A small histogram of few coarse bins. Its edges and how much it keeps are the caller's choice."""

from __future__ import annotations

from collections.abc import Sequence


class Histogram:
    """Counts in coarse bins, halved when `keep` are in, so that what is old fades."""

    def __init__(self, edges: Sequence[float], keep: int) -> None:
        self.edges = edges
        self.counts = [0.0] * (len(edges) + 1)
        self.total, self.keep = 0.0, keep
        self.known: dict[float, float] = {}  # since the last addition; asked far more often

    def add(self, value: float) -> None:
        """Counts a value; at `keep` values all counts are halved, so that old ones fade."""
        self.counts[next((i for i, edge in enumerate(self.edges) if value <= edge), len(self.edges))] += 1
        self.total += 1
        self.known.clear()
        if self.total >= self.keep:
            self.counts = [count / 2 for count in self.counts]
            self.total /= 2

    def quantile(self, q: float) -> float:
        """Even spread within a bin; the last bin is taken to end at twice the last edge. 0 where empty."""
        if q not in self.known:
            self.known[q] = self._quantile(q)
        return self.known[q]

    def _quantile(self, q: float) -> float:
        seen, below = 0.0, 0.0
        for count, edge in zip(self.counts, (*self.edges, 2 * self.edges[-1]), strict=True):
            if count and seen + count >= q * self.total:
                return below + (edge - below) * (q * self.total - seen) / count
            seen, below = seen + count, edge
        return 0.0
