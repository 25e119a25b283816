"""``clementinebend init``: a directory to start from."""

from collections.abc import Iterator
from importlib.resources import files
from importlib.resources.abc import Traversable
from pathlib import Path

from expression import Error, Ok

from clementinebend_operator_cli.exceptions import failure, invalid_input
from clementinebend_operator_cli.models.report import Outcome, Report

PACKAGE = "clementinebend_operator_cli"
STARTER = "starter"
SUFFIX = ".yaml"


async def init(directory: str = ".") -> Outcome:
    """Write commented settings and declarations to start from.

    Files that are there already are never overwritten.

    Args:
        directory: Where to write; it is made if it is not there.

    """
    target = Path(directory)
    wanted = {target / name: text for name, text in _starter_files()}
    there = [str(path) for path in wanted if path.exists()]
    if there:
        message = f"there already: {', '.join(there)}; choose another directory"
        return Error(invalid_input(message))
    try:
        for path, text in wanted.items():
            path.parent.mkdir(parents=True, exist_ok=True)
            path.write_text(text, encoding="utf-8")
    except OSError as error:
        return Error(failure(f"cannot write {error.filename}: {error.strerror}"))
    return Ok(_report(target, [str(path) for path in wanted]))


def _report(target: Path, paths: list[str]) -> Report:
    following = f"next: cd {target}, edit them, then `clementinebend check`"
    return Report((*(f"wrote {path}" for path in paths), following), paths)


def _starter_files() -> Iterator[tuple[str, str]]:
    """Yield the relative path and the text of each file of the starter."""
    root = files(PACKAGE) / STARTER
    yield from _texts(root, "")


def _texts(folder: Traversable, prefix: str) -> Iterator[tuple[str, str]]:
    for item in sorted(folder.iterdir(), key=lambda item: item.name):
        if item.is_dir():
            yield from _texts(item, f"{prefix}{item.name}/")
        elif item.name.endswith(SUFFIX):
            yield f"{prefix}{item.name}", item.read_text(encoding="utf-8")
