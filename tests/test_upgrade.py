"""A new version beside the old, with real processes on loopback; and the file that both share."""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
import subprocess
import sys
from pathlib import Path

import pytest
from hypothesis import given
from hypothesis import strategies as st

from glenrock.config import ConfigError
from glenrock.net.peers import Peers
from glenrock.upgrade import inherited_listener, override_file
from glenrock.upgrade.process_marks import ProcessMarks

ROOT = Path(__file__).resolve().parent.parent
SETTINGS = {
    "balancers": 1,
    "caps": {"maxAttempts": 3, "cancel": True, "retryAfter": True, "maxRetryAfterUs": 500000},
    "classes": [{"name": "look", "targetUs": 300000, "deadlineUs": 1000000}],
    "obligations": {"coldUs": 9000000},
}


def free_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


def address(server: asyncio.Server) -> str:
    return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"


class Site:
    """Two instances that answer UP and echo lines, a discovery, the clients' listening socket, and processes."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=256)
        os.set_inheritable(self.listener.fileno(), True)
        self.port = self.listener.getsockname()[1]
        self.served = {"s1": 0, "s2": 0}  # connections that each instance has had
        self.processes: list[asyncio.subprocess.Process] = []

    async def open(self) -> None:
        self.servers, rows = [], []
        for name in self.served:
            server = await asyncio.start_server(lambda r, w, name=name: self.instance(name, r, w), "127.0.0.1", 0)
            self.servers.append(server)
            rows.append(
                {
                    "name": name,
                    "address": address(server),
                    "zone": "a",
                    "type": "m",
                    "group": 0,
                    "status": "SERVING",
                    "weight": 1.0,
                    "since_ms": 0,
                }
            )
        self.rows = {"index": 2, "snapshot": True, "endpoints": rows}
        self.servers.append(await asyncio.start_server(self.discovery, "127.0.0.1", 0))

    async def instance(self, name: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"OPEN"):
                self.served[name] += 1
                line = b"UP r\r\n"
            writer.write(line)
        writer.close()

    async def discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"GET /discovery/hosts HTTP"):
                body = json.dumps(self.rows).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

    async def start(self) -> int:
        """A process beside those there are. Returns the port where its operators call, once it is ready."""
        admin, number = free_port(), len(self.processes)
        file = self.folder / f"config{number}.json"
        file.write_text(
            json.dumps(
                {
                    "name": "n0",
                    "listen": f"127.0.0.1:{self.port}",
                    "seed": "7",
                    "settings": SETTINGS,
                    "known": self.rows,
                    "discovery": address(self.servers[-1]),
                }
            )
        )
        fd = self.listener.fileno()
        env = {
            **os.environ,
            "LB_CONFIG": str(file),
            "LB_ADMIN": f"127.0.0.1:{admin}",
            "TMPDIR": str(self.folder),
            "LB_ACCEPT_FD": str(fd),
        }
        for name in ("LB_NAME", "LB_LISTEN", "LB_DISCOVERY"):
            env.pop(name, None)
        with open(self.folder / f"log{number}", "wb") as log:
            self.processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable, "-m", "glenrock", cwd=ROOT, env=env, pass_fds=(fd,), stderr=log
                )
            )
        for _ in range(200):
            try:
                if (await self.call(admin, "GET", "readyz")).startswith("200"):
                    return admin
            except ConnectionError:
                pass
            await asyncio.sleep(0.05)
        raise AssertionError(self.log(number))

    def log(self, number: int) -> str:
        return (self.folder / f"log{number}").read_text()

    async def call(self, port: int, method: str, what: str) -> str:
        """Status and body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(f"{method} /v1/{what} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        head, _, body = (await reader.read()).partition(b"\r\n\r\n")
        writer.close()
        return f"{head.split()[1].decode()} {body.decode()}"

    async def close(self) -> None:
        for process in self.processes:
            if process.returncode is None:
                process.kill()
                await process.wait()
        for server in self.servers:
            server.close()
        self.listener.close()


async def client(site: Site, number: int, lines: int, pause: float) -> str:
    """How it ended: `kept` with all its lines back in order, `moved`, `refused`, or what went wrong."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", site.port)
        writer.write(b"OPEN c%d %x c=look,d=1000\r\n" % (number, number))
        answer = await reader.readline()
        if answer.startswith(b"BUSY"):
            return "refused"
        if answer != b"UP r\r\n":
            return f"was answered {answer!r}"
        for n in range(lines):
            # In two pieces, so that relays stand within a line now and then.
            writer.write(b"line ")
            await asyncio.sleep(pause / 2)
            writer.write(b"%d\r\n" % n)
            got = await reader.readline()
            if got == b"MOVE\r\n":
                return "moved"
            if got != b"line %d\r\n" % n:
                return f"line {n} came back as {got!r}"
            await asyncio.sleep(pause / 2)
        writer.close()
        return "kept"
    except OSError as bad:
        return repr(bad)


async def upgraded(folder: Path) -> None:
    site = Site(folder)
    await site.open()
    try:
        first = await site.start()
        assert (await site.call(first, "POST", "session-servers/s1/suspend")).startswith("200")
        standing = [asyncio.create_task(client(site, n, 40, 0.1)) for n in range(30)]
        coming: list[asyncio.Task] = []
        for n in range(120):
            coming.append(asyncio.create_task(client(site, 100 + n, 2, 0.1)))
            if n == 20:
                starting = asyncio.create_task(site.start())
            if n > 20 and starting.done() and not site.processes[0].returncode and len(site.processes) == 2:
                if not getattr(site, "told", False):
                    site.told = True
                    site.processes[0].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.03)
        second = await starting
        assert await asyncio.wait_for(site.processes[0].wait(), 5) == 0, site.log(0)
        ends = await asyncio.gather(*standing, *coming)
        assert ends.count("kept") == len(ends), (sorted(set(ends)), site.log(0), site.log(1))
        # None was moved: each instance connection is the one that the client had from the start.
        assert site.served == {"s1": 0, "s2": len(ends)}
        # What was out by hand is out still, and an id once listed is known.
        figures = await site.call(second, "GET", "metrics")
        assert "app_out_of_rotation 1\n" in figures and "app_open_requests 0\n" in figures
        assert (await site.call(second, "POST", "session-servers/s1/resume")).startswith("200")
        assert (await site.call(second, "POST", "session-servers/s3/resume")).startswith("404")
        # Most relays were handed over; those are counted by both.
        given = int(re.search(r"relays handed over relays=(\d+) ", site.log(0))[1])
        assert given >= 25 and f"{given} relays taken over" in site.log(1)
    finally:
        await site.close()


def test_an_upgrade_keeps_each_connection_and_each_ban(tmp_path: Path) -> None:
    asyncio.run(upgraded(tmp_path))


async def stopped_alone(folder: Path) -> None:
    site = Site(folder)
    await site.open()
    try:
        await site.start()
        standing = [asyncio.create_task(client(site, n, 40, 0.1)) for n in range(10)]
        await asyncio.sleep(0.5)
        # One that starts and dies before its yes leaves nothing behind that the old one would trust.
        starting = asyncio.create_task(site.start())
        while len(site.processes) < 2:
            await asyncio.sleep(0.01)
        site.processes[1].kill()
        starting.cancel()
        site.processes[0].send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(site.processes[0].wait(), 5) == 0
        assert set(await asyncio.gather(*standing)) == {"moved"}, site.log(0)
        assert "nobody takes the relays over" in site.log(0)
        # What comes meanwhile waits in the queue for the next process.
        late = asyncio.create_task(client(site, 50, 1, 0.1))
        await site.start()
        assert await late == "kept"
    finally:
        await site.close()


def test_without_a_successor_clients_are_moved_and_the_queue_waits(tmp_path: Path) -> None:
    asyncio.run(stopped_alone(tmp_path))


async def in_a_row(folder: Path) -> None:
    site = Site(folder)
    await site.open()
    try:
        await site.start()
        clients = [asyncio.create_task(client(site, n, 50, 0.1)) for n in range(20)]
        await asyncio.sleep(0.5)
        await site.start()
        # The second is told to go while the first still goes.
        starting = asyncio.create_task(site.start())
        site.processes[0].send_signal(signal.SIGTERM)
        await starting
        site.processes[1].send_signal(signal.SIGTERM)
        for process in site.processes[:2]:
            assert await asyncio.wait_for(process.wait(), 5) == 0
        ends = await asyncio.gather(*clients)
        assert ends.count("kept") == 20, (ends, site.log(0), site.log(1), site.log(2))
        # And one that is killed outright takes its clients with it; the door stays open.
        site.processes[2].kill()
        late = asyncio.create_task(client(site, 90, 1, 0.1))
        await site.start()
        assert await late == "kept"
    finally:
        await site.close()


def test_a_second_upgrade_right_after_the_first_and_a_kill(tmp_path: Path) -> None:
    asyncio.run(in_a_row(tmp_path))


async def both(folder: Path) -> None:
    site = Site(folder)
    await site.open()
    try:
        (folder / override_file.FILE_NAME).write_text('{"version": 9}')
        first = await site.start()
        assert f"{override_file.FILE_NAME} is left aside" in site.log(0)
        second = await site.start()
        for at, other, what, out in ((first, second, "suspend", 1), (second, first, "resume", 0)):
            assert (await site.call(at, "POST", f"session-servers/s1/{what}")).startswith("200")
            await asyncio.sleep(0.4)
            assert f"app_out_of_rotation {out}\n" in await site.call(other, "GET", "metrics")
        (folder / override_file.FILE_NAME).write_text("half a f")
        await asyncio.sleep(0.4)
        assert (await site.call(first, "POST", "session-servers/s2/suspend")).startswith("200")
    finally:
        await site.close()


def test_both_processes_agree_and_a_spoilt_file_is_told_and_replaced(tmp_path: Path) -> None:
    asyncio.run(both(tmp_path))


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
def test_a_file_that_cannot_be_used_is_refused_whole(data: bytes, tmp_path: Path) -> None:
    (tmp_path / override_file.FILE_NAME).write_bytes(data)
    with pytest.raises(ValueError):
        override_file.read(str(tmp_path))


def test_the_other_process_counts_while_it_lives(tmp_path: Path) -> None:
    code = "import sys; files = [open('/dev/null') for _ in range(50)]; print(flush=True); sys.stdin.read()"
    other = subprocess.Popen([sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE)
    try:
        other.stdout.readline()
        here, there = ProcessMarks(str(tmp_path), os.getpid()), ProcessMarks(str(tmp_path), other.pid)
        here.arrive()
        assert here.count_descriptors() == 0
        there.arrive()
        assert 50 <= here.count_descriptors() <= 60
        (tmp_path / f"glenrock-process-{os.getppid()}-1").touch()  # a pid that is another's by now
        assert 50 <= here.count_descriptors() <= 60
    finally:
        other.communicate()
    assert here.count_descriptors() == 0
    assert [name.name for name in tmp_path.iterdir()] == [here.mark]
    here.leave()
    assert not list(tmp_path.iterdir())


def test_the_process_that_bound_the_peers_address_last_hears() -> None:
    async def heard() -> None:
        got: list[tuple[str, bytes]] = []
        sender = socket.socket(type=socket.SOCK_DGRAM)
        sender.bind(("127.0.0.1", 0))
        peers = (("127.0.0.1", 9), sender.getsockname())

        def peer(name: str, port: int) -> Peers:
            return Peers(("127.0.0.1", port), peers, None, lambda e: bool(got.append((name, e.data))), 2, True)

        async def tell(data: bytes) -> None:
            sender.sendto(data, old.sock.getsockname())
            for _ in range(200):
                if got and got[-1][1] == data:
                    return
                await asyncio.sleep(0.005)
            raise AssertionError(f"{data!r} was lost")

        old = peer("old", 0)
        await tell(b"1")
        new = peer("new", old.sock.getsockname()[1])
        await tell(b"2")
        old.close()
        sender.sendto(b"3", new.sock.getsockname())
        await asyncio.sleep(0.05)
        new.close()
        sender.close()
        assert got == [("old", b"1"), ("new", b"2"), ("new", b"3")]

    asyncio.run(heard())


NAMES = st.text(min_size=1, max_size=20)


@given(st.sets(NAMES, max_size=5), st.dictionaries(NAMES, st.floats(0, 1e14), max_size=5), st.lists(NAMES, max_size=5))
def test_what_is_written_is_read_back(out: set[str], back: dict[str, float], seen: list[str]) -> None:
    shared = override_file.SharedOverrides(out, back, dict.fromkeys(seen))
    assert override_file.parse(override_file.encode(shared)) == shared


@pytest.mark.parametrize(
    "make",
    [
        lambda: os.open("/dev/null", os.O_RDONLY),
        lambda: socket.socket().detach(),
        lambda: socket.socket(type=socket.SOCK_DGRAM).detach(),
        lambda: 999,
    ],
)
def test_a_descriptor_that_is_no_listening_socket_is_refused(make) -> None:
    with pytest.raises(ConfigError, match="^LB_ACCEPT_FD: "):
        inherited_listener.open_inherited(make())
