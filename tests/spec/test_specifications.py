from __future__ import annotations

from typing import Any

import pytest
from devtools.spec.check import SPECS
from devtools.spec.check import Spec
from devtools.spec.check import check_spec
from devtools.spec.check import mutants


@pytest.mark.parametrize("spec", SPECS, ids=lambda spec: spec.name)
def test_specification_holds(spec: Spec) -> None:
    result = check_spec(spec, spec.guards, spec.name, reduced=True)
    assert result.holds, result


@pytest.mark.parametrize(
    ("spec", "name", "guards"),
    [(s, name, guards) for s in SPECS for name, guards in mutants(s)],
    ids=[name for s in SPECS for name, _ in mutants(s)],
)
def test_mutant_violates_its_specification(spec: Spec, name: str, guards: Any) -> None:
    result = check_spec(spec, guards, name, reduced=True)
    assert not result.holds
    assert result.trace
