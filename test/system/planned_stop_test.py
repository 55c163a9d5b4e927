"""Graceful stops of routers and engines, one at a time under load, must cut no request."""

import pathlib
import signal
import unittest

import harness


class PlannedStop(harness.Scenario):

    stack_options = ("--routers", "3")

    def test_rolling_routers(self):
        self.roll("--fresh-connections")

    def test_rolling_routers_with_kept_connections(self):
        self.roll()

    def roll(self, *options):
        load = self.system.load("routers", "smoke.json", "--requests", "900",
                                "--concurrency", "16", *options)
        for place, router in enumerate(self.system.routers):
            load.wait_ended(100 + 150 * place)
            self.system.stop(router)
            self.system.respawn(router)
            self.system.wait_ready(router)
        figures = load.wait()
        self.assert_whole(figures, refusals=["key_in_use", "not_ready"])
        for call in load.calls():
            if call["error_code"] == "not_ready":
                self.assertEqual(call["execution"], "not-run", call)
        self.assert_no_violation()

    def test_a_reload_signal_ends_no_router(self):
        """SIGHUP is only logged, and a graceful stop during further SIGHUPs exits with code 0."""
        router = self.system.routers[0]
        log = pathlib.Path(self.system.processes[router]["log"])
        self.system.stop(router)
        self.system.respawn(router)
        self.system.wait_ready(router)
        self.system.signal(router, signal.SIGHUP)
        harness.wait_until(lambda: "reload signal changes nothing" in log.read_text(errors="replace"),
                           f"{router} logs the signal")
        self.system.signal(router, signal.SIGTERM)
        while self.system.alive(router):
            self.system.signal(router, signal.SIGHUP)
        self.assertEqual(self.system.children[router].poll(), 0)
        self.system.respawn(router)
        self.system.wait_ready(router)

    def test_engine_drained_and_taken_back(self):
        load = self.system.load("drain", "streams.json", "--requests", "600",
                                "--concurrency", "16")
        load.wait_ended(60)
        code, _, error = self.system.ferryctl("router-1", "drain", "engine-1")
        self.assertEqual(code, 0, error)
        self.system.counts["drains"] += 1
        for router in self.system.routers:
            self.system.wait_state(router, "engine-1", "drained")
        harness.wait_until(lambda: self.unfinished("engine-1") == 0, "engine-1 runs nothing")
        before = len(self.system.executions("engine-1"))
        ended = load.ended()
        load.wait_ended(ended + 100)
        self.assertEqual(len(self.system.executions("engine-1")), before)
        code, _, error = self.system.ferryctl("router-2", "drain", "engine-1", "--undo")
        self.assertEqual(code, 0, error)
        harness.wait_until(lambda: len(self.system.executions("engine-1")) > before,
                           "engine-1 gets work again")
        self.assert_whole(load.wait())
        self.assert_no_violation()

    def unfinished(self, engine):
        return sum(row["state"] in ("queued", "running") for row in self.system.executions(engine))

    def test_engine_stopped(self):
        load = self.system.load("stop", "streams.json", "--requests", "300", "--concurrency", "16")
        load.wait_ended(60)
        self.system.executions_lost = True
        self.system.stop("engine-1")
        load.wait_ended(150)
        self.system.respawn("engine-1")
        self.assert_whole(load.wait())
        self.assert_no_violation()


if __name__ == "__main__":
    unittest.main()
