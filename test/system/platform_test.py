"""The platform's table is down, slow, or loses answers of transactions that took effect."""

import unittest

import harness


class Platform(harness.Scenario):

    def test_outage(self):
        load = self.system.load("outage", "smoke.json", "--requests", "400", "--concurrency", "16")
        load.wait_ended(100)
        self.system.fault("platform", {"outage": True})
        self.system.counts["outages"] += 1
        load.wait_ended(250)
        self.system.fault("platform", {"clear": True})
        figures = load.wait()
        self.assert_whole(figures, refusals=["key_in_use", "platform_unavailable"])
        for call in load.calls():
            if call["type"] != "application_write":
                self.assertEqual(call["outcome"], "complete", call)
        after = self.system.run_load("after", "smoke.json", "--requests", "60")
        self.assert_whole(after, refusals=["key_in_use"])
        self.assert_no_violation()

    def test_lost_answers_of_claims(self):
        load = self.system.load("lost", "writes.json", "--requests", "300")
        for round_number in range(1, 5):
            load.wait_ended(50 * round_number)
            self.system.fault("platform", {"lost_answers": 5})
            self.system.counts["lost answers"] += 5
        figures = load.wait()
        self.assertEqual((figures["cut"], figures["failed"], figures["wrong"]), (0, 0, 0))
        self.assert_no_violation()

    def test_slow_platform(self):
        self.system.fault("platform", {"delay_ms": 300})
        figures = self.system.run_load("slow", "smoke.json")
        self.assert_whole(figures, refusals=["key_in_use", "platform_unavailable"])
        self.assert_no_violation()


if __name__ == "__main__":
    unittest.main()
