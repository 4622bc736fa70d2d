"""Tables of tenants and routes: numbers that stay, bounds, and the same answers as a plain dict."""

import random
import time

import pytest

from limeridge.configuration.columns import PAGE_SIZE
from limeridge.configuration.names import MAX_NUMBERS
from limeridge.configuration.routes import (
    Route,
    RouteFault,
    RouteTable,
    RouteTableBuilder,
    RouteTableEditor,
    ShadowedRoute,
)
from limeridge.configuration.samples import size_of
from limeridge.configuration.tenants import (
    DuplicateTenant,
    TenantFault,
    TenantTable,
    TenantTableBuilder,
    TenantTableEditor,
    TooManyTenants,
)

TENANTS = 240_000
SECOND = 1_000_000


def built(tenants: dict[str, float], previous: TenantTable | None = None, now: int = 0) -> TenantTable:
    builder = TenantTableBuilder(previous, now=now, retired_until=now + SECOND)
    for name, quota in tenants.items():
        builder.add(name, quota)
    return builder.build()


def content(table: TenantTable) -> dict[str, float]:
    return {table.name(number): table.quota(number) for number in table.numbers()}


def test_an_empty_table_finds_nothing() -> None:
    table = TenantTable.empty()
    assert (len(table), list(table.names()), table.find("a")) == (0, [], None)
    assert (table.quota(0), table.quota(-1), table.name(0), table.name(-1)) == (0.0, 0.0, "", "")


def test_numbers_follow_the_file_and_stay_over_revisions() -> None:
    first = built({"a": 5, "ü": 0, "c": 2.5})
    assert [first.find(name) for name in ("a", "ü", "c", "b")] == [0, 1, 2, None]
    second = built({"c": 3, "new": 1, "a": 6}, first, now=10)
    assert [second.find(name) for name in ("a", "ü", "c", "new")] == [0, None, 2, 3]
    assert content(second) == {"a": 6.0, "c": 3.0, "new": 1.0}
    assert content(first) == {"a": 5.0, "ü": 0.0, "c": 2.5}  # a table never changes


def test_a_removed_tenant_with_requests_open_has_quota_0_and_its_name_until_dropped() -> None:
    first = built({"a": 5, "b": 7})
    gone = built({"b": 7}, first, now=10)
    assert (gone.find("a"), gone.quota(0), gone.name(0), len(gone), gone.retired_count()) == (
        None,
        0.0,
        "a",
        1,
        1,
    )
    just_before = built({"b": 7, "c": 1}, gone, now=SECOND + 9)
    assert (just_before.find("c"), just_before.name(0)) == (2, "a")  # its number is not given to another
    dropped = built({"b": 7, "c": 1}, just_before, now=SECOND + 10)
    assert (dropped.name(0), dropped.quota(0), dropped.retired_count()) == ("", 0.0, 0)
    assert built({"b": 7, "c": 1, "d": 2}, dropped, now=SECOND + 11).find("d") == 0


def test_a_name_that_comes_back_gets_its_number_again_and_is_not_dropped_by_its_old_time() -> None:
    table = built({"a": 5, "b": 7})
    table = built({"b": 7}, table, now=10)
    table = built({"b": 7, "a": 4}, table, now=20)
    assert (table.find("a"), table.quota(0)) == (0, 4.0)
    table = built({"b": 7}, table, now=30)  # gone again: the later time counts
    table = built({"b": 7}, table, now=SECOND + 20)
    assert table.name(0) == "a"
    table = built({"b": 7}, table, now=SECOND + 30)
    assert (table.name(0), table.find("a")) == ("", None)


@pytest.mark.parametrize(
    ("name", "quota", "fault"),
    [
        ("", 1, "tenants.1: name: expected a text of 1 to 256 characters"),
        ("x" * 257, 1, "tenants.1: name: expected a text of 1 to 256 characters"),
        (7, 1, "tenants.1: name: expected a text of 1 to 256 characters"),
        ("b", -1, "tenants.1: quota: expected a number from 0 to 1e+12"),
        ("b", float("nan"), "tenants.1: quota: expected a number from 0 to 1e+12"),
        ("b", True, "tenants.1: quota: expected a number from 0 to 1e+12"),
        ("b", "1", "tenants.1: quota: expected a number from 0 to 1e+12"),
        ("a", 1, "tenants.1: the name 'a' stands twice"),
    ],
)
def test_a_fault_names_the_entry(name: str, quota: float, fault: str) -> None:
    builder = TenantTableBuilder(built({"a": 2}))
    builder.add("a", 1)
    with pytest.raises(TenantFault) as raised:
        builder.add(name, quota)
    assert (str(raised.value), raised.value.entry) == (fault, 1)
    assert isinstance(raised.value, DuplicateTenant) == (name == "a")


