"""Generate ``lycheepost/generated`` from the files in ``schema``.

Each ``schema/NAME.yaml`` is a JSON Schema written in YAML. It becomes
``lycheepost/generated/NAME.py`` (frozen data classes and enums) and
``lycheepost/generated/NAME.json`` (the same schema, read at run time to report
every fault of a document at once). The output is committed, so that neither a
build nor a run needs the generator. ``--check`` fails when the committed files
are stale.
"""

import argparse
import json
import pathlib
import subprocess
import sys
import tempfile

import yaml

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMAS = ROOT / "schema"
GENERATED = ROOT / "lycheepost" / "generated"

_GENERATOR_OPTIONS = [
    "--input-file-type=jsonschema",
    "--output-model-type=dataclasses.dataclass",
    "--frozen-dataclasses",
    "--keyword-only",
    "--use-schema-description",
    "--use-field-description",
    "--target-python-version=3.11",
    "--use-union-operator",
    "--use-standard-collections",
    "--strict-nullable",
    "--enum-field-as-literal=none",
    "--capitalise-enum-members",
    "--formatters=builtin",
]


def render_module(schema_path: pathlib.Path, folder: pathlib.Path) -> str:
    """Return the Python source of one schema, formatted as the tree is."""
    output = folder / f"{schema_path.stem}.py"
    header = f'"""Records of schema/{schema_path.name}: run `make generate`."""'
    subprocess.run(
        [
            str(pathlib.Path(sys.executable).parent / "datamodel-codegen"),
            f"--input={schema_path}",
            f"--output={output}",
            f"--custom-file-header={header}",
            *_GENERATOR_OPTIONS,
        ],
        check=True,
    )
    ruff = str(pathlib.Path(sys.executable).parent / "ruff")
    config = f"--config={ROOT / 'pyproject.toml'}"
    subprocess.run(
        [ruff, "check", "--quiet", "--fix", "--select=I,UP", config, str(output)],
        check=True,
    )
    subprocess.run([ruff, "format", "--quiet", config, str(output)], check=True)
    return output.read_text()


def render_schema(schema_path: pathlib.Path) -> str:
    """Return the schema as JSON with stable spacing."""
    schema = yaml.safe_load(schema_path.read_text())
    return json.dumps(schema, indent=1) + "\n"


def render_all() -> dict[pathlib.Path, str]:
    """Return the text of every generated file by its path."""
    texts = {}
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        for schema_path in sorted(SCHEMAS.glob("*.yaml")):
            stem = GENERATED / schema_path.stem
            texts[stem.with_suffix(".py")] = render_module(schema_path, folder)
            texts[stem.with_suffix(".json")] = render_schema(schema_path)
    return texts


def find_stale(texts: dict[pathlib.Path, str]) -> list[pathlib.Path]:
    """Return the generated files that differ from what the schemas give."""
    return [
        path
        for path, text in texts.items()
        if not path.exists() or path.read_text() != text
    ]


def main() -> int:
    """Write the generated files, or with ``--check`` only compare them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--check", action="store_true")
    arguments = parser.parse_args()
    stale = find_stale(texts := render_all())
    if arguments.check:
        for path in stale:
            print(f"stale: {path.relative_to(ROOT)}: run `make generate`")
        return 1 if stale else 0
    for path in stale:
        path.write_text(texts[path])
    return 0


if __name__ == "__main__":
    sys.exit(main())
