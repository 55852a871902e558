"""Experiment files: errors that name file, line and key; bases, ranges, and the shipped experiments."""

from __future__ import annotations

from pathlib import Path

import pytest

from glenrock.simulation import spec, spec_faults, spec_ranges
from glenrock.simulation.spec_types import drawn_number
from glenrock.toml_file import InputFileError, line_numbers

ROOT = Path(__file__).resolve().parents[2]
VALID_EXPERIMENT = """name = "x"
[fleet]
balancers = 2
[[classes]]
name = "a"
[[classes]]
name = "b"
[[faults]]
kind = "crash"
at_s = 1.0
"""


def error_of(tmp_path: Path, text: str, old: str = "", new: str = "") -> str:
    """Returns the error of an experiment after a replacement in its text; checks that it is one line."""
    path = tmp_path / "x.toml"
    path.write_text(text.replace(old, new, 1) if old else text)
    with pytest.raises(InputFileError) as raised:
        spec.sweep_points(path)
    assert "\n" not in str(raised.value)
    return str(raised.value).replace(str(path), "x.toml")


@pytest.mark.parametrize(
    ("old", "new", "error"),
    [
        ("balancers = 2", "balancer = 2", "x.toml:3: fleet.balancer: unknown key"),
        ("balancers = 2", "balancers = 0", "x.toml:3: fleet.balancers: Expected `int` >= 1"),
        ("balancers = 2", 'balancers = "two"', "x.toml:3: fleet.balancers: Expected `int | array`, got `str`"),
        (
            "balancers = 2",
            "balancers = [4, 2]",
            "x.toml:3: fleet.balancers: the lower bound of the range [4, 2] exceeds the upper bound",
        ),
        ("balancers = 2", "balancers = [1, 2, 3]", "x.toml:3: fleet.balancers: Expected `array` of length <= 2"),
        ("balancers = 2", "balancers 2", "x.toml: Expected '=' after a key"),
        ('name = "b"', 'name = "a"', "x.toml:7: classes[1].name: 'a' is a duplicate"),
        ('name = "b"', 'name = "b"\nlife_ms = 4', "x.toml:8: classes[1].life_ms: unknown key"),
        ('name = "b"', 'name = "b"\naim_ms = 9e9', "x.toml:8: classes[1].aim_ms: must not exceed give_up_ms"),
        ('kind = "crash"', 'kind = "flood"', "x.toml:9: faults[0].kind: Invalid value 'flood'"),
        ("at_s = 1.0", "at_s = 1.0\npart = 1.5", "x.toml:11: faults[0].part: Expected `float` <= 1.0"),
        ("at_s = 1.0", "at_s = 100.0", "x.toml:10: faults[0].at_s: is after the end of the run"),
        ("[[faults]]", "[constants]\nNO_SUCH = 1.0\n[[faults]]", "x.toml:9: constants.NO_SUCH: not a tunable constant"),
        ("[[faults]]", "[goal]\nwhole = 0.9\n[[faults]]", "x.toml:8: goal: weights must add up to 1"),
        ("[[faults]]", '[sweep]\n"fleet.balancers" = [2, 0]\n[[faults]]', "x.toml:8: sweep: fleet.balancers = 0: "),
        ("[[faults]]", '[sweep]\n"faults[3].part" = [0.1]\n[[faults]]', "no value at this path"),
        ('name = "x"', 'name = "x"\nbase = "x.toml"', "leads back to this file: base files form a cycle"),
        ('name = "x"', 'name = "x"\nbase = "gone.toml"', "No such file or directory"),
    ],
)
def test_error_names_file_line_and_key(tmp_path: Path, old: str, new: str, error: str) -> None:
    assert error in error_of(tmp_path, VALID_EXPERIMENT, old, new)


def test_file_that_is_not_utf8_is_an_error(tmp_path: Path) -> None:
    (tmp_path / "x.toml").write_bytes(b'name = "\xff"')
    with pytest.raises(InputFileError, match="not UTF-8 at byte 8"):
        spec.load(tmp_path / "x.toml")


def test_line_numbers_of_nested_tables() -> None:
    text = "[a]\nb = 1\n[[c]]\nd = 2\n[c.e]\nf = 3\n[[c]]\n'g.h' = 4\n"
    assert line_numbers(text) == {
        "a": 1,
        "a.b": 2,
        "c[0]": 3,
        "c[0].d": 4,
        "c[0].e": 5,
        "c[0].e.f": 6,
        "c[1]": 7,
        "c[1].g.h": 8,
    }


def test_base_is_merged_key_by_key_and_lists_are_replaced(tmp_path: Path) -> None:
    (tmp_path / "base.toml").write_text(VALID_EXPERIMENT + "[sweep]\n'traffic.load' = [0.1]\n")
    (tmp_path / "x.toml").write_text(
        'base = "base.toml"\nname = "y"\n[fleet]\ninstances = 3\n[[faults]]\nkind = "slow"\nat_s = 2.0\n'
    )
    experiment = spec.load(tmp_path / "x.toml", {"traffic.load": 0.9, "faults[0].part": 0.4})
    assert experiment.name == "y"
    assert (experiment.fleet.balancers, experiment.fleet.instances) == (2, 3)
    assert len(experiment.classes) == 2
    assert experiment.sweep == {} and experiment.traffic.load == 0.9
    assert isinstance(experiment.faults[0], spec_faults.Slow) and experiment.faults[0].part == 0.4


@pytest.mark.parametrize("path", sorted((ROOT / "experiments").glob("*.toml")), ids=lambda path: path.stem)
def test_shipped_experiment_is_valid(path: Path) -> None:
    points = spec.sweep_points(path)
    assert points[0][1].name == path.stem and points[0][1].title


def test_ranges_are_drawn_within_their_bounds_and_by_seed() -> None:
    ranged = spec.load(ROOT / "experiments" / "site-busy.toml")
    experiments = [spec_ranges.draw_ranges(ranged, seed) for seed in range(30)]
    assert not any(spec_ranges.find_ranges(experiment) for experiment in experiments)
    assert all(0.52 <= drawn_number(experiment.traffic.load) <= 0.69 for experiment in experiments)
    assert {experiment.fleet.balancers for experiment in experiments} == {2, 3, 4}
    assert spec_ranges.draw_ranges(ranged, 3) == experiments[3]
