"""Build ``dist/lycheepost``: one executable that runs as one process.

PyInstaller makes a folder with the interpreter and all modules; the folder is
appended to a small compiled stub (``packaging/stub.c``), which unpacks it into
memory-backed storage and replaces itself with it. Needs a C compiler.
"""

import hashlib
import os
import pathlib
import shutil
import stat
import struct
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
BUILD = ROOT / "build" / "binary"
OUTPUT = ROOT / "dist" / "lycheepost"
MAGIC = b"LPOSTBIN"
HASH_CHARACTERS = 16

_LEFT_OUT = ["tkinter", "behave", "hypothesis", "pytest", "mypy", "IPython"]


def build_folder() -> pathlib.Path:
    """Run PyInstaller and return the folder that it made."""
    data = ROOT / "lycheepost" / "generated" / "*.json"
    command = [
        sys.executable,
        "-m",
        "PyInstaller",
        "--noconfirm",
        "--clean",
        "--log-level=ERROR",
        "--onedir",
        "--name=lycheepost",
        f"--distpath={BUILD / 'dist'}",
        f"--workpath={BUILD / 'work'}",
        f"--specpath={BUILD}",
        f"--paths={ROOT}",
        "--collect-submodules=lycheepost",
        f"--add-data={data}{os.pathsep}lycheepost/generated",
        *(f"--exclude-module={name}" for name in _LEFT_OUT),
        str(ROOT / "packaging" / "entry.py"),
    ]
    subprocess.run(command, check=True)
    folder = BUILD / "dist" / "lycheepost"
    strip_libraries(folder)
    return folder


def strip_libraries(folder: pathlib.Path) -> None:
    """Take debug symbols out; without ``strip`` the file is only larger.

    The VMs have no disks, so what is unpacked costs memory. NumPy's bundled
    libraries are left alone: stripped ones no longer load.
    """
    strip = shutil.which("strip")
    if strip is None:
        return
    for path in folder.rglob("*.so*"):
        if path.is_symlink() or "numpy.libs" in path.parts:
            continue
        subprocess.run([strip, "--strip-unneeded", path], check=False)


def build_stub() -> bytes:
    """Compile the stub and return its bytes."""
    compiler = shutil.which("cc") or shutil.which("gcc")
    if compiler is None:
        raise SystemExit("make binary needs a C compiler (cc or gcc) on the PATH.")
    stub = BUILD / "stub"
    source = ROOT / "packaging" / "stub.c"
    subprocess.run(
        [compiler, "-O2", "-Wall", "-Wextra", "-Werror", "-o", stub, source],
        check=True,
    )
    return stub.read_bytes()


def pack_entry(folder: pathlib.Path, path: pathlib.Path) -> bytes:
    """Return one archive entry; links stay links."""
    name = str(path.relative_to(folder)).encode()
    mode = path.lstat().st_mode
    data = os.readlink(path).encode() if stat.S_ISLNK(mode) else path.read_bytes()
    return struct.pack("<IIQ", len(name), mode, len(data)) + name + data


def pack_folder(folder: pathlib.Path) -> bytes:
    """Return the archive of a whole folder, in a stable order."""
    paths = sorted(
        path for path in folder.rglob("*") if path.is_symlink() or path.is_file()
    )
    return b"".join(pack_entry(folder, path) for path in paths)


def main() -> int:
    """Build the binary and print its size."""
    BUILD.mkdir(parents=True, exist_ok=True)
    archive = pack_folder(build_folder())
    stub = build_stub()
    name = hashlib.sha256(archive).hexdigest()[:HASH_CHARACTERS].encode()
    OUTPUT.parent.mkdir(exist_ok=True)
    trailer = struct.pack("<Q", len(stub)) + name + MAGIC
    OUTPUT.write_bytes(stub + archive + trailer)
    OUTPUT.chmod(0o755)
    print(f"{OUTPUT.relative_to(ROOT)}: {OUTPUT.stat().st_size / 1e6:.0f} MB")
    return 0


if __name__ == "__main__":
    sys.exit(main())
