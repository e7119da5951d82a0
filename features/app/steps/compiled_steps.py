"""Steps of compiled.feature."""

import json
import os
import pathlib
import subprocess
import sys
import tempfile
import tomllib

from behave import given, then, when

ROOT = pathlib.Path(__file__).resolve().parents[3]
DEPLOY_FILE = ROOT / "deploy" / "system.toml"
PREFIX_OPTION = "pycache_prefix="

LOAD = """
import ast, importlib, json, pathlib, sys
import lycheepost.app.platformrun as platformrun
tree = ast.parse(pathlib.Path(platformrun.__file__).read_text())
for node in ast.walk(tree):
    if isinstance(node, ast.ImportFrom):
        importlib.import_module(node.module)
missing = [
    name
    for name, module in sys.modules.items()
    if getattr(module, "__file__", None) and module.__file__.endswith(".py")
    and name != "__main__"
    and not pathlib.Path(importlib.util.cache_from_source(module.__file__)).exists()
]
print(json.dumps(missing))
"""


def run_python(context, words):
    """Run this Python interpreter with the folder of compiled modules."""
    libraries = [path for path in sys.path if path.endswith("site-packages")]
    return subprocess.run(
        [sys.executable, "-S", "-X", f"{PREFIX_OPTION}{context.folder}", *words],
        cwd=ROOT,
        env={**os.environ, "PYTHONPATH": ":".join(libraries)},
        capture_output=True,
        text=True,
        check=True,
    )


@given("a folder that the deploy file's compile command has filled")
def compile_all(context):
    build = tomllib.loads(DEPLOY_FILE.read_text())["build"]
    words = build.split(PREFIX_OPTION)[-1].split()
    context.folder = tempfile.mkdtemp()
    run_python(context, words[1:])


@when("a process imports all modules of a daemon, with that folder")
def load_all(context):
    context.missing = json.loads(run_python(context, ["-B", "-c", LOAD]).stdout)


@then("each module is loaded from its compiled form")
def check_compiled(context):
    assert context.missing == [], context.missing
