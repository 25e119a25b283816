"""The plain service over HTTP: what it executed, and its faults."""

from clementinebend_standins.apps.service import service_handler
from tests.lib.http_calls import serving


async def test_executions_are_counted_by_key_whatever_the_run() -> None:
    async with serving(service_handler()) as service:
        for run in ("1", "2"):
            headers = {"x-run-id": run, "idempotency-key": "k"}
            called = await service.call("POST", "/book/7?x=1", b"body", headers)
            assert called.json()["body"] == "body"
        await service.call("POST", "/book/7", b"", {"x-run-id": "3"})
        rows = {row["key"]: row for row in await service.get("/ran")}
        assert {key: row["count"] for key, row in rows.items()} == {"k": 2, "3": 1}
        assert rows["k"]["runs"] == ["1", "2"]
        assert (rows["k"]["method"], rows["k"]["path"]) == ("POST", "/book/7")


async def test_faults_fail_before_or_after_executing() -> None:
    async with serving(service_handler()) as service:
        await service.set_faults(fail_before=1, fail_after=1)
        headers = {"idempotency-key": "k"}
        before = await service.call("POST", "/book", b"", headers)
        assert (before.status, await service.get("/ran")) == (500, [])
        after = await service.call("POST", "/book", b"", headers)
        (row,) = await service.get("/ran")
        assert (after.status, row["count"]) == (500, 1)
        whole = await service.call("POST", "/book", b"", headers)
        assert (whole.status, whole.json()["count"]) == (200, 2)


async def test_a_truncated_answer_is_of_a_call_that_was_executed() -> None:
    async with serving(service_handler()) as service:
        await service.set_faults(truncate=1)
        outcome = await service.client.request("POST", service.url + "/book")
        assert outcome.is_error()
        (row,) = await service.get("/ran")
        assert row["count"] == 1
