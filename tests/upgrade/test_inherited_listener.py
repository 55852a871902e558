"""Descriptors that are not a listening TCP socket."""

from __future__ import annotations

import os
import socket
from collections.abc import Callable

import pytest

from glenrock.config import ConfigError
from glenrock.upgrade import inherited_listener


@pytest.mark.parametrize(
    "open_descriptor",
    [
        lambda: os.open("/dev/null", os.O_RDONLY),
        lambda: socket.socket().detach(),
        lambda: socket.socket(type=socket.SOCK_DGRAM).detach(),
        lambda: 999,
    ],
)
def test_invalid_inherited_descriptor_is_rejected(open_descriptor: Callable[[], int]) -> None:
    with pytest.raises(ConfigError, match=r"^LB_ACCEPT_FD: "):
        inherited_listener.open_inherited(open_descriptor())