def test_numbers_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    assert MAX_NUMBERS >= 1_000_000
    monkeypatch.setattr("limeridge.configuration.names.MAX_NUMBERS", 3)
    table = built({"a": 1}, built({"a": 1, "b": 1, "c": 1}), now=10)
    with pytest.raises(
        TooManyTenants, match=r"tenants.1: expected at most 3 tenants, 2 that went among them"
    ):
        built({"a": 1, "d": 1}, table, now=20)
    table = built({"a": 1}, table, now=SECOND + 10)
    assert len(built({"a": 1, "d": 1, "e": 1}, table, now=SECOND + 20)) == 3


def test_random_edits_give_what_a_dict_gives() -> None:
    rng = random.Random(7)
    pool = [f"tenant-{number}" for number in range(1_500)]
    model: dict[str, float] = {}
    numbers: dict[str, int] = {}  # of each tenant that is present
    table = TenantTable.empty()
    for now in range(0, 400 * 10, 10):
        editor = TenantTableEditor(table, now=now, retired_until=now + 300)
        for _ in range(rng.randrange(60)):
            name = rng.choice(pool)
            if rng.random() < 0.5:
                quota = float(rng.randrange(1_000))
                number = editor.put(name, quota)
                assert numbers.setdefault(name, number) == number
                model[name] = quota
            else:
                assert editor.remove(name) == (name in model)
                model.pop(name, None)
                numbers.pop(name, None)
        table = editor.build()
        assert len(table) == len(model)
        assert {name: table.find(name) for name in model} == {name: numbers[name] for name in model}
        assert len(set(numbers.values())) == len(model)
    assert content(table) == model
    assert [table.find(name) for name in pool if name not in model] == [None] * (len(pool) - len(model))


def test_no_number_of_a_tenant_that_went_is_another_ones_before_its_time() -> None:
    rng = random.Random(11)
    held: dict[int, tuple[str, int]] = {}  # number: who had it last, until when it is kept
    table = TenantTable.empty()
    present: set[str] = set()
    for now in range(10, 3_000, 10):
        before = present
        present = {f"t{rng.randrange(3 * PAGE_SIZE)}" for _ in range(rng.randrange(300))}
        table = built(dict.fromkeys(present, 1.0), table, now=now)
        for name in before - present:
            number = next(number for number, (owner, _) in held.items() if owner == name)
            held[number] = (name, now + SECOND)
        for name in present:
            number = table.find(name)
            assert number is not None
            owner, until = held.get(number, (name, 0))
            assert owner == name or until <= now
            held[number] = (name, now)


def test_a_delta_shares_what_did_not_change() -> None:
    table = built({f"tenant-{number}": 1.0 for number in range(10 * PAGE_SIZE)})
    editor = TenantTableEditor(table, now=1)
    editor.put("tenant-5", 2.0)
    after = editor.build()
    shared = [old is new for old, new in zip(table._quotas, after._quotas, strict=True)]
    assert shared == [False] + [True] * 9
    assert all(old is new for old, new in zip(table._names.pages, after._names.pages, strict=True))
    assert all(old is new for old, new in zip(table._names.shards, after._names.shards, strict=True))


