"""Tables of tenants and routes: stable numbers, bounds, and the same results as a plain dict."""

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


def build_tenants(
    tenants: dict[str, float], previous: TenantTable | None = None, now: int = 0
) -> TenantTable:
    builder = TenantTableBuilder(previous, now=now, retired_until=now + SECOND)
    for name, quota in tenants.items():
        builder.add(name, quota)
    return builder.build()


def quotas_by_name(table: TenantTable) -> dict[str, float]:
    return {table.name(number): table.quota(number) for number in table.numbers()}


def test_empty_table_finds_nothing() -> None:
    table = TenantTable.empty()
    assert (len(table), list(table.names()), table.find("a")) == (0, [], None)
    assert (table.quota(0), table.quota(-1), table.name(0), table.name(-1)) == (0.0, 0.0, "", "")


def test_numbers_follow_insertion_order_and_are_stable_over_revisions() -> None:
    first = build_tenants({"a": 5, "ü": 0, "c": 2.5})
    assert [first.find(name) for name in ("a", "ü", "c", "b")] == [0, 1, 2, None]
    second = build_tenants({"c": 3, "new": 1, "a": 6}, first, now=10)
    assert [second.find(name) for name in ("a", "ü", "c", "new")] == [0, None, 2, 3]
    assert quotas_by_name(second) == {"a": 6.0, "c": 3.0, "new": 1.0}
    assert quotas_by_name(first) == {"a": 5.0, "ü": 0.0, "c": 2.5}  # tables are immutable


def test_removed_tenant_has_quota_0_and_keeps_its_name_until_dropped() -> None:
    first = build_tenants({"a": 5, "b": 7})
    removed = build_tenants({"b": 7}, first, now=10)
    assert (removed.find("a"), removed.quota(0), removed.name(0), len(removed), removed.retired_count()) == (
        None,
        0.0,
        "a",
        1,
        1,
    )
    just_before = build_tenants({"b": 7, "c": 1}, removed, now=SECOND + 9)
    assert (just_before.find("c"), just_before.name(0)) == (2, "a")  # the number is not reused yet
    dropped = build_tenants({"b": 7, "c": 1}, just_before, now=SECOND + 10)
    assert (dropped.name(0), dropped.quota(0), dropped.retired_count()) == ("", 0.0, 0)
    assert build_tenants({"b": 7, "c": 1, "d": 2}, dropped, now=SECOND + 11).find("d") == 0


def test_readded_tenant_gets_its_number_again_and_ignores_the_old_expiry() -> None:
    table = build_tenants({"a": 5, "b": 7})
    table = build_tenants({"b": 7}, table, now=10)
    table = build_tenants({"b": 7, "a": 4}, table, now=20)
    assert (table.find("a"), table.quota(0)) == (0, 4.0)
    table = build_tenants({"b": 7}, table, now=30)  # removed again: the later expiry applies
    table = build_tenants({"b": 7}, table, now=SECOND + 20)
    assert table.name(0) == "a"
    table = build_tenants({"b": 7}, table, now=SECOND + 30)
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
def test_tenant_fault_names_the_entry(name: str, quota: float, fault: str) -> None:
    builder = TenantTableBuilder(build_tenants({"a": 2}))
    builder.add("a", 1)
    with pytest.raises(TenantFault) as raised:
        builder.add(name, quota)
    assert (str(raised.value), raised.value.entry) == (fault, 1)
    assert isinstance(raised.value, DuplicateTenant) == (name == "a")


def test_number_of_tenants_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    assert MAX_NUMBERS >= 1_000_000
    monkeypatch.setattr("limeridge.configuration.names.MAX_NUMBERS", 3)
    table = build_tenants({"a": 1}, build_tenants({"a": 1, "b": 1, "c": 1}), now=10)
    with pytest.raises(
        TooManyTenants, match=r"tenants.1: expected at most 3 tenants, 2 that went among them"
    ):
        build_tenants({"a": 1, "d": 1}, table, now=20)
    table = build_tenants({"a": 1}, table, now=SECOND + 10)
    assert len(build_tenants({"a": 1, "d": 1, "e": 1}, table, now=SECOND + 20)) == 3


def test_random_edits_match_a_dict() -> None:
    rng = random.Random(7)
    candidates = [f"tenant-{number}" for number in range(1_500)]
    model: dict[str, float] = {}
    numbers: dict[str, int] = {}  # of present tenants
    table = TenantTable.empty()
    for now in range(0, 400 * 10, 10):
        editor = TenantTableEditor(table, now=now, retired_until=now + 300)
        for _ in range(rng.randrange(60)):
            name = rng.choice(candidates)
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
    assert quotas_by_name(table) == model
    assert [table.find(name) for name in candidates if name not in model] == [None] * (
        len(candidates) - len(model)
    )


