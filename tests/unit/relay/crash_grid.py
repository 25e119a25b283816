"""The grid of scenarios whose outcomes ``crash_table`` prints."""

from itertools import product

from tests.unit.relay.crash_endpoints import Work
from tests.unit.relay.crash_scenarios import Scenario

STREAM_WAYS = ("reset", "head", "event", "late", "late-event")
PLAIN_WAYS = ("reset", "late")
FATAL_KINDS = (
    *product(("safe", "once"), PLAIN_WAYS),
    *product(("stream", "stream-once"), STREAM_WAYS),
)
POPULAR_RATE = 20.0
RARE_RATE = 1.0
HARMLESS = {
    "stream 8x0.45": ("stream", Work(pause=0.45)),
    "stream 8x0.05": ("stream", Work(pause=0.05)),
    "once-stream 8x0.45": ("stream-once", Work(pause=0.45)),
    "safe 0.1": ("safe", Work(seconds=0.1, head_seconds=0.1)),
    "safe 0.8": ("safe", Work(seconds=0.8, head_seconds=0.8)),
    "safe 3": ("safe", Work(seconds=3.0, head_seconds=0.1)),
    "once 0.8": ("once", Work(seconds=0.8, head_seconds=0.8)),
    "once 3": ("once", Work(seconds=3.0, head_seconds=3.0)),
}
"""Routes and work of harmless requests. A repeatable call is sent again after 2 s
without a head, so that of the one of 3 s comes early."""

GAPS = (0.5, 1.0, 3.0)
VICTIMS = ("last", "busiest", "random")
KILLS = 5
SECONDS_AFTER_KILLS = 6.0


def sessions_of(kind: str) -> tuple[str, ...]:
    """Return the sessions of calls of a route: only streams have prompts."""
    return ("shared", "own") if "stream" in kind else ("none",)


def fatal_scenarios() -> list[Scenario]:
    """Return a fatal request, popular and rare, beside many different harmless ones."""
    return [
        Scenario(
            f"fatal {kind} {way} {rate:g}/s {session}",
            kind,
            Work(fatal_way=way),
            fatal_rate=rate,
            bodies=0,
            session=session,
            seconds=15.0 if rate > RARE_RATE else 30.0,
        )
        for rate in (10.0, RARE_RATE)
        for kind, way in FATAL_KINDS
        for session in sessions_of(kind)
    ]


def beside_scenarios() -> list[Scenario]:
    """Return a fatal request beside one popular harmless one."""
    return [
        Scenario(
            f"beside {name}, {way} {session}",
            kind,
            Work(fatal_way=way),
            harmless_work=work,
            harmless_rate=POPULAR_RATE,
            session=session,
            seconds=15.0,
        )
        for name, (kind, work) in HARMLESS.items()
        for way in ("reset", "late")
        for session in sessions_of(kind)
    ]


def killer_scenarios(
    prefix: str = "kills", bodies: int = 1, kills: int = KILLS
) -> list[Scenario]:
    """Return kills in series beside one harmless request, popular or rare."""
    grid = product(
        HARMLESS.items(), (POPULAR_RATE, RARE_RATE), VICTIMS, GAPS, (False, True)
    )
    return [
        Scenario(
            f"{prefix} {name} {rate:g}/s {victim} {gap:g}s"
            f"{' history' if has_history else ''}",
            kind,
            harmless_work=work,
            harmless_rate=rate,
            bodies=bodies,
            session=sessions_of(kind)[0],
            seconds=kills * gap + SECONDS_AFTER_KILLS,
            kills=kills,
            gap=gap,
            victim=victim,
            has_history=has_history,
        )
        for (name, (kind, work)), rate, victim, gap, has_history in grid
    ]


def session_scenarios() -> list[Scenario]:
    """Return the series of kills without a session, and with one for each call."""
    return [
        each._replace(name=f"{each.name} session-{session}", session=session)
        for each in killer_scenarios("session")
        if "8x" in each.name and each.gap == 1.0 and each.victim != "random"
        for session in ("none", "own")
    ]


def rate_scenarios() -> list[Scenario]:
    """Return the series of kills at several rates of the harmless request."""
    return [
        each._replace(name=f"{each.name} rate-{rate:g}", harmless_rate=rate)
        for each in killer_scenarios("rate")
        if each.harmless_rate == POPULAR_RATE and each.gap == 1.0
        if each.victim == "last" and not each.has_history
        for rate in (5.0, 60.0)
    ]


def two_scenarios() -> list[Scenario]:
    """Return the series of kills beside two popular requests."""
    return [
        each
        for each in killer_scenarios("two", bodies=2)
        if each.harmless_rate == POPULAR_RATE and each.gap == 1.0
    ]


def three_scenarios() -> list[Scenario]:
    """Return series of three kills only."""
    return [
        each
        for each in killer_scenarios("three", kills=3)
        if each.gap < 3.0 and each.victim != "random"
    ]


def disturbed_scenarios() -> list[Scenario]:
    """Return fatal requests and kills beside random ends and a restarted entry."""
    fatal = [each for each in fatal_scenarios() if each.fatal_rate > RARE_RATE]
    killers = [
        each
        for each in killer_scenarios()
        if each.gap == 1.0 and each.victim == "last" and not each.has_history
    ]
    restarted = [
        each._replace(name=f"restart {each.name}", restart_at=1.0)
        for each in (*fatal, *killers)
    ]
    ended = [
        each._replace(name=f"random ends {each.name}", random_kills=0.5, bodies=2)
        for each in fatal
    ]
    return [*restarted, *ended]


def all_scenarios() -> list[Scenario]:
    """Return all scenarios, by groups; the name of each begins with its group."""
    return [
        *fatal_scenarios(),
        *beside_scenarios(),
        *killer_scenarios(),
        *three_scenarios(),
        *two_scenarios(),
        *session_scenarios(),
        *rate_scenarios(),
        *disturbed_scenarios(),
    ]
