"""Settings of one entry host: validated JSON and one table of defaults."""

import difflib
import functools
import ipaddress
import json
import pathlib
import re
import typing

import pydantic

from buckthornhold import reasons

#: Names of the routers in ``routers.ROUTERS``, which checks that each has its
#: class. They stand here because routers know upstreams, which know settings.
ROUTER_NAMES = (
    "earliest",
    "least_in_flight",
    "prefix",
    "random",
    "two_choices",
)
#: Every default. Times are in seconds, sizes in bytes.
DEFAULTS: dict[str, typing.Any] = {
    "region": "local",
    "host_class": "on-demand",
    "log_level": "info",
    "seeds": (),
    "operator_tokens": {},
    "translations": {},
    "statsd_address": None,
    "statsd_prefix": "buckthornhold",
    "embedded": False,
    "router": "earliest",
    "admission": "fair",
    "first_token_target": 0.91,
    "load_interval": 1.0,
    "platform_timeout": 2.0,
    "rules_watch_timeout": 5.0,
    "proposal_timeout": 6.0,
    "push_timeout": 1.0,
    "rules_retry_interval": 0.5,
    "host_list_interval": 1.0,
    "probe_interval": 0.5,
    "probe_timeout": 1.0,
    "pause_threshold": 1.0,
    "refresh_timeout": 3.0,
    "upstream_connect_timeout": 1.0,
    "first_token_timeout": 20.0,
    "stream_event_timeout": 5.0,
    "carry_slots": 8,
    "recompute_slots": 8,
    "own_margin": 1.5,
    "handover_memory": 8 << 20,
    "handover_record_limit": 2 << 20,
    "handover_keep": 300.0,
    "answer_keep": 10.0,
    "regenerate_lost_text": True,
    "moved_retry_after": 0.2,
    "lookup_patience": 0.02,
    "transfer_patience": 2.0,
    "unknown_notice": 2.0,
    "notice_margin": 2.0,
    "retry_pause_base": 0.05,
    "retry_pause_limit": 1.0,
    "request_deadline": 60.0,
    "body_limit": 8 << 20,
    "body_budget": 256 << 20,
    "memory_limit": 256 << 20,
    "body_timeout": 10.0,
    "max_connections": 2048,
    "max_in_flight": 512,
    "max_attempts": 4,
    "drain_timeout": 120.0,
    "retry_after": 1.0,
    "retry_share": 0.1,
    "retry_reserve": 20.0,
    "claim_shards": 32,
    "claim_retention": 600.0,
    "claim_write_rate": 10.0,
    "claim_timeout": 3.0,
    "claim_peer_timeout": 1.0,
    "claim_answer_limit": 2048,
    "shared_read_memory": 4 << 20,
    "keepalive_timeout": 75.0,
    "caller_stall_timeout": 30.0,
    "recent_requests": 256,
    "facts_store_interval": 5.0,
    "facts_push_timeout": 0.5,
    "facts_catch_up_time": 5.0,
    "moves_interval": 0.25,
    "move_collect_interval": 1.0,
    "move_step_time": 30.0,
    "move_lead": 10.0,
    "move_retention": 604800.0,
    "role_term": 6.0,
    "role_candidates": 3,
    "crash_retention": 600.0,
    "poison_retention": 3600.0,
    "suspect_slot": 1.0,
    "suspect_hold": 3.0,
    "provision_interval": 2.0,
    "provision_window": 300.0,
    "provision_start_timeout": 300.0,
    "provision_refusal_pause": 30.0,
    "provision_loads": 4,
    "engines_check_fence": False,
    "order_flight": 1.0,
}

HIDDEN = "(hidden)"
#: Each message between hosts holds some of the fleet's addresses.
MAX_CHECKED_ADDRESSES = 1024


