"""Processes stopped by SIGSTOP until their peers consider them dead, then continued by SIGCONT.

After the SIGCONT the process must neither cut a request nor return a wrong answer.
"""

import unittest

import harness


class Freeze(harness.Scenario):

    stack_options = ("--routers", "3")

    def test_router(self):
        load = self.system.load("router", "smoke.json", "--requests", "300", "--concurrency", "16",
                                "--limit-seconds", "60")
        load.wait_ended(60)
        self.system.freeze("router-1")
        self.system.wait_state("router-2", "router-1", "dead")
        self.system.resume("router-1")
        for other in ("router-2", "router-3"):
            self.system.wait_state(other, "router-1", "alive")
        self.system.wait_ready()
        figures = load.wait()
        self.assertEqual((figures["cut"], figures["wrong"]), (0, 0))
        after = self.system.run_load("after", "smoke.json", "--requests", "60")
        self.assert_whole(after, refusals=["key_in_use"])
        self.assert_no_violation()

    def test_model_engine(self):
        load = self.system.load("engine", "streams.json", "--requests", "300",
                                "--concurrency", "16")
        load.wait_ended(60)
        self.system.freeze("engine-1")
        self.system.wait_state("router-2", "engine-1", "suspect", "dead")
        self.system.resume("engine-1")
        self.system.wait_state("router-2", "engine-1", "alive")
        figures = load.wait()
        self.assertEqual((figures["cut"], figures["wrong"]), (0, 0))
        self.assert_no_violation()


if __name__ == "__main__":
    unittest.main()