def test_240_000_tenants_fit_and_no_step_is_long() -> None:
    builder = TenantTableBuilder()
    for number in range(TENANTS):
        builder.add(f"account-{number:09d}", 5.0)
    table = builder.build()
    assert size_of(table) < 12_000_000
    rebuilt = TenantTableBuilder(table, now=5)
    for number in range(0, TENANTS, 2):
        rebuilt.add(f"account-{number:09d}", 6.0)
    steps = []
    began = time.thread_time_ns()
    for _ in rebuilt.build_steps(500):
        steps.append(time.thread_time_ns() - began)
        began = time.thread_time_ns()
    assert (len(rebuilt.table), rebuilt.table.retired_count()) == (TENANTS // 2, TENANTS // 2)
    assert sorted(steps)[len(steps) * 9 // 10] < 2_000_000


def routed(routes: dict[str, int]) -> RouteTable:
    builder = RouteTableBuilder()
    for prefix, class_number in routes.items():
        builder.add(prefix, class_number)
    return builder.build()


@pytest.mark.parametrize(
    ("path", "class_number"),
    [
        ("/", 0),
        ("/a", 1),
        ("/a/", 1),
        ("/a/b", 2),
        ("/a/b/c/d/e/f", 2),
        ("/a/bc", 1),
        ("/ab", 0),
        ("/a//b", 1),
        ("/x/y/z", 3),
        ("/x/y", 0),
        ("", None),
        ("a", None),
    ],
)
def test_the_longest_prefix_of_whole_elements_wins(path: str, class_number: int | None) -> None:
    table = routed({"/": 0, "/a": 1, "/a/b": 2, "/x/y/z": 3})
    assert table.find(path) == class_number


def test_no_route_fits_without_a_root() -> None:
    assert RouteTable.empty().find("/a") is None
    table = routed({"/a": 1})
    assert (table.find("/"), table.find("/b/a"), table.find("/a/b")) == (None, None, 1)


def test_covering_is_the_next_shorter_route() -> None:
    table = routed({"/": 0, "/a": 1, "/a/b/c": 2})
    covering = [table.covering_route(prefix) for prefix in ("/a/b/c", "/a", "/", "/a/b")]
    assert covering == [Route("/a", 1), Route("/", 0), None, Route("/a", 1)]


@pytest.mark.parametrize(
    ("prefix", "class_number", "fault"),
    [
        ("", 1, "prefix: expected a text of 1 to 1024 characters"),
        ("a", 1, "prefix: expected / and elements with / between them, got 'a'"),
        ("/a/", 1, "prefix: expected / and elements with / between them, got '/a/'"),
        ("/a//b", 1, "prefix: expected / and elements with / between them, got '/a//b'"),
        ("/a?b", 1, "prefix: expected a path without query and fragment, got '/a?b'"),
        ("/a" * 33, 1, "prefix: expected at most 32 elements"),
        ("/b", -1, "class: expected a whole number from 0 to 999"),
        ("/b", 1.0, "class: expected a whole number from 0 to 999"),
        ("/b", True, "class: expected a whole number from 0 to 999"),
        ("/a", 2, "the prefix '/a' stands twice"),
    ],
)
def test_a_route_that_cant_be_taken_is_named(prefix: str, class_number: int, fault: str) -> None:
    builder = RouteTableBuilder()
    builder.add("/a", 1)
    with pytest.raises(RouteFault) as raised:
        builder.add(prefix, class_number)
    assert str(raised.value) == f"routes.1: {fault}"
    assert isinstance(raised.value, ShadowedRoute) == (prefix == "/a")


def longest(model: dict[str, int], path: str) -> int | None:
    fits = [prefix for prefix in model if prefix == "/" or (path + "/").startswith(prefix + "/")]
    return model[max(fits, key=len)] if fits and path.startswith("/") else None


def test_random_routes_find_what_a_scan_finds() -> None:
    rng = random.Random(3)
    table = RouteTable.empty()
    model: dict[str, int] = {}

    def path() -> str:
        return "/" + "/".join(rng.choice("abc") for _ in range(rng.randrange(6)))

    for turn in range(150):
        if turn % 10:
            editor = RouteTableEditor(table)
            for _ in range(rng.randrange(8)):
                prefix = path()
                if rng.random() < 0.6:
                    model[prefix] = rng.randrange(1_000)
                    editor.put(prefix, model[prefix])
                else:
                    assert editor.remove(prefix) == (model.pop(prefix, None) is not None)
            table = editor.build()
        else:
            model = {path(): rng.randrange(1_000) for _ in range(rng.randrange(200))}
            table = routed(model)
        assert len(table) == len(model)
        assert {route.prefix: route.class_number for route in table.routes()} == model
        paths = [path() for _ in range(40)]
        assert [table.find(each) for each in paths] == [longest(model, each) for each in paths]


def test_tenants_and_routes_together_fit_in_32_mb() -> None:
    routes = routed({f"/region-{n % 23}/service-{n % 301}/operation-{n}": n % 40 for n in range(69_000)})
    assert len(routes) == 69_000
    assert size_of(routes) < 10_000_000  # the 240,000 tenants take less than 12 MB, see above
