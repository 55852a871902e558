"""Atomic replacement of small files, with a digest and a copy of the previous content.

The new content is written to a temporary file, which is renamed over the old one: if the process ends in
between, the old file remains. The previous file is kept under a second name, for the case that the current one is
damaged later. The digest reveals damage. A file without a digest is read without this check.
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


class CorruptFileError(ValueError):
    """The content of a file is not what was written."""


def _compute_digest(content: dict[str, Any]) -> str:
    without_digest = {key: value for key, value in content.items() if key != DIGEST_KEY}
    return hashlib.sha256(json.dumps(without_digest, sort_keys=True).encode()).hexdigest()


def encode_with_digest(content: dict[str, Any]) -> bytes:
    """Returns the content as JSON, with its digest."""
    # JSON turns keys into strings. The digest is of the content that a reader decodes.
    decoded: dict[str, Any] = json.loads(json.dumps(content))
    return json.dumps({**content, DIGEST_KEY: _compute_digest(decoded)}).encode()


def check_digest(content: dict[str, Any]) -> None:
    """Compares the content with its digest, if it has one.

    Raises:
        CorruptFileError: the digest does not match the content.
    """
    if DIGEST_KEY in content and content[DIGEST_KEY] != _compute_digest(content):
        raise CorruptFileError("the digest does not match: the file is truncated or damaged")


def previous_path(path: Path) -> Path:
    """Returns the path of the copy of the previous content."""
    return path.with_name(path.name + PREVIOUS_SUFFIX)


def replace(path: Path, data: bytes, sync: bool) -> None:
    """Replaces a file atomically, and keeps its previous content at `previous_path`.

    Args:
        path: the file.
        data: the new content.
        sync: whether to wait until the content is on the disk, which may take seconds.

    Raises:
        OSError: writing failed. The file is unchanged, unless only the sync of its folder failed.
    """
    temporary = path.with_name(f"{path.name}.{os.getpid()}")
    try:
        with open(temporary, "wb") as file:
            file.write(data)
            file.flush()
            if sync:
                os.fsync(file.fileno())
        _link_previous(path, temporary.with_name(temporary.name + PREVIOUS_SUFFIX))
        os.replace(temporary, path)
    except OSError:
        _remove(temporary)
        raise
    if sync:
        _sync_folder(path.parent)


def _link_previous(path: Path, temporary: Path) -> None:
    """Links the present file to `previous_path`. A failure is ignored, since the replacement does not depend on it."""
    _remove(temporary)  # `os.link` fails if an interrupted call left this link behind
    with contextlib.suppress(OSError):
        os.link(path, temporary)
        os.replace(temporary, previous_path(path))
    _remove(temporary)  # rename(2) does nothing if both names are of one file


def _remove(path: Path) -> None:
    with contextlib.suppress(OSError):
        os.unlink(path)


def _sync_folder(folder: Path) -> None:
    """Waits until the renames in the folder are on the disk.

    A power failure may undo a rename that is not on the disk. The path then has the old file, which is whole.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
