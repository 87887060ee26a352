"""Does what README.md asks of curl, on machines that have none."""

import argparse
import sys
import urllib.error
import urllib.request

TIMEOUT_SECONDS = 15.0


def main() -> None:
    """Send one request and print the answer's body, also of a refusal."""
    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("url")
    parser.add_argument("-s", action="store_true")
    parser.add_argument("-N", action="store_true")
    parser.add_argument("-H", action="append", default=[])
    parser.add_argument("-d")
    arguments = parser.parse_args()
    request = urllib.request.Request(
        arguments.url,
        data=arguments.d.encode() if arguments.d else None,
        headers=dict(it.split(": ", 1) for it in arguments.H),
    )
    try:
        answer = urllib.request.urlopen(request, timeout=TIMEOUT_SECONDS)
    except urllib.error.HTTPError as error:
        answer = error
    with answer:
        sys.stdout.write(answer.read().decode())


if __name__ == "__main__":
    main()
