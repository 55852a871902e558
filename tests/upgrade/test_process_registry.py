"""The descriptors of the other process of an upgrade."""

from __future__ import annotations

import os
import subprocess
import sys
from pathlib import Path

from glenrock.upgrade.process_registry import ProcessRegistry


def test_descriptors_of_a_live_process_are_counted(tmp_path: Path) -> None:
    code = "import sys; files = [open('/dev/null') for _ in range(50)]; print(flush=True); sys.stdin.read()"
    other = subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        assert other.stdout
        other.stdout.readline()  # its files are open
        own_registry = ProcessRegistry(str(tmp_path), os.getpid())
        other_registry = ProcessRegistry(str(tmp_path), other.pid)
        own_registry.register()
        assert own_registry.count_other_descriptors() == 0
        other_registry.register()
        assert 50 <= own_registry.count_other_descriptors() <= 60
        (tmp_path / f"glenrock-process-{os.getppid()}-1").touch()  # the id was reused by another process
        assert 50 <= own_registry.count_other_descriptors() <= 60
    finally:
        other.communicate()
    assert own_registry.count_other_descriptors() == 0
    assert [file.name for file in tmp_path.iterdir()] == [own_registry.file_name]
    own_registry.unregister()
    assert not list(tmp_path.iterdir())
