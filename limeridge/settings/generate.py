"""`python -m limeridge.settings.generate`: makes the code beside each `.proto`, with grpcio-tools.

It owns the command and nothing else; a test runs it into another folder and compares.
"""

from __future__ import annotations

import sys
from pathlib import Path

HERE = Path(__file__).parent


def generate(into: Path) -> None:
    """Writes the Python modules of all .proto files into a folder. Raises SystemExit where protoc fails,
    ImportError without grpc_tools."""
    from grpc_tools import protoc  # type: ignore[import-untyped]

    for source in sorted(HERE.glob("*.proto")):
        failed = protoc.main(
            ["protoc", f"-I{HERE}", f"--python_out={into}", f"--pyi_out={into}", str(source)]
        )
        if failed:
            raise SystemExit(f"limeridge: {source.name}: protoc ended with {failed}")


if __name__ == "__main__":
    generate(Path(sys.argv[1]) if len(sys.argv) > 1 else HERE)
