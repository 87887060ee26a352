"""Plain tables for people."""

import sys

GAP = "  "


def print_table(titles: tuple[str, ...], rows: list[tuple]) -> None:
    """Print rows below their titles, each column as wide as it needs."""
    texts = [titles, *[tuple(str(part) for part in row) for row in rows]]
    widths = [max(map(len, column)) for column in zip(*texts, strict=True)]
    for row in texts:
        padded = [
            part.ljust(width) for part, width in zip(row, widths, strict=True)
        ]
        print(GAP.join(padded).rstrip())


def print_error(text: str) -> None:
    """Print a message to standard error."""
    print(text, file=sys.stderr)
