"""What a start of several balancers came to, side by side. Pure: from the views that they give of themselves."""

from __future__ import annotations

from typing import Any

DONE = ("attempts", "up", "refused", "failed")
HEAD = ("balancer", "began", "waited", "list", "ready", "heard", "served", "calls", *DONE)
STEPS = (("ready", "all doors are open"), ("heard", "all have heard the list"), ("served", "all have served"))


def after(ms: float, since_ms: float) -> str:
    """In seconds; `-` where it has not come."""
    return f"{(ms - since_ms) / 1000:.2f} s" if ms else "-"


def calls(start: dict[str, Any]) -> str:
    """Answered, and how many were not."""
    c = start["calls"]
    lost = c.get("refused", 0) + c.get("failed", 0)
    return f"{c.get('answered', 0)}" + (f" and {lost} not" if lost else "")


def report(views: list[dict[str, Any]]) -> list[str]:
    """Lines: a row a balancer, times since its own process began but for `began`, which is since the first one did;
    then what it came to for all. KeyError or TypeError where a view is not one."""
    starts = sorted(((v["start"]["begun_ms"], v["name"], v["start"]) for v in views), key=lambda s: s[:2])
    first = starts[0][0]
    rows = [HEAD]
    for begun, name, s in starts:
        done = s["first"]
        rows.append((name, f"{(begun - first) / 1000:.2f} s", after(s["waited_ms"], 0), s["list"],
                     *(after(s[f"{what}_ms"], begun) for what in ("ready", "heard", "served")), calls(s),
                     *(str(done.get(what, 0)) for what in DONE)))
    wide = [max(len(row[n]) for row in rows) for n in range(len(HEAD))]
    lines = ["  ".join(cell.ljust(width) for cell, width in zip(row, wide, strict=True)).rstrip() for row in rows]
    for what, text in STEPS:
        missing = [name for _, name, s in starts if not s[f"{what}_ms"]]
        last = max(s[f"{what}_ms"] for _, _, s in starts)
        lines.append(f"{text}: not yet: {', '.join(missing[:5])}{' and more' * (len(missing) > 5)}" if missing else
                     f"{text}: {(last - first) / 1000:.2f} s after the first process began")
    total = [sum(s["calls"].get(k, 0) for _, _, s in starts) for k in ("answered", "refused", "failed")]
    lines.append(f"calls for the list: {sum(total) / len(starts):.1f} a balancer, {total[1]} refused, "
                 f"{total[2]} failed")
    return lines
