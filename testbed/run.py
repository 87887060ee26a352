"""Runs every folder of features and prints one closing line.

Scenarios listed in KNOWN-RED.txt are run and printed; their failure does
not fail the run.
"""

import concurrent.futures
import json
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

#: The features wait more than they compute: five keep about four of a
#: machine's six cores busy.
FOLDERS_AT_ONCE = 5

#: Folders of a minute or more, the longest first, so that none is alone at
#: the end.
LONG_FOLDERS = (
    "versions",
    "at_most_once",
    "handover",
    "relay_faults",
    "odd_inputs",
    "odd_messages",
    "leaving",
    "order_faults",
    "poison",
    "membership",
    "ordering",
    "relays",
)

#: A folder that hangs is interrupted, so that its fleets are stopped.
#: The longest takes 128 s on a quiet machine.
FOLDER_TIMEOUT_SECONDS = 360.0
INTERRUPT_TIMEOUT_SECONDS = 30.0
EXIT_INTERRUPTED = 124
KNOWN_RED = pathlib.Path("KNOWN-RED.txt")
FAILED = ("failed", "error", "undefined", "hook_error", "cleanup_error")


def run_behave(command: list[str]) -> tuple[str, int]:
    """Run behave within its time; return output and exit status."""
    with subprocess.Popen(
        command, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True
    ) as process:
        try:
            output, _ = process.communicate(timeout=FOLDER_TIMEOUT_SECONDS)
        except subprocess.TimeoutExpired:
            process.send_signal(signal.SIGINT)
            output, _ = process.communicate(timeout=INTERRUPT_TIMEOUT_SECONDS)
            output += f"\ninterrupted after {FOLDER_TIMEOUT_SECONDS:.0f} s\n"
            return output, EXIT_INTERRUPTED
        return output, process.returncode


def run_folder(folder: pathlib.Path) -> tuple[str, list[dict]]:
    """Run the features of a folder; return output and scenarios."""
    started = time.monotonic()
    with tempfile.NamedTemporaryFile(suffix=".json") as report:
        output, status = run_behave(
            [
                sys.executable,
                "-m",
                "behave",
                "--no-color",
                "--format=json",
                f"--outfile={report.name}",
                "--format=progress3",
                "--outfile=/dev/stdout",
                str(folder),
            ]
        )
        text = pathlib.Path(report.name).read_text()
    seconds = time.monotonic() - started
    output = f"{output}\n{folder}: {seconds:.0f} s\n"
    try:
        features = json.loads(text)
    except json.JSONDecodeError:
        features = []
    scenarios = [
        {
            "name": f"{folder.name}: {element['name']}".strip(),
            "failed": element.get("status", "") in FAILED,
            "skipped": element.get("status", "") in ("skipped", "untested"),
        }
        for feature in features
        for element in feature.get("elements", [])
        if element["type"] != "background"
    ]
    if status != 0 and not any(it["failed"] for it in scenarios):
        name = f"{folder.name}: behave exits {status}"
        scenarios.append({"name": name, "failed": True, "skipped": False})
    return output, scenarios


def find_place(folder: pathlib.Path) -> tuple[int, str]:
    """Return the place of a folder in the order of the run."""
    if folder.name in LONG_FOLDERS:
        return LONG_FOLDERS.index(folder.name), folder.name
    return len(LONG_FOLDERS), folder.name


def list_folders() -> list[pathlib.Path]:
    """Return all folders that hold features, in the order of the run."""
    paths = pathlib.Path("features").glob("*/*.feature")
    return sorted({path.parent for path in paths}, key=find_place)


def read_known_red() -> set[str]:
    """Return the names of the scenarios that are known to fail."""
    if not KNOWN_RED.exists():
        return set()
    return {
        line.removeprefix("test: ").strip()
        for line in KNOWN_RED.read_text().splitlines()
        if line.startswith("test: ")
    }


def main() -> None:
    """Run all folders, or those named as arguments."""
    named = [pathlib.Path(name) for name in sys.argv[1:]]
    folders = named or list_folders()
    scenarios = []
    with concurrent.futures.ThreadPoolExecutor(FOLDERS_AT_ONCE) as pool:
        for output, found in pool.map(run_folder, folders):
            print(output, flush=True)
            scenarios += found
    known = read_known_red()
    for scenario in scenarios:
        if scenario["name"] in known:
            word = "fails" if scenario["failed"] else "passes now"
            print(f"known red, {word}: {scenario['name']}")
    judged = [it for it in scenarios if it["name"] not in known]
    failed = [it for it in judged if it["failed"]]
    skipped = sum(it["skipped"] for it in judged)
    for scenario in failed:
        print(f"FAILED {scenario['name']}")
    print(f"{len(judged) - len(failed) - skipped} passed, ", end="")
    print(f"{len(failed)} failed")
    sys.exit(1 if failed or skipped or not judged else 0)


if __name__ == "__main__":
    main()
