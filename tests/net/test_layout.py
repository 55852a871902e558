"""Each numeric constant of glenrock/net has a row on the capacity page, unless it is no limit or tuning value."""

from __future__ import annotations

import ast
import importlib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
EXEMPT = {"HTTP_OK", "NO_VERSION", "LONG_AGO_MS"}  # a value of a protocol, and placeholders for unknown values


def test_each_numeric_constant_is_on_the_capacity_page() -> None:
    page = (ROOT / "docs/capacity.md").read_text()
    section = page.split("## Network\n")[1].split("\n## ")[0]
    missing = []
    for path in sorted((ROOT / "glenrock/net").glob("*.py")):
        module = importlib.import_module(f"glenrock.net.{path.stem}")
        for node in ast.parse(path.read_text()).body:
            targets = node.targets if isinstance(node, ast.Assign) else []
            for name in (target.id for target in targets if isinstance(target, ast.Name)):
                is_number = isinstance(getattr(module, name), int | float)
                if is_number and name.isupper() and name not in EXEMPT and f"`{name}`" not in section:
                    missing.append(f"{path.stem}.{name}")
    assert missing == []
