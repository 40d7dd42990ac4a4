"""Faults that a chaos run injects into a fleet.

Several may overlap, also several of the same kind. The names of the functions in
``FAULTS`` are printed during a run.
"""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

from devtools import sample_fleet as sample
from devtools.fault_proxy import Fault
from devtools.fault_proxy import FaultProxy


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Coroutine

    from devtools.processes import LocalFleet

    FaultAction = Callable[["ChaosFleet", random.Random], Coroutine[None, None, None]]


class ChaosFleet:
    """A fleet whose agents are reached through fault proxies.

    ``publish_lock`` serializes publications. ``restart_lock`` keeps restarts of
    processes and the closure of a data centre from overlapping. ``exit_codes`` are
    those of agents that were stopped by SIGTERM.
    """

    def __init__(self, *, fleet: LocalFleet) -> None:
        self.fleet = fleet
        self.proxies: dict[str, FaultProxy] = {}
        self.exit_codes: list[int] = []
        self.publish_lock = asyncio.Lock()
        self.restart_lock = asyncio.Lock()
        self.closed_data_centres: tuple[str, ...] = ()
        self.last_valid_revision = 1

    async def register_agent(
        self, name: str, data_centre: str, serves: list[str]
    ) -> None:
        """List an agent on the platform with the address of its proxy."""
        port = self.proxies[name].port
        await asyncio.to_thread(
            lambda: self.fleet.register_instance(
                name, "agent", data_centre, port, serves=serves
            )
        )


def data_centre_of(number: int) -> str:
    """Return the data centre of the endpoint with this number."""
    return sample.DATA_CENTRES[number % 2]


async def publish_closed_data_centres(
    chaos: ChaosFleet, closed_data_centres: tuple[str, ...]
) -> None:
    """Publish the fleet configuration with these data centres closed, no others."""
    async with chaos.publish_lock:
        value = {"fleet": sample.fleet_value(closed_data_centres=closed_data_centres)}
        revision = await asyncio.to_thread(chaos.fleet.publish, value)
        chaos.last_valid_revision = revision
        chaos.closed_data_centres = closed_data_centres


async def kill_engine(chaos: ChaosFleet, rng: random.Random) -> None:
    """Kill an engine and restart it with a cold start of 2 s."""
    async with chaos.restart_lock:
        name = f"engine-{rng.randrange(1, 4)}"
        port = chaos.fleet.handles[name].port
        await asyncio.to_thread(chaos.fleet.kill, name)
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        chaos.fleet.start_engine(name, "--cold-s", "2", port=port, wait=False)


async def restart_agent(chaos: ChaosFleet, rng: random.Random) -> None:
    """Kill an agent, or stop it by SIGTERM, and restart it without its state."""
    async with chaos.restart_lock:
        number = rng.randrange(0, 4)
        name = f"assistant-{number}" if number else "shop-agent-1"
        endpoint = f"engine-{number}" if number else "shop-1"
        serves = [sample.MODEL] if number else [sample.SERVICE]
        port = chaos.fleet.handles[name].port
        if rng.random() < 0.5:
            await asyncio.to_thread(chaos.fleet.kill, name)
        else:
            code = await asyncio.to_thread(chaos.fleet.stop, name)
            chaos.exit_codes.append(code)
        chaos.fleet.start_agent(
            name,
            data_centre_of(number or 1),
            chaos.fleet.handles[endpoint],
            serves,
            port=port,
            register=False,
            wait=False,
        )
        await asyncio.sleep(0.5)


async def kill_entry(chaos: ChaosFleet, _: random.Random) -> None:
    """Kill the second entry and restart it on the same port."""
    async with chaos.restart_lock:
        port = chaos.fleet.handles["entry-2"].port
        await asyncio.to_thread(chaos.fleet.kill, "entry-2")
        await asyncio.sleep(0.5)
        await asyncio.to_thread(
            lambda: chaos.fleet.start_entry(
                "entry-2", sample.DATA_CENTRES[0], port=port, wait=False
            )
        )


async def pause_process(chaos: ChaosFleet, rng: random.Random) -> None:
    """Suspend an entry or agent for 0.5 s to 6 s."""
    names = ("assistant-1", "assistant-2", "assistant-3", "shop-agent-1", "entry-2")
    handle = chaos.fleet.handles.get(rng.choice(names))
    if handle is None:
        return
    handle.process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(rng.uniform(0.5, 6.0))
    handle.process.send_signal(signal.SIGCONT)


async def connection_fault(chaos: ChaosFleet, rng: random.Random) -> None:
    """Disturb the connections between the entries and one agent.

    They are cut, delayed or lose the data of one direction for 0.5 s to 3 s, or are
    silenced until they close.
    """
    proxy = chaos.proxies[rng.choice(sorted(chaos.proxies))]
    kind = rng.choice(("cut", "silent", "lose_requests", "lose_answers", "delay"))
    if kind == "silent":
        proxy.silence_open_connections()
        return
    if kind == "cut":
        proxy.disconnect()
    elif kind == "delay":
        proxy.delay_s = 0.05
    else:
        proxy.fault = Fault(kind)
    await asyncio.sleep(rng.uniform(0.5, 3.0))
    proxy.clear_faults()


async def platform_outage(chaos: ChaosFleet, rng: random.Random) -> None:
    """Make the platform unavailable or let it serve revision 1, for 1 s to 4 s."""
    fault = rng.choice(({"down": True}, {"stale_revision": 1}))
    await asyncio.to_thread(lambda: chaos.fleet.set_platform_faults(**fault))
    await asyncio.sleep(rng.uniform(1.0, 4.0))
    await asyncio.to_thread(chaos.fleet.set_platform_faults)


async def publish_invalid(chaos: ChaosFleet, _: random.Random) -> None:
    """Publish an invalid revision, and 0.5 s later a valid one."""
    async with chaos.publish_lock:
        valid = sample.team_values(sample.OTHER_TEAM, sample.OTHER_KEY)
        invalid = dict.fromkeys(valid, '{"name": 7}')
        await asyncio.to_thread(chaos.fleet.publish, invalid)
        await asyncio.sleep(0.5)
        revision = await asyncio.to_thread(chaos.fleet.publish, valid)
        chaos.last_valid_revision = revision


# A fault that is listed twice is drawn twice as often.
FAULTS: tuple[FaultAction, ...] = (
    kill_engine,
    restart_agent,
    kill_entry,
    pause_process,
    pause_process,
    connection_fault,
    connection_fault,
    platform_outage,
    publish_invalid,
)
