"""Validates settings and documents; errors name the key path and the remedy."""

import difflib
from pathlib import Path
from typing import Any, TypeVar, get_args, get_origin, get_type_hints, is_typeddict

import msgspec
import yaml

T = TypeVar("T")


class InvalidInput(ValueError):
    """Input that failed validation.

    Parameters
    ----------
    source : str
        File or interface that the input came from.
    path : str
        Key path inside the input, such as ``timing.poll_interval_ms``.
    problem : str
        Reason why the input is invalid.
    remedy : str
        How to correct the input.
    """

    def __init__(self, source: str, path: str, problem: str, remedy: str) -> None:
        self.source = source
        self.path = path
        self.problem = problem
        self.remedy = remedy
        super().__init__(f"{source}: {path or '(top)'}: {problem}. {remedy}")


def without_unit(key: str) -> str:
    """Return a key without its unit suffix, such as ``poll`` for ``poll_ms``."""
    base, _, unit = key.rpartition("_")
    return base if unit in {"ms", "s", "us", "bytes", "kb", "mb"} else key


def check_keys(data: Any, shape: Any, source: str, path: str = "") -> None:
    """Raise `InvalidInput` for the first key that is not defined in `shape`.

    Parameters
    ----------
    shape : type
        A TypedDict, or a list or dict of TypedDicts.
    """
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
            key_path = f"{path}.{key}".lstrip(".")
            if key not in hints:
                raise InvalidInput(
                    source,
                    key_path,
                    "unknown key",
                    suggest_remedy(str(key), list(hints)),
                )
            check_keys(item, hints[key], source, key_path)


def suggest_remedy(key: str, known: list[str]) -> str:
    """Return a remedy that names the most similar known key.

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
    similar = difflib.get_close_matches(key, known, 1)
    if similar:
        return f"Did you mean {similar[0]}?"
    return f"Known keys here: {', '.join(sorted(known))}."


def check(data: Any, shape: type[T], source: str) -> T:
    """Return `data` converted to `shape`, or raise for the first error in it.

    Parameters
    ----------
    data : Any
        Plain values, as a YAML or JSON parser returns them.
    shape : type
        The TypedDict that `data` must match.
    source : str
        Name of the input in error messages.

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
        If the file cannot be read or is not valid YAML.
    """
    try:
        return yaml.safe_load(Path(path).read_text())
    except OSError as error:
        raise InvalidInput(
            path, "", f"cannot be read: {error.strerror}", "Check the path."
        ) from error
    # Text that is not UTF-8 and impossible dates raise ValueError.
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise InvalidInput(
            path, "", f"not valid YAML: {error}", "Correct the syntax at that place."
        ) from error
