"""Measures the costs of revisions: bytes on the wire, time to load and to apply, bytes of tables.

    python -m limeridge.configuration.measure        # JSON

Times are CPU seconds of this thread. `longest_step` is the longest piece of work between two turns of the
reactor.
"""

from __future__ import annotations

import argparse
import json
import random
import sys
import time
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import asdict, dataclass

from limeridge.configuration.chain import Chain, Entry, FencingToken, first_entry
from limeridge.configuration.changes import Change, Draft, PutRoute, PutTenant
from limeridge.configuration.encoding import decode, encode, encode_entries
from limeridge.configuration.samples import CLASSES, ROUTES, TENANTS, sample_tables, size_of
from limeridge.configuration.snapshot import SnapshotHeader, SnapshotLoader, SnapshotPart, make_snapshot
from limeridge.configuration.subscriber import Deltas, Subscriber
from limeridge.configuration.tables import Tables

BATCH = 200
TOKEN = FencingToken(1_700_000_000_000_000, "control-3.eu-west", 0x5EED)


@dataclass(slots=True, frozen=True)
class ChangeCost:
    """The cost of `changes` revisions with one change each.

    `encoded` is the total size of the messages in bytes; `encode` and `decode` are for all messages.
    """

    changes: int
    encoded: int
    accept: float  # all of them, at the publisher
    encode: float
    decode: float
    apply: float  # all of them, at the subscriber
    longest_step: float


@dataclass(slots=True, frozen=True)
class SnapshotCost:
    tenants: int
    routes: int
    parts: int
    encoded: int  # bytes of all messages
    largest: int  # bytes of the largest message
    make: float  # sorting and splitting
    encode: float
    load: float  # including decoding
    longest_step: float


@dataclass(slots=True, frozen=True)
class TableCost:
    tenants: int
    routes: int
    tenant_bytes: int
    route_bytes: int


def table_cost(tables: Tables) -> TableCost:
    tenants, routes = len(tables.tenants), len(tables.routes)
    return TableCost(tenants, routes, size_of(tables.tenants), size_of(tables.routes))


def change_cost(tables: Tables, changes: int) -> ChangeCost:
    """Measures `changes` revisions sent together; 1 is the case of one change every 6 s, sent alone."""
    chain = _start_chain(tables)
    start = chain.head
    started_at = time.thread_time()
    for number in range(changes):
        chain.accept(_sample_draft(number), TOKEN, 1_700_000_000_000_000 + number)
    accepted = time.thread_time()
    entries = _entries_after(chain, start.number)
    frames = list(encode_entries(entries))
    encoded = time.thread_time()
    messages = [decode(frame) for frame in frames]
    decoded = time.thread_time()
    subscriber = Subscriber(tables, start, random.Random(1))
    steps = [step for message in messages for step in _apply_steps(subscriber, message)]
    return ChangeCost(
        changes,
        sum(map(len, frames)),
        accept=accepted - started_at,
        encode=encoded - accepted,
        decode=decoded - encoded,
        apply=sum(steps),
        longest_step=max(steps),
    )


def snapshot_cost(tables: Tables) -> SnapshotCost:
    """Measures a snapshot: created, encoded, decoded and loaded by an instance without tables."""
    chain = _start_chain(tables)
    started_at = time.thread_time()
    snapshot = make_snapshot(chain.last, tables)
    split = time.thread_time()
    frames = [encode(snapshot.header), *map(encode, snapshot.parts)]
    encoded = time.thread_time()
    steps = list(_load_steps(frames))
    return SnapshotCost(
        len(tables.tenants),
        len(tables.routes),
        parts=len(snapshot.parts),
        encoded=sum(map(len, frames)),
        largest=max(map(len, frames)),
        make=split - started_at,
        encode=encoded - split,
        load=sum(steps),
        longest_step=max(steps),
    )


def _apply_steps(subscriber: Subscriber, message: object) -> Iterator[float]:
    """Yields the seconds of each step of applying deltas in an instance."""
    if not isinstance(message, Deltas):
        raise RuntimeError(f"expected Deltas, got {type(message).__name__}")
    yield from _step_seconds(subscriber.receive_deltas_in_steps(message, 1))
    if subscriber.head is None or subscriber.head.number != message.revisions[-1].number:
        raise RuntimeError("the subscriber did not apply the deltas")


def _load_steps(frames: Sequence[bytes]) -> Iterator[float]:
    """Yields the seconds of each step of loading a snapshot in an instance."""
    started_at = time.thread_time()
    header = decode(frames[0])
    if not isinstance(header, SnapshotHeader):
        raise RuntimeError(f"expected SnapshotHeader, got {type(header).__name__}")
    loader = SnapshotLoader(header, None, now=0)
    yield time.thread_time() - started_at
    for frame in frames[1:]:
        started_at = time.thread_time()
        part = decode(frame)
        if not isinstance(part, SnapshotPart):
            raise RuntimeError(f"expected SnapshotPart, got {type(part).__name__}")
        yield time.thread_time() - started_at
        yield from _step_seconds(loader.load_part(part))
    yield from _step_seconds(loader.finish())
    if loader.tables.digest != header.entry.digest:
        raise RuntimeError("the digest of the loaded snapshot does not match")


def _step_seconds(steps: Iterable[None]) -> Iterator[float]:
    started_at = time.thread_time()
    for _ in steps:
        yield time.thread_time() - started_at
        started_at = time.thread_time()
    yield time.thread_time() - started_at


def _start_chain(tables: Tables) -> Chain:
    chain = Chain(first_entry(tables, 0), tables)
    chain.take_over(TOKEN, 1_700_000_000_000_000)
    return chain


def _entries_after(chain: Chain, after_number: int) -> list[Entry]:
    return [chain.entry(number) for number in range(after_number + 1, chain.head.number + 1)]


def _sample_draft(number: int) -> Draft:
    """Returns a draft with one change: a quota, or a route in every tenth draft."""
    rng = random.Random(number)
    change: Change = PutTenant(f"customer-{rng.randrange(300_000):07d}", float(rng.randrange(1_000)))
    if number % 10 == 9:
        change = PutRoute(f"/service-{rng.randrange(2_000)}/v2/orders-{number}", rng.choice(CLASSES))
    return Draft(
        f"{rng.getrandbits(128):032x}",
        f"author-{rng.randrange(40)}",
        f"ticket {rng.randrange(99_999)}",
        (change,),
    )


def main() -> int:
    parser = argparse.ArgumentParser(prog="python -m limeridge.configuration.measure")
    parser.add_argument("--tenants", type=int, default=TENANTS)
    parser.add_argument("--routes", type=int, default=ROUTES)
    options = parser.parse_args()
    tables = sample_tables(options.tenants, options.routes)
    result = {
        "tables": asdict(table_cost(tables)),
        "change_alone": asdict(change_cost(tables, 1)),
        "changes_in_a_batch": asdict(change_cost(tables, BATCH)),
        "snapshot": asdict(snapshot_cost(tables)),
    }
    print(json.dumps(result, indent=2))
    return 0


if __name__ == "__main__":
    sys.exit(main())
