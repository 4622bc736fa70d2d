"""Reading a long list of members from service discovery.

Guards against this failure: in a fleet of more than 2,560 addresses nobody joined by the list. An answer in
more than 64 parts of 40 addresses, the limit at the time, was ignored as a whole, and of a shorter one only
the first 400 addresses were kept, the same ones for every reader. An answer of 3,400 addresses yielded no
member.
"""

import random

import pytest

from limeridge.peers.seeds import MAX_ENTRIES, NodeListPolicy, NodeListReader

PART_SIZE = 40  # addresses in one datagram
OWN_ADDRESS = ("127.1.0.1", 7950)


def addresses(count: int) -> list[str]:
    return [f"127.{2 + number // 250}.{number % 250}.1:7950" for number in range(count)]


def read_list(count: int, seed: int = 1) -> NodeListReader:
    """Returns a reader that received `count` addresses, in parts in random order and some of them twice."""
    rng = random.Random(seed)
    seeker = NodeListReader(NodeListPolicy(), random.Random(seed), 0)
    assert seeker.should_request(0, 1_000_000)
    listed = addresses(count)
    parts = [listed[start : start + PART_SIZE] for start in range(0, count, PART_SIZE)]
    order = [*range(len(parts)), *range(0, len(parts), 3)]
    rng.shuffle(order)
    for part in order:
        seeker.receive([str(seeker.request_id), str(part), str(len(parts)), *parts[part]], OWN_ADDRESS)
    return seeker


@pytest.mark.parametrize("count", [3, 400, 2_560, 2_561, 3_400, 20_000])
def test_members_are_found_in_a_list_of_any_length(count: int) -> None:
    seeker = read_list(count)
    assert len(seeker.addresses) == len(set(seeker.addresses)) == min(count, MAX_ENTRIES)
    assert len(seeker.draw_candidates(set())) == min(3, count)


def test_readers_of_a_long_list_try_addresses_from_all_of_it() -> None:
    tried = {address for seed in range(200) for address in read_list(3_400, seed).draw_candidates(set())}
    first_half = [address for address in tried if int(address[0].split(".")[1]) - 2 < 3_400 / 250 / 2]
    assert 0.35 < len(first_half) / len(tried) < 0.65 and len(tried) > 400


def test_an_answer_to_another_query_changes_nothing() -> None:
    seeker = read_list(100)
    found = list(seeker.addresses)
    seeker.receive([str(seeker.request_id + 1), "0", "1", "127.9.9.9:7950"], OWN_ADDRESS)
    # A part that was received before.
    seeker.receive([str(seeker.request_id), "0", "1", "127.9.9.9:7950"], OWN_ADDRESS)
    assert seeker.addresses == found