@functools.lru_cache(maxsize=MAX_CHECKED_ADDRESSES)
def check_address(text: str) -> str:
    """Return an address if it is ``IP:port``; IPv6 stands in brackets."""
    ip, _, port = text.rpartition(":")
    if ip.startswith("[") and ip.endswith("]"):
        ip = ip[1:-1]
    try:
        ipaddress.ip_address(ip)
    except ValueError:
        raise ValueError("expected an address as IP:port") from None
    if not re.fullmatch(r"[0-9]{1,5}", port) or not 0 < int(port) < 65536:
        raise ValueError("expected a port from 1 to 65535 behind the IP")
    return text


def split_address(text: str) -> tuple[str, int]:
    """Return the IP number and the port of a checked address."""
    ip, _, port = text.rpartition(":")
    return ip.strip("[]"), int(port)


def check_router(name: str) -> str:
    """Return a router's name if there is such a router."""
    if name in ROUTER_NAMES:
        return name
    raise ValueError(f"expected one of {', '.join(ROUTER_NAMES)}")


Address = typing.Annotated[str, pydantic.AfterValidator(check_address)]
RouterName = typing.Annotated[str, pydantic.AfterValidator(check_router)]
AdmissionName = typing.Literal["fair", "measured", "unbounded"]
Name = typing.Annotated[str, pydantic.Field(min_length=1)]
Seconds = typing.Annotated[float, pydantic.Field(gt=0)]
Count = typing.Annotated[int, pydantic.Field(gt=0)]
LogLevel = typing.Literal["debug", "info", "warning", "error"]


class Listen(pydantic.BaseModel, extra="forbid", frozen=True):
    """The three addresses the host listens on, each ``IP:port``."""

    callers: Address
    operators: Address
    peers: Address


