"""The tool's own arithmetic on known inputs."""

from __future__ import annotations

import unittest

from acaciayard_bench._statistics import fit_line, percentile


class LineTest(unittest.TestCase):
    def test_exact_line(self) -> None:
        line = fit_line([1, 2, 3, 4], [5, 7, 9, 11])
        self.assertAlmostEqual(line.slope, 2)
        self.assertAlmostEqual(line.intercept, 3)
        self.assertAlmostEqual(line.slope_error, 0)
        self.assertAlmostEqual(line.at(10), 23)

    def test_known_errors(self) -> None:
        """Checked by hand: y = 1, 2, 2 at x = 0, 1, 2."""
        line = fit_line([0, 1, 2], [1, 2, 2])
        self.assertAlmostEqual(line.slope, 0.5)
        self.assertAlmostEqual(line.intercept, 7 / 6)
        self.assertAlmostEqual(line.residual, (1 / 6) ** 0.5)
        self.assertAlmostEqual(line.slope_error, (1 / 12) ** 0.5)
        self.assertGreater(line.error_at(10), line.error_at(1))

    def test_no_line(self) -> None:
        for xs, ys in (([1], [1]), ([1, 1], [1, 2]), ([1, 2], [1])):
            with self.subTest(xs=xs), self.assertRaises(ValueError):
                fit_line(xs, ys)


class PercentileTest(unittest.TestCase):
    def test_known_values(self) -> None:
        values = [float(n) for n in range(1, 101)]
        for percent, expected in ((50, 50), (99, 99), (100, 100), (0, 1)):
            with self.subTest(percent):
                self.assertEqual(percentile(values, percent), expected)

    def test_nothing(self) -> None:
        with self.assertRaises(ValueError):
            percentile([], 50)
