"""Checks of an operator's configuration before it is sent.

Failure: entries put any readable configuration in force, and a mistake in it showed
only in callers' errors, after the change had reached all entries.
"""

import contextlib
import io
import json
import tempfile
import unittest
from pathlib import Path

from returns.result import Success

from plantainhitch.commands.exit_codes import ExitCode
from plantainhitch.commands.main import main
from plantainhitch.platform import configuration_check
from plantainhitch.platform.configuration import decode

from .deployment import configuration


def changed(**route_changes):
    """Return a document whose second route has these fields."""
    document = configuration(prefixes=("/a/", "/b/"))
    document["routes"][1] |= route_changes
    return document


def problems(document):
    """Return the problems of a document as pairs of a place and what is allowed."""
    checked = configuration_check.check(json.dumps(document).encode()).unwrap()
    return [(problem.key, problem.allowed) for problem in checked.problems]


class RuleTests(unittest.TestCase):
    """Each rule by itself, at its bounds."""

    def test_values_at_the_bounds_are_accepted(self):
        self.assertEqual([], problems(changed()))
        accepted = [
            {"timeout_ms": 61.7},
            {"stretch": 1, "max_attempts": 1, "priority": 70_000},
            {"path_prefix": "/a/b/"},
            {"path_prefix": "/a/", "host": "other.example"},
        ]
        for change in accepted:
            with self.subTest(change):
                self.assertEqual([], problems(changed(**change)))

    def test_a_route_without_a_time_out_is_accepted(self):
        document = changed()
        del document["routes"][1]["timeout_ms"]
        self.assertEqual([], problems(document))

    def test_faults_are_reported_with_their_place(self):
        cases = [
            ({"path_prefix": "/a/"}, "path_prefix", "route 0"),
            ({"service": "pool-2"}, "service", "pool-1"),
            ({"timeout_ms": 61.6}, "timeout_ms", "above 61.6"),
            ({"timeout_ms": 0}, "timeout_ms", "above 61.6"),
            ({"max_attempts": 0}, "max_attempts", "at least 1"),
            ({"stretch": 0.9}, "stretch", "at least 1"),
            ({"priority": -1}, "priority", "at least 0"),
            ({"host": ""}, "host", "empty matches no request"),
            ({"path_prefix": "b/"}, "path_prefix", "begins with /"),
            ({"path_prefix": 7}, "path_prefix", "Expected `str`, got `int`"),
        ]
        for change, key, text in cases:
            with self.subTest(change):
                ((place, allowed),) = problems(changed(**change))
                self.assertEqual(f"routes[1].{key}", place)
                self.assertIn(text, allowed)

    def test_services_that_are_not_listed_are_accepted_if_none_is(self):
        document = changed(service="pool-2")
        document["services"] = []
        self.assertEqual([], problems(document))

    def test_all_faults_of_a_document_are_reported_at_once(self):
        document = changed(max_attempts="2")
        document["routes"][0]["stretch"] = 0
        document["limits"]["max_body_bytes"] = 0
        del document["version"]
        places = {place for place, _ in problems(document)}
        expected = {
            "version",
            "routes[0].stretch",
            "routes[1].max_attempts",
            "limits.max_body_bytes",
        }
        self.assertEqual(expected, places)

    def test_it_agrees_with_the_decoder_about_unreadable_documents(self):
        # Otherwise a document without errors would never come into force.
        changes = [
            {},
            {"version": None},
            {"version": 1.5},
            {"version": 2.0},
            {"routes": None},
            {"routes": [7]},
            {"routes": []},
            {"routes": [{"name": "x"}]},
            {"services": None},
            {"services": [{}]},
            {"limits": None},
            {"limits": {"max_body_bytes": "1"}},
            {"other": 1},
        ]
        for change in changes:
            with self.subTest(change):
                value = json.dumps(changed() | change).encode()
                model = configuration_check.check(value).unwrap().model
                try:
                    decode(value)
                except ValueError:
                    self.assertIsNone(model)
                else:
                    self.assertIsNotNone(model)

    def test_what_is_not_a_json_object_is_not_checked(self):
        for value in (b"", b"{", b"[]", b"7", b'{"version": "\xff"}'):
            with self.subTest(value):
                result = configuration_check.check(value)
                self.assertNotIsInstance(result, Success)


class CommandTests(unittest.TestCase):
    """Output and exit codes of ``plantainhitch check``."""

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, content):
        """Write a file, a document as JSON; return its path."""
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return str(path)

    def run_check(self, *words):
        """Return (exit code, standard output, standard error)."""
        out, errors = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(errors):
            code = main(["check", *words])
        return code, out.getvalue(), errors.getvalue()

    def test_exit_codes(self):
        good = self.write("good.json", changed())
        bad = self.write("bad.json", changed(stretch=0))
        broken = self.write("broken.json", "{")
        partial = self.write("partial.json", {"version": 1})
        code, out, _ = self.run_check(good)
        self.assertEqual((ExitCode.OK, f"{good}: no errors\n"), (code, out))
        code, _, errors = self.run_check(bad)
        self.assertEqual(ExitCode.FAILED, code)
        self.assertEqual(f"{bad}: routes[1].stretch = 0.0: at least 1\n", errors)
        self.assertEqual(ExitCode.FAILED, self.run_check(partial)[0])
        unusable = [
            (broken,),
            (good, f"--in-force={self.folder}/missing"),
            (good, f"--in-force={broken}"),
            (good, f"--in-force={partial}"),
        ]
        for words in unusable:
            with self.subTest(words):
                code, _, errors = self.run_check(*words)
                self.assertEqual(ExitCode.USAGE, code)
                self.assertTrue(errors)

    def test_differences_are_no_errors(self):
        base = changed()
        document = changed(priority=7, path_prefix="/c/") | {"version": 2}
        document["routes"][0]["priority"] = 3
        in_force = self.write("in_force.json", base)
        new = self.write("new.json", document)
        code, out, _ = self.run_check(new, f"--in-force={in_force}")
        self.assertEqual(ExitCode.OK, code)
        expected = [
            "routes[jobs.example/a/].priority: 0 -> 3",
            "routes[jobs.example/b/] removed",
            "routes[jobs.example/c/] added",
            f"{new}: no errors",
        ]
        self.assertEqual(expected, out.splitlines())

    def test_a_version_that_is_not_higher_is_an_error(self):
        # Entries ignore such a document, so the operator's change had no effect.
        path = self.write("same.json", changed())
        code, out, _ = self.run_check(path, f"--in-force={path}", "--json")
        self.assertEqual(ExitCode.FAILED, code)
        printed = json.loads(out)
        self.assertEqual(["version"], [error["key"] for error in printed["errors"]])
        self.assertEqual([], printed["differences"])


if __name__ == "__main__":
    unittest.main()