class Settings(pydantic.BaseModel, extra="forbid", frozen=True):
    """Settings of one entry host.

    ``translations`` maps published addresses to the addresses under which
    this host reaches them. ``seeds`` are peer addresses to start from.
    ``operator_tokens`` maps operators' names to their tokens.
    """

    host: Name
    zone: Name
    listen: Listen
    platform: Address
    incarnation: int | None = None
    region: str = DEFAULTS["region"]
    host_class: str = DEFAULTS["host_class"]
    log_level: LogLevel = DEFAULTS["log_level"]
    seeds: tuple[Address, ...] = DEFAULTS["seeds"]
    operator_tokens: dict[str, str] = DEFAULTS["operator_tokens"]
    translations: dict[Address, Address] = DEFAULTS["translations"]
    statsd_address: Address | None = DEFAULTS["statsd_address"]
    statsd_prefix: str = DEFAULTS["statsd_prefix"]
    embedded: bool = DEFAULTS["embedded"]
    router: RouterName = DEFAULTS["router"]
    admission: AdmissionName = DEFAULTS["admission"]
    first_token_target: Seconds = DEFAULTS["first_token_target"]
    platform_timeout: Seconds = DEFAULTS["platform_timeout"]
    rules_watch_timeout: Seconds = DEFAULTS["rules_watch_timeout"]
    rules_retry_interval: Seconds = DEFAULTS["rules_retry_interval"]
    host_list_interval: Seconds = DEFAULTS["host_list_interval"]
    probe_interval: Seconds = DEFAULTS["probe_interval"]
    probe_timeout: Seconds = DEFAULTS["probe_timeout"]
    pause_threshold: Seconds = DEFAULTS["pause_threshold"]
    refresh_timeout: Seconds = DEFAULTS["refresh_timeout"]
    upstream_connect_timeout: Seconds = DEFAULTS["upstream_connect_timeout"]
    stream_event_timeout: Seconds = DEFAULTS["stream_event_timeout"]
    request_deadline: Seconds = DEFAULTS["request_deadline"]
    body_limit: Count = DEFAULTS["body_limit"]
    body_budget: Count = DEFAULTS["body_budget"]
    memory_limit: Count = DEFAULTS["memory_limit"]
    body_timeout: Seconds = DEFAULTS["body_timeout"]
    max_connections: Count = DEFAULTS["max_connections"]
    max_in_flight: Count = DEFAULTS["max_in_flight"]
    max_attempts: Count = DEFAULTS["max_attempts"]
    drain_timeout: Seconds = DEFAULTS["drain_timeout"]
    retry_after: Seconds = DEFAULTS["retry_after"]
    keepalive_timeout: Seconds = DEFAULTS["keepalive_timeout"]
    caller_stall_timeout: Seconds = DEFAULTS["caller_stall_timeout"]
    recent_requests: Count = DEFAULTS["recent_requests"]
    first_token_timeout: Seconds = DEFAULTS["first_token_timeout"]
    carry_slots: Count = DEFAULTS["carry_slots"]
    recompute_slots: Count = DEFAULTS["recompute_slots"]
    transfer_patience: Seconds = DEFAULTS["transfer_patience"]
    unknown_notice: Seconds = DEFAULTS["unknown_notice"]
    notice_margin: Seconds = DEFAULTS["notice_margin"]
    retry_pause_base: Seconds = DEFAULTS["retry_pause_base"]
    retry_pause_limit: Seconds = DEFAULTS["retry_pause_limit"]
    retry_share: float = DEFAULTS["retry_share"]
    retry_reserve: float = DEFAULTS["retry_reserve"]
    claim_shards: Count = DEFAULTS["claim_shards"]
    claim_retention: Seconds = DEFAULTS["claim_retention"]
    claim_write_rate: float = DEFAULTS["claim_write_rate"]
    claim_timeout: Seconds = DEFAULTS["claim_timeout"]
    claim_peer_timeout: Seconds = DEFAULTS["claim_peer_timeout"]
    claim_answer_limit: Count = DEFAULTS["claim_answer_limit"]
    shared_read_memory: Count = DEFAULTS["shared_read_memory"]
    load_interval: Seconds = DEFAULTS["load_interval"]
    facts_store_interval: Seconds = DEFAULTS["facts_store_interval"]
    facts_push_timeout: Seconds = DEFAULTS["facts_push_timeout"]
    facts_catch_up_time: Seconds = DEFAULTS["facts_catch_up_time"]
    moves_interval: Seconds = DEFAULTS["moves_interval"]
    move_collect_interval: Seconds = DEFAULTS["move_collect_interval"]
    move_step_time: Seconds = DEFAULTS["move_step_time"]
    move_lead: Seconds = DEFAULTS["move_lead"]
    move_retention: Seconds = DEFAULTS["move_retention"]
    role_term: Seconds = DEFAULTS["role_term"]
    role_candidates: Count = DEFAULTS["role_candidates"]
    crash_retention: Seconds = DEFAULTS["crash_retention"]
    poison_retention: Seconds = DEFAULTS["poison_retention"]
    suspect_slot: Seconds = DEFAULTS["suspect_slot"]
    suspect_hold: Seconds = DEFAULTS["suspect_hold"]
    provision_interval: Seconds = DEFAULTS["provision_interval"]
    provision_window: Seconds = DEFAULTS["provision_window"]
    provision_start_timeout: Seconds = DEFAULTS["provision_start_timeout"]
    provision_refusal_pause: Seconds = DEFAULTS["provision_refusal_pause"]
    provision_loads: Count = DEFAULTS["provision_loads"]
    engines_check_fence: bool = DEFAULTS["engines_check_fence"]
    order_flight: Seconds = DEFAULTS["order_flight"]
    own_margin: Seconds = DEFAULTS["own_margin"]
    handover_memory: Count = DEFAULTS["handover_memory"]
    handover_record_limit: Count = DEFAULTS["handover_record_limit"]
    handover_keep: Seconds = DEFAULTS["handover_keep"]
    answer_keep: Seconds = DEFAULTS["answer_keep"]
    regenerate_lost_text: bool = DEFAULTS["regenerate_lost_text"]
    moved_retry_after: Seconds = DEFAULTS["moved_retry_after"]
    lookup_patience: Seconds = DEFAULTS["lookup_patience"]
    proposal_timeout: Seconds = DEFAULTS["proposal_timeout"]
    push_timeout: Seconds = DEFAULTS["push_timeout"]

    def translate(self, address: str) -> str:
        """Return the address under which this host reaches another."""
        return self.translations.get(address, address)


