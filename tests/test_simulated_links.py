"""Calls between nodes while links are cut and reset and processes stop, on virtual time."""

import asyncio
import unittest

from marjoramvalve.telemetry import set_up_logs
from tests.simulated_links import LinkSimulation

SEEDS = range(60)


class AtMostOnceTests(unittest.TestCase):
    """An unsafe request runs at most once, and one that ran is never reported as not run."""

    def setUp(self):
        set_up_logs("critical", "test")

    def check(self, simulation):
        self.assertEqual(simulation.faults(), [])

    def play(self, seed, disturb, disturbance_s, work_s):
        """Sends orders and disturbs the nodes that run them. All are answered in the end."""
        simulation = LinkSimulation(seed, upstreams_fail=False)

        async def actions(simulation):
            for _ in range(8):
                simulation.send(simulation.fronts[0], "order", work_s, 20.0)
            await asyncio.sleep(min(work_s / 2, 0.3))
            restore = disturb(simulation)
            await asyncio.sleep(disturbance_s)
            restore()

        simulation.run(actions, 40.0)
        self.check(simulation)
        statuses = {statuses[0] for statuses in simulation.statuses.values()}
        self.assertLessEqual(statuses, {200, 503})

    def test_order_is_not_sent_again_after_a_cut_link_heals(self):
        def cut(simulation):
            pairs = [(simulation.fronts[0].name, node.name) for node in simulation.backs]
            for pair in pairs:
                simulation.network.cut(*pair)
            return lambda: [simulation.network.heal(*pair) for pair in pairs]

        for seed in range(10):
            for cut_s, work_s in ((1.5, 0.3), (4.0, 0.3), (4.0, 3.0), (8.0, 0.1), (15.0, 2.0)):
                with self.subTest(seed=seed, cut_s=cut_s, work_s=work_s):
                    self.play(seed, cut, cut_s, work_s)

    def pause(self, choose):
        def pause(simulation):
            processes = [node.process for node in choose(simulation)]
            for process in processes:
                process.is_paused = True
            return lambda: [process.resume() for process in processes]

        return pause

    def test_order_is_not_sent_again_after_its_callers_node_was_paused(self):
        for seed in range(10):
            for pause_s in (1.0, 3.0, 5.0, 14.0):
                with self.subTest(seed=seed, pause_s=pause_s):
                    self.play(seed, self.pause(lambda sim: sim.fronts[:1]), pause_s, 0.3)

    def test_order_is_not_sent_again_after_its_upstreams_node_was_paused(self):
        for seed in range(10):
            for pause_s in (1.0, 3.0, 5.0, 14.0):
                with self.subTest(seed=seed, pause_s=pause_s):
                    self.play(seed, self.pause(lambda sim: sim.backs[:2]), pause_s, 0.3)

    def test_any_order_of_disturbances(self):
        runs = 0
        for seed in SEEDS:
            with self.subTest(seed=seed):
                simulation = LinkSimulation(seed, upstreams_fail=True)
                simulation.run(disturb_at_random, 60.0)
                runs += sum(simulation.runs.values())
                self.check(simulation)
        self.assertGreater(runs, 20 * len(SEEDS))


async def disturb_at_random(simulation):
    """Sends requests for 30 s while cuts, pauses, resets and restarts come and overlap."""
    rng = simulation.rng
    end = simulation.loop.time() + 30.0
    restores = []

    def disturb():
        for_s = rng.choice((0.3, 1.0, 2.5, 4.0, 8.0, 14.0))
        node = rng.choice(simulation.nodes)
        match rng.choice(("cut", "cut", "isolate", "pause", "pause", "reset", "restart")):
            case "cut" | "isolate" as kind:
                others = [other for other in simulation.nodes if other is not node]
                if kind == "cut":
                    others = rng.sample(others, 2)
                for other in others:
                    simulation.network.cut(node.name, other.name)
                    heal = simulation.network.heal
                    restores.append(simulation.loop.call_later(for_s, heal, node.name, other.name))
            case "pause" if not node.process.is_paused:
                node.process.is_paused = True
                simulation.loop.call_later(for_s, node.process.resume)
            case "reset":
                simulation.network.reset(node.name)
            case "restart" if not node.process.is_paused:
                node.start()
                node.set_peers(simulation.nodes)

    while simulation.loop.time() < end:
        for _ in range(rng.randrange(1, 4)):
            front = rng.choice(simulation.fronts)
            if not front.process.is_paused:
                work_s = rng.choice((0.01, 0.1, 0.5, 3.0, 6.0))
                deadline_s = rng.choice((0.5, 2.0, 6.0, 20.0))
                route = rng.choice(("order", "order", "read"))
                simulation.send(front, route, work_s, deadline_s)
        if rng.random() < 0.15:
            disturb()
        await asyncio.sleep(rng.choice((0.02, 0.1, 0.3)))
