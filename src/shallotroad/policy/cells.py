"""Division of a service's engines into cells, each placed on by one coordinator.

A decision looks at every engine of its cell, so that the size of a cell bounds its cost
whatever the number of engines, and the loss of a coordinator concerns one cell. Every
gateway derives the same cells from the registered engines, without any exchange.

A service with few engines is a single cell. The engines of a larger one are divided by
data centre, and those of a large data centre further by hashing; data centres with too
few engines join another one.
"""

from __future__ import annotations

import hashlib
from bisect import bisect_left
from collections import Counter
from functools import lru_cache
from typing import TYPE_CHECKING
from typing import NamedTuple


if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_CELL_ENGINES = 96
# A data centre with fewer engines joins another one's cell: it could not spread the
# work of its callers.
MIN_DATA_CENTRE_ENGINES = 8
NAME_SEPARATOR = "/"


class Cell(NamedTuple):
    """Engines of a service that one coordinator places requests on.

    Parameters
    ----------
    service : str
        Name of the service.
    name : str
        ``DATA_CENTRE/NUMBER``, or empty for all endpoints of the service, which is the
        only cell of a service with few engines or none.
    """

    service: str
    name: str = ""

    @property
    def data_centre(self) -> str:
        """Data centre whose gateways coordinate it; empty for that of any gateway."""
        return self.name.partition(NAME_SEPARATOR)[0]

    @property
    def key(self) -> str:
        """Key by which gateways draw the cell's coordinators."""
        return f"{self.service} {self.name}" if self.name else self.service


class CellMap(NamedTuple):
    """The cells of a service.

    Parameters
    ----------
    by_engine : dict of str to str
        Name of the cell of each engine.
    names : tuple of str
        Names of all cells, sorted; one empty name if there is no division.
    hosts : tuple of str
        Data centres that have cells of their own, sorted; empty if there is no
        division.
    """

    by_engine: dict[str, str]
    names: tuple[str, ...]
    hosts: tuple[str, ...]

    def host(self, data_centre: str) -> str:
        """Return the data centre whose cells serve callers of a data centre."""
        if not self.hosts or data_centre in self.hosts:
            return data_centre
        return self.hosts[bisect_left(self.hosts, data_centre) % len(self.hosts)]


UNDIVIDED = CellMap({}, ("",), ())


def divide(data_centres: Mapping[str, str]) -> CellMap:
    """Return the cells of a service from the data centre of each of its engines.

    The number of cells of a data centre is a power of two, so that it seldom changes
    and a change splits or joins cells without moving engines between the others.
    """
    if len(data_centres) <= MAX_CELL_ENGINES:
        return UNDIVIDED
    counts = Counter(data_centres.values())
    large = [name for name, n in counts.items() if n >= MIN_DATA_CENTRE_ENGINES]
    cells = CellMap({}, (), tuple(sorted(large or [min(counts)])))
    engines_by_host: dict[str, list[str]] = {}
    for engine, data_centre in data_centres.items():
        engines_by_host.setdefault(cells.host(data_centre), []).append(engine)
    for host, engines in engines_by_host.items():
        parts = _parts(len(engines))
        for engine in engines:
            number = _weight("", engine) % parts
            cells.by_engine[engine] = f"{host}{NAME_SEPARATOR}{number}"
    return cells._replace(names=tuple(sorted(set(cells.by_engine.values()))))


def _parts(engines: int) -> int:
    """Return the least power of two into whose parts so many engines fit."""
    parts = 1
    while engines > parts * MAX_CELL_ENGINES:
        parts *= 2
    return parts


@lru_cache(maxsize=65_536)
def _weight(part: str, name: str) -> int:
    digest = hashlib.blake2b(f"{part} {name}".encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big")


def rank_cells(cells: CellMap, *, data_centre: str, part: str) -> list[str]:
    """Return the names of a service's cells in the order in which a request tries them.

    The cells that serve the data centre come first. Among them, and among the others,
    rendezvous hashing of a prompt part decides, so that requests that share the part
    meet at one coordinator, which knows the engine that has it cached.
    """
    host = cells.host(data_centre)

    def rank(name: str) -> tuple[bool, int]:
        return Cell("", name).data_centre == host, _weight(part, name)

    return sorted(cells.names, key=rank, reverse=True)
