"""Quarantine of a request that crashes every upstream it runs on, end to end.

A caller retries such a request at other instances, so that without quarantine it would crash them
one after the other.
"""

import asyncio
import json
import re
import unittest

from tests.platform_fleet import (
    CONTROL_PORT,
    CrashingBackend,
    Fleet,
    call_node,
    config,
    put_config,
    ready_status,
    send_request,
    wait_until,
)

CONTROLLERS = (1, 2, 3)
NODES = (11, 12, 13, 14, 15)
FATAL_ATTEMPTS = 12  # How often the caller sends the fatal request.
MAX_CRASHES = 3  # Upstreams that may crash before a request is quarantined.
FATAL = "/a/fatal?page=1"
RELEASE_TIMEOUT_S = 20  # Far below the minute after which quarantine expires by itself.
RETRY_DELAY_S = 0.5  # Pause between two attempts, about that of a caller that retries.


class CrashingRequestTests(unittest.TestCase):
    """Three controller and five node processes, each node beside an upstream of one service."""

    def setUp(self):
        self.fleet = Fleet()
        self.addCleanup(self.fleet.close)

    def test_crashing_request_is_quarantined_on_every_instance(self):
        asyncio.run(self._check_quarantine())

    def test_quarantine_survives_restarts_of_controllers_and_nodes(self):
        asyncio.run(self._check_restarts())

    def test_operator_lists_and_releases_quarantined_request(self):
        asyncio.run(self._check_release())

    async def start(self):
        self.backends = [
            CrashingBackend(number, f"i-{number}", response_delay_s=0.02) for number in NODES
        ]
        for number in CONTROLLERS:
            self.fleet.launch("core", number)
        for number in NODES:
            self.fleet.launch("side", number, "s1")
        split = [{"service": "s1", "weight": 1}]
        first = config("00000001", path={"split": split})
        await wait_until(lambda: put_config(first, "00000000"), 200)
        for number, backend in zip(NODES, self.backends, strict=True):
            await wait_until(lambda number=number: ready_status(number), 200)
            await backend.start()
            self.addCleanup(backend.close)
        for number in NODES:

            async def serves(number=number):
                return (await call_node(number, "/a/warm", f"w-{number}"))[0]

            await wait_until(serves, 200)

    @property
    def crashes(self):
        return sum(backend.crash_count for backend in self.backends)

    async def _check_quarantine(self):
        await self.start()
        statuses = []
        for attempt in range(FATAL_ATTEMPTS):
            number = NODES[attempt % len(NODES)]
            status, head, _ = await call_node(number, FATAL, f"fatal-{attempt}")
            statuses.append((status, re.search(r"Retry-After: (\S+)", head)))
            # Other requests of the same customer are served once a crashed upstream is back.
            await asyncio.sleep(RETRY_DELAY_S)
            await wait_until(lambda attempt=attempt: self._send_harmless(attempt), 200)
        self.assertLessEqual(self.crashes, MAX_CRASHES, [status for status, _ in statuses])
        status, retry_after = statuses[-1]
        self.assertEqual(status, 503)
        self.assertIsNotNone(retry_after)

    async def _quarantine_fatal_request(self):
        """Sends the fatal request until every node refuses it."""
        await self.start()
        for number in NODES * 2:
            await call_node(number, FATAL, f"fatal-{number}")
            await asyncio.sleep(RETRY_DELAY_S)
        for number in NODES:
            self.assertEqual((await call_node(number, FATAL, "fatal-b"))[0], 503)

    async def _check_restarts(self):
        await self._quarantine_fatal_request()
        crashes = self.crashes
        # Only nodes that have not seen a crash themselves keep running; they keep the records.
        killed = [*CONTROLLERS, *(item.number for item in self.backends if item.crash_count)]
        self.assertLess(len(killed), len(CONTROLLERS) + len(NODES))
        for number in killed:
            self.fleet.kill(number)
        for number in killed:
            self.fleet.restart(number)
        for number in NODES:

            async def serves(number=number):
                return (await call_node(number, "/a/fine", f"fine-{number}"))[0]

            await wait_until(serves, 200)
        for number in NODES:
            status, _, body = await call_node(number, FATAL, "fatal-c")
            self.assertEqual((status, b"quarantined" in body), (503, True))
        self.assertEqual(self.crashes, crashes)

    async def _check_release(self):
        await self._quarantine_fatal_request()
        listed = {}
        for number in CONTROLLERS:
            _, _, raw = await send_request(number, CONTROL_PORT, "GET", "/quarantine")
            listed[number] = {item["fingerprint"] for item in json.loads(raw)["held"]}
        self.assertEqual([len(fingerprints) for fingerprints in listed.values()], [2, 2, 2])
        crashes = self.crashes
        for fingerprint in listed[1]:
            path = f"/quarantine/{fingerprint}"
            self.assertEqual((await send_request(2, CONTROL_PORT, "DELETE", path))[0], 200)
            self.assertEqual((await send_request(2, CONTROL_PORT, "DELETE", path))[0], 404)

        async def remaining():
            answers = [
                await send_request(number, CONTROL_PORT, "GET", "/quarantine")
                for number in CONTROLLERS
            ]
            return [json.loads(raw)["held"] for _, _, raw in answers]

        await wait_until(remaining, [[], [], []], RELEASE_TIMEOUT_S)
        await wait_until(lambda: self._send_harmless(1), 200)
        self.assertEqual((await call_node(NODES[0], FATAL, "fatal-c"))[0], 502)
        self.assertGreater(self.crashes, crashes)

    async def _send_harmless(self, attempt):
        number = NODES[(attempt + 2) % len(NODES)]
        return (await call_node(number, f"/a/fine-{attempt}", f"fine-{attempt}"))[0]
