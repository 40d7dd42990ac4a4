"""Strict conversion of TOML or JSON data into typed records, using cattrs.

Unknown keys and implicit conversions are rejected, and all faults are collected.
"""

from __future__ import annotations

from typing import Any
from typing import TypeVar
from typing import get_type_hints

from cattrs import BaseConverter
from cattrs import BaseValidationError
from cattrs import Converter
from cattrs import ForbiddenExtraKeysError
from cattrs.cols import is_namedtuple
from cattrs.cols import namedtuple_dict_structure_factory
from cattrs.v import transform_error

from shallotroad.config.exceptions import ConfigInvalidError
from shallotroad.config.exceptions import Finding


RecordT = TypeVar("RecordT")


class WrongTypeError(ValueError):
    """A value does not have the type of its field."""


def _make_strict_hook(expected: type, accepted: tuple[type, ...], hint: str) -> Any:
    """Return a hook that rejects other types; its errors ask for ``hint``."""

    def structure(value: Any, _: Any) -> Any:
        if isinstance(value, bool) and expected is not bool:
            raise WrongTypeError(f"write {hint}, not {value!r}")
        if not isinstance(value, accepted):
            raise WrongTypeError(f"write {hint}, not {value!r}")
        return expected(value)

    return structure


def _make_converter() -> Converter:
    converter = Converter(detailed_validation=True, forbid_extra_keys=True)

    def make_hook(record: Any, conv: BaseConverter) -> Any:
        return namedtuple_dict_structure_factory(record, conv, True, True)

    converter.register_structure_hook_factory(is_namedtuple, make_hook)
    converter.register_structure_hook(
        str, _make_strict_hook(str, (str,), "text in quotes")
    )
    converter.register_structure_hook(
        int, _make_strict_hook(int, (int,), "a whole number")
    )
    converter.register_structure_hook(
        float, _make_strict_hook(float, (int, float), "a number")
    )
    converter.register_structure_hook(
        bool, _make_strict_hook(bool, (bool,), "true or false")
    )
    return converter


_CONVERTER = _make_converter()


def _describe_error(error: BaseException, _: type | None) -> str:
    if isinstance(error, KeyError):
        return f"key {error.args[0]!r} is missing; add it"
    if isinstance(error, ForbiddenExtraKeysError):
        known = ", ".join(sorted(get_type_hints(error.cl)))
        extra = ", ".join(sorted(error.extra_fields))
        return f"unknown key {extra}; known keys are {known}"
    return str(error) or type(error).__name__


def _findings(error: BaseValidationError, source: str) -> list[Finding]:
    findings = []
    for line in transform_error(error, path="$", format_exception=_describe_error):
        message, _, path = line.rpartition(" @ ")
        location = f"{source} {path.removeprefix('$').lstrip('.') or 'top level'}"
        findings.append(Finding(location=location, message=message))
    return findings


def structure(data: object, record: type[RecordT], *, source: str) -> RecordT:
    """Turn plain data into a typed record.

    Parameters
    ----------
    data : object
        Nested dicts and lists, as a TOML or JSON reader returns them.
    record : type
        The NamedTuple to build.
    source : str
        File or key of the data; the location of each finding starts with it.

    Raises
    ------
    ConfigInvalidError
        With one finding for each missing key, unknown keys of an object, or value
        of the wrong type.
    """
    try:
        return _CONVERTER.structure(data, record)
    except BaseValidationError as error:
        findings = _findings(error, source)
        raise ConfigInvalidError(f"{source} is not valid", findings) from None
    except (ValueError, TypeError) as error:
        finding = Finding(location=source, message=str(error))
        raise ConfigInvalidError(f"{source} is not valid", [finding]) from None
