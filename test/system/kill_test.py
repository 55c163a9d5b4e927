"""Routers and engines killed by SIGKILL under load."""

import unittest

import harness


class Kill(harness.Scenario):

    stack_options = ("--routers", "3")

    def test_router(self):
        load = self.system.load("router", "smoke.json", "--requests", "400", "--concurrency", "16")
        load.wait_ended(100)
        self.system.kill("router-2")
        load.wait_ended(200)
        self.system.respawn("router-2")
        self.system.wait_ready("router-2")
        figures = load.wait()
        # Only requests that the killed router was serving may be cut.
        self.assertLessEqual(figures["cut"], 16)
        for call in load.calls():
            if call["outcome"] == "cut":
                self.assertEqual(call["router"], self.system.processes["router-2"]["http"])
        self.assertEqual((figures["failed"], figures["wrong"]), (0, 0))
        after = self.system.run_load("after", "smoke.json", "--requests", "60")
        self.assert_whole(after, refusals=["key_in_use"])
        self.assert_no_violation()

    def test_model_engine(self):
        load = self.system.load("engine", "streams.json", "--requests", "300",
                                "--concurrency", "16")
        load.wait_ended(60)
        self.system.kill("engine-1")
        load.wait_ended(150)
        self.system.respawn("engine-1")
        figures = load.wait()
        # Broken streams must be continued on other engines.
        self.assert_whole(figures)
        self.system.wait_state("router-1", "engine-1", "alive")
        after = self.system.run_load("after", "streams.json", "--requests", "60")
        self.assert_whole(after)
        self.assert_no_violation()

    def test_application_engine_crashes_under_writes(self):
        load = self.system.load("writes", "writes.json", "--requests", "400")
        for crash in range(1, 4):
            load.wait_ended(80 * crash)
            self.system.fault("application-1", {"crash": True, "restart_ms": 100})
            self.system.counts["crashes"] += 1
        figures = load.wait()
        self.assertEqual((figures["cut"], figures["wrong"]), (0, 0))
        self.assert_no_violation()


if __name__ == "__main__":
    unittest.main()
