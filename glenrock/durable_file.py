"""Small files that are replaced as a whole: read back whole, or as they were before, whatever a write met.

A file is written beside its place, and takes that place by a rename, so a process that dies leaves the old one. The one
before stays as a second copy, for a file that was cut or spoilt later. A digest tells what was spoilt; files of earlier
versions have none and are read as they are.
"""

from __future__ import annotations

import contextlib
import hashlib
import json
import os
from pathlib import Path
from typing import Any

DIGEST_KEY = "digest"
PREVIOUS_SUFFIX = ".previous"


class SpoiltFileError(ValueError):
    """The content is not what was written."""


def _digest_of(content: dict[str, Any]) -> str:
    rest = {key: value for key, value in content.items() if key != DIGEST_KEY}
    return hashlib.sha256(json.dumps(rest, sort_keys=True).encode()).hexdigest()


def sealed(content: dict[str, Any]) -> bytes:
    """The content as JSON, with its digest."""
    # Through JSON first: keys and numbers are digested as a reader will see them.
    plain: dict[str, Any] = json.loads(json.dumps(content))
    return json.dumps({**content, DIGEST_KEY: _digest_of(plain)}).encode()


def check_seal(content: dict[str, Any]) -> None:
    """Compares the content with its digest, where it has one.

    Raises:
        SpoiltFileError: they differ.
    """
    if DIGEST_KEY in content and content[DIGEST_KEY] != _digest_of(content):
        raise SpoiltFileError("the digest is wrong: it is cut short or spoilt")


def previous_of(path: Path) -> Path:
    """Where the file stands that was replaced last."""
    return path.with_name(path.name + PREVIOUS_SUFFIX)


def replace(path: Path, data: bytes, sync: bool) -> None:
    """Replaces the file, or leaves it as it was.

    Args:
        path: of the file.
        data: all of its content.
        sync: wait for the disk, so that it outlasts the machine's power too. A disk may take seconds.

    Raises:
        OSError: it could not be written; the file is as it was.
    """
    beside = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with open(beside, "wb") as file:
            file.write(data)
            file.flush()
            if sync:
                os.fsync(file.fileno())
        _keep_previous(path, beside.with_name(beside.name + PREVIOUS_SUFFIX))
        os.replace(beside, path)
    except OSError:
        _remove(beside)
        raise
    if sync:
        _sync_folder(path.parent)


def _keep_previous(path: Path, beside: Path) -> None:
    """A second name for the file that stands there; without one the replacement still holds."""
    _remove(beside)  # left by a try that got no further: the link would fail for ever
    with contextlib.suppress(OSError):
        os.link(path, beside)
        os.replace(beside, previous_of(path))
    _remove(beside)  # a rename onto another name of the same file does nothing (rename(2))


def _remove(path: Path) -> None:
    with contextlib.suppress(OSError):
        os.unlink(path)


def _sync_folder(folder: Path) -> None:
    """A rename that is not on disk may be undone by a power cut: the old file counts then, which was whole."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
