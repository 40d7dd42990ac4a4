from __future__ import annotations

import asyncio
import json
import re
import time
from typing import TYPE_CHECKING

import pytest
from devtools import sample_fleet as sample
from devtools.sample_fleet import start_fleet

from tests.helpers import entry_url
from tests.helpers import eventually
from tests.helpers import send_chat


if TYPE_CHECKING:
    from devtools.processes import LocalFleet


APPLY_TIMEOUT_S = 5.0
PROCESSES = ("entry-1", "entry-2", "assistant-1", "assistant-2")


def revisions(fleet: LocalFleet) -> list[int]:
    return [fleet.dump(name)["revision"] for name in PROCESSES]


def logged_revisions(fleet: LocalFleet, name: str) -> list[int]:
    """Return the revisions that an entry logged as in force, in log order."""
    lines = re.findall(r"revision (\d+) in force", fleet.read_log(name))
    return [int(line) for line in lines]


async def wait_until_applied(fleet: LocalFleet, revision: int) -> None:
    await eventually(
        lambda: set(revisions(fleet)) == {revision},
        timeout_s=APPLY_TIMEOUT_S,
        what=f"revision {revision} in force everywhere",
    )


@pytest.mark.parametrize("without", ["", "monotonic-revision"])
async def test_stale_platform_does_not_revert_the_configuration(without: str) -> None:
    """Guards against an older revision that replaces a newer one.

    The platform serves revision 1 again after 2 was accepted. Without the check
    for a newer revision, processes return to revision 1. Watches are shortened to
    0.5 s, so that entries read the old revision during the test.
    """
    names = ",".join(filter(None, ("long-watch", without)))
    fleet = start_fleet(engines=2, services=0, disabled=names)
    try:
        await wait_until_applied(fleet, 1)
        fleet.publish({"fleet": sample.fleet_value(closed_instances=["x"])})
        await wait_until_applied(fleet, 2)
        fleet.set_platform_faults(stale_revision=1)
        seen = set()
        until_s = time.monotonic() + 4
        while time.monotonic() < until_s:
            seen |= set(revisions(fleet))
            await asyncio.sleep(0.1)
        fleet.set_platform_faults()
        fleet.publish({"fleet": sample.fleet_value()})
        if not without:
            await wait_until_applied(fleet, 3)
        accepted = [logged_revisions(fleet, name) for name in PROCESSES[:2]]
    finally:
        fleet.close()
    reverted = any(order != sorted(order) for order in accepted)
    assert (seen == {2} and not reverted) == (not without), (seen, accepted)


@pytest.mark.parametrize("without", ["", "peer-configuration"])
async def test_restarted_processes_pull_from_the_remaining_agent(without: str) -> None:
    """Guards against a restart that returns the fleet to an old revision.

    All processes but one agent restart while the platform serves revision 1. They
    must pull revision 2 from that agent; without pulls from peers they do not.
    """
    fleet = start_fleet(engines=2, services=0, disabled=without)
    try:
        fleet.publish({"fleet": sample.fleet_value(closed_instances=["x"])})
        await eventually(
            lambda: (
                fleet.dump("assistant-1")["revision"] == 2
                or bool(without and fleet.dump("entry-1")["revision"] == 2)
            )
        )
        fleet.set_platform_faults(stale_revision=1)
        restart_entries_and_agent(fleet)
        seen = set()
        until_s = time.monotonic() + 3
        while time.monotonic() < until_s:
            seen |= {fleet.dump(f"entry-{n}")["revision"] for n in (1, 2)}
            await asyncio.sleep(0.1)
    finally:
        fleet.close()
    assert (seen == {2}) == (not without)


def restart_entries_and_agent(fleet: LocalFleet) -> None:
    """Restart every process but assistant-1; they lose their configuration."""
    for name in ("entry-1", "entry-2", "assistant-2"):
        fleet.kill(name)
    engine = fleet.handles["engine-2"]
    fleet.start_agent("assistant-2", sample.DATA_CENTRES[0], engine, [sample.MODEL])
    for name in ("entry-1", "entry-2"):
        fleet.start_entry(name, sample.DATA_CENTRES[0], wait=False)
    fleet.wait_all_ready()


async def test_platform_outage_neither_stops_requests_nor_later_updates() -> None:
    fleet = start_fleet(engines=2, services=0)
    try:
        await wait_until_applied(fleet, 1)
        fleet.set_platform_faults(down=True)
        await asyncio.sleep(3)
        served = await send_chat(entry_url(fleet), "down LENGTH=10")
        before = revisions(fleet)
        fleet.set_platform_faults()
        fleet.publish({"fleet": sample.fleet_value(closed_instances=["x"])})
        await eventually(
            lambda: set(revisions(fleet)) == {2},
            timeout_s=14.0,
            what="in force after an outage",
        )
    finally:
        fleet.close()
    assert served.outcome == "done"
    assert before == [1, 1, 1, 1]


async def test_invalid_revision_is_rejected_as_a_whole() -> None:
    fleet = start_fleet(engines=2, services=0)
    try:
        await wait_until_applied(fleet, 1)
        invalid_team = json.loads(sample.team_values()["team/clinic"])
        invalid_team["classes"][0]["tier"] = 9
        invalid_team["limits"]["requests_per_s"] = "many"
        invalid_team["surprise"] = 1
        fleet.publish(
            {"team/clinic": json.dumps(invalid_team), "fleet": sample.fleet_value()}
        )
        await eventually(lambda: bool(fleet.dump("entry-1")["refused_revisions"]))
        refused = fleet.dump("entry-1")["refused_revisions"]
        kept = revisions(fleet)
        served = await send_chat(entry_url(fleet), "kept LENGTH=10")
        fleet.publish(sample.team_values())
        await wait_until_applied(fleet, 3)
    finally:
        fleet.close()
    assert kept == [1, 1, 1, 1]
    assert served.outcome == "done"
    assert "requests_per_s" in str(refused)
    assert "surprise" in str(refused)


async def test_last_of_concurrent_revisions_is_in_force() -> None:
    """Two operators close and reopen a data centre concurrently, 20 times in all.

    Every process must end at the last revision that the platform assigned.
    """
    fleet = start_fleet(engines=2, services=0)
    try:
        closed = sample.fleet_value(closed_data_centres=[sample.DATA_CENTRES[0]])
        opened = sample.fleet_value()
        await asyncio.gather(
            *(
                asyncio.to_thread(fleet.publish, {"fleet": value})
                for value in (closed, opened) * 10
            )
        )
        await wait_until_applied(fleet, 21)
        last = revisions(fleet)
    finally:
        fleet.close()
    assert set(last) == {21}


async def test_platform_reads_are_bounded() -> None:
    """Guards against every entry watching the configuration service.

    Of twelve entries in one data centre, two watch the configuration service; all
    read the instance list.
    """
    fleet = start_fleet(engines=1, services=0, entries=0)
    try:
        for number in range(12):
            fleet.start_entry(f"entry-{number}", sample.DATA_CENTRES[1], wait=False)
        await asyncio.to_thread(fleet.wait_all_ready)
        await asyncio.sleep(2)
        reads_before = fleet.platform_stats()["reads"]
        changes = 5
        for number in range(changes):
            value = sample.fleet_value(closed_instances=[f"x{number}"])
            fleet.publish({"fleet": value})
            await asyncio.sleep(1)
        reads = fleet.platform_stats()["reads"] - reads_before
    finally:
        fleet.close()
    list_reads = 12 * changes / 0.75
    watches = 2 * (changes + 2) * 2
    assert reads <= list_reads + watches
