"""Stand-in for the store of the users' platform: rows, transactions, feeds.

It implements the protocol whose client is ``platform.store``. Faults: ``silent``
leaves all requests unanswered, ``busy`` answers 503 to all, ``lose_replies`` is the
number of next transactions that are applied without a reply.
"""

import asyncio
from urllib.parse import parse_qs

import msgspec

from ..transport.asgi import (
    MAX_SMALL_BODY_BYTES,
    Reply,
    read_body,
    send_reply,
    wait_for_disconnect,
)

_POLL_INTERVAL_S = 0.005


class RowsStandIn:
    """The store, as an ASGI application."""

    def __init__(self):
        self.silent = False
        self.busy = False
        self.lose_replies = 0
        self._ver = 0
        self._rows = {}
        self._history = []
        self._truncated_ver = 0

    def put(self, table, key, value):
        """Write a row, as another client of the store would."""
        self._apply(puts=[{"table": table, "part": "", "key": key, "value": value}])

    def remove(self, table, key):
        """Delete a row, as another client of the store would."""
        self._apply(remove=[{"table": table, "part": "", "key": key}])

    def get(self, table, key):
        """Return a row's value, or None if there is no such row."""
        row = self._rows.get((table, "", key))
        return row["value"] if row else None

    def truncate_history(self):
        """Drop the history; feeds from an earlier version are answered 410 then."""
        self._history.clear()
        self._truncated_ver = self._ver

    async def __call__(self, scope, receive, send):
        """Serve one request."""
        body = await read_body(receive, MAX_SMALL_BODY_BYTES)
        if self.silent:
            await wait_for_disconnect(receive)
            return
        if self.busy:
            await send_reply(send, Reply(503, b"{}"))
            return
        query = {k: v[0] for k, v in parse_qs(scope["query_string"].decode()).items()}
        match scope["method"], scope["path"]:
            case "POST", "/rows-tx":
                status, result = self._transaction(msgspec.json.decode(body))
                if status == 200 and self.lose_replies:
                    self.lose_replies -= 1
                    await wait_for_disconnect(receive)
                    return
            case "GET", "/rows-get":
                status, result = 200, self._select(query)
            case "GET", "/rows-feed":
                feed = asyncio.create_task(self._feed(query))
                disconnected = asyncio.create_task(wait_for_disconnect(receive))
                await asyncio.wait(
                    (feed, disconnected), return_when=asyncio.FIRST_COMPLETED
                )
                disconnected.cancel()
                if not feed.done():
                    feed.cancel()
                    return
                status, result = feed.result()
            case _:
                status, result = 404, {}
        result |= {"ver": self._ver, "now_ms": 0}
        await send_reply(send, Reply(status, msgspec.json.encode(result)))

    def _transaction(self, call):
        expected = call.get("expected_rev", [])
        for item in expected:
            row = self._rows.get(_row_key(item))
            if (row["ver"] if row else 0) != item["ver"]:
                keys = [_row_key(other) for other in expected]
                found = [self._rows[p] for p in keys if p in self._rows]
                return 412, {"rows": found}
        self._apply(call.get("puts", []), call.get("remove", []))
        return 200, {}

    def _apply(self, puts=(), remove=()):
        self._ver += 1
        for item in puts:
            value = item["value"]
            if isinstance(value, bytes):
                value = msgspec.json.decode(msgspec.json.encode(value))
            row = {**item, "value": value, "ver": self._ver}
            self._rows[_row_key(item)] = row
            self._history.append(row)
        for item in remove:
            if self._rows.pop(_row_key(item), None) is not None:
                tombstone = {**item, "value": None, "ver": self._ver, "tombstone": True}
                self._history.append(tombstone)

    def _select(self, query):
        partition = query["table"], query.get("part", "")
        low, high = query.get("from", ""), query.get("to")
        rows = [
            row
            for (table, part, key), row in sorted(self._rows.items())
            if (table, part) == partition
            and key >= low
            and (high is None or key < high)
        ]
        limit = int(query.get("limit", 500))
        return {"rows": rows[:limit], "truncated": len(rows) > limit}

    async def _feed(self, query):
        after, wait_s = int(query["after"]), int(query.get("wait_ms", 0)) / 1_000
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            if after < self._truncated_ver:
                return 410, {}
            rows = [
                row
                for row in self._history
                if row["table"] == query["table"] and row["ver"] > after
            ]
            if rows or loop.time() >= until:
                return 200, {"rows": rows}
            await asyncio.sleep(_POLL_INTERVAL_S)


def _row_key(item):
    return item["table"], item.get("part", ""), item["key"]
