"""Tests of the calculations in the harness."""

import unittest

from harness.bench import FaultRun, missed_bounds, percentile, slope


class MissedBounds(unittest.TestCase):
    """Guards against bounds that pass although the result misses them or lacks the field."""

    def test_sides(self):
        bounds = {"a_b_max": 2, "c_min": 1.0}
        self.assertEqual(missed_bounds({"a_b": 2, "c": 1.0}, bounds), [])
        self.assertEqual(missed_bounds({"a_b": 2.1, "c": 0.99}, bounds), ["a_b <= 2", "c >= 1.0"])

    def test_absent(self):
        self.assertEqual(missed_bounds({"c": None}, {"a_max": 0, "c_min": 1}), ["a <= 0", "c >= 1"])


class Figures(unittest.TestCase):
    """Guards against percentiles that are off by one and slopes of the wrong scale."""

    def test_percentile(self):
        self.assertEqual(percentile(range(1, 101), 0.99), 99)
        self.assertEqual(percentile([5], 0.99), 5)
        self.assertIsNone(percentile([], 0.5))

    def test_slope(self):
        results = [{"x": 10, "y": 25}, {"x": 20, "y": 45}, {"x": 40, "y": 85}]
        self.assertAlmostEqual(slope(results, "y", "x"), 2)
        self.assertIsNone(slope(results[:1], "y", "x"))


class Served(unittest.TestCase):
    """Guards against a served ratio that counts jobs outside the time window or counts refused jobs
    as served."""

    def test_window(self):
        run = FaultRun.__new__(FaultRun)
        run.started = {"north": 100.0}
        job = {"id": "", "outcome": "complete", "code": ""}
        run.jobs = {"north": [
            {**job, "at": 0.5, "outcome": "broken"},
            {**job, "at": 1.0},
            {**job, "at": 1.5, "id": "north:a", "outcome": "refused", "code": "overloaded"},
            {**job, "at": 2.0, "outcome": "lost"},
            {**job, "at": 2.5, "outcome": "lost"}]}
        self.assertEqual(run.served(["north"], 101.0, 102.0),
                         (3, 1, {"refused:overloaded": 1, "lost": 1}))
        self.assertEqual(run.last_unserved, 102.0)
        self.assertEqual(run.minted_unserved, 1)
        self.assertEqual(run.caller_ids, 1)


if __name__ == "__main__":
    unittest.main()
