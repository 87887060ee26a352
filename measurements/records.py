"""Size and cost of handover records, by the length of the prompt.

Run as ``python -m measurements.records --seed N``. Prompts are drawn from a
vocabulary as rulebooks are, with words that recur.
"""

import argparse
import json
import random
import time
import zlib

from buckthornhold import answers
from buckthornhold.coordination import handover_records
from buckthornhold.peers import handovers_pb2

LENGTHS = (100, 2_000, 20_000, 200_000, 1_000_000)
ROUNDS = 20
VOCABULARY = 4_000
ANSWER_TOKENS = 400


def make_prompt(draw: random.Random, length: int) -> str:
    """Return a text of about so many characters."""
    letters = "etaoinshrdlcumwfgypbvk"
    words = [
        "".join(draw.choices(letters, k=draw.randrange(2, 10)))
        for _ in range(VOCABULARY)
    ]
    weights = [1 / rank for rank in range(1, VOCABULARY + 1)]
    text = " ".join(draw.choices(words, weights, k=length // 5 + 1))
    return text[:length]


def measure(length: int, seed: int) -> dict:
    """Return the sizes in bytes and times in ms for one length."""
    prompt = make_prompt(random.Random(seed), length).encode()
    started = time.perf_counter()
    for _ in range(ROUNDS):
        packed = zlib.compress(prompt, answers.COMPRESSION_LEVEL)
    packing = (time.perf_counter() - started) / ROUNDS
    record = handovers_pb2.HandoverRecord(
        request_id="0" * 32,
        digest="0" * 32,
        entry_host="entry-zone-a-0",
        workspace="race-desk",
        model="race-desk-llm",
        version="v1",
        max_tokens=ANSWER_TOKENS,
        prompt=packed,
        upstream="engine-zone-a-0",
        upstream_incarnation=1,
    )
    holding = handover_records.StoredRecord(
        record=record, retention_seconds=1.0
    )
    texts = [" word"] * ANSWER_TOKENS
    update = handovers_pb2.UpdateRequest(request_id="0" * 32, texts=texts)
    return {
        "prompt_bytes": len(prompt),
        "record_bytes": record.ByteSize(),
        "held_bytes": holding.size,
        "compress_ms": round(packing * 1000, 3),
        "update_bytes_per_token": round(update.ByteSize() / ANSWER_TOKENS, 2),
    }


def main() -> None:
    """Print one JSON line for each length."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seed", type=int, default=1)
    seed = parser.parse_args().seed
    for length in LENGTHS:
        print(json.dumps({"seed": seed, **measure(length, seed)}))


if __name__ == "__main__":
    main()
