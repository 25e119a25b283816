"""Pure look-ups of the team, service and budget of a request."""

from collections import defaultdict
from hashlib import sha256
from typing import NamedTuple

from clementinebend_declarations.models import (
    Configuration,
    Declarations,
    RoutingRule,
    Service,
    ServiceKind,
    Team,
)

ANY_TEAM = "*"


class NamedTeam(NamedTuple):
    """A team and its name."""

    name: str
    team: Team


class NamedService(NamedTuple):
    """A service and its name."""

    name: str
    service: Service


class Directory(NamedTuple):
    """The declarations of one revision, indexed for requests."""

    configuration: Configuration
    teams_by_digest: dict[str, str]
    budgets_by_team: dict[str, tuple[str, ...]]

    @property
    def declarations(self) -> Declarations:
        """The declarations of this revision."""
        return self.configuration.declarations


def directory_of(configuration: Configuration) -> Directory:
    """Return the index of a configuration."""
    teams = configuration.declarations.teams
    digests = {
        digest.lower(): name
        for name, team in teams.items()
        for digest in team.key_digests
    }
    return Directory(configuration, digests, _budgets_by_team(configuration))


def find_team(directory: Directory, bearer: str) -> NamedTeam | None:
    """Return the team that the API key ``bearer`` belongs to."""
    digest = sha256(bearer.encode("utf-8", "surrogateescape")).hexdigest()
    name = directory.teams_by_digest.get(digest)
    return None if name is None else NamedTeam(name, directory.declarations.teams[name])


def find_model_service(
    directory: Directory, team: str, model: str
) -> NamedService | None:
    """Return the service for ``model``; rules for the team take priority over ``*``."""
    rules = directory.declarations.routing_rules
    fitting = [rule for rule in rules if _fits(rule, team, model)]
    fitting.sort(key=lambda rule: rule.team == ANY_TEAM)
    services = directory.declarations.services
    names = (rule.service for rule in fitting if rule.service in services)
    name = next(names, None)
    return None if name is None else NamedService(name, services[name])


def find_plain_service(directory: Directory, target: str) -> NamedService | None:
    """Return the plain service whose path is the longest prefix of ``target``."""
    path = target.partition("?")[0]
    fitting = [
        NamedService(name, service)
        for name, service in directory.declarations.services.items()
        if service.kind is ServiceKind.PLAIN and _is_under(path, service.path)
    ]
    return max(fitting, key=lambda found: len(found.service.path), default=None)


def find_budget(directory: Directory, team: str, service: str, wished: str) -> str:
    """Return the name of the team's budget for a service, or an empty string.

    ``wished`` selects a budget by name; if it is empty, the first by name is used.
    """
    budgets = directory.declarations.budgets
    names = directory.budgets_by_team.get(team, ())
    covering = (name for name in names if service in budgets[name].services)
    fitting = (name for name in covering if not wished or name == wished)
    return next(fitting, "")


def _budgets_by_team(configuration: Configuration) -> dict[str, tuple[str, ...]]:
    """Return the names of each team's budgets, in order."""
    budgets = configuration.declarations.budgets
    by_team: dict[str, list[str]] = defaultdict(list)
    for name in sorted(budgets):
        by_team[budgets[name].team].append(name)
    return {team: tuple(names) for team, names in by_team.items()}


def _fits(rule: RoutingRule, team: str, model: str) -> bool:
    return rule.model == model and rule.team in (team, ANY_TEAM)


def _is_under(path: str, prefix: str) -> bool:
    stem = prefix.rstrip("/")
    return bool(prefix) and (path == stem or path.startswith(f"{stem}/"))
