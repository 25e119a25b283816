"""Reading of one YAML file: unique string keys, dates as strings, no aliases."""

from pathlib import Path
from typing import Any

from expression import Error, Ok, Result
from yaml import MappingNode, SafeLoader, YAMLError, load
from yaml.constructor import ConstructorError

from clementinebend_declarations.exceptions import DeclarationError

MAX_FILE_BYTES = 32 * 1_048_576
TIMESTAMP_TAG = "tag:yaml.org,2002:timestamp"


class _StrictLoader(SafeLoader):
    """Loads dates as strings and rejects anchors, aliases and duplicate keys."""

    yaml_implicit_resolvers = {
        first: [(tag, pattern) for tag, pattern in resolvers if tag != TIMESTAMP_TAG]
        for first, resolvers in SafeLoader.yaml_implicit_resolvers.items()
    }

    def compose_node(self, parent: Any, index: Any) -> Any:
        """Compose a node without an anchor: nested aliases can exhaust the memory."""
        event = self.peek_event()  # type: ignore[no-untyped-call]
        if getattr(event, "anchor", None) is not None:
            message = "anchors and aliases are not allowed"
            raise ConstructorError(None, None, message, event.start_mark)
        return super().compose_node(parent, index)

    def construct_mapping(self, node: MappingNode, deep: bool = False) -> Any:
        """Construct a mapping whose keys are strings and unique."""
        seen: set[str] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            _check_key(key, seen, key_node.start_mark)
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


def read_yaml(file: Path) -> Result[dict[str, Any], DeclarationError]:
    """Return the mapping in one file, or the error in it."""
    try:
        data = file.read_bytes()
    except OSError as error:
        problem = f"cannot be read ({error.strerror})"
        return Error(_file_error(file, problem, "a file that exists and is readable"))
    if len(data) > MAX_FILE_BYTES:
        problem = f"has {len(data)} bytes"
        return Error(_file_error(file, problem, f"{MAX_FILE_BYTES} bytes"))
    return _parse(file, data)


def _parse(file: Path, data: bytes) -> Result[dict[str, Any], DeclarationError]:
    try:
        value = load(data.decode(), _StrictLoader)
    except UnicodeDecodeError as error:
        problem = f"is not UTF-8 at byte {error.start}"
        return Error(_file_error(file, problem, "UTF-8 text"))
    except (YAMLError, ValueError, RecursionError) as error:
        problem = f"is not YAML: {' '.join(str(error).split())}"
        return Error(_file_error(file, problem, "a YAML mapping"))
    if value is None:
        return Ok({})
    if isinstance(value, dict):
        return Ok(value)
    return Error(
        _file_error(file, "does not contain a mapping", "sections such as 'teams:'")
    )


def _check_key(key: Any, seen: set[str], mark: Any) -> None:
    if not isinstance(key, str):
        message = f"the key {key!r} is not a string: put it in quotes"
        raise ConstructorError(None, None, message, mark)
    if key in seen:
        raise ConstructorError(None, None, f"duplicate key {key!r}", mark)


def _file_error(file: Path, problem: str, allowed: str) -> DeclarationError:
    return DeclarationError((), problem, allowed, str(file))
