"""The command that shows and clears the requests that are suspected of ending targets."""

from __future__ import annotations

import unittest
from unittest import mock

from click.testing import CliRunner, Result

from acaciayard_cli import main
from acaciayard_cli._client import ApiAnswer, ApiClient

FINGERPRINT = "b452e24e0721881a"


class SuspectsCommandTest(unittest.TestCase):
    def run_command(self, *arguments: str, get: ApiAnswer, delete: ApiAnswer) -> Result:
        with (
            mock.patch.object(ApiClient, "get", return_value=get),
            mock.patch.object(ApiClient, "delete", return_value=delete),
        ):
            return CliRunner().invoke(main, ["suspects", *arguments])

    def test_they_are_shown(self) -> None:
        body = [{"fingerprint": FINGERPRINT, "ends": 3, "barred": True}]
        shown = self.run_command(get=ApiAnswer(200, body), delete=ApiAnswer(404, {}))
        self.assertEqual(shown.exit_code, 0)
        self.assertIn(FINGERPRINT, shown.output)
        self.assertIn("barred", shown.output)

    def test_one_is_lifted_or_why_not(self) -> None:
        lift = ("--lift", FINGERPRINT)
        done = self.run_command(*lift, get=ApiAnswer(200, []), delete=ApiAnswer(200, {}))
        self.assertEqual(done.output.strip(), f"lifted  fingerprint={FINGERPRINT}")
        unknown = ApiAnswer(404, {"error": "nothing is held against it", "findings": []})
        refused = self.run_command(*lift, get=ApiAnswer(200, []), delete=unknown)
        self.assertNotEqual(refused.exit_code, 0)
        self.assertIn("nothing is held against it", refused.output)


if __name__ == "__main__":
    unittest.main()
