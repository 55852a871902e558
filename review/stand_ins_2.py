"""Stand-ins of the second review: session servers, discovery, clients and the platform, on loopback and the real clock.

Imports the standard library only, so that it runs on what the deploy file's build leaves. Each case under `review/6` to
`review/10` builds its run from these parts, writes `record.txt` beside itself, and exits with 1 if the rule was broken,
0 if it held, and 2 if the run could not be played.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[1]
HOST = "127.0.0.1"
HELD, BROKEN, NOT_RUN = 0, 1, 2
INHERITED_DESCRIPTOR = 7  # the descriptor of the clients' listening socket, by the operators' page
MAX_RUN_S = 110.0
PR_SET_PDEATHSIG = 1
LIBC = ctypes.CDLL(None)
NO_ANSWER = "no answer"
WATCH_GAP_S = 0.2  # a watch goes on if the next call comes within 200 ms of the last answer
PROTOCOL_SLACK_S = 0.05  # "each time limit longer by 50 ms"


class CaseError(Exception):
    """The run could not be played, which says nothing about the rule."""


def has_trouble() -> bool:
    """Returns whether the disruption is played; `TROUBLE=0` leaves it out."""
    return os.environ.get("TROUBLE", "1") != "0"


def read_run_command() -> str:
    """Returns the command of the deploy file that runs a balancer."""
    command: str = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
    return command


def unused_port() -> int:
    """Returns a port that was free a moment ago."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


