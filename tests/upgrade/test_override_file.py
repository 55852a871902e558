"""The form of the file of operators' overrides."""

from __future__ import annotations

from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.upgrade import override_file

SERVER_IDS = st.text(min_size=1, max_size=20)


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"{",
        b"[]",
        b'{"version": 2, "out": [], "back": {}, "seen": []}',
        b'{"version": 1}',
        b'{"version": 1, "out": [3], "back": {}, "seen": []}',
        b'{"version": 1, "out": [], "back": {"a": "b"}, "seen": []}',
        b'{"version": 1, "out": "s1", "back": {}, "seen": []}',
        b"\xff",
        b'{"version": 1, "out": [""], "back": {}, "seen": []}',
    ],
)
def test_invalid_override_file_is_rejected(data: bytes, tmp_path: Path) -> None:
    (tmp_path / override_file.FILE_NAME).write_bytes(data)
    with pytest.raises(override_file.OverrideFileError):
        override_file.read(str(tmp_path))


@given(
    st.sets(SERVER_IDS, max_size=5),
    st.dictionaries(SERVER_IDS, st.floats(0, 1e14), max_size=5),
    st.lists(SERVER_IDS, max_size=5),
)
def test_encoded_overrides_are_parsed_back(suspended: set[str], resumed: dict[str, float], known: list[str]) -> None:
    shared = override_file.SharedOverrides(suspended, resumed, dict.fromkeys(known))
    assert override_file.parse(override_file.encode(shared)) == shared
