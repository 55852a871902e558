"""Validation of the coordination file, and the file that is shipped."""

from __future__ import annotations

from pathlib import Path

import pytest

from glenrock.coordination import config
from glenrock.toml_file import InputFileError

VALID = 'folder = "/f"\n[store]\nkind = "sqlite"\npath = "/p"\n'


@pytest.mark.parametrize(
    "text, message",
    [
        (VALID.replace('path = "/p"', ""), 'store.path: required if store.kind is "sqlite"'),
        (VALID.replace("sqlite", "consul"), "store.addresses: at least one"),
        (VALID.replace("sqlite", "etcd"), "fleet.toml:3: store.kind: Invalid enum value 'etcd'"),
        (VALID + "[lease]\nlease_ms = 500\nask_ms = 400\n", "fleet.toml:7: lease.ask_ms: at most half"),
        (
            VALID.replace('"sqlite"', '"consul"\naddresses = ["h:1"]') + "[lease]\nlease_ms = 900\nask_ms = 100\n",
            "lease.lease_ms: Consul accepts no TTL under 10000 ms",
        ),
        (VALID + "[jobs]\nturnstyle = 1\n", "fleet.toml:6: jobs.turnstyle: unknown key"),
        ("[store]\nkind = 'sqlite'\n", "folder"),
        ("folder = ", "fleet.toml"),
    ],
)
def test_invalid_file_is_reported_in_one_line_with_its_key(text: str, message: str, tmp_path: Path) -> None:
    path = tmp_path / "fleet.toml"
    path.write_text(text)
    with pytest.raises(InputFileError) as raised:
        config.load(path)
    report = str(raised.value)
    assert message in report
    assert "\n" not in report


def test_shipped_file_is_valid_and_coordination_is_off_by_default() -> None:
    deploy = Path(__file__).resolve().parents[2] / "deploy"
    assert config.load(deploy / "fleet.toml").jobs.turnstile == 1
    balancer_file = (deploy / "balancer.toml").read_text()
    assert "fleet" not in balancer_file, "coordination is off by default"
