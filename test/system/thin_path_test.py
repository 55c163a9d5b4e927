"""Requests through all routers to the engines: every answer is correct and none runs twice."""

import collections
import unittest

import harness


class ThinPath(harness.Scenario):

    def test_200_streams_at_concurrency_32(self):
        figures = self.system.run_load("streams", "streams.json")
        self.assertEqual(figures["requests"], 200)
        self.assert_whole(figures)
        calls = self.system.loads[0].calls()
        self.assertEqual(len({call["router"] for call in calls}), len(self.system.routers))
        runs = collections.Counter(
            row["request_id"] for engine in self.system.engines
            for row in self.system.executions(engine))
        self.assertEqual(max(runs.values()), 1)
        self.assertEqual(set(runs), {call["request_id"] for call in calls})
        self.assert_no_violation()

    def test_all_kinds_of_requests(self):
        figures = self.system.run_load("mixed", "smoke.json")
        self.assert_whole(figures, refusals=["key_in_use"])
        self.assert_no_violation()


if __name__ == "__main__":
    unittest.main()
