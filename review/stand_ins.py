"""Stand-ins for clients, session servers, discovery and the platform, for the cases of the review.

They need only the standard library, and follow the users' pages: PROTOCOL, DEPLOY and DAYS. All addresses are loopback
addresses with ports that the kernel chose.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import secrets
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import urllib.parse
from collections.abc import Callable
from pathlib import Path
from types import TracebackType
from typing import Any

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
BROKEN, HELD, CANNOT_RUN = 1, 0, 2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_COMMAND = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
LB_VARIABLE_PREFIX = "LB_"
DEADLINE_MS = {"entry-lookup": 1800, "index-browse": 1200, "level-watch": 2000}
LONGEST_RUN_S = 115.0
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)


class CannotRunError(Exception):
    """The case could not be set up, so it says nothing about the rule."""


class Record:
    """`record.txt` of a case: what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now_s(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._started_s

    def write(self, party: str, text: str) -> None:
        """Writes one line."""
        self._file.write(f"{self.now_s():8.3f} {party:<16} {text}\n")
        self._file.flush()

    def say(self, text: str) -> None:
        """Writes one line, and shows it on standard output too."""
        self.write("case", text)
        sys.stdout.write(text + "\n")
        sys.stdout.flush()


def end_unfinished(kind: type[BaseException], error: BaseException, trace: TracebackType | None) -> None:
    """Ends the process after an unexpected exception: a case that was not played to its end has no verdict."""
    sys.__excepthook__(kind, error, trace)
    sys.stderr.flush()
    os._exit(CANNOT_RUN)


def die_with_parent() -> None:
    """Runs in a child before its program: the child ends with the case, even if that is killed."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def free_port(kind: socket.SocketKind = socket.SOCK_STREAM) -> int:
    """Returns a port that is free now."""
    with socket.socket(socket.AF_INET, kind) as sock:
        sock.bind((HOST, 0))
        return int(sock.getsockname()[1])


class Server:
    """A session server: brings every request up, and returns each line of the client at once.

    Attributes:
        name: as discovery lists it.
        status: as discovery lists it.
        opened: for each request that arrived, the time of its first byte and its id.
        since_ms: when its process started, as discovery lists it.
        drains_since_s: since when it completes what it holds and turns new requests away; None if it does not.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.status = "SERVING"
        self.opened: list[tuple[float, str]] = []
        self.drains_since_s: float | None = None
        self.since_ms = 0
        self.port = 0
        self._record = record
        self._listener: asyncio.Server | None = None
        self._receipts = 0
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Starts to listen."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0, backlog=1024)
        self.port = self._listener.sockets[0].getsockname()[1]

    def connection_count(self) -> int:
        """Returns how many connections it holds."""
        return len(self._writers)

    def stop(self) -> int:
        """Ends the process that this stands for. Returns how many connections it still held."""
        if self._listener:
            self._listener.close()
        held = list(self._writers)
        for writer in held:
            writer.transport.abort()
        self._record.write(self.name, f"stopped, with {len(held)} connections")
        return len(held)

    def opened_since(self, at_s: float) -> list[str]:
        """Returns the ids of the requests whose first byte arrived after a time."""
        return [request_id for first_byte_s, request_id in self.opened if first_byte_s > at_s]

    def row(self) -> dict[str, Any]:
        """Returns its row of the list."""
        return {
            "name": self.name,
            "address": f"{HOST}:{self.port}",
            "zone": "budapest-a",
            "type": "std-4",
            "group": 0,
            "status": self.status,
            "weight": 1.0,
            "since_ms": self.since_ms,
        }

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await self._serve_lines(reader, writer)
        except OSError:
            pass
        finally:
            self._writers.discard(writer)
            with contextlib.suppress(RuntimeError):  # the case has ended
                writer.close()

    async def _serve_lines(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while first := await reader.read(1):
            first_byte_s = self._record.now_s()
            line = (first + await reader.readline()).decode("latin-1")
            word, _, rest = line.strip().partition(" ")
            if word == "OPEN":
                await self._serve_client(first_byte_s, rest.split(" ")[0], reader, writer)
                return
            if word in ("PING", "STATS"):
                report = b"PONG\r\nutil=0.30,queue=0,x0=0.30\r\n" if word == "STATS" else b"PONG\r\n"
                writer.write(report)
                await writer.drain()
                continue
            self._record.write(self.name, f"SYNTAX for {line!r}")
            writer.write(b"SYNTAX\r\n")
            return

    async def _serve_client(
        self, first_byte_s: float, request_id: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.opened.append((first_byte_s, request_id))
        if self.drains_since_s is not None:
            self._record.write(self.name, f"OPEN {request_id} arrived at {first_byte_s:.3f}, answers BUSY: it drains")
            writer.write(b"BUSY\r\n")
            await writer.drain()
            return
        self._receipts += 1
        self._writers.add(writer)
        self._record.write(self.name, f"OPEN {request_id} arrived at {first_byte_s:.3f}, answers UP")
        writer.write(f"UP {self.name}-{self._receipts}\r\n".encode())
        while line := await reader.readline():
            writer.write(b"OK " + line)
            await writer.drain()


class Discovery:
    """Discovery: the whole list, and watches of its changes.

    Attributes:
        is_down: every call is answered 503 then, and watches end, as where discovery is asked (the users' PROTOCOL).
        can_answer: cleared while an agent is silent: no call is answered before it is set again (PROTOCOL).
    """

    def __init__(self, servers: list[Server], record: Record) -> None:
        self.port = 0
        self.index = 1
        self.is_down = False
        self.can_answer = asyncio.Event()
        self.can_answer.set()
        self._servers = servers
        self._record = record
        self._changed_at: dict[str, int] = {}
        self._change = asyncio.Condition()
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self._listener.sockets[0].getsockname()[1]

    async def set_status(self, names: list[str], status: str) -> None:
        """Changes the status of servers."""
        self.index += 1
        for server in self._servers:
            if server.name in names:
                server.status = status
                self._changed_at[server.name] = self.index
        self._record.write("discovery", f"index {self.index}: {','.join(names)} {status}")
        await self.wake()

    async def set_down(self, is_down: bool) -> None:
        """Takes discovery down, or up again."""
        self.is_down = is_down
        self._record.write("discovery", "down: 503 to every call" if is_down else "reachable again")
        await self.wake()

    async def wake(self) -> None:
        """Wakes the open watches."""
        async with self._change:
            self._change.notify_all()

    def known(self) -> dict[str, Any]:
        """Returns the whole list."""
        rows = [server.row() for server in self._servers if server.status != "DELETED"]
        return {"index": self.index, "snapshot": True, "endpoints": rows}

    def _changes(self, index: int) -> dict[str, Any]:
        rows = [server.row() for server in self._servers if self._changed_at.get(server.name, 0) > index]
        return {"index": self.index, "snapshot": False, "endpoints": rows}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, ValueError):
            while line := await reader.readline():
                while (await reader.readline()).strip():
                    pass
                path = line.split(b" ")[1].decode()
                status, body = await self._answer(path)
                await self.can_answer.wait()
                data = json.dumps(body).encode() if body else b""
                self._record.write("discovery", f"{path} from {writer.get_extra_info('peername')[1]}: {status}")
                writer.write(f"HTTP/1.1 {status} X\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data)
                await writer.drain()
        writer.close()

    async def _answer(self, path: str) -> tuple[int, dict[str, Any] | None]:
        query = urllib.parse.parse_qs(urllib.parse.urlsplit(path).query)
        if self.is_down:
            return 503, None
        if "index" not in query:
            return 200, self.known()
        index = int(query["index"][0])
        async with self._change:
            with contextlib.suppress(TimeoutError):
                wait_s = int(query["wait"][0]) / 1000
                await asyncio.wait_for(self._change.wait_for(lambda: self.index > index or self.is_down), wait_s)
        return (503, None) if self.is_down else (200, self._changes(index))


def build_settings(slot: int, balancers: int, **changes: Any) -> dict[str, Any]:
    """Returns the settings of one balancer, in the form of the users' page on the wire, with its figures."""
    settings: dict[str, Any] = {
        "az": "budapest-a",
        "balancers": balancers,
        "slotNo": slot,
        "tickUs": 2000,
        "registryMode": "push",
        "caps": {
            "cancel": True,
            "dialTimeoutUs": 200_000,
            "maxAttempts": 5,
            "maxRetryAfterUs": 1_000_000,
            "mayDuplicate": False,
            "mayTell": balancers > 1,
            "probes": True,
            "retryAfter": True,
        },
        "classes": [
            {
                "name": "entry-lookup",
                "effect": "safe",
                "targetUs": 300_000,
                "deadlineUs": 1_800_000,
                "worth": 5.0,
            },
            {"name": "index-browse", "effect": "safe", "targetUs": 300_000, "deadlineUs": 1_200_000, "worth": 1.0},
        ],
        "domain": {"groups": True, "tellsLoad": True, "messageAimUs": [100_000, 60_000]},
        "obligations": {
            "askWithinUs": 10_000_000,
            "coldShare": 0.31,
            "coldUs": 9_000_000,
            "drainGraceUs": 2_500_000,
            "fallMultiple": 3.0,
            "graceToAnswerUs": 8000,
            "overloadForUs": 3_000_000,
        },
        "report": {"how": "probe", "names": ["utilization", "backlog", "x0"]},
        "zones": ["budapest-a"],
        "tariffs": {"probe": 0.0015, "peer": 0.01, "moves": 0.02},
    }
    for name, value in changes.items():
        if isinstance(value, dict):
            settings[name] = {**settings[name], **value}
        else:
            settings[name] = value
    return settings


class Balancer:
    """One balancer process, started with the deploy file's command. It has a folder of its own for `$TMPDIR`.

    Attributes:
        name: its name, the same after a restart.
        port: where clients connect.
        admin_port: where operators call.
    """

    def __init__(self, name: str, folder: Path, config: dict[str, Any], record: Record, port: int = 0) -> None:
        self.name = name
        self.port = port or free_port()
        self.admin_port = free_port()
        self.config = {
            "name": name,
            "listen": f"{HOST}:{self.port}",
            "admin": f"{HOST}:{self.admin_port}",
            "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
            **config,
        }
        self.process: subprocess.Popen[bytes] | None = None
        self.temporary = ""
        self._folder = folder
        self._record = record

    def start(self, temporary: Path | None = None, accept_fd: int | None = None) -> None:
        """Starts the program, with an empty `$TMPDIR` unless one is given."""
        self.config["seed"] = secrets.token_hex(8)  # new with each start
        config_path = self._folder / f"{self.name}-{self.admin_port}.json"
        config_path.write_text(json.dumps(self.config))
        self.temporary = str(temporary or tempfile.mkdtemp(prefix=f"{self.name}-", dir=self._folder))
        environment = {key: value for key, value in os.environ.items() if not key.startswith(LB_VARIABLE_PREFIX)}
        environment |= {"LB_CONFIG": str(config_path), "LB_NAME": self.name, "TMPDIR": self.temporary}
        environment |= {"LB_LISTEN": self.config["listen"], "LB_ADMIN": self.config["admin"]}
        if accept_fd is not None:
            environment["LB_ACCEPT_FD"] = str(accept_fd)
        with (self._folder / f"{self.name}-{self.admin_port}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", RUN_COMMAND],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                pass_fds=() if accept_fd is None else (accept_fd,),
                preexec_fn=die_with_parent,
            )
        self._record.write(self.name, f"process {self.process.pid} started")

    def log_text(self) -> str:
        """Returns its log."""
        return (self._folder / f"{self.name}-{self.admin_port}.log").read_text(errors="replace")

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the program."""
        if self.process and self.is_running:
            self._record.write(self.name, f"{number.name} to process {self.process.pid}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Ends the process outright."""
        self.send_signal(signal.SIGKILL)
        if self.process:
            await asyncio.to_thread(self.process.wait)

    async def call(self, method: str, path: str) -> tuple[int, str]:
        """Makes an operator's call. Returns its status and body; status 0 if there was no answer."""
        status, body = 0, ""
        with contextlib.suppress(OSError, TimeoutError, ValueError, IndexError):
            async with asyncio.timeout(3.0):
                reader, writer = await asyncio.open_connection(HOST, self.admin_port)
                writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
                answer = (await reader.read()).decode()
                writer.close()
                head, _, body = answer.partition("\r\n\r\n")
                status = int(head.split(" ")[1])
        if method == "POST":
            self._record.write(self.name, f"{method} {path}: {status} {body.strip()}")
        return status, body

    async def wait_ready(self) -> None:
        """Waits for `readyz`. Raises CannotRunError."""

        async def is_ready() -> bool:
            return (await self.call("GET", "/v1/readyz"))[0] == 200

        if not await wait_for(is_ready, 20.0):
            raise CannotRunError(f"{self.name} is not ready: {self.log_text()[-500:]}")
        self._record.write(self.name, "ready")


async def wait_for(condition: Callable[[], Any], timeout_s: float, interval_s: float = 0.1) -> bool:
    """Waits for a condition, which may be a coroutine function. Returns whether it held in time."""
    deadline_s = time.monotonic() + timeout_s
    while time.monotonic() < deadline_s:
        value = condition()
        if asyncio.iscoroutine(value):
            value = await value
        if value:
            return True
        await asyncio.sleep(interval_s)
    return False


class Client:
    """One client connection. It sends its request line, and then a line every 2 s, as the users' page says.

    Attributes:
        request_id: fresh.
        answer: the final answer, or the `UP` line; empty if the connection ended without one.
        is_moved: whether it was asked to move.
        end: how the connection ended; empty while it is open.
        faults: what a line brought back that is wrong.
        longest_wait_s: the longest time from a line that was sent to its answer.
    """

    numbers = 0

    def __init__(self, record: Record, port: int, class_name: str = "entry-lookup") -> None:
        Client.numbers += 1
        self.request_id = f"9b1f03aa{Client.numbers:08x}"
        self.answer = ""
        self.is_moved = False
        self.end = ""
        self.faults: list[str] = []
        self.longest_wait_s = 0.0
        self._class_name = class_name
        self._record = record
        self._port = port
        self._reader: asyncio.StreamReader | None = None
        self._writer: asyncio.StreamWriter | None = None
        self._unanswered: list[tuple[float, bytes]] = []
        self._line_number = 0
        self._tasks: list[asyncio.Task[None]] = []

    @property
    def is_up(self) -> bool:
        """Whether it was brought up and is still open."""
        return self.answer.startswith("UP") and not self.end

    async def open(self) -> bool:
        """Sends the request and waits for the answer. Returns whether it was brought up."""
        deadline_ms = DEADLINE_MS[self._class_name]
        fields = f"c={self._class_name},d={deadline_ms},g={Client.numbers:x}"
        line = f"OPEN {self.request_id} {Client.numbers:016x} {fields}\r\n"
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 1.5):
                self._reader, self._writer = await asyncio.open_connection(HOST, self._port)
                self._writer.write(line.encode())
                self.answer = (await self._reader.readline()).decode("latin-1").strip()
        except (OSError, TimeoutError) as error:
            self.end = repr(error)
        self._record.write(self.request_id, f"{line.strip()} to {self._port}: {self.answer or self.end or 'closed'}")
        if not self.answer.startswith("UP"):
            self.close()
            return False
        return True

    def keep(self) -> None:
        """Starts to send and read lines."""
        self._tasks = [asyncio.create_task(self._send()), asyncio.create_task(self._read())]

    async def _send(self) -> None:
        assert self._writer is not None
        with contextlib.suppress(OSError):
            while True:
                self._line_number += 1
                line = f"{self.request_id} line {self._line_number}\r\n".encode()
                self._unanswered.append((time.monotonic(), line))
                self._writer.write(line)
                await self._writer.drain()
                await asyncio.sleep(2.0)

    async def _read(self) -> None:
        assert self._reader is not None
        try:
            while line := await self._reader.readline():
                self._check(line)
            self.end = self.end or "closed"
        except OSError as error:
            self.end = self.end or repr(error)
        self._record.write(self.request_id, f"ended: {self.end}, {'moved' if self.is_moved else 'not moved'}")

    def _check(self, line: bytes) -> None:
        if line == b"MOVE\r\n":
            self.is_moved = True
        elif self._unanswered and line == b"OK " + self._unanswered[0][1]:
            wait_s = time.monotonic() - self._unanswered.pop(0)[0]
            self.longest_wait_s = max(self.longest_wait_s, wait_s)
            self._record.write(self.request_id, f"{line.decode().strip()} after {wait_s:.3f} s")
        else:
            expected = self._unanswered[0][1] if self._unanswered else b"nothing"
            self.faults.append(f"{line!r} came where the answer to {expected!r} was due")
            self._record.write(self.request_id, self.faults[-1])

    def oldest_unanswered_s(self) -> float:
        """Returns how long the oldest line has been without an answer; 0 if there is none."""
        return time.monotonic() - self._unanswered[0][0] if self._unanswered else 0.0

    def close(self) -> None:
        """Ends the connection."""
        for task in self._tasks:
            task.cancel()
        if self._writer:
            self._writer.close()


class Case:
    """A case: its temporary folder and record, and the processes that it ends.

    Args:
        file: the file of the case, whose folder gets `record.txt`.
    """

    def __init__(self, file: str) -> None:
        self.folder = Path(tempfile.mkdtemp(prefix="glenrock-review-"))
        self.record = Record(Path(file).resolve().parent)
        self.balancers: list[Balancer] = []
        self.processes: list[subprocess.Popen[bytes]] = []

    def run(self, play: Callable[[Case], Any]) -> int:
        """Plays the case, and ends all that it started. Returns the exit code."""

        async def limited() -> int:
            # Stand-ins that are cancelled at the end of the case are no news.
            asyncio.get_running_loop().set_exception_handler(lambda _loop, _context: None)
            async with asyncio.timeout(LONGEST_RUN_S):
                return int(await play(self))

        sys.excepthook = end_unfinished
        signal.signal(signal.SIGTERM, lambda _number, _frame: sys.exit(CANNOT_RUN))
        try:
            self.record.say(f"disruption {'on' if TROUBLE else 'off'}")
            code = asyncio.run(limited())
        except (CannotRunError, OSError, TimeoutError) as error:
            self.record.say(f"could not run: {error!r}")
            code = CANNOT_RUN
        finally:
            self._end()
        self.record.say({BROKEN: "RULE BROKEN", HELD: "rule held", CANNOT_RUN: "could not run"}[code])
        return code

    def _end(self) -> None:
        for balancer in self.balancers:
            if balancer.process and balancer.is_running:
                balancer.process.kill()
                balancer.process.wait()
        for process in self.processes:
            if process.poll() is None:
                process.kill()
                process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def start_servers(case: Case, count: int) -> tuple[list[Server], Discovery]:
    """Starts session servers, and discovery with all of them."""
    servers = [Server(f"s-{number}", case.record) for number in range(1, count + 1)]
    for server in servers:
        await server.start()
    discovery = Discovery(servers, case.record)
    await discovery.start()
    return servers, discovery


def build_fleet(case: Case, count: int, discovery: Discovery, **settings: Any) -> list[Balancer]:
    """Builds balancers that exchange datagrams, with these settings."""
    peer_ports = [free_port(socket.SOCK_DGRAM) for _ in range(count)]
    peers = [f"{HOST}:{port}" for port in peer_ports]
    for slot in range(count):
        config = {
            "discovery": f"{HOST}:{discovery.port}",
            "known": discovery.known(),
            "settings": build_settings(slot, count, **settings),
            "peer_listen": peers[slot],
            "peers": peers,
        }
        case.balancers.append(Balancer(f"n{slot + 1}", case.folder, config, case.record))
    return case.balancers


async def open_clients(
    case: Case, balancer: Balancer, count: int, interval_s: float = 0.1, class_name: str = "entry-lookup"
) -> list[Client]:
    """Opens connections one after another. Returns those that were brought up."""
    clients = []
    for _ in range(count):
        client = Client(case.record, balancer.port, class_name)
        if await client.open():
            clients.append(client)
        await asyncio.sleep(interval_s)
    return clients
