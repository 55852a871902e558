"""Standing relays, handed from a process that was told to go to the one that came after it.

One message a relay over a Unix socket in the folder that both share, with both descriptors; the answer says whether it
was taken. A relay is one process's at a time: the giver's pumps have stopped before the message, the taker's run before
the answer.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import socket
from collections.abc import Callable, Iterator

from ..log import say
from ..net import protocol
from ..net.client_connection import ClientConnection
from ..net.clock import Clock
from ..net.connection_table import ConnectionTable
from ..net.socket_io import configure_socket, readable, recv_into

NAME = "glenrock-relays.sock"
VERSION = 1
LARGEST = 32_768  # bytes of a message: two lines of 4 KiB, escaped, and a little
ANSWER_MS = 1000.0
TAKEN, REFUSED = b"taken", b"refused"
LONGEST_PATH = 100  # of a Unix socket's address, in bytes


@contextlib.contextmanager
def address(folder: str) -> Iterator[str]:
    """The socket's path, by way of the folder's descriptor where it is too long for an address."""
    path = os.path.join(folder, NAME)
    if len(path.encode()) <= LONGEST_PATH:
        yield path
        return
    number = os.open(folder, os.O_PATH | os.O_DIRECTORY)
    try:
        yield f"/proc/self/fd/{number}/{NAME}"
    finally:
        os.close(number)


def message(command: ClientConnection, load: int) -> bytes:
    splitter = command.gate.splitter
    return json.dumps({
        "version": VERSION, "line": command.opened.line.decode("latin-1"), "instance": command.server, "load": load,
        "part": splitter.part.decode("latin-1"), "overlong": splitter.overlong, "asked_at": command.asked_at,
        "word": command.last_word}).encode()


def relay_of(data: bytes, server: ConnectionTable, client: socket.socket, instance: socket.socket) -> ClientConnection:
    """The relay, its pumps running. ValueError where it cannot be one of this process."""
    raw = json.loads(data)
    if not isinstance(raw, dict) or raw.get("version") != VERSION:
        raise ValueError(f"not of version {VERSION}")
    kinds = {"line": str, "instance": str, "load": int, "part": str, "overlong": bool, "word": str,
             "asked_at": float | None}
    for key, kind in kinds.items():
        if not isinstance(raw.get(key), kind):
            raise ValueError(f"{key}: {raw.get(key)!r:.100}")
    opened = protocol.parse_open(raw["line"].encode("latin-1"), server.known)
    if server.knows(opened.id):
        raise ValueError("the id of a command that is open")
    if server.full():
        raise ValueError("no room for another command")
    configure_socket(client)
    configure_socket(instance)
    command = ClientConnection(server, client, opened)
    command.gate.restore(raw["part"].encode("latin-1"), raw["overlong"])
    command.asked_at, command.last_word, command.load = raw["asked_at"], raw["word"], max(0, raw["load"])
    command.take_over(raw["instance"], instance)
    return command


class Taker:
    """Of a process that takes clients: whoever goes before it finds it here."""

    def __init__(self, folder: str, server: ConnectionTable) -> None:
        self.folder, self.server = folder, server
        self.sock: socket.socket | None = None
        self.inode = 0  # of the socket's file, while it is ours
        self.taken = 0
        self.tasks: set[asyncio.Task] = set()

    def listen(self) -> None:
        """Without a folder, or where it cannot be done, clients are moved in place of handed over."""
        try:
            sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
            sock.setblocking(False)
            with address(self.folder) as path:
                with contextlib.suppress(FileNotFoundError):
                    os.unlink(path)
                sock.bind(path)
                self.inode = os.stat(path).st_ino
            sock.listen(4)
        except OSError as bad:
            say("upgrade", f"no relays can be taken over: {bad}")
            return
        self.sock = sock
        asyncio.get_running_loop().add_reader(sock, self.accept)

    def accept(self) -> None:
        with contextlib.suppress(OSError):
            sock, _ = self.sock.accept()
            sock.setblocking(False)
            task = asyncio.get_running_loop().create_task(self.take(sock))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def take(self, sock: socket.socket) -> None:
        loop, before = asyncio.get_running_loop(), self.taken
        with sock:
            while (got := await receive(loop, sock))[0]:
                answer = self.one(*got)
                with contextlib.suppress(OSError):
                    sock.send(answer)
        say("upgrade", f"{self.taken - before} relays taken over")

    def one(self, data: bytes, numbers: list[int]) -> bytes:
        socks = [socket.socket(fileno=number) for number in numbers]
        try:
            if len(socks) != 2:
                raise ValueError(f"{len(socks)} descriptors")
            command = relay_of(data, self.server, *socks)
        except (ValueError, OSError) as bad:
            say("upgrade", f"a relay is not taken over: {bad}")
            for sock in socks:
                sock.close()
            return REFUSED
        self.server.adopt(command)
        self.taken += 1
        return TAKEN


async def receive(loop: asyncio.AbstractEventLoop, sock: socket.socket) -> tuple[bytes, list[int]]:
    """The next message and its descriptors; empty at the end."""
    while True:
        await readable(loop, sock)
        try:
            data, numbers, _, _ = socket.recv_fds(sock, LARGEST, 4)
            return data, numbers
        except BlockingIOError:
            continue
        except OSError:
            return b"", []


class Giver:
    """Of a process that was told to go."""

    def __init__(self, folder: str, clock: Clock, own: int, load_of: Callable[[str], int]) -> None:
        self.folder, self.clock, self.own, self.load_of = folder, clock, own, load_of
        self.sock: socket.socket | None = None
        self.turn = asyncio.Lock()
        self.given = 0

    def open(self) -> bool:
        """Whether there is a successor. What is found may be this process's own socket: then there is none."""
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        try:
            with address(self.folder) as path:
                if os.stat(path).st_ino == self.own:
                    raise OSError("no successor")
                sock.setblocking(False)
                sock.connect(path)
        except OSError as bad:
            sock.close()
            say("upgrade", f"nobody takes the relays over, so their clients are moved: {bad}")
            return False
        self.sock = sock
        return True

    async def give(self, command: ClientConnection) -> bool:
        async with self.turn:
            if not self.sock:
                return False
            data = message(command, self.load_of(command.opened.id))
            answer = bytearray(64)
            loop = asyncio.get_running_loop()
            try:
                socket.send_fds(self.sock, [data], [command.sock.fileno(), command.server_sock.fileno()])
                async with self.clock.limit(ANSWER_MS) as limit:
                    count = await recv_into(loop, self.sock, answer)
                # Danger: without an answer in time it may be the successor's already. Two that read one
                # connection tear it apart, so then it counts as given.
                taken = limit.over or answer[:count] == TAKEN
                if not limit.over and not count:
                    raise OSError("the successor is gone")
            except OSError as bad:
                say("upgrade", f"relays are handed over no more, so clients are moved: {bad}")
                self.close()
                return False
            self.given += taken
            return taken

    def close(self) -> None:
        if self.sock:
            self.sock.close()
            self.sock = None
