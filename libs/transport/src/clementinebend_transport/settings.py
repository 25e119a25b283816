"""Settings of a process, read from a YAML file."""

from collections.abc import Hashable
from pathlib import Path
from typing import Any, TypeVar

from expression import Error, Ok, Result
from yaml import MappingNode, SafeLoader, YAMLError, load
from yaml.constructor import ConstructorError

from clementinebend_records.mapping import (
    MappingProblem,
    convert_mapping,
    describe_type,
)
from clementinebend_transport.exceptions import SettingsError
from clementinebend_transport.settings_checks import measure_problems

T = TypeVar("T")

MERGE_TAG = "tag:yaml.org,2002:merge"
"""The tag of the key ``<<``; source: YAML merge key type."""


class _UniqueKeyLoader(SafeLoader):
    """Refuses a mapping in which a key stands twice."""

    def construct_mapping(
        self, node: MappingNode, deep: bool = False
    ) -> dict[Hashable, Any]:
        keys = [
            self.construct_object(key, deep=True)
            for key, _ in node.value
            if key.tag != MERGE_TAG
        ]
        repeated = [key for key in keys if keys.count(key) > 1]
        if repeated:
            raise ConstructorError(
                None, None, f"the key {repeated[0]!r} stands twice", node.start_mark
            )
        return super().construct_mapping(node, deep=deep)


def load_settings(path: Path | str, kind: type[T]) -> Result[T, SettingsError]:
    """Return the settings in the file at ``path`` as a ``kind``, a NamedTuple."""
    try:
        text = Path(path).read_text(encoding="utf-8")
        document = load(text, _UniqueKeyLoader)
    except OSError as error:
        return _failure(path, f"cannot be read: {error.strerror}", "a readable file")
    except UnicodeDecodeError as error:
        return _failure(path, f"is not UTF-8 at byte {error.start}", "UTF-8 text")
    except YAMLError as error:
        return _failure(path, f"is not YAML: {_one_line(error)}", describe_type(kind))
    except (RecursionError, ValueError) as error:
        return _failure(path, f"is not usable YAML: {error}", describe_type(kind))
    settings = convert_mapping({} if document is None else document, kind)
    if not isinstance(settings, kind):
        assert isinstance(settings, tuple)
        return Error(SettingsError(str(path), settings))
    problems = tuple(measure_problems(settings))
    return Error(SettingsError(str(path), problems)) if problems else Ok(settings)


def _failure(
    path: Path | str, problem: str, allowed: str
) -> Result[Any, SettingsError]:
    return Error(SettingsError(str(path), (MappingProblem((), problem, allowed),)))


def _one_line(error: YAMLError) -> str:
    return " ".join(str(error).split())
