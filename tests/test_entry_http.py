"""Tests of the entry's HTTP API: valid calls, invalid input, the error format."""

import asyncio
import json
import random
import socket
import unittest

import httpx
from litestar.exceptions import InternalServerException

from plantainhitch.metrics import Counter
from plantainhitch.outcomes import Reason, Unknown
from plantainhitch.protocol.calls import JobState, RequestAnswer, SubmitWithKey
from plantainhitch.protocol.errors import HTTP_STATUS, ErrorCode, Refusal
from plantainhitch.protocol.models import StatusModel
from plantainhitch.settings import Limits
from plantainhitch.transport.addresses import Address
from plantainhitch.transport.entry_http import create_app, serve

from .fake_node import FakeNode

JSON = {"content-type": "application/json"}
LIMITS = Limits(body_bytes=64 * 1024)
CLASSES = {"render": {"answers_within_ms": 400, "claims_at_least": 0.5}}


def job_json(indexes=(0,), **changes):
    """Return the JSON body of a job; ``changes`` replace or add fields."""
    tasks = [{"index": index, "body": {"n": index}} for index in indexes]
    return json.dumps({"class": "render", "tasks": tasks, **changes}).encode()


class EntryHttpTests(unittest.IsolatedAsyncioTestCase):
    """Calls to the ASGI application, without sockets."""

    async def asyncSetUp(self):
        self.node = FakeNode()
        self.app = create_app(self.node, LIMITS)
        self.client = httpx.AsyncClient(
            transport=httpx.ASGITransport(self.app, raise_app_exceptions=False),
            base_url="http://entry",
        )
        self.id = self.node.issuer.issue(1)[0].to_text()

    async def asyncTearDown(self):
        await self.client.aclose()

    async def put(self, body, path=None, headers=JSON):
        path = path or f"/v1/submissions/{self.id}"
        return await self.client.put(path, content=body, headers=headers)

    def assert_error(self, response, code):
        self.assertEqual(response.status_code, HTTP_STATUS[code], response.text)
        error = response.json()["error"]
        self.assertEqual(error["code"], code.value)
        self.assertTrue(error["message"])
        return error

    async def test_submission_keeps_each_body_byte_for_byte(self):
        body = b'{"class":"render","tasks":[{"index":7,"body":{"b": 1.50,"a":[1 ,2]}}]}'
        response = await self.put(body, f"/v1/submissions/{self.id}?wait_ms=500")
        self.assertEqual(response.status_code, 200, response.text)
        self.assertIn(b'{"b": 1.50,"a":[1 ,2]}', response.content)
        self.assertEqual(
            response.json(),
            {
                "id": self.id,
                "state": "complete",
                "not_run": False,
                "tasks": [
                    {
                        "index": 7,
                        "outcome": "succeeded",
                        "body": {"b": 1.5, "a": [1, 2]},
                    }
                ],
            },
        )
        self.assertEqual(self.node.calls[-1].wait_ms, 500)

    async def test_invalid_input_is_refused_before_the_node(self):
        path = f"/v1/submissions/{self.id}"
        # The last character of an id has unused bits, so another text decodes to the
        # same bytes.
        noncanonical = self.id[:-1] + chr(ord(self.id[-1]) + 1)
        cases = [
            ("malformed", b'{"class":', path, ErrorCode.BAD_JSON),
            ("empty", b"", path, ErrorCode.BAD_JSON),
            ("not UTF-8", b'{"class": "\xff"}', path, ErrorCode.BAD_JSON),
            ("deep", job_json()[:-4] + b"[" * 60_000, path, ErrorCode.BAD_JSON),
            ("not an object", b"[]", path, ErrorCode.BAD_FIELD),
            ("unknown field", job_json(extra=1), path, ErrorCode.BAD_FIELD),
            ("no tasks", job_json(()), path, ErrorCode.BAD_FIELD),
            ("negative index", job_json((-1,)), path, ErrorCode.BAD_FIELD),
            ("large index", job_json((2**32,)), path, ErrorCode.BAD_FIELD),
            ("empty class", job_json(**{"class": ""}), path, ErrorCode.BAD_FIELD),
            ("same index", job_json((1, 2, 1)), path, ErrorCode.DUPLICATE_INDEX),
            ("1,001 tasks", job_json(range(1_001)), path, ErrorCode.TOO_MANY_TASKS),
            ("large", b" " * 70_000, path, ErrorCode.BODY_TOO_LARGE),
            ("no id", job_json(), "/v1/submissions/abc", ErrorCode.ID_MALFORMED),
            ("junk after id", job_json(), f"{path}!!", ErrorCode.ID_MALFORMED),
            (
                "not canonical",
                job_json(),
                f"/v1/submissions/{noncanonical}",
                ErrorCode.ID_MALFORMED,
            ),
            ("wait", job_json(), f"{path}?wait_ms=-1", ErrorCode.BAD_FIELD),
            ("long wait", job_json(), f"{path}?wait_ms=999999", ErrorCode.BAD_FIELD),
            ("no wait", job_json(), f"{path}?wait_ms=soon", ErrorCode.BAD_FIELD),
            ("no route", job_json(), "/v2/submissions", ErrorCode.NOT_FOUND),
            ("method", job_json(), "/v1/requests", ErrorCode.BAD_METHOD),
        ]
        for name, body, target, code in cases:
            with self.subTest(name):
                error = self.assert_error(await self.put(body, target), code)
                # A job may already run under that id, whatever is wrong with this call.
                names_id = target.startswith("/v1/submissions/")
                self.assertIs(error["not_run"], not names_id)
        self.assertEqual(self.node.calls, [])
        self.assertEqual((await self.put(job_json(), path)).status_code, 200)
        counted = self.node.metrics.value(Counter.REFUSALS, "", "bad_json")
        self.assertEqual(counted, 4)

    async def test_content_type_has_to_be_json(self):
        for content_type in ("text/plain", "", "application/x-www-form-urlencoded"):
            with self.subTest(content_type):
                response = await self.put(
                    job_json(), headers={"content-type": content_type}
                )
                self.assert_error(response, ErrorCode.BAD_CONTENT_TYPE)
        utf8 = {"content-type": "application/json; charset=utf-8"}
        self.assertEqual((await self.put(job_json(), headers=utf8)).status_code, 200)

    async def test_refusal_reply_has_code_details_and_retry_after(self):
        for code in ErrorCode:
            with self.subTest(code):
                self.node.refusal = Refusal(code, "no", True, 1_001, ("first",))
                response = await self.put(job_json())
                error = self.assert_error(response, code)
                self.assertEqual(response.headers["retry-after"], "2")
                self.assertEqual(error["retry_after_ms"], 1_001)
                self.assertEqual(error["details"], ["first"])
                class_label = "" if code is ErrorCode.CLASS_UNKNOWN else "render"
                count = self.node.metrics.value(
                    Counter.REFUSALS, class_label, code.value
                )
                self.assertEqual(count, 1)

    async def test_unexpected_error_does_not_claim_not_run(self):
        # The job may have run before the error, and the caller would submit it again.
        for crash in (RuntimeError("broken"), InternalServerException("broken")):
            with self.subTest(crash=crash):
                self.node.crash = crash
                error = self.assert_error(
                    await self.put(job_json()), ErrorCode.INTERNAL
                )
                self.assertFalse(error["not_run"])
                self.assertNotIn("broken", error["message"])

    async def test_total_size_of_held_bodies_is_limited(self):
        # Many bodies below their own limit could exhaust the memory of the process.
        limits = Limits(body_bytes=1_000, held_body_bytes=2_500)
        app = create_app(self.node, limits)
        transport = httpx.ASGITransport(app, raise_app_exceptions=False)
        handle_call = self.node.handle_call
        entered = asyncio.Semaphore(0)
        released = asyncio.Event()

        async def handle_when_released(call):
            entered.release()
            await released.wait()
            return await handle_call(call)

        self.node.handle_call = handle_when_released
        async with httpx.AsyncClient(
            transport=transport, base_url="http://e"
        ) as client:

            def post(content):
                return client.post("/v1/ids", content=content, headers=JSON)

            body = b'{"count":1}' + b" " * 900
            held = [asyncio.create_task(post(body)) for _ in range(2)]
            for _ in held:
                await entered.acquire()
            error = self.assert_error(await post(body), ErrorCode.OVERLOADED)
            self.assertTrue(error["not_run"])
            counted = self.node.metrics.value(Counter.REFUSALS, "", "overloaded")
            self.assertEqual(counted, 1)
            too_large = await post(b" " * 2_000)
            self.assert_error(too_large, ErrorCode.BODY_TOO_LARGE)
            released.set()
            statuses = [(await reply).status_code for reply in held]
            self.assertEqual(statuses, [200, 200])
            self.assertEqual((await post(body)).status_code, 200)

    async def test_running_submission_is_202(self):
        self.node.state = JobState.RUNNING
        self.assertEqual((await self.put(job_json())).status_code, 202)
        fetched = await self.client.get(f"/v1/submissions/{self.id}?wait_ms=0")
        self.assertEqual(fetched.status_code, 202)
        self.assertEqual(fetched.json()["state"], "running")

    async def test_submit_with_key_and_without_id(self):
        keyed = await self.client.post(
            "/v1/submissions",
            content=job_json(),
            headers={**JSON, "Idempotency-Key": "k1"},
        )
        self.assertEqual(keyed.status_code, 200)
        self.assertIsInstance(self.node.calls[-1], SubmitWithKey)
        self.assertEqual(self.node.calls[-1].key, "k1")
        fresh = await self.client.post(
            "/v1/submissions", content=job_json(), headers=JSON
        )
        self.assertEqual(fresh.status_code, 200)
        long_key = {**JSON, "Idempotency-Key": "k" * 201}
        refused = await self.client.post(
            "/v1/submissions", content=job_json(), headers=long_key
        )
        self.assert_error(refused, ErrorCode.BAD_FIELD)

    async def test_digest_depends_on_content_but_not_task_order(self):
        digests = []
        for body in (
            job_json((1, 2)),
            job_json((2, 1)),
            job_json((1, 3)),
            job_json((1, 2), **{"class": "x"}),
        ):
            await self.put(body)
            digests.append(self.node.calls[-1].job.digest)
        self.assertEqual(digests[0], digests[1])
        self.assertEqual(len(set(digests)), 3)

    async def test_ids_cancel_and_single_request(self):
        opened = await self.client.post("/v1/ids", content=b'{"count":3}', headers=JSON)
        self.assertEqual(len(set(opened.json()["ids"])), 3)
        many = await self.client.post(
            "/v1/ids", content=b'{"count":1001}', headers=JSON
        )
        self.assert_error(many, ErrorCode.BAD_FIELD)
        cancelled = await self.client.post(f"/v1/submissions/{self.id}/cancel")
        self.assertEqual(cancelled.status_code, 200)
        request = b'{"class":"ping","body":{"w":1},"repeatable":false}'
        answer = await self.client.post("/v1/requests", content=request, headers=JSON)
        self.assertEqual(answer.json(), {"outcome": "succeeded", "body": {"w": 1}})
        self.assertIs(self.node.calls[-1].repeatable, False)

    async def test_unknown_outcome_has_reason(self):
        async def unknown(call):
            return RequestAnswer(Unknown(Reason.ENDPOINT_LOST))

        self.node.handle_call = unknown
        request = b'{"class":"ping","body":1}'
        answer = await self.client.post("/v1/requests", content=request, headers=JSON)
        self.assertEqual(
            answer.json(), {"outcome": "unknown", "reason": "endpoint_lost"}
        )

    async def test_apply_and_show_classes(self):
        missing = await self.client.get("/v1/classes")
        self.assert_error(missing, ErrorCode.NO_CONFIGURATION)
        change = {
            "base_version": 0,
            "change_id": "c1",
            "author": "mali",
            "classes": CLASSES,
        }
        response = await self.client.put("/v1/classes", json=change)
        self.assertEqual(response.json()["version"], 1, response.text)
        again = await self.client.put("/v1/classes", json=change)
        self.assertEqual(again.json()["version"], 1)
        conflict = await self.client.put(
            "/v1/classes", json={**change, "change_id": "c2"}
        )
        self.assert_error(conflict, ErrorCode.VERSION_CONFLICT)
        bad = {"render": {"weight": 1, "quantile": 2}}
        refused = await self.client.put("/v1/classes", json={**change, "classes": bad})
        error = self.assert_error(refused, ErrorCode.BAD_CONFIGURATION)
        self.assertEqual(len(error["details"]), 3)
        history = await self.client.get("/v1/classes/history?limit=5")
        self.assertEqual([v["author"] for v in history.json()["versions"]], ["mali"])

    async def test_endpoints_status_health_metrics(self):
        shown = await self.client.get("/v1/endpoints")
        self.assertEqual(shown.json()["endpoints"][0]["name"], "endpoint-1")
        drained = await self.client.post("/v1/endpoints/endpoint-1/drain")
        self.assertEqual(drained.json(), {"name": "endpoint-1", "draining": True})
        unknown = await self.client.post("/v1/endpoints/other/resume")
        self.assert_error(unknown, ErrorCode.NOT_FOUND)
        status = await self.client.get("/v1/status")
        self.assertEqual(set(status.json()), set(StatusModel.__struct_fields__))
        self.assertEqual((await self.client.get("/health/ready")).status_code, 200)
        self.node.ready = False
        not_ready = await self.client.get("/health/ready")
        self.assert_error(not_ready, ErrorCode.NOT_READY)
        self.assertEqual((await self.client.get("/health/live")).status_code, 200)
        self.node.metrics.job_ended("render", JobState.COMPLETE, 120)
        metrics = await self.client.get("/metrics")
        for line in (
            'plantainhitch_jobs_total{class="render",state="complete"} 1.0',
            'plantainhitch_response_ms{class="render",quantile="0.99"} 120.0',
            'plantainhitch_queued{class="render"} 3.0',
            "plantainhitch_started_total 7.0",
            "plantainhitch_ready 0.0",
        ):
            self.assertIn(f"{line}\n", metrics.text)

    async def test_every_route_is_documented(self):
        document = (await self.client.get("/schema/openapi.json")).json()
        documented = {
            (path, method.upper())
            for path, item in document["paths"].items()
            for method in item
        }
        served = {
            (route.path_format, method)
            for route in self.app.routes
            if not route.path.startswith("/schema")
            for method in route.methods - {"OPTIONS", "HEAD"}
        }
        self.assertEqual(documented, served)
        schemas = document["components"]["schemas"]
        text = json.dumps(document)
        for name in text.split('"#/components/schemas/')[1:]:
            self.assertIn(name.partition('"')[0], schemas)
        body = document["paths"]["/v1/submissions"]["post"]["requestBody"]
        reference = body["content"]["application/json"]["schema"]["$ref"]
        self.assertIn("tasks", schemas[reference.rpartition("/")[2]]["properties"])


