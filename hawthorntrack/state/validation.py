"""Checks settings and documents whole, with the key path and the remedy."""

import difflib
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints, is_typeddict

import msgspec
import yaml

T = TypeVar("T")


class InvalidInput(ValueError):
    """Input that failed its check.

    Parameters
    ----------
    source : str
        File or edge that it came from.
    path : str
        Key path inside it, such as ``timing.poll_interval_ms``.
    problem : str
        What is wrong.
    remedy : str
        What to do about it.
    """

    def __init__(self, source: str, path: str, problem: str, remedy: str) -> None:
        self.source = source
        self.path = path
        self.problem = problem
        self.remedy = remedy
        super().__init__(f"{source}: {path or '(top)'}: {problem}. {remedy}")


def without_unit(key: str) -> str:
    """Return a key without its unit, ``poll`` for ``poll_ms``."""
    base, _, unit = key.rpartition("_")
    return base if unit in {"ms", "s", "us", "bytes", "kb", "mb"} else key


def check_keys(data: Any, shape: Any, source: str, path: str = "") -> None:
    """Refuse keys that `shape`, a TypedDict or container of them, does not name."""
    origin = get_origin(shape)
    if origin is dict and isinstance(data, dict):
        for key, item in data.items():
            check_keys(item, get_args(shape)[1], source, f"{path}.{key}".lstrip("."))
    elif origin is list and isinstance(data, list):
        for index, item in enumerate(data):
            check_keys(item, get_args(shape)[0], source, f"{path}[{index}]")
    elif is_typeddict(shape) and isinstance(data, dict):
        hints = get_type_hints(shape)
        for key, item in data.items():
            here = f"{path}.{key}".lstrip(".")
            if key not in hints:
                raise InvalidInput(
                    source, here, "unknown key", suggest_remedy(str(key), list(hints))
                )
            check_keys(item, hints[key], source, here)


def suggest_remedy(key: str, known: list[str]) -> str:
    """Return a remedy that names the nearest known key.

    Examples
    --------
    >>> suggest_remedy("poll_s", ["poll_ms", "seed"])
    'Use poll_ms, and give the value in that unit.'
    """
    same_stem = [
        name for name in known if without_unit(name) == without_unit(key) != name
    ]
    if same_stem:
        return f"Use {same_stem[0]}, and give the value in that unit."
    close = difflib.get_close_matches(key, known, 1)
    if close:
        return f"Did you mean {close[0]}?"
    return f"Known keys here: {', '.join(sorted(known))}."


def check(data: Any, shape: type[T], source: str) -> T:
    """Return `data` as `shape`, or raise with the first thing that is wrong.

    Parameters
    ----------
    data : Any
        Plain values, as YAML or JSON gives them.
    shape : type
        The TypedDict to hold it against.
    source : str
        Named in the error.

    Raises
    ------
    InvalidInput
        On an unknown or missing key, a wrong type, or a value out of bounds.
    """
    check_keys(data, shape, source)
    try:
        return msgspec.convert(data, shape)
    except msgspec.ValidationError as error:
        problem, _, path = str(error).partition(" - at ")
        raise InvalidInput(
            source,
            path.strip("`").removeprefix("$").removeprefix("."),
            problem,
            "Correct the value; docs/OPERATIONS.md lists keys, units and bounds.",
        ) from error


def load_yaml(path: str) -> Any:
    """Return the plain values of a YAML file.

    Raises
    ------
    InvalidInput
        If the file cannot be read or is no YAML.
    """
    try:
        return yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise InvalidInput(
            path, "", f"cannot be read: {error.strerror}", "Check the path."
        ) from error
    except yaml.YAMLError as error:
        raise InvalidInput(
            path, "", f"no YAML: {error}", "Correct the syntax at that place."
        ) from error
