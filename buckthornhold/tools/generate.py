"""Generates the gRPC code from the .proto files, or checks it."""

import pathlib
import sys
import tempfile

from grpc_tools import protoc

PACKAGE = "buckthornhold/peers"


def generate(target: str) -> None:
    """Generate the code of every .proto file below ``target``."""
    protos = sorted(
        str(path) for path in pathlib.Path(PACKAGE).glob("*.proto")
    )
    result = protoc.main(
        [
            "protoc",
            "-I.",
            f"--python_out={target}",
            f"--grpc_python_out={target}",
            *protos,
        ]
    )
    if result != 0:
        sys.exit(result)


def list_stale() -> list[str]:
    """Return the generated files that do not match their .proto."""
    stale = []
    with tempfile.TemporaryDirectory() as target:
        generate(target)
        for made in sorted(pathlib.Path(target).rglob("*.py")):
            kept = pathlib.Path(made.relative_to(target))
            if not kept.exists() or kept.read_text() != made.read_text():
                stale.append(str(kept))
    return stale


def main() -> None:
    """Generate, or with ``--check`` name stale files and fail."""
    if "--check" not in sys.argv[1:]:
        generate(".")
        return
    stale = list_stale()
    for name in stale:
        print(f"{name} does not match its .proto; run make generate")
    sys.exit(1 if stale else 0)


if __name__ == "__main__":
    main()
