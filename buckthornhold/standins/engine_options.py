"""What an engine's stand-in can be set to, and how it can fail."""

import dataclasses

import pydantic


class EngineFaults(pydantic.BaseModel, extra="forbid"):
    """Faults of an engine.

    ``bad_versions`` maps a version to how it is bad: ``fail``, ``slow``,
    ``truncate`` or ``crash``, with ``bad_after`` requests,
    ``bad_when_running`` others, ``bad_workspace`` or ``bad_every`` so many
    requests narrowing when.
    ``poison`` is a text in the prompt that crashes the engine, and
    ``late_poison`` one that does after ``late_poison_after`` tokens.
    ``truncate_after`` and ``stall_after`` break each stream after so many
    tokens; with ``trickles`` a stalled one sends bytes now and then that
    never become an event. With ``refuse_work`` new work is refused, with
    ``retry_after`` as the Retry-After if it is set. ``answer_fault`` spoils
    each answer: ``crossed_attempt``, ``wrong_offset``, ``double_token``,
    ``garbage``, ``early_end`` or ``trailing``. ``reported_queue`` is added to
    what it reports to queue.
    """

    down: bool = False
    reported_queue: int = 0
    slow: float = 0.0
    refuse_work: bool = False
    retry_after: float = 0.0
    leaving: bool = False
    poison: str = ""
    late_poison: str = ""
    late_poison_after: int = 0
    truncate_after: int = 0
    stall_after: int = 0
    trickles: bool = False
    crossed_answer: bool = False
    answer_fault: str = ""
    refuse_import: bool = False
    bad_versions: dict[str, str] = {}
    bad_after: int = 0
    bad_when_running: int = 0
    bad_workspace: str = ""
    bad_every: int = 1


@dataclasses.dataclass(kw_only=True)
class EngineOptions:
    """Size and speed of an engine; times are in seconds.

    With ``sampled`` the text depends on the engine; see ``texts``. A stream
    whose connection was lost is kept running for ``orphan_seconds``, and
    its text for ``keep_seconds`` after its end. ``platform`` and ``host``
    say where, and under which name, it lists what it has loaded.
    """

    models: dict[str, list[str]]
    incarnation: int = 1
    max_running: int = 32
    max_queued: int = 256
    step_base: float = 0.004
    step_per_running: float = 0.0002
    prefill_per_token: float = 0.00002
    prefill_chunk: int = 4096
    cache_tokens: int = 200_000
    load_lag: float = 0.5
    checks_fence: bool = True
    sampled: bool = False
    orphan_seconds: float = 10.0
    keep_seconds: float = 30.0
    import_room: int = 16
    kv_seconds_per_token: float = 0.00001
    platform: str = ""
    host: str = ""
