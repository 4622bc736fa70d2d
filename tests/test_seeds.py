"""Reading a long list of members from service discovery.

What happens: in a fleet of more than 2,560 places nobody joins by the list. Why: an answer in more than 64
parts of 40 places was passed over whole, and of a shorter one the first 400 places alone were kept, the same
for every reader. What showed it: `MAX_PARTS`, and no member found in an answer of 3,400 places.
"""

import random

import pytest

from limeridge.peers.seeds import MAX_ENTRIES, NodeListPolicy, NodeListReader

PART = 40  # places in one datagram
OWN = ("127.1.0.1", 7950)


def places(count: int) -> list[str]:
    return [f"127.{2 + number // 250}.{number % 250}.1:7950" for number in range(count)]


def read(count: int, seed: int = 1) -> NodeListReader:
    """A reader that was told so many places, in parts that come in any order, some of them twice."""
    chance = random.Random(seed)
    seeker = NodeListReader(NodeListPolicy(), random.Random(seed), 0)
    assert seeker.should_request(0, 1_000_000)
    listed = places(count)
    parts = [listed[start : start + PART] for start in range(0, count, PART)]
    order = [*range(len(parts)), *range(0, len(parts), 3)]
    chance.shuffle(order)
    for part in order:
        seeker.receive([str(seeker.request_id), str(part), str(len(parts)), *parts[part]], OWN)
    return seeker


@pytest.mark.parametrize("count", [3, 400, 2_560, 2_561, 3_400, 20_000])
def test_members_are_found_in_a_list_of_any_length(count: int) -> None:
    seeker = read(count)
    assert len(seeker.addresses) == len(set(seeker.addresses)) == min(count, MAX_ENTRIES)
    assert len(seeker.draw_candidates(set())) == min(3, count)


def test_readers_of_a_long_list_try_all_of_it_and_not_its_first_places() -> None:
    tried = {address for seed in range(200) for address in read(3_400, seed).draw_candidates(set())}
    halves = [address for address in tried if int(address[0].split(".")[1]) - 2 < 3_400 / 250 / 2]
    assert 0.35 < len(halves) / len(tried) < 0.65 and len(tried) > 400


def test_an_answer_to_another_asking_leaves_what_was_found() -> None:
    seeker = read(100)
    before = list(seeker.addresses)
    seeker.receive([str(seeker.request_id + 1), "0", "1", "127.9.9.9:7950"], OWN)
    seeker.receive([str(seeker.request_id), "0", "1", "127.9.9.9:7950"], OWN)  # a part that was read already
    assert seeker.addresses == before
