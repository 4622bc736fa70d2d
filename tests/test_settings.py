"""Settings in protobuf text format: what is wrong is told with file, line, column and field."""

from pathlib import Path

import pytest

from limeridge.settings import scenario_pb2 as pb
from limeridge.settings.generate import HERE, generate
from limeridge.settings.load import Unusable, load, parse, places
from limeridge.sim.plan import Kind
from limeridge.sim.scenario import check, load_scenario, names, ranges_of

# a remark\ninstances { least: 2 most: 3 }\nfault { kind: KILL at_ms: 5 target: 1 amount: 0.5 }\n'
GOOD = """name: "x"  # a remark
instances { least: 2 most: 3 }
fault { kind: KILL at_ms: 5 target: 1 amount: 0.5 }
"""


def test_generated_code_is_current(tmp_path: Path) -> None:
    generate(tmp_path)
    made = sorted(tmp_path.iterdir())
    assert {path.name for path in made} == {path.name for path in HERE.glob("*_pb2.py*")}
    assert len(made) == 2 * len(list(HERE.glob("*.proto")))
    for path in made:
        assert path.read_text() == (HERE / path.name).read_text(), "python -m limeridge.settings.generate"


def test_scenarios_of_the_package_are_good() -> None:
    assert "any" in names() and len(names()) >= 10
    for name in names():
        assert load_scenario(name).name == name
    ranges = ranges_of(parse("f", GOOD, pb.Scenario(), check))
    assert ranges.instances == (2, 3)
    assert ranges.scripted[0].kind is Kind.KILL and ranges.scripted[0].at == 5_000


@pytest.mark.parametrize(
    ("text", "told"),
    [
        ('name: "x"\nwhat: 1\n', "f:2:1: "),
        (
            'name: "x"\ninstances { least: 0 most: 3 }\n',
            "f:2:13: instances.least: expected a number from 1 to 230",
        ),
        (
            'name: "x"\ninstances { least: 4 most: 3 }\n',
            "f:2:22: instances.most: expected a number from 4 to 230",
        ),
        ('name: "x"\nfault { kind: KILL }\nfault { at_ms: 3 }\n', "f:3:1: fault[1].kind: expected a kind"),
        (
            'name: "x"\nfault { kind: CUT far: "moon" }\n',
            "f:2:19: fault[0].far: expected one of kernel, ledger",
        ),
        (
            'name: "x"\nfault { kind: JUMP trigger: "reap" }\n',
            "f:2:20: fault[0].trigger: jump is at no instance",
        ),
        (
            'name: "x"\nfault { kind: LEDGER_DOWN count: 3 }\n',
            "f:2:27: fault[0].count: ledger-down has one place",
        ),
        (
            'name: "x"\ninstances { least: 4 most: 4 }\nfault { kind: KILL target: 2 count: 3 }\n',
            "f:3:30: fault[0].count: expected targets below 4",
        ),
        (
            'name: "x"\nquantum_us: [1, 99999]\n',
            "f:2:17: quantum_us[1]: expected a grid in microseconds from 1",
        ),
        ('name: "x"\nkinds: [KILL, NONE]\n', "f:2:15: kinds[1]: expected a kind of fault"),
        ('name: "x y"\n', "f:1:1: name: expected letters, digits and hyphens"),
        ('name: "x"\ntriggered: 2\n', "f:2:1: triggered: expected a share from 0 to 1, got 2"),
        ('name: "x"\ninstances { least: 2 most: 2 }\nfault { kind: PAUSE target: 2 }\n', "f:3:21: "),
        ('name: "x"\nkinds: KIL\n', "f:2:"),
        ("name: ", "f:1:"),
        ("", "f:1:1: name: expected letters"),
    ],
)
def test_faults_are_told_with_their_place(text: str, told: str) -> None:
    with pytest.raises(Unusable) as bad:
        parse("f", text, pb.Scenario(), check)
    assert str(bad.value).startswith(told) and "\n" not in str(bad.value)


def test_files_that_can_not_be_read(tmp_path: Path) -> None:
    with pytest.raises(Unusable, match="expected a file that can be read"):
        load(str(tmp_path / "no.txtpb"), pb.Scenario())
    (tmp_path / "x.txtpb").write_bytes(b'name: "\xff"')
    with pytest.raises(Unusable, match="expected UTF-8, got byte 255 at 7"):
        load(str(tmp_path / "x.txtpb"), pb.Scenario())
    with pytest.raises(Unusable, match="expected a scenario's name"):
        load_scenario("nothing-like-it")


def test_places_of_fields() -> None:
    found = places('a: 1\nb { c: "x" "y" }\nb <\n c: -2.5e3 >\nd: [ { e: Q },\n { e: R } ]\n')
    assert found["a"] == (1, 1) and found["b[0].c"] == (2, 5) and found["b[1].c"] == (4, 2)
    assert found["d[1].e"] == (6, 4) and found["b.c"] == (2, 5)
