"""The way of a call over two nodes, on loopback sockets."""

import asyncio
import types
import unittest

import msgspec

from marjoramvalve.model import validate_document
from tests.meshes import (
    REQUEST_ID,
    MeshBench,
    header_value,
    make_document,
    ok_response,
    reset_connection,
    respond_immediately,
)


class MeshTestCase(unittest.TestCase):
    """Base of the tests with nodes."""

    def setUp(self):
        self.bench = MeshBench()
        self.addCleanup(self.bench.close)

    async def connect_pair(self, play, slots=4, doc=None):
        """Returns a caller at a node whose calls go to the upstream beside another node."""
        front = await self.bench.add_node(respond_immediately, service="front", doc=doc)
        await self.bench.add_node(play, slots=slots, doc=doc)
        await self.bench.connect_nodes()
        return await self.bench.connect_caller(front)

    @property
    def received_requests(self):
        """Requests that the upstream behind the second node has got."""
        return self.bench.upstreams[1].requests


class CallTests(MeshTestCase):
    """What reaches the upstream, and what comes back."""

    def test_a_call_over_two_nodes(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            extra = (
                "X-Other: kept\r\nConnection: X-Drop\r\nX-Drop: 1\r\nMarjoramvalve-Caller: lie\r\n"
            )
            return await caller.request(
                "/read/a?b=c", "a1", extra=extra, body="hello", method="POST"
            )

        status, head, body = self.bench.run(play())
        self.assertEqual((status, body), (200, b"fine"))
        self.assertEqual(header_value(head, REQUEST_ID), "a1")
        request = self.received_requests[0]
        self.assertTrue(request.startswith("POST /read/a?b=c HTTP/1.1\r\n"))
        self.assertTrue(request.endswith("\r\n\r\nhello"))
        wanted = {
            "X-Other": "kept",
            "X-Drop": None,
            "Marjoramvalve-Caller": "front",
            "Marjoramvalve-Customer": "shed",
            "Marjoramvalve-Key": None,
            "Marjoramvalve-Expect-Instance": "i-n1",
            REQUEST_ID: "a1",
            "Host": "any",
        }
        self.assertEqual({name: header_value(request, name) for name in wanted}, wanted)
        self.assertEqual(request.count("Marjoramvalve-Caller"), 1)
        self.assertLessEqual(int(header_value(request, "Marjoramvalve-Deadline-Ms")), 2000)

    def test_chunked_bodies_come_whole(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            caller.send("/read/", "a1", method="PUT", extra="Transfer-Encoding: chunked\r\n")
            caller.writer.write(b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
            return await caller.read_response()

        self.assertEqual(self.bench.run(play())[0], 200)
        self.assertTrue(self.received_requests[0].endswith("\r\n\r\nabcde"))

    def test_pipelined_answers_keep_their_order(self):
        async def slow_first(request, writer):
            await asyncio.sleep(0.1 if " /read/1 " in request else 0.0)
            writer.write(ok_response(request, header_value(request, REQUEST_ID).encode()))

        async def play():
            caller = await self.connect_pair(slow_first)
            for number in (1, 2, 3):
                caller.send(f"/read/{number}", f"a{number}")
            return [(await caller.read_response())[2] for _ in range(3)]

        self.assertEqual(self.bench.run(play()), [b"a1", b"a2", b"a3"])

    def test_decisions_that_need_no_upstream(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            return [
                (await caller.request("/none/", "a1"))[0],
                (await caller.request("/read/", "a2", key="wrong"))[0],
                (await caller.request("/read/", "a3", key=""))[0],
                (await caller.request("/read/", "gone.a4", key=""))[0],
                (await caller.request("/open/", "a5", key=""))[0],
            ]

        # A sub-call whose parent has ended is refused without a verdict on its key.
        self.assertEqual(self.bench.run(play()), [404, 401, 401, 503, 200])

    def test_an_unconfirmed_configuration_refuses_nothing_for_good(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            self.bench.nodes[0].egress.is_config_confirmed = lambda: False
            return [
                (await caller.request("/none/", "a1"))[0],
                (await caller.request("/read/", "a2", key="wrong"))[0],
                (await caller.request("/read/", "a3"))[0],
                (await caller.request("/open/", "a4", key=""))[0],
            ]

        self.assertEqual(self.bench.run(play()), [503, 503, 503, 200])

    def test_smuggled_requests_are_refused(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            extra = "Transfer-Encoding: chunked\r\n"
            caller.send("/read/", "a1", method="POST", extra=extra, body="0\r\n\r\nGET /x")
            return (await caller.read_response())[0], await caller.reader.read()

        status, rest = self.bench.run(play())
        self.assertEqual((status, rest, self.received_requests), (400, b"", []))

    def test_limits_of_callers(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            server = self.bench.nodes[0].callers
            server.limits = type(server.limits)(200, 10, 100, 75_000)
            other = await self.bench.connect_caller(self.bench.nodes[0])
            slow = await self.bench.connect_caller(self.bench.nodes[0])
            slow.writer.write(b"GET /read/ HT")
            return [
                (await caller.request("/read/", "a1", extra="X: " + "y" * 300 + "\r\n"))[0],
                (await other.request("/read/", "a2", method="POST", body="12345678901"))[0],
                (await slow.read_response())[0],
            ]

        self.assertEqual(self.bench.run(play()), [431, 413, 408])


class AnswerTests(MeshTestCase):
    """Answers that are late, broken, not asked for or without a length."""

    def outcome(self, play, target="/order/", asks=1):
        async def run():
            caller = await self.connect_pair(play)
            return [await caller.request(target, f"a{number}") for number in range(asks)]

        return self.bench.run(run())

    def test_a_truncated_answer_is_never_passed_on(self):
        async def truncated(request, writer):
            writer.write(ok_response(request, b"0123456789")[:-4])
            writer.close()

        self.assertEqual(self.outcome(truncated)[0][0], 502)

    def test_an_answer_without_length_is_whole_at_its_end(self):
        async def unframed(request, writer):
            head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {header_value(request, REQUEST_ID)}\r\n\r\n"
            writer.write(head.encode() + b"all of it")
            writer.close()

        status, _, body = self.outcome(unframed)[0]
        self.assertEqual((status, body), (200, b"all of it"))

    def test_an_answer_without_length_that_is_reset_is_not_whole(self):
        async def reset(request, writer):
            head = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: {header_value(request, REQUEST_ID)}\r\n\r\n"
            writer.write(head.encode() + b"part")
            await asyncio.sleep(0.05)
            reset_connection(writer)

        self.assertEqual(self.outcome(reset)[0][0], 502)

    def test_an_extra_answer_reaches_nobody(self):
        async def twice(request, writer):
            writer.write(ok_response(request) + ok_response(request, b"again"))

        answers = self.outcome(twice, "/read/", 3)
        self.assertEqual([body for _, _, body in answers], [b"fine"] * 3)

    def test_a_late_answer_of_another_request_is_dropped(self):
        async def late(request, writer):
            if header_value(request, REQUEST_ID) == "a1":
                other = f"HTTP/1.1 200 OK\r\n{REQUEST_ID}: a0\r\nContent-Length: 3\r\n\r\nold"
                writer.write(other.encode())
                await asyncio.sleep(0.05)
            writer.write(ok_response(request, header_value(request, REQUEST_ID).encode()))

        answers = self.outcome(late, "/read/", 2)
        self.assertEqual([body for _, _, body in answers], [b"a0", b"a1"])

    def test_a_failure_that_may_have_run_is_no_promise(self):
        async def busy(request, writer):
            writer.write(ok_response(request).replace(b"200 OK", b"503 Busy"))

        self.assertEqual(self.outcome(busy)[0][0], 502)

    def test_a_refusal_of_the_upstream_is_a_promise(self):
        async def shed(request, writer):
            extra = "Marjoramvalve-Run: not-run\r\n"
            writer.write(ok_response(request, extra=extra).replace(b"200 OK", b"503 Busy"))

        status, head, _ = self.outcome(shed)[0]
        self.assertEqual(status, 503)
        self.assertGreater(float(header_value(head, "Retry-After")), 0)

    def test_what_may_be_repeated_goes_to_another_upstream(self):
        async def fails(request, writer):
            writer.write(ok_response(request).replace(b"200 OK", b"500 No"))

        async def run(target):
            caller = await self.connect_pair(fails)
            second = await self.bench.add_node(respond_immediately, slots=1)
            await self.bench.connect_nodes()
            second.ingress.service_times.note(b"read", 9.0)
            return (await caller.request(target, "a1"))[0]

        self.assertEqual(self.bench.run(run("/read/")), 200)

    def test_a_refusal_after_a_run_does_not_say_that_it_has_not_run(self):
        async def fails(request, writer):
            writer.write(ok_response(request).replace(b"200 OK", b"500 No"))

        async def sheds(request, writer):
            extra = "Marjoramvalve-Run: not-run\r\n"
            writer.write(ok_response(request, extra=extra).replace(b"200 OK", b"503 Busy"))

        async def run():
            caller = await self.connect_pair(fails)
            second = await self.bench.add_node(sheds, slots=1)
            await self.bench.connect_nodes()
            for peer in self.bench.nodes[0].egress.peers.remote.values():
                if peer.name == second.options.name:
                    peer.stats.slowness, peer.stats.noted_at = 9.0, 1e9
            return await caller.request("/read/", "a1")

        status, _, body = self.bench.run(run())
        self.assertEqual((status, b'"run":"unknown"' in body), (502, True))
        self.assertEqual([len(item.requests) for item in self.bench.upstreams], [0, 1, 1])

    def test_what_may_not_be_repeated_runs_once(self):
        async def dies(request, writer):
            reset_connection(writer)

        async def run():
            caller = await self.connect_pair(dies)
            await self.bench.add_node(dies)
            await self.bench.connect_nodes()
            return (await caller.request("/order/", "a1"))[0]

        self.assertEqual(self.bench.run(run()), 502)
        self.assertEqual(sum(len(item.requests) for item in self.bench.upstreams), 1)


class AdmissionTests(MeshTestCase):
    """Limits and waits at the ingress. Load: more calls than slots."""

    def test_slots_are_never_exceeded_and_all_are_served(self):
        async def slow(request, writer):
            await asyncio.sleep(0.02)
            writer.write(ok_response(request))

        async def play():
            await self.connect_pair(slow, slots=3)
            callers = [await self.bench.connect_caller(self.bench.nodes[0]) for _ in range(12)]
            return await asyncio.gather(
                *(caller.request("/read/", f"a{number}") for number, caller in enumerate(callers))
            )

        answers = self.bench.run(play())
        self.assertEqual({status for status, _, _ in answers}, {200})
        self.assertEqual(self.bench.upstreams[1].most_running, 3)

    def test_what_can_not_be_in_time_is_refused_at_once(self):
        async def stuck(request, writer):
            await asyncio.sleep(10)

        async def play():
            await self.connect_pair(stuck, slots=1)
            node = self.bench.nodes[1]
            for _ in range(80):
                node.ingress.service_times.note(b"read", 0.9)
            first, second, third = [
                await self.bench.connect_caller(self.bench.nodes[0]) for _ in "abc"
            ]
            first.send("/read/", "a1")
            second.send("/read/", "a2")
            await asyncio.sleep(0.05)
            return await third.request("/read/", "a3")

        status, head, _ = self.bench.run(play())
        self.assertEqual(status, 503)
        self.assertGreater(float(header_value(head, "Retry-After")), 0)

    def test_a_wait_that_is_no_longer_useful_ends(self):
        async def stuck(request, writer):
            await asyncio.sleep(10)

        async def play():
            doc = make_document(read={"objective_ms": 200})
            await self.connect_pair(stuck, slots=1, doc=doc)
            first, second = [await self.bench.connect_caller(self.bench.nodes[0]) for _ in "ab"]
            first.send("/read/", "a1")
            await asyncio.sleep(0.05)
            return (await second.request("/read/", "a2"))[0]

        self.assertEqual(self.bench.run(play()), 503)
        self.assertEqual(len(self.received_requests), 1)

    def test_an_upstream_that_leaves_gets_nothing_more(self):
        async def slow(request, writer):
            await asyncio.sleep(0.1)
            writer.write(ok_response(request))

        async def play():
            caller = await self.connect_pair(slow, slots=1)
            other = await self.bench.connect_caller(self.bench.nodes[0])
            await self.bench.add_node(respond_immediately)
            caller.send("/read/", "a1")
            await asyncio.sleep(0.03)
            other.send("/read/", "a2")
            await asyncio.sleep(0.03)
            await self.bench.connect_nodes()
            self.bench.set_upstream_state(self.bench.nodes[1], "i-n1", 1, ready=False)
            return (await caller.read_response())[0], (await other.read_response())[0]

        self.assertEqual(self.bench.run(play()), (200, 200))
        self.assertEqual(len(self.received_requests), 1)
        self.assertEqual(len(self.bench.upstreams[2].requests), 1)

    def test_a_caller_that_leaves_ends_what_may_be_repeated(self):
        async def stuck(request, writer):
            await asyncio.sleep(5)

        async def play():
            caller = await self.connect_pair(stuck)
            order = await self.bench.connect_caller(self.bench.nodes[0])
            caller.send("/read/", "a1")
            order.send("/order/", "a2")
            await asyncio.sleep(0.05)
            caller.writer.close()
            order.writer.close()
            await asyncio.sleep(0.1)
            return self.bench.upstreams[1].closed_early, self.bench.upstreams[1].running

        self.assertEqual(self.bench.run(play()), (1, 1))

    def test_an_answer_comes_by_the_deadline_of_the_route(self):
        async def stuck(request, writer):
            await asyncio.sleep(5)

        async def play():
            caller = await self.connect_pair(stuck, doc=make_document(order={"deadline_ms": 150}))
            return (await caller.request("/order/", "a1"))[0]

        self.assertEqual(self.bench.run(play()), 504)


class LinkTests(MeshTestCase):
    """Links that are lost, and addresses that go to another node."""

    def test_a_lost_link_loses_no_call(self):
        async def slow(request, writer):
            await asyncio.sleep(0.15)
            writer.write(ok_response(request))

        async def play():
            caller = await self.connect_pair(slow)
            caller.send("/order/", "a1")
            await asyncio.sleep(0.05)
            for peer in self.bench.nodes[0].egress.peers.remote.values():
                peer._stream.abort()
            return (await caller.read_response())[0]

        self.assertEqual(self.bench.run(play()), 200)
        self.assertEqual(len(self.received_requests), 1)

    def test_an_answer_that_was_ready_while_the_link_was_down_is_delivered(self):
        async def slow(request, writer):
            await asyncio.sleep(0.05)
            writer.write(ok_response(request))

        async def play():
            caller = await self.connect_pair(slow)
            (peer,) = self.bench.nodes[0].egress.peers.remote.values()
            caller.send("/order/", "a1")
            await asyncio.sleep(0.02)
            address, peer.address = peer.address, "127.0.0.1:1"
            peer._stream.abort()
            await asyncio.sleep(0.2)
            peer.address = address
            return (await caller.read_response())[0]

        self.assertEqual(self.bench.run(play()), 200)
        self.assertEqual(len(self.received_requests), 1)

    def test_a_call_that_never_came_goes_elsewhere_whatever_it_is(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            (peer,) = self.bench.nodes[0].egress.peers.remote.values()
            session = peer._stream
            session.send = lambda kind, payload: None
            caller.send("/order/", "a1")
            await asyncio.sleep(0.05)
            await self.bench.add_node(respond_immediately)
            await self.bench.connect_nodes()
            session.abort()
            return (await caller.read_response())[0]

        self.assertEqual(self.bench.run(play()), 200)
        counts = [len(item.requests) for item in self.bench.upstreams]
        self.assertEqual(counts, [0, 0, 1])

    def test_a_call_at_an_ingress_that_was_restarted_is_not_repeated(self):
        async def stuck(request, writer):
            await asyncio.sleep(5)

        async def play():
            caller = await self.connect_pair(stuck)
            caller.send("/order/", "a1")
            await asyncio.sleep(0.05)
            sessions = self.bench.nodes[1].sessions
            sessions.incarnation += 1
            sessions._sessions.clear()
            for peer in self.bench.nodes[0].egress.peers.remote.values():
                peer._stream.abort()
            return (await caller.read_response())[0]

        self.assertEqual(self.bench.run(play()), 502)

    def test_a_silent_link_does_not_hold_what_may_be_repeated(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            await self.bench.add_node(respond_immediately)
            await self.bench.connect_nodes()
            for peer in self.bench.nodes[0].egress.peers.remote.values():
                if peer.name == "n1":
                    peer._stream.send = lambda kind, payload: None
                else:
                    peer.stats.slowness, peer.stats.noted_at = 9.0, 1e9
            return (await caller.request("/read/", "a1"))[0]

        self.assertEqual(self.bench.run(play()), 200)
        self.assertEqual(len(self.bench.upstreams[2].requests), 1)

    def test_a_node_of_another_service_at_a_known_address_gets_no_calls(self):
        async def play():
            front = await self.bench.add_node(respond_immediately, service="front")
            other = await self.bench.add_node(respond_immediately, service="other")
            front.set_peers({other.options.link_address: ("old", "s", True)})
            await asyncio.sleep(0.2)
            caller = await self.bench.connect_caller(front)
            return (await caller.request("/read/", "a1"))[0]

        self.assertEqual(self.bench.run(play()), 503)
        self.assertEqual(self.received_requests, [])

    def test_a_link_that_stands_outlives_a_roster_that_does_not_name_it(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            self.bench.nodes[0].set_peers({})
            return (await caller.request("/read/", "a1"))[0]

        self.assertEqual(self.bench.run(play()), 200)

    def test_a_call_that_was_moved_has_used_one_of_its_attempts(self):
        async def stuck(request, writer):
            await asyncio.sleep(5)

        async def fails(request, writer):
            head = f"HTTP/1.1 500 No\r\n{REQUEST_ID}: {header_value(request, REQUEST_ID)}\r\n"
            writer.write(f"{head}Content-Length: 0\r\n\r\n".encode())

        async def play():
            caller = await self.connect_pair(stuck)
            caller.send("/read/", "a1")
            await asyncio.sleep(0.05)
            for _ in "ab":
                await self.bench.add_node(fails)
            await self.bench.connect_nodes()
            for _ in range(20):
                self.bench.nodes[0].egress._retry_budget.first("s")
            (peer,) = [p for p in self.bench.nodes[0].egress.peers.remote.values() if p.calls]
            self.bench.nodes[0].egress._reroute_calls(peer)
            return (await caller.read_response())[0]

        self.assertEqual(self.bench.run(play()), 500)
        self.assertEqual(sum(len(item.requests) for item in self.bench.upstreams), 2)


class StopTests(MeshTestCase):
    """Planned stops."""

    def test_a_planned_stop_cuts_nothing(self):
        async def slow(request, writer):
            await asyncio.sleep(0.2)
            writer.write(ok_response(request))

        async def play():
            caller = await self.connect_pair(slow)
            front, back = self.bench.nodes
            stops = [
                asyncio.ensure_future(node.drain(asyncio.get_running_loop().time))
                for node in (front, back)
            ]
            first = await caller.request("/read/", "a1")
            await asyncio.gather(*stops)
            return first

        status, head, _ = self.bench.run(play())
        self.assertEqual((status, header_value(head, "Connection")), (200, "close"))

    async def stop_while(self, caller, node):
        """Stops a node as its process does; returns the status that the caller gets."""
        answer = asyncio.ensure_future(caller.read_response())
        await node.drain(asyncio.get_running_loop().time)
        await node.close()
        status, _, body = await answer
        return status, len(body)

    def test_a_request_that_waits_for_its_rate_is_not_cut_off(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            front = self.bench.nodes[0]
            waiting = []
            front.egress._limiter = types.SimpleNamespace(
                admit=lambda customer: None,
                wait=lambda customer, resume: waiting.append(resume),
                give_back=lambda customer: None,
            )
            caller.send("/read/", "a1")
            while not waiting:
                await asyncio.sleep(0.005)
            asyncio.get_running_loop().call_later(0.4, waiting[0], 0.0)
            return await self.stop_while(caller, front)

        self.assertEqual(self.bench.run(play()), (200, 4))

    def test_a_request_that_is_being_read_is_not_cut_off(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            head = f"PUT /read/ HTTP/1.1\r\nHost: any\r\n{REQUEST_ID}: a1\r\n"
            head += "Marjoramvalve-Key: secret\r\nContent-Length: 4\r\n\r\nab"
            caller.writer.write(head.encode())
            await asyncio.sleep(0.05)
            asyncio.get_running_loop().call_later(0.3, caller.writer.write, b"cd")
            return await self.stop_while(caller, self.bench.nodes[0])

        self.assertEqual(self.bench.run(play()), (200, 4))

    def test_an_answer_that_is_read_slowly_is_not_cut_off(self):
        size = 8 << 20

        async def large(request, writer):
            writer.write(ok_response(request, b"x" * size))

        async def play():
            caller = await self.connect_pair(large)
            front = self.bench.nodes[0]
            caller.writer.transport.pause_reading()
            caller.send("/read/", "a1")
            while not front.callers.is_busy() or front.egress.active_calls:
                await asyncio.sleep(0.005)
            asyncio.get_running_loop().call_later(0.4, caller.writer.transport.resume_reading)
            return await self.stop_while(caller, front)

        self.assertEqual(self.bench.run(play()), (200, size))


class RestartTests(MeshTestCase):
    """A node that starts anew beside an upstream that it knows nothing of."""

    def ready_after_restart(self, status):
        """Returns whether calls are taken for an upstream that says this of its health."""
        load = "Marjoramvalve-Load: 0,0,4\r\nMarjoramvalve-Instance: i-1\r\n"

        async def play(request, writer):
            assert request.startswith("GET /health ")
            writer.write(ok_response(request, extra=load).replace(b"200 OK", status))

        async def run():
            await self.bench.add_node(play)
            node, upstream = self.bench.nodes[0], self.bench.upstreams[0]
            self.bench.set_upstream_state(node, "", 0, False)
            tree = msgspec.to_builtins(make_document())
            tree["services"] = {"s": {"health_path": "/health"}}
            node.apply_config(2, validate_document(tree).value)
            while not upstream.requests or node.ingress._is_probing:
                await asyncio.sleep(0.005)
            return node.ingress.ready, node.ingress.limit

        return self.bench.run(run())

    def test_an_upstream_that_is_leaving_is_not_used_again(self):
        self.assertEqual(self.ready_after_restart(b"503 Leaving"), (False, 0))

    def test_an_upstream_that_is_well_is_used_before_it_says_so_itself(self):
        self.assertEqual(self.ready_after_restart(b"200 OK"), (True, 4))


class KeyTests(MeshTestCase):
    """Keys that are taken away while a call waits, and keys in places where none belongs."""

    def withdraw(self):
        """Puts a version in force that holds no key any more."""
        bare = msgspec.structs.replace(make_document(), keys={})
        self.bench.nodes[0].apply_config(2, bare)

    def test_a_call_that_waits_for_its_rate_is_not_sent_for_a_withdrawn_key(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            limiter = self.bench.nodes[0].egress._limiter
            waiting, given_back = [], []
            limiter.admit = lambda customer: None
            limiter.wait = lambda customer, resume: waiting.append(resume)
            limiter.give_back = given_back.append
            caller.send("/read/", "a1")
            while not waiting:
                await asyncio.sleep(0.005)
            self.withdraw()
            waiting[0](0.0)
            return (await caller.read_response())[0], given_back

        self.assertEqual(self.bench.run(play()), (503, ["shed"]))
        self.assertEqual(self.received_requests, [])

    def test_a_key_reaches_no_upstream_wherever_it_was_put(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            extra = "Authorization: Bearer secret\r\nCookie: a=1; k=secret; b=2\r\nX-Kept: 1\r\n"
            return await caller.request("/read/?a=1&k=secret&b=2", "a1", extra=extra)

        self.assertEqual(self.bench.run(play())[0], 200)
        request = self.received_requests[0]
        self.assertNotIn("secret", request)
        self.assertTrue(request.startswith("GET /read/?a=1&b=2 HTTP/1.1\r\n"))
        self.assertEqual(header_value(request, "Cookie"), "a=1; b=2")
        self.assertEqual(header_value(request, "X-Kept"), "1")

    def test_a_call_is_not_repeated_for_a_withdrawn_key(self):
        async def fail(request, writer):
            self.withdraw()
            writer.write(ok_response(request).replace(b"200 OK", b"500 Broken"))

        async def play():
            front = await self.bench.add_node(respond_immediately, service="front")
            for _ in range(2):
                await self.bench.add_node(fail)
            await self.bench.connect_nodes()
            return (await (await self.bench.connect_caller(front)).request("/read/", "a1"))[0]

        self.assertEqual(self.bench.run(play()), 500)
        self.assertEqual(sum(len(upstream.requests) for upstream in self.bench.upstreams), 1)


class SubCallTests(MeshTestCase):
    """Calls that an upstream makes for a call it runs."""

    def test_a_sub_call_belongs_to_the_call_above_it(self):
        async def calls_down(request, writer):
            caller = await self.bench.connect_caller(self.bench.nodes[1])
            status, _, _ = await caller.request("/order/sub", "a1.x", key="")
            writer.write(ok_response(request, str(status).encode()))

        async def play():
            caller = await self.connect_pair(
                calls_down, doc=make_document(order={"service": "leaf"})
            )
            await self.bench.add_node(
                respond_immediately, "leaf", doc=make_document(order={"service": "leaf"})
            )
            await self.bench.connect_nodes()
            return await caller.request("/read/", "a1")

        status, _, body = self.bench.run(play())
        self.assertEqual((status, body), (200, b"200"))
        runs = self.bench.nodes[1].ingress.collect_run_stats()
        self.assertEqual((runs["read"].count, runs["read"].sub_calls), (1, {"order": 1}))
        self.assertEqual(self.bench.nodes[2].ingress.collect_run_stats()["order"].sub_calls, {})
        self.assertIsNone(
            header_value(self.bench.upstreams[2].requests[0], "Marjoramvalve-Customer")
        )

    def test_an_id_from_another_machine_stands_in_for_no_key(self):
        async def play():
            at_work = asyncio.Event()
            release = asyncio.Event()

            async def slow(request, writer):
                at_work.set()
                await release.wait()
                writer.write(ok_response(request))

            caller = await self.connect_pair(slow)
            caller.send("/read/", "a1")
            await at_work.wait()
            node = self.bench.nodes[1]
            outside = await self.bench.connect_caller(node, source="127.0.0.2")
            beside = await self.bench.connect_caller(node)
            beside.send("/read/", "a1.1", key="")
            while len(node.ingress.running) < 2:
                await asyncio.sleep(0.005)
            status, _, _ = await outside.request("/read/", "a1.2", key="")
            release.set()
            return status, (await beside.read_response())[0], (await caller.read_response())[0]

        self.assertEqual(self.bench.run(play()), (401, 200, 200))


class OnceTests(MeshTestCase):
    """Orders that a caller sends again under the same idempotency key."""

    def test_an_order_that_is_sent_again_runs_once(self):
        async def play():
            caller = await self.connect_pair(respond_immediately)
            extra = "Idempotency-Key: order-7\r\n"
            for attempt in ("a1", "a2"):
                await caller.request("/order/", attempt, method="POST", extra=extra, body="planks")

        self.bench.run(play())
        self.assertEqual(len(self.received_requests), 1)