class ServerTests(unittest.IsolatedAsyncioTestCase):
    """The application on a server at a loopback socket."""

    async def asyncSetUp(self):
        self.node = FakeNode()
        app = create_app(self.node, LIMITS)
        self.server = await serve(app, Address("127.0.0.1", 0))
        self.url = f"http://{self.server.address}"

    async def test_oversized_body_is_refused_before_its_end(self):
        address = self.server.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        head = (
            "POST /v1/ids HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
            "Transfer-Encoding: chunked\r\n\r\n"
        )
        writer.write(head.encode())
        chunk = b"10000\r\n" + b" " * 0x10000 + b"\r\n"
        writer.write(chunk + chunk)
        # The body has no end: the server has to reply without reading all of it.
        answer = await asyncio.wait_for(reader.readline(), 5)
        self.assertIn(b" 413 ", answer)
        writer.close()
        await self.server.aclose(grace_ms=1_000)

    async def test_oversized_head_is_refused(self):
        # uvicorn has no limit of its own for the head of a request.
        address = self.server.address
        for head in (
            b"GET /" + b"a" * 200_000,
            b"GET / HTTP/1.1\r\n" + b"a: b\r\n" * 40_000,
        ):
            with self.subTest(head=head[:20]):
                reader, writer = await asyncio.open_connection(
                    address.host, address.port
                )
                writer.write(head)
                answer = await asyncio.wait_for(reader.readline(), 5)
                self.assertIn(b" 400 ", answer)
                writer.close()
        await self.server.aclose(grace_ms=1_000)

    async def test_disconnect_during_body_is_not_an_internal_error(self):
        # litestar raises an internal error for it, which would be logged and counted.
        address = self.server.address
        _, writer = await asyncio.open_connection(address.host, address.port)
        head = b"POST /v1/ids HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        writer.write(head + b"Content-Length: 20\r\n\r\n{")
        await writer.drain()
        await asyncio.sleep(0.05)
        writer.transport.abort()
        await self.server.aclose(grace_ms=1_000)
        metrics = self.node.metrics
        self.assertEqual(metrics.value(Counter.REFUSALS, "", "internal"), 0)
        self.assertEqual(metrics.value(Counter.REFUSALS, "", "bad_json"), 1)

    async def test_malformed_requests_do_not_affect_other_callers(self):
        rng = random.Random(1)
        call = (
            b"PUT /v1/submissions/x HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n{}"
        )
        address = self.server.address

        async def send_damaged_call():
            _, writer = await asyncio.open_connection(address.host, address.port)
            prefix = call[: rng.randrange(len(call))]
            writer.write(prefix + rng.randbytes(rng.randrange(300)))
            await asyncio.sleep(0.01)
            writer.transport.abort()

        async with httpx.AsyncClient() as client:
            with self.assertLogs("uvicorn.error", "WARNING"):
                await self._interleave_calls(client, send_damaged_call)
        await self.server.aclose(grace_ms=1_000)
        self.assertEqual(len(self.node.calls), 10)

    async def _interleave_calls(self, client, send_damaged_call):
        for _ in range(10):
            bad = [asyncio.create_task(send_damaged_call()) for _ in range(20)]
            good = await client.post(f"{self.url}/v1/ids", json={"count": 2})
            self.assertEqual(len(good.json()["ids"]), 2)
            await asyncio.gather(*bad)

    async def test_close_waits_for_requests_in_progress(self):
        entered = asyncio.Event()
        released = asyncio.Event()
        handle_call = self.node.handle_call

        async def handle_when_released(call):
            entered.set()
            await released.wait()
            return await handle_call(call)

        self.node.handle_call = handle_when_released
        async with httpx.AsyncClient() as client:
            call = asyncio.create_task(client.post(f"{self.url}/v1/ids", json={}))
            await entered.wait()
            closing = asyncio.create_task(self.server.aclose())
            await asyncio.sleep(0.05)
            self.assertFalse(closing.done())
            released.set()
            self.assertEqual((await call).status_code, 200)
        await closing
        with self.assertRaises(OSError):
            await asyncio.open_connection(
                self.server.address.host, self.server.address.port
            )

    async def test_entry_that_is_not_ready_closes_connections_after_reply(self):
        # A kept connection could carry a request at the moment when the entry closes
        # it, and the caller couldn't tell whether the request ran.
        address = self.server.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        head = b"POST /v1/ids HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\n"
        call = head + b"Content-Length: 2\r\n\r\n{}"
        writer.write(call)
        self.assertIn(b" 200 ", await reader.readline())
        self.node.ready = False
        writer.write(call)
        rest = await asyncio.wait_for(reader.read(), 5)
        self.assertEqual(rest.count(b'{"ids":["'), 2)
        self.assertIn(b"connection: close", rest.lower())
        writer.close()
        await self.server.aclose()

    async def test_nagle_is_off_on_accepted_connections(self):
        # With Nagle's algorithm on, a reply of two segments waits for the peer's
        # delayed ACK.
        address = self.server.address
        reader, writer = await asyncio.open_connection(address.host, address.port)
        writer.write(b"GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
        await reader.readline()
        (connection,) = self.server._server.server_state.connections
        accepted = connection.transport.get_extra_info("socket")
        self.assertTrue(accepted.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY))
        writer.close()
        await self.server.aclose()

    async def test_serve_raises_if_address_is_in_use(self):
        with self.assertRaises(OSError):
            await serve(create_app(self.node), self.server.address)
        await self.server.aclose()
