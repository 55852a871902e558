"""An actor that fails: the program must end with an error that names it, instead of running on without it."""

from __future__ import annotations

import asyncio

import pytest

from .rig import LoopbackRig


async def test_program_ends_with_the_name_and_the_error_of_an_actor_that_failed(rig: LoopbackRig) -> None:
    async def broken_actor() -> None:
        raise ValueError("broken")

    await rig.open()
    rig.program.start_task(broken_actor())
    with pytest.raises(RuntimeError, match=r"^an actor ended: .*broken_actor$") as raised:
        await rig.program.run_until(asyncio.Event())
    assert isinstance(raised.value.__cause__, ValueError)