def load_settings(
    path: str, *, model: type[Settings] = Settings
) -> Settings | reasons.Failure:
    """Read and check a settings file of a kind of host."""
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8-sig")
    except OSError as error:
        return _fail(path, f"{path}: {error.strerror}")
    except UnicodeDecodeError as error:
        return _fail(path, f"{path}: byte {error.start} is not UTF-8")
    return parse_settings(text, name=path, model=model)


def parse_settings(
    text: str, *, name: str, model: type[Settings] = Settings
) -> Settings | reasons.Failure:
    """Check settings in JSON; ``name`` is what errors call the source.

    The failure's detail has one line for each error, with its place.
    """
    try:
        values = json.loads(text, object_pairs_hook=_refuse_repeated_keys)
    except json.JSONDecodeError as error:
        place = f"{name}:{error.lineno}:{error.colno}"
        return _fail(name, f"{place}: {error.msg}")
    except ValueError as error:
        return _fail(name, f"{name}: {error}")
    except RecursionError:
        return _fail(name, f"{name}: values are nested too deeply")
    try:
        return model.model_validate(values)
    except pydantic.ValidationError as error:
        lines = [
            f"{name}:{_find_line(text, item['loc'])}: {_describe(item, model)}"
            for item in error.errors()
        ]
        return _fail(name, "\n".join(lines))


def list_origins(config: Settings) -> list[tuple[str, typing.Any, str]]:
    """Return each key with its value and its origin, default or file.

    Tokens are not shown.
    """
    rows = []
    for key in Settings.model_fields:
        value = getattr(config, key)
        origin = "file" if key in config.model_fields_set else "default"
        if key == "operator_tokens":
            value = dict.fromkeys(value, HIDDEN)
        if isinstance(value, pydantic.BaseModel):
            for inner, part in value:
                rows.append((f"{key}.{inner}", part, origin))
            continue
        rows.append((key, value, origin))
    return rows


def _refuse_repeated_keys(pairs: list[tuple]) -> dict:
    values = dict(pairs)
    if len(values) == len(pairs):
        return values
    seen = set()
    for key, _ in pairs:
        if key in seen:
            raise ValueError(f"key {key!r} stands twice")
        seen.add(key)
    return values


def _describe(item: dict, model: type[Settings]) -> str:
    key = ".".join(str(part) for part in item["loc"])
    if item["type"] == "extra_forbidden":
        known = list(_list_known_keys(item["loc"], model))
        near = difflib.get_close_matches(str(item["loc"][-1]), known, n=1)
        hint = f", did you mean {near[0]!r}?" if near else ""
        return f"unknown key {key!r}{hint}"
    if item["type"] == "missing":
        return f"key {key!r} is missing"
    message = item["msg"].removeprefix("Value error, ")
    return f"{key}: {message}, found {item['input']!r}"


def _list_known_keys(
    place: tuple, model: type[Settings]
) -> typing.Iterable[str]:
    if len(place) > 1:
        return model.model_fields[place[0]].annotation.model_fields
    return model.model_fields


def _find_line(text: str, place: tuple) -> int:
    """Return the line on which a key stands, or that of its parent."""
    position = 0
    for part in place:
        found = re.compile(rf"{re.escape(json.dumps(part))}\s*:").search(
            text, position
        )
        if found is None:
            break
        position = found.start()
    return text.count("\n", 0, position) + 1


def _fail(name: str, detail: str) -> reasons.Failure:
    return reasons.Failure(
        reason=reasons.Reason.BAD_REQUEST,
        step="settings",
        peer=name,
        detail=detail,
    )
