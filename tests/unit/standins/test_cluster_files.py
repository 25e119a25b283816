"""A test cluster's files are such as the fleet itself accepts."""

from itertools import chain

from clementinebend_declarations.documents import check_document
from clementinebend_entry.settings import EntrySettings
from clementinebend_records.mapping import convert_mapping
from clementinebend_sidecar.settings import SidecarSettings
from tests.lib.cluster_files import (
    Plan,
    declarations,
    endpoint_places,
    entry_places,
    entry_settings,
    host_list,
    sidecar_settings,
)

URLS = {"log": "http://127.0.0.1:1", "hosts": "http://127.0.0.1:2"}
PLAN = Plan(zones=("a", "b", "c"), entries=3, engines=2, services=2)


def test_settings_and_declarations_are_accepted() -> None:
    entries, endpoints = entry_places(PLAN), endpoint_places(PLAN)
    for entry in entries:
        settings = convert_mapping(entry_settings(entry, entries, URLS), EntrySettings)
        assert isinstance(settings, EntrySettings), settings
        assert len(settings.peers) == 2
    for endpoint in endpoints:
        written = sidecar_settings(endpoint, URLS["log"], URLS)
        assert isinstance(convert_mapping(written, SidecarSettings), SidecarSettings)
    checked = check_document(declarations(PLAN, endpoints))
    assert checked.is_ok(), checked
    assert set(checked.ok.endpoints) == {place.name for place in endpoints}


def test_every_place_has_ports_of_its_own_and_zones_take_turns() -> None:
    entries, endpoints = entry_places(PLAN), endpoint_places(PLAN)
    ports = [(place.port, place.peer_port) for place in entries]
    ports += [(place.port, place.http_port) for place in endpoints]
    assert len(set(chain.from_iterable(ports))) == 2 * len(ports)
    assert [place.zone for place in entries] == ["a", "b", "c"]
    hosts = host_list(entries, endpoints)["hosts"]
    assert len({host["address"] for host in hosts}) == len(ports)