def test_number_of_a_removed_tenant_is_not_reused_before_its_retention_ends() -> None:
    rng = random.Random(11)
    last_owner: dict[int, tuple[str, int]] = {}  # number to last owner and end of its retention
    table = TenantTable.empty()
    present: set[str] = set()
    for now in range(10, 3_000, 10):
        before = present
        present = {f"t{rng.randrange(3 * PAGE_SIZE)}" for _ in range(rng.randrange(300))}
        table = build_tenants(dict.fromkeys(present, 1.0), table, now=now)
        for name in before - present:
            number = next(number for number, (owner, _) in last_owner.items() if owner == name)
            last_owner[number] = (name, now + SECOND)
        for name in present:
            number = table.find(name)
            assert number is not None
            owner, until = last_owner.get(number, (name, 0))
            assert owner == name or until <= now
            last_owner[number] = (name, now)


def test_edit_shares_unchanged_pages_and_shards() -> None:
    table = build_tenants({f"tenant-{number}": 1.0 for number in range(10 * PAGE_SIZE)})
    editor = TenantTableEditor(table, now=1)
    editor.put("tenant-5", 2.0)
    after = editor.build()
    shared = [old is new for old, new in zip(table._quotas, after._quotas, strict=True)]
    assert shared == [False] + [True] * 9
    assert all(old is new for old, new in zip(table._names.pages, after._names.pages, strict=True))
    assert all(old is new for old, new in zip(table._names.shards, after._names.shards, strict=True))


def test_memory_and_step_duration_with_240_000_tenants() -> None:
    builder = TenantTableBuilder()
    for number in range(TENANTS):
        builder.add(f"account-{number:09d}", 5.0)
    table = builder.build()
    assert size_of(table) < 12_000_000
    rebuilt = TenantTableBuilder(table, now=5)
    for number in range(0, TENANTS, 2):
        rebuilt.add(f"account-{number:09d}", 6.0)
    steps = []
    started_at = time.thread_time_ns()
    for _ in rebuilt.build_steps(500):
        steps.append(time.thread_time_ns() - started_at)
        started_at = time.thread_time_ns()
    assert (len(rebuilt.table), rebuilt.table.retired_count()) == (TENANTS // 2, TENANTS // 2)
    assert sorted(steps)[len(steps) * 9 // 10] < 2_000_000


def build_routes(routes: dict[str, int]) -> RouteTable:
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
def test_longest_prefix_of_whole_elements_wins(path: str, class_number: int | None) -> None:
    table = build_routes({"/": 0, "/a": 1, "/a/b": 2, "/x/y/z": 3})
    assert table.find(path) == class_number


def test_unmatched_path_without_a_root_route() -> None:
    assert RouteTable.empty().find("/a") is None
    table = build_routes({"/a": 1})
    assert (table.find("/"), table.find("/b/a"), table.find("/a/b")) == (None, None, 1)


def test_covering_route_is_the_next_shorter_route() -> None:
    table = build_routes({"/": 0, "/a": 1, "/a/b/c": 2})
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
def test_route_fault_names_the_entry(prefix: str, class_number: int, fault: str) -> None:
    builder = RouteTableBuilder()
    builder.add("/a", 1)
    with pytest.raises(RouteFault) as raised:
        builder.add(prefix, class_number)
    assert str(raised.value) == f"routes.1: {fault}"
    assert isinstance(raised.value, ShadowedRoute) == (prefix == "/a")


def longest_match(model: dict[str, int], path: str) -> int | None:
    matches = [prefix for prefix in model if prefix == "/" or (path + "/").startswith(prefix + "/")]
    return model[max(matches, key=len)] if matches and path.startswith("/") else None


def test_random_routes_match_a_linear_scan() -> None:
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
            table = build_routes(model)
        assert len(table) == len(model)
        assert {route.prefix: route.class_number for route in table.routes()} == model
        paths = [path() for _ in range(40)]
        assert [table.find(item) for item in paths] == [longest_match(model, item) for item in paths]


def test_memory_of_tenants_and_routes_is_below_32_mb() -> None:
    routes = build_routes(
        {f"/region-{n % 23}/service-{n % 301}/operation-{n}": n % 40 for n in range(69_000)}
    )
    assert len(routes) == 69_000
    assert size_of(routes) < 10_000_000  # 240,000 tenants take less than 12 MB, see above
