"""Upgrades between real processes: hand-over of connections, shared overrides, and a missing successor."""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal

import pytest

from glenrock.upgrade import override_file

from .conftest import RunWithRig, UpgradeRig

STOP_TIMEOUT_S = 5
LINE_INTERVAL_S = 0.1
ANSWER_TIMEOUT_S = 5.0
REPEATED_REQUESTS = 12
OVERRIDE_DELAY_S = 0.4  # enough for the other process to read the shared file


async def run_client(rig: UpgradeRig, number: int, line_count: int) -> str:
    """Sends lines and compares the echoes. Returns `kept`, `migrated`, `rejected`, or a description of the failure."""
    try:
        return await exchange_lines(rig, number, line_count)
    except OSError as error:
        return repr(error)


async def exchange_lines(rig: UpgradeRig, number: int, line_count: int) -> str:
    """Does the work of `run_client`. Raises OSError if the connection breaks."""
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.client_port)
    try:
        writer.write(b"OPEN c%d %x c=look,d=1000\r\n" % (number, number))
        answer = await reader.readline()
        if answer.startswith(b"BUSY"):
            return "rejected"
        if answer != b"UP r\r\n":
            return f"unexpected answer to OPEN: {answer!r}"
        for line_number in range(line_count):
            # In two pieces, so that some relays are handed over in the middle of a line.
            writer.write(b"line ")
            await asyncio.sleep(LINE_INTERVAL_S / 2)
            writer.write(b"%d\r\n" % line_number)
            echo = await reader.readline()
            if echo == b"MOVE\r\n":
                return "migrated"
            if echo != b"line %d\r\n" % line_number:
                return f"unexpected echo of line {line_number}: {echo!r}"
            await asyncio.sleep(LINE_INTERVAL_S / 2)
        return "kept"
    finally:
        writer.close()  # else it is collected after its event loop


def test_upgrade_keeps_every_connection_and_override(run_with_rig: RunWithRig) -> None:
    async def scenario(rig: UpgradeRig) -> None:
        first = await rig.start_process()
        assert (await rig.call(first, "POST", "session-servers/s1/suspend")).startswith("200")
        established = [asyncio.create_task(run_client(rig, number, 40)) for number in range(30)]
        arriving: list[asyncio.Task[str]] = []
        is_stopped = False
        for number in range(120):
            arriving.append(asyncio.create_task(run_client(rig, 100 + number, 2)))
            if number == 20:
                starting = asyncio.create_task(rig.start_process())
            is_second_ready = number > 20 and starting.done() and len(rig.processes) == 2
            if is_second_ready and not rig.processes[0].returncode and not is_stopped:
                is_stopped = True
                rig.processes[0].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.03)
        second = await starting
        assert await asyncio.wait_for(rig.processes[0].wait(), STOP_TIMEOUT_S) == 0, rig.log(0)
        outcomes = await asyncio.gather(*established, *arriving)
        assert outcomes.count("kept") == len(outcomes), (sorted(set(outcomes)), rig.log(0), rig.log(1))
        # No client migrated, so each client has used a single server connection.
        assert rig.connection_counts == {"s1": 0, "s2": len(outcomes)}
        # The suspended server is still suspended, and only ids that were ever listed are known.
        metrics = await rig.call(second, "GET", "metrics")
        assert "app_out_of_rotation 1\n" in metrics and "app_open_requests 0\n" in metrics
        assert (await rig.call(second, "POST", "session-servers/s1/resume")).startswith("200")
        assert (await rig.call(second, "POST", "session-servers/s3/resume")).startswith("404")
        # Most relays were handed over, and both processes log the same number.
        log_line = re.search(r"relays handed over relays=(\d+) ", rig.log(0))
        assert log_line
        handed_over = int(log_line[1])
        assert handed_over >= 25 and f"relays taken over relays={handed_over}\n" in rig.log(1)

    run_with_rig(scenario)


async def answer_to_id(rig: UpgradeRig, request_id: bytes) -> bytes:
    """Returns the answer to a request of that id on a new connection."""
    reader, writer = await asyncio.open_connection("127.0.0.1", rig.client_port)
    try:
        writer.write(b"OPEN %s 1 c=look,d=20000\r\n" % request_id)
        return await asyncio.wait_for(reader.readline(), ANSWER_TIMEOUT_S)
    finally:
        writer.close()


