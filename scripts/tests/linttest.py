"""Tests that scripts/lint reads a file again whenever its verdict may have changed."""

import json
import os
import pathlib
import re
import shutil
import subprocess
import tempfile
import unittest

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
SETTINGS = """Checks: '-*,readability-container-size-empty'
WarningsAsErrors: '*'
HeaderFilterRegex: 'components/.*'
"""
HEADER = "#include <string>\ninline bool Empty(const std::string& aText)\n{\n  return aText.empty();\n}\n"
SOURCE = '#include "components/text.hpp"\nbool Run()\n{\n  return Empty("x");\n}\n'


class LintCacheTest(unittest.TestCase):
    def setUp(self):
        self.folder = pathlib.Path(tempfile.mkdtemp())
        self.addCleanup(shutil.rmtree, self.folder)
        self.cache = self.folder / "cache"
        self.tree = self.make_tree("first")

    def make_tree(self, name):
        tree = self.folder / name
        for folder in ("scripts", "components", "build"):
            (tree / folder).mkdir(parents=True)
        shutil.copy(ROOT / "scripts/lint", tree / "scripts/lint")
        shutil.copy(ROOT / ".clang-format", tree / ".clang-format")
        (tree / ".clang-tidy").write_text(SETTINGS)
        (tree / "components/text.hpp").write_text(HEADER)
        (tree / "components/text.cpp").write_text(SOURCE)
        source = str(tree / "components/text.cpp")
        command = f"c++ -I{tree} -std=c++20 -o text.o -c {source}"
        (tree / "build/compile_commands.json").write_text(
            json.dumps([{"directory": str(tree / "build"), "command": command, "file": source}]))
        subprocess.run(["git", "init", "-q"], cwd=tree, check=True)
        return tree

    def lint(self, tree=None):
        """Returns the exit status and the number of files that the linter read."""
        environment = dict(os.environ, LINT_CACHE=str(self.cache), BUILD="build")
        result = subprocess.run([str((tree or self.tree) / "scripts/lint")], text=True,
                                stdout=subprocess.PIPE, env=environment)
        read = re.search(r"(\d+) of \d+ units read", result.stdout)
        self.assertIsNotNone(read, result.stdout)
        return result.returncode, int(read.group(1))

    def replace(self, name, old, new):
        path = self.tree / name
        text = path.read_text()
        self.assertIn(old, text)
        path.write_text(text.replace(old, new))

    def test_an_unchanged_file_is_read_once(self):
        self.assertEqual(self.lint(), (0, 1))
        self.assertEqual(self.lint(), (0, 0))

    def test_another_checkout_shares_the_verdict(self):
        self.assertEqual(self.lint(), (0, 1))
        self.assertEqual(self.lint(self.make_tree("second")), (0, 0))

    def test_a_changed_file_is_read_again(self):
        self.lint()
        self.replace("components/text.cpp", '"x"', '"y"')
        self.assertEqual(self.lint(), (0, 1))

    def test_a_changed_header_is_read_again(self):
        self.lint()
        self.replace("components/text.hpp", "aText.empty()", "aText.size() == 0")
        self.assertEqual(self.lint(), (1, 1))

    def test_a_changed_comment_is_read_again(self):
        self.replace("components/text.hpp", "aText.empty();", "aText.size() == 0; // NOLINT")
        self.assertEqual(self.lint(), (0, 1))
        self.replace("components/text.hpp", " // NOLINT", " // number")
        self.assertEqual(self.lint(), (1, 1))

    def test_an_unused_macro_is_read_again(self):
        self.lint()
        self.replace("components/text.hpp", "inline", "#define UNUSED(x) x * 2\ninline")
        self.assertEqual(self.lint(), (0, 1))

    def test_changed_settings_are_read_again(self):
        self.lint()
        self.replace(".clang-tidy", "container-size-empty", "container-size-empty,modernize-use-emplace")
        self.assertEqual(self.lint(), (0, 1))

    def test_changed_compile_arguments_are_read_again(self):
        self.lint()
        self.replace("build/compile_commands.json", "-std=c++20", "-std=c++20 -DNDEBUG")
        self.assertEqual(self.lint(), (0, 1))

    def test_findings_are_reported_each_time(self):
        self.replace("components/text.cpp", 'Empty("x")', 'std::string("x").size() == 0')
        self.assertEqual(self.lint(), (1, 1))
        self.assertEqual(self.lint(), (1, 1))


if __name__ == "__main__":
    unittest.main()