def split_address(address: str) -> tuple[str, int]:
    """Returns host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def new_id() -> str:
    """Returns a request id or a key."""
    return f"{random.getrandbits(64):016x}"


class Record:
    """What was sent, answered and run, a line for each event, with the seconds since the start of the run."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the run."""
        return time.monotonic() - self._started_s

    def add(self, party: str, *words: object) -> float:
        """Writes a line, and returns its time."""
        at_s = self.now()
        self._file.write(f"{at_s:9.3f} {party} {' '.join(str(word) for word in words)}\n")
        self._file.flush()
        return at_s

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class SessionServer:
    """A sound session server: it answers `UP`, or `BUSY` once it drains, and then returns each line at once.

    Attributes:
        status: as discovery lists it.
        opens: time and request id of each `OPEN` that arrived whole.
        refused: ids of requests that were answered `BUSY`, and so never run.
    """

    def __init__(self, name: str, record: Record) -> None:
        self.name = name
        self.status = "SERVING"
        self.address = ""
        self.opens: list[tuple[float, str]] = []
        self.refused: set[str] = set()
        self._may_go_on = asyncio.Event()
        self._may_go_on.set()
        self._record = record
        self._listener: asyncio.Server | None = None

    async def start(self) -> None:
        """Starts to listen."""
        self._listener = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{self._listener.sockets[0].getsockname()[1]}"

    def close(self) -> None:
        """Stops listening."""
        if self._listener:
            self._listener.close()

    def hang(self) -> None:
        """Answers nothing from now on. What has arrived still runs."""
        self._record.add(self.name, "hangs")
        self._may_go_on.clear()

    def go_on(self) -> None:
        """Ends a hang."""
        self._may_go_on.set()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                await self._answer_lines(reader, writer)
        finally:
            writer.close()

    async def _answer_lines(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := await reader.readline():
            if line.startswith(b"OPEN "):
                self._note_open(line.split()[1].decode())
            await self._may_go_on.wait()
            if line == b"STATS\r\n":
                writer.write(b"PONG util=0.30,queue=0,x0=0.30\r\n")
            elif line == b"PING\r\n":
                writer.write(b"PONG\r\n")
            elif line.startswith(b"OPEN "):
                if not self._open(line.split()[1].decode(), writer):
                    return
            else:
                writer.write(b"ECHO " + line)

    def _note_open(self, request_id: str) -> None:
        at_s = self._record.add(self.name, "got OPEN", request_id, f"status={self.status}")
        self.opens.append((at_s, request_id))
        if self.status != "SERVING":
            self.refused.add(request_id)

    def _open(self, request_id: str, writer: asyncio.StreamWriter) -> bool:
        is_up = request_id not in self.refused
        writer.write(f"UP {request_id}\r\n".encode() if is_up else b"BUSY\r\n")
        return is_up


class EndpointList:
    """The list of session servers with its versions.

    Attributes:
        version: of the present list.
        changed: notified at each change.
    """

    def __init__(self, servers: list[SessionServer]) -> None:
        self.version = 1
        self.changed = asyncio.Condition()
        self._servers = servers
        self._version_by_name: dict[str, int] = {}

    async def change(self, server: SessionServer, status: str) -> None:
        """Lists a server with another status."""
        async with self.changed:
            server.status = status
            self.version += 1
            self._version_by_name[server.name] = self.version
            self.changed.notify_all()

    def whole(self) -> dict[str, Any]:
        """Returns the whole list in discovery's form."""
        return {"index": self.version, "snapshot": True, "endpoints": [_row(server) for server in self._servers]}

    def since(self, version: int) -> dict[str, Any]:
        """Returns the entries that changed after a version."""
        rows = [_row(server) for server in self._servers if self._version_by_name.get(server.name, 0) > version]
        return {"index": self.version, "snapshot": False, "endpoints": rows}


def _row(server: SessionServer) -> dict[str, Any]:
    return {
        "name": server.name,
        "address": server.address,
        "zone": "a",
        "type": "m2",
        "group": 0,
        "status": server.status,
        "weight": 1.0,
        "since_ms": 0,
    }


class HttpConnection:
    """One connection of a balancer to discovery: reads calls, writes answers."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader = reader
        self._writer = writer

    async def read_call(self) -> tuple[int | None, float] | None:
        """Returns version and wait in seconds of a watch, `(None, 0)` for the whole list; None at the end."""
        line = await self._reader.readline()
        while line and (await self._reader.readline()).strip():
            pass
        if not line:
            return None
        _, _, query = line.split()[1].decode().partition("?")
        values = dict(pair.split("=") for pair in query.split("&")) if query else {}
        if "index" not in values:
            return None, 0.0
        return int(values["index"]), float(values.get("wait", "0")) / 1000

    async def answer(self, status: int, content: dict[str, Any] | None = None, pause_s: float = 0.0) -> None:
        """Writes an answer; with `pause_s` in two pieces, with so much time between them."""
        body = json.dumps(content).encode() if content is not None else b""
        reason = "OK" if status == 200 else "Service Unavailable"
        head = f"HTTP/1.1 {status} {reason}\r\nContent-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        data = head.encode() + body
        if pause_s:
            half = len(data) // 2
            self._writer.write(data[:half])
            await self._writer.drain()
            await asyncio.sleep(pause_s)
            data = data[half:]
        self._writer.write(data)
        await self._writer.drain()


class PushAgent:
    """Discovery on the balancer's machine, with pushed lists. While it is down it is silent.

    Attributes:
        is_down: whether discovery is down.
        told_s: by the name of a session server, when it first wrote to the balancer that it drains.
    """

    def __init__(self, endpoints: EndpointList, record: Record) -> None:
        self.is_down = False
        self.told_s: dict[str, float] = {}
        self.address = ""
        self._endpoints = endpoints
        self._record = record

    async def start(self) -> None:
        """Starts to listen."""
        listener = await asyncio.start_server(self._serve, HOST, 0)
        self.address = f"{HOST}:{listener.sockets[0].getsockname()[1]}"

    async def set_down(self, is_down: bool) -> None:
        """Begins or ends the outage."""
        async with self._endpoints.changed:
            self.is_down = is_down
            self._record.add("discovery", "is silent" if is_down else "answers again")
            self._endpoints.changed.notify_all()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(reader, writer)
        try:
            with contextlib.suppress(OSError):
                while call := await connection.read_call():
                    await self._answer(connection, *call)
        finally:
            writer.close()

    async def _answer(self, connection: HttpConnection, version: int | None, wait_s: float) -> None:
        changed = self._endpoints.changed
        async with changed:
            if version is not None:
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(wait_s):
                        await changed.wait_for(lambda: self._endpoints.version > version and not self.is_down)
            await changed.wait_for(lambda: not self.is_down)
            content = self._endpoints.whole() if version is None else self._endpoints.since(version)
        drains = [row["name"] for row in content["endpoints"] if row["status"] == "DRAINING"]
        if content["endpoints"]:
            self._record.add("discovery", "tells version", content["index"], "draining:", *drains)
        await connection.answer(200, content)
        for name in drains:
            self.told_s.setdefault(name, self._record.now())


class Rejection(NamedTuple):
    """A call to discovery that was answered 503."""

    balancer: int
    began_s: float
    ended_s: float


class SharedDiscovery:
    """One service for all balancers, which works through calls in turn.

    While it is down it serves no call: a call ends with 503 once it has waited for `timeout_s`. Watches end with 503
    when it goes down.

    Attributes:
        pause_s: an answer comes in two pieces, with this time between them; 0 for one piece.
        told_s: when each balancer was first sent a row of a draining session server, by the balancer's number.
        rejections: of each call that was answered 503, the balancer, and when it began and ended.
        watching: the numbers of the balancers with an open watch.
    """

    def __init__(self, endpoints: EndpointList, record: Record, call_s: float, timeout_s: float) -> None:
        self.pause_s = 0.0
        self.told_s: dict[int, float] = {}
        self.rejections: list[Rejection] = []
        self.watching: set[int] = set()
        self._is_down = False
        self._endpoints = endpoints
        self._record = record
        self._call_s = call_s
        self._timeout_s = timeout_s
        self._serving = asyncio.Lock()

    async def listen(self, balancer: int) -> str:
        """Returns the address at which a balancer reaches the service."""

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            await self._serve(balancer, reader, writer)

        listener = await asyncio.start_server(serve, HOST, 0)
        return f"{HOST}:{listener.sockets[0].getsockname()[1]}"

    async def set_down(self, is_down: bool) -> None:
        """Begins or ends the outage."""
        async with self._endpoints.changed:
            self._is_down = is_down
            self._record.add("discovery", "is down" if is_down else "serves again")
            self._endpoints.changed.notify_all()

    async def _serve(self, balancer: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        connection = HttpConnection(reader, writer)
        answered_s = -1.0
        try:
            with contextlib.suppress(OSError):
                while call := await connection.read_call():
                    continues = self._record.now() - answered_s < WATCH_GAP_S
                    await self._answer(balancer, connection, *call, continues=continues)
                    answered_s = self._record.now()
        finally:
            self.watching.discard(balancer)
            writer.close()

    async def _answer(
        self, balancer: int, connection: HttpConnection, version: int | None, wait_s: float, *, continues: bool
    ) -> None:
        began_s = self._record.now()
        is_served = (continues and version is not None) or await self._take_turn()
        if is_served and version is not None:
            is_served = await self._watch(balancer, version, wait_s)
        if not is_served:
            self.rejections.append(
                Rejection(balancer, began_s, self._record.add("discovery", f"answers n{balancer} 503"))
            )
            await connection.answer(503, {})
            return
        content = self._endpoints.whole() if version is None else self._endpoints.since(version)
        drains = [row["name"] for row in content["endpoints"] if row["status"] == "DRAINING"]
        if drains:
            self._record.add("discovery", f"tells n{balancer} version", content["index"], "draining:", *drains)
        await connection.answer(200, content, self.pause_s)
        if drains:
            self.told_s.setdefault(balancer, self._record.now())

    async def _take_turn(self) -> bool:
        """Waits until the call is served. Returns False if it has waited too long."""
        try:
            async with asyncio.timeout(self._timeout_s):
                async with self._endpoints.changed:
                    await self._endpoints.changed.wait_for(lambda: not self._is_down)
                await self._serving.acquire()
        except TimeoutError:
            return False
        try:
            await asyncio.sleep(self._call_s)
        finally:
            self._serving.release()
        return True

    async def _watch(self, balancer: int, version: int, wait_s: float) -> bool:
        """Waits for a newer list. Returns False if discovery goes down."""
        changed = self._endpoints.changed
        self.watching.add(balancer)
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), changed:
                await changed.wait_for(lambda: self._endpoints.version > version or self._is_down)
        self.watching.discard(balancer)
        return not self._is_down


class Balancer:
    """A balancer process, started with the command of the deploy file."""

    def __init__(self, name: str, config: dict[str, Any], process: asyncio.subprocess.Process, admin: str) -> None:
        self.name = name
        self.address: str = config["listen"]
        self.admin = admin
        self.process = process

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.process.returncode is None

    async def ping(self) -> str:
        """Returns the answer to PING at the clients' address."""
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection(*split_address(self.address))
                try:
                    writer.write(b"PING\r\n")
                    return (await reader.readline()).decode().strip() or NO_ANSWER
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            return NO_ANSWER

    async def call(self, method: str, path: str) -> int:
        """Makes an operator's call. Returns its status; 0 without an answer."""
        try:
            async with asyncio.timeout(3):
                reader, writer = await asyncio.open_connection(*split_address(self.admin))
                try:
                    writer.write(f"{method} {path} HTTP/1.1\r\nHost: {self.admin}\r\n\r\n".encode())
                    return int((await reader.read()).split()[1])
                finally:
                    writer.close()
        except (OSError, TimeoutError, IndexError, ValueError):
            return 0

    async def wait_until_ready(self) -> None:
        """Waits until `readyz` says yes, or without an operators' address until PING is answered PONG."""
        for _ in range(300):
            is_ready = await self.call("GET", "/v1/readyz") == 200 if self.admin else await self.ping() == "PONG"
            if is_ready:
                return
            await asyncio.sleep(0.1)
        raise CaseError(f"{self.name} was not ready within 30 s")


class Platform:
    """Starts the balancers of a run, and ends them with it."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="glenrock-review-"))
        self._balancers: list[Balancer] = []
        self._command = read_run_command()

    async def start(
        self,
        config: dict[str, Any],
        *,
        has_admin: bool = False,
        inherits_listener: bool = False,
        shared_folder: Path | None = None,
    ) -> Balancer:
        """Starts a balancer by `/bin/sh -c`, as the deployment page describes."""
        number = len(self._balancers)
        admin = f"{HOST}:{unused_port()}" if has_admin else ""
        folder = shared_folder or self.folder / f"tmp-{number}"
        folder.mkdir(exist_ok=True)
        config_file = self.folder / f"config-{number}.json"
        config_file.write_text(json.dumps({**config, "seed": new_id()}))
        environment = {
            "PATH": os.environ.get("PATH", os.defpath),
            "TMPDIR": str(folder),
            "LB_NAME": config["name"],
            "LB_LISTEN": config["listen"],
            "LB_DISCOVERY": config["discovery"],
            "LB_CONFIG": str(config_file),
        }
        if has_admin:
            environment["LB_ADMIN"] = admin
        if inherits_listener:
            environment["LB_ACCEPT_FD"] = str(INHERITED_DESCRIPTOR)
        with (self.folder / f"log-{number}").open("wb") as log:
            process = await asyncio.create_subprocess_exec(
                "/bin/sh",
                "-c",
                self._command,
                cwd=ROOT,
                env=environment,
                pass_fds=(INHERITED_DESCRIPTOR,) if inherits_listener else (),
                stdout=log,
                stderr=log,
                preexec_fn=_die_with_parent,
            )
        balancer = Balancer(config["name"], config, process, admin)
        self._balancers.append(balancer)
        self.record.add("platform", "started", config["name"], f"pid={process.pid}")
        return balancer

    def terminate(self, balancer: Balancer) -> float:
        """Sends SIGTERM, and returns the time."""
        balancer.process.send_signal(signal.SIGTERM)
        return self.record.add("platform", "SIGTERM to", balancer.name, f"pid={balancer.process.pid}")

    async def close(self) -> None:
        """Ends all processes, and removes the folder."""
        for balancer in self._balancers:
            if balancer.is_running:
                with contextlib.suppress(ProcessLookupError):
                    balancer.process.kill()
            await balancer.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


def _die_with_parent() -> None:
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL, 0, 0, 0)


def listen_for_clients() -> str:
    """Opens the clients' listening socket as the platform does, as descriptor 7. Returns its address."""
    sock = socket.create_server((HOST, 0), backlog=512)
    address = f"{HOST}:{sock.getsockname()[1]}"
    if sock.fileno() != INHERITED_DESCRIPTOR:
        os.dup2(sock.fileno(), INHERITED_DESCRIPTOR)
        sock.close()
    else:
        sock.detach()
    return address


class Client:
    """A client: it sends its line, waits for the answer, and then sends a line every 2 s until its life is over."""

    def __init__(self, record: Record, request_class: str, wait_ms: int, life_s: float) -> None:
        self.request_id = new_id()
        self.answer = ""
        self.has_moved = False
        self.is_cut_off = False
        self._record = record
        self._life_s = life_s
        self._line = (
            f"OPEN {self.request_id} {new_id()} c={request_class},t=pest-megye,d={wait_ms},g={new_id()},h=12000\r\n"
        ).encode()
        self._wait_s = wait_ms / 1000 + 0.6

    async def run(self, balancer_name: str, address: str) -> None:
        """Connects to a balancer, and stays until the end."""
        self._record.add("client", self.request_id, "sends OPEN to", balancer_name)
        try:
            reader, writer = await asyncio.open_connection(*split_address(address))
        except OSError as error:
            self.answer = f"refused: {type(error).__name__}"
            self._record.add("client", self.request_id, self.answer)
            return
        try:
            writer.write(self._line)
            async with asyncio.timeout(self._wait_s):
                self.answer = (await reader.readline()).decode().strip() or NO_ANSWER
            self._record.add("client", self.request_id, "got", self.answer)
            if self.answer.startswith("UP"):
                await self._stay(reader, writer)
        except (OSError, TimeoutError) as error:
            self.answer = self.answer or NO_ANSWER
            self._record.add("client", self.request_id, "got", type(error).__name__)
        finally:
            writer.close()

    async def _stay(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        end_s = self._record.now() + self._life_s
        while self._record.now() < end_s:
            writer.write(b"line\r\n")
            async with asyncio.timeout(8):
                line = await reader.readline()
            if line == b"MOVE\r\n":
                self.has_moved = True
                self._record.add("client", self.request_id, "got MOVE")
                return
            if not line:
                self.is_cut_off = True
                self._record.add("client", self.request_id, "was cut off")
                return
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(2.0, max(0.01, end_s - self._record.now()))):
                    if await reader.readline() == b"MOVE\r\n":
                        self.has_moved = True
                        self._record.add("client", self.request_id, "got MOVE")
                        return


class Load:
    """Clients of all balancers, dealt out in turn."""

    def __init__(self, record: Record, balancers: list[Balancer], interval_s: float) -> None:
        self.clients: list[Client] = []
        self.balancer_by_request: dict[str, int] = {}
        self._record = record
        self._balancers = balancers
        self._interval_s = interval_s
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Sends requests until it is cancelled."""
        while True:
            for number, balancer in enumerate(self._balancers):
                client = Client(self._record, "entry-lookup", 1800, life_s=1.5)
                self.clients.append(client)
                self.balancer_by_request[client.request_id] = number
                task = asyncio.create_task(client.run(balancer.name, balancer.address))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
                await asyncio.sleep(self._interval_s)


def settings_of(balancers: int, index: int, registry_mode: str, drain_grace_s: float) -> dict[str, Any]:
    """Returns settings like those of the example on the wire page, for a small deployment."""
    return {
        "az": "a",
        "balancers": balancers,
        "slotNo": index,
        "tickUs": 2000,
        "caps": {
            "cancel": True,
            "dialTimeoutUs": 200_000,
            "maxAttempts": 5,
            "maxRetryAfterUs": 1_000_000,
            "mayDuplicate": False,
            "mayTell": False,
            "probes": True,
            "retryAfter": True,
        },
        "classes": [
            {
                "deadlineUs": 1_800_000,
                "dedupScope": "all",
                "effect": "safe",
                "lateWorth": 0.0,
                "name": "entry-lookup",
                "stream": True,
                "targetUs": 300_000,
                "windowUs": 5_000_000,
                "worth": 5.0,
            }
        ],
        "domain": {
            "groups": True,
            "messageAimUs": [100_000.0],
            "mode": "proxy",
            "tellsDelay": True,
            "tellsLoad": True,
            "tenantQuotaConnections": [355.0],
        },
        "family": "conn",
        "obligations": {
            "askWithinUs": 10_000_000,
            "coldShare": 0.31,
            "coldUs": 9_000_000,
            "drainGraceUs": round(drain_grace_s * 1_000_000),
            "fallMultiple": 3.0,
            "graceToAnswerUs": 8000,
            "overloadForUs": 3_000_000,
        },
        "overShareWorth": 0.1,
        "realms": [{"name": "pest-megye", "portion": 1.0, "quotaPerS": 20.0}],
        "registryMode": registry_mode,
        "report": {"how": "probe", "names": ["utilization", "backlog", "x0"]},
        "tariffs": {"crossZone": 0.0, "moves": 0.02, "peer": 0.01, "probe": 0.0015},
        "worthBy": "request",
        "zones": ["a"],
    }


def config_of(
    name: str, listen: str, discovery: str, known: dict[str, Any], settings: dict[str, Any]
) -> dict[str, Any]:
    """Returns a balancer's configuration, as the deployment page describes it."""
    return {
        "name": name,
        "listen": listen,
        "discovery": discovery,
        "limits": {"cores": 1.0, "memory_mb": 2048, "sockets": 1024},
        "known": known,
        "settings": settings,
    }


def run_case(folder: Path, play: Callable[[Record, Platform], Coroutine[Any, Any, int]]) -> None:
    """Plays a case, ends all that it started, and exits with its code."""
    sys.exit(asyncio.run(_run_case(Record(folder / "record.txt"), play)))


async def _run_case(record: Record, play: Callable[[Record, Platform], Awaitable[int]]) -> int:
    platform = Platform(record)
    try:
        async with asyncio.timeout(MAX_RUN_S):
            code = await play(record, platform)
    except Exception as error:  # noqa: BLE001 - a run that could not be played says nothing about the rule
        record.add("case", "not run:", repr(error))
        traceback.print_exc()
        code = NOT_RUN
    finally:
        await _cancel_other_tasks()
        await platform.close()
    verdict = {HELD: "the rule held", BROKEN: "the rule was broken", NOT_RUN: "the case could not run"}[code]
    record.add("case", verdict)
    record.close()
    print(verdict)
    return code


async def _cancel_other_tasks() -> None:
    tasks = [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