@pytest.mark.parametrize("effect", ["safe", "keyed", "unsafe"])
def test_id_in_flight_at_one_process_is_not_sent_by_the_other(run_with_rig: RunWithRig, effect: str) -> None:
    """Guards against an id that runs twice when it comes again at the other process of an upgrade (picture c)."""

    async def scenario(rig: UpgradeRig) -> None:
        rig.settings["classes"] = [{**rig.settings["classes"][0], "effect": effect, "deadlineUs": 3_000_000}]
        await rig.start_process()
        _, writer = await asyncio.open_connection("127.0.0.1", rig.client_port)
        with contextlib.closing(writer):
            writer.write(b"OPEN silent-1 1 c=look,d=20000\r\n")
            await rig.start_process()
            assert rig.opened_ids[b"silent-1"] == 1
            answers = [await answer_to_id(rig, b"silent-1") for _ in range(REPEATED_REQUESTS)]  # both processes accept
            rig.processes[0].send_signal(signal.SIGTERM)
            await asyncio.sleep(0.2)
            answers.append(await answer_to_id(rig, b"silent-1"))  # only the second one accepts
            assert set(answers) == {b"ERR\r\n"} and rig.opened_ids[b"silent-1"] == 1
        await asyncio.sleep(0.2)
        if effect != "safe":
            assert await answer_to_id(rig, b"silent-1") == b"ERR\r\n"
            assert rig.opened_ids[b"silent-1"] == 1

    run_with_rig(scenario)


def test_clients_migrate_without_a_successor_and_new_ones_wait_in_the_backlog(run_with_rig: RunWithRig) -> None:
    async def scenario(rig: UpgradeRig) -> None:
        await rig.start_process()
        established = [asyncio.create_task(run_client(rig, number, 40)) for number in range(10)]
        await asyncio.sleep(0.5)
        # The old process must not take a process that died before it was ready for its successor.
        await rig.launch_process()
        rig.processes[1].kill()
        rig.processes[0].send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(rig.processes[0].wait(), STOP_TIMEOUT_S) == 0
        assert set(await asyncio.gather(*established)) == {"migrated"}, rig.log(0)
        assert "no successor found, migrating clients instead of handing them over" in rig.log(0)
        # New connections wait in the listening socket's backlog for the next process.
        late = asyncio.create_task(run_client(rig, 50, 1))
        await rig.start_process()
        assert await late == "kept"

    run_with_rig(scenario)


def test_consecutive_upgrades_keep_connections_and_a_kill_keeps_the_listening_socket(run_with_rig: RunWithRig) -> None:
    async def scenario(rig: UpgradeRig) -> None:
        await rig.start_process()
        clients = [asyncio.create_task(run_client(rig, number, 50)) for number in range(20)]
        await asyncio.sleep(0.5)
        await rig.start_process()
        # The second process is stopped while the first one is still stopping.
        starting = asyncio.create_task(rig.start_process())
        rig.processes[0].send_signal(signal.SIGTERM)
        await starting
        rig.processes[1].send_signal(signal.SIGTERM)
        for process in rig.processes[:2]:
            assert await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S) == 0
        outcomes = await asyncio.gather(*clients)
        assert outcomes.count("kept") == 20, (outcomes, rig.log(0), rig.log(1), rig.log(2))
        # A killed process loses its clients, but the listening socket stays open.
        rig.processes[2].kill()
        late = asyncio.create_task(run_client(rig, 90, 1))
        await rig.start_process()
        assert await late == "kept"

    run_with_rig(scenario)


def test_overrides_reach_both_processes_and_a_damaged_file_is_replaced(run_with_rig: RunWithRig) -> None:
    async def scenario(rig: UpgradeRig) -> None:
        shared_file = rig.folder / override_file.FILE_NAME
        shared_file.write_text('{"version": 9}')
        first = await rig.start_process()
        assert f"ignoring an invalid override file file={override_file.FILE_NAME}" in rig.log(0)
        second = await rig.start_process()
        for port, other_port, action, count in ((first, second, "suspend", 1), (second, first, "resume", 0)):
            assert (await rig.call(port, "POST", f"session-servers/s1/{action}")).startswith("200")
            await asyncio.sleep(OVERRIDE_DELAY_S)
            assert f"app_out_of_rotation {count}\n" in await rig.call(other_port, "GET", "metrics")
        shared_file.write_text("half a f")
        await asyncio.sleep(OVERRIDE_DELAY_S)
        assert (await rig.call(first, "POST", "session-servers/s2/suspend")).startswith("200")

    run_with_rig(scenario)


def test_new_process_sends_nothing_to_a_server_that_drained_before_the_upgrade(run_with_rig: RunWithRig) -> None:
    """Guards against a successor that is ready with the old list of its configuration, and calls discovery later."""

    async def scenario(rig: UpgradeRig) -> None:
        rig.settings = {**rig.settings, "registryMode": "ask", "balancers": 40}
        rig.report_endpoints(version=3, s1="DRAINING")
        await rig.start_process()
        await rig.start_process()
        rig.processes[0].send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(rig.processes[0].wait(), STOP_TIMEOUT_S) == 0
        before = rig.connection_counts["s1"]
        outcomes = [await run_client(rig, number, 1) for number in range(10)]
        assert outcomes.count("kept") == 10, outcomes
        assert rig.connection_counts["s1"] == before, rig.log(1)

    run_with_rig(scenario)
