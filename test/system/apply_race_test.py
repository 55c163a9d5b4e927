"""Concurrent applies by several operators: each revision has one winner; no change is lost."""

import json
import subprocess
import unittest

import harness

OPERATORS = 12


class ApplyRace(harness.Scenario):

    stack_options = ("--routers", "3")

    def setUp(self):
        super().setUp()
        source = harness.ROOT / "deploy" / "demo.json"
        self.desired = json.loads(source.read_text(encoding="utf-8"))

    def write_state(self, deadline_ms):
        """Writes the desired state with one route's deadline changed. Returns the file."""
        state = json.loads(json.dumps(self.desired))
        state["routes"][0]["deadline_ms"] = deadline_ms
        file = self.system.directory / f"state-{deadline_ms}.json"
        file.write_text(json.dumps(state), encoding="utf-8")
        return file

    def start_apply(self, place, *options):
        router = self.system.routers[place % len(self.system.routers)]
        command = [self.system.program("ferryctl"), "--router",
                   self.system.processes[router]["operator"], "--output", "json", "apply", "-f",
                   self.write_state(30000 + place), *options]
        return subprocess.Popen([str(part) for part in command], stdout=subprocess.PIPE,
                                stderr=subprocess.PIPE, text=True, stdin=subprocess.DEVNULL)

    def wait_all_at(self, revision):
        for router in self.system.routers:
            harness.wait_until(lambda at=router: self.system.revision(at) == revision,
                               f"{router} is at revision {revision}")

    def state_at(self, router):
        code, output, error = self.system.ferryctl(router, "get")
        self.assertEqual(code, 0, error)
        return json.loads(output)

    def assert_same_everywhere(self):
        states = [self.state_at(router) for router in self.system.routers]
        for state in states[1:]:
            self.assertEqual(state, states[0])

    def test_one_winner_for_an_expected_revision(self):
        before = self.system.revision("router-1")
        racing = [self.start_apply(place, "--expect-revision", str(before))
                  for place in range(OPERATORS)]
        codes = [process.wait() for process in racing]
        for process in racing:
            process.communicate()
        self.system.counts["racing applies"] += OPERATORS
        self.assertEqual(codes.count(0), 1, codes)
        self.wait_all_at(before + 1)
        self.assert_same_everywhere()
        self.system.run_load("after", "smoke.json", "--requests", "40")
        self.assert_no_violation()

    def test_every_accepted_change_is_a_revision_and_lost_answers_repeat_none(self):
        before = self.system.revision("router-1")
        load = self.system.load("during", "smoke.json")
        self.system.fault("platform", {"lost_answers": 3})
        self.system.counts["lost answers"] += 3
        racing = [self.start_apply(place) for place in range(OPERATORS)]
        outputs = [process.communicate()[0] for process in racing]
        self.system.counts["racing applies"] += OPERATORS
        accepted = [json.loads(output)["revision"]
                    for process, output in zip(racing, outputs) if process.returncode == 0]
        self.assertEqual(len(set(accepted)), len(accepted), accepted)
        highest = max(int(revision) for revision in accepted)
        self.wait_all_at(highest)
        self.assertEqual(highest - before, len(accepted))
        self.assert_same_everywhere()
        load.wait()
        self.assert_no_violation()


if __name__ == "__main__":
    unittest.main()
