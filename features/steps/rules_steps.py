"""Steps on the rules text."""

import asyncio
import datetime
import pathlib
import random
import uuid

import aiohttp
import behave

from buckthornhold import grammars
from buckthornhold import rules
from features import environment
from testbed import callers

FIRST_LINES = [
    "serve model=m version=v1  # asked by: x",
    "limit workspace=big share=50%  # asked by: x",
]
LAST_LINE = "serve model=m version=v2  # asked by: x"
WORKSPACE_LINE = "limit workspace=kalniņš\tpriority=2  # asked by: A. Kalniņš"
USERS = {
    "racing": {
        "zones": ("port-of-spain", "chaguanas", "arima"),
        "model": "race-desk-llm",
        "service": "entries-app",
        "rules_path": "examples/racing.rules",
    },
    "postcards": {
        "zones": ("riga-a", "riga-b", "riga-c"),
        "model": "model-pool",
        "service": "order-desk",
        "rules_path": "examples/postcards.rules",
    },
}


@behave.given('a rules text with the line "{line}" as its third')
def make_text_with_line(context, line):
    context.rules_text = "\n".join([*FIRST_LINES, line, LAST_LINE])


@behave.given('a rules text with the line "{line}" twice')
def make_text_with_line_twice(context, line):
    context.rules_text = "\n".join([*FIRST_LINES, line, line, LAST_LINE])


@behave.given("a rules text with three wrong lines")
def make_text_with_wrong_lines(context):
    context.rules_text = "\n".join([FIRST_LINES[0], "x", "serve", "call a=b"])


@behave.given("a rules text with {oddity}")
def make_odd_text(context, oddity):
    lines = [*FIRST_LINES, WORKSPACE_LINE]
    context.rules_text = {
        "DOS line ends": "\r\n".join(lines) + "\r\n",
        "tabs": "\n".join(lines).replace(" ", "\t", 2),
        "a byte order mark": "\ufeff" + "\n".join(lines),
        "old Mac line ends": "\r".join(lines),
    }[oddity]


@behave.given('the shipped rules "{file}"')
def read_shipped_rules(context, file):
    context.rules_text = pathlib.Path("examples", file).read_text()


@behave.when("the rules text is read")
def read_text(context):
    context.rule_set = grammars.parse_rules(
        context.rules_text, name="my.rules"
    )


@behave.then(
    'its only error is at column {column:d}, found "{found}", '
    'expected "{expected}"'
)
def check_only_error(context, column, found, expected):
    assert isinstance(context.rule_set, list), context.rule_set
    assert len(context.rule_set) == 1, context.rule_set
    error = context.rule_set[0]
    assert error.file == "my.rules"
    lines = context.rules_text.splitlines()
    assert error.line == len(lines) - 1, error
    assert error.column == column, error
    assert found in error.found, error
    assert expected in error.expected, error


@behave.then("it has errors on the lines 2, 3 and 4")
def check_error_lines(context):
    assert [error.line for error in context.rule_set] == [2, 3, 4]


@behave.then('it reads as a set with a rule for workspace "{workspace}"')
def check_workspace_rule(context, workspace):
    assert isinstance(context.rule_set, rules.RuleSet), context.rule_set
    limit = context.rule_set.find_limit(workspace)
    assert limit.priority == 2, limit
    assert limit.asked_by == "A. Kalniņš", limit


@behave.then("it names {workspaces:d} workspaces and {zones:d} zones")
def check_names(context, workspaces, zones):
    assert isinstance(context.rule_set, rules.RuleSet), context.rule_set
    serves = [
        rule
        for rule in context.rule_set.rules
        if isinstance(rule, rules.ServeRule)
    ]
    named = {name for rule in serves for name in rule.workspaces}
    assert len(named) == workspaces, named
    assert len({zone for rule in serves for zone in rule.zones}) == zones
    for name in named:
        assert context.rule_set.find_limit(name).workspace == name


@behave.then("the set that is written and read again is equal")
def check_round_trip(context):
    written = grammars.format_rules(context.rule_set)
    assert grammars.parse_rules(written) == context.rule_set, written


@behave.given("{count:d} random rule sets from seed {seed:d}")
def make_random_sets(context, count, seed):
    chance = random.Random(seed)
    print(f"seed {seed}")
    context.sets = [_make_random_set(chance) for _ in range(count)]


def _make_random_set(chance: random.Random) -> rules.RuleSet:
    def pick_names():
        names = chance.sample(["a", "b-1", "ņ.x", "d@e"], chance.randint(0, 3))
        return tuple(names) or ("*",)

    found = [
        rules.ServeRule(
            asked_by=f"who {number} # and why",
            model="m",
            version=f"v{number}",
            workspaces=pick_names(),
            zones=pick_names(),
            classes=pick_names(),
        )
        for number in range(1, chance.randint(3, 6))
    ]
    moment = datetime.datetime.fromtimestamp(
        chance.randint(0, 2**31), datetime.UTC
    )
    found += [
        rules.MoveRule(
            asked_by="x",
            model="m",
            old="v1",
            new="v2",
            by=moment,
            share=chance.randint(1, 10000) / 10000,
        ),
        rules.CallRule(
            asked_by="x",
            service="s",
            operation=chance.choice(["*", "o"]),
            repeat=chance.random() < 0.5,
            deadline=chance.randint(1, 9999) / 100,
        ),
        rules.LimitRule(
            asked_by="x",
            workspace="w",
            rate=chance.choice([0.0, chance.randint(1, 999) / 10]),
            share=chance.choice([0.0, chance.randint(1, 1000) / 1000]),
            priority=chance.randint(-99, 99),
        ),
        rules.CapacityRule(
            asked_by="x",
            model="m",
            version="v1",
            load=chance.randint(1, 9999),
            least=chance.randint(1, 9),
            most=chance.randint(9, 9999),
            zones=chance.choice([("*",), ("zone-a", "zone-b")]),
            classes=chance.choice([("*",), ("reclaimable",)]),
        ),
        rules.DrainRule(asked_by="x", host="entry-1"),
    ]
    return rules.RuleSet(rules=tuple(found))


@behave.then("each rule set that is written and read again is equal")
def check_round_trips(context):
    for rule_set in context.sets:
        written = grammars.format_rules(rule_set)
        assert grammars.parse_rules(written) == rule_set, written


@behave.when("a rule is added, another removed and a third changed")
def change_three_rules(context):
    removed, changed, *_ = [
        line
        for line in context.rules_text.splitlines()
        if line.startswith("limit")
    ]
    text = context.rules_text.replace(f"{removed}\n", "")
    text = text.replace(changed, changed.replace("share=35%", "share=30%"))
    text += "drain host=engine-1  # asked by: x\n"
    context.changes = rules.compare_rules(
        grammars.parse_rules(context.rules_text), grammars.parse_rules(text)
    )


@behave.then("the comparison names each of the three with its kind")
def check_comparison(context):
    found = [
        (it.kind.value, (it.new or it.old).verb, it.old and it.old.key[1])
        for it in context.changes
    ]
    assert found == [
        ("removed", "limit", "timing-marshals"),
        ("changed", "limit", "secretaries"),
        ("added", "drain", None),
    ], found


@behave.given("rules in force on a running fleet")
def use_fleet_with_rules(context):
    environment.use_shared_fleet(context)
    context.before = _list_revisions(context)
    assert all(context.before)


def _list_revisions(context):
    return [
        entry.operate("GET", "/rules").json()["revision"]
        for entry in context.fleet.entries
    ]


@behave.when("an operator proposes a text with one wrong line")
def propose_wrong_text(context):
    text = f"{FIRST_LINES[0]}\nserve modle=m version=v2  # asked by: x\n"
    context.reply = context.fleet.entries[0].operate(
        "PUT", "/rules", {"text": text, "file": "mine.rules"}
    )


@behave.then('the proposal is refused with "{reason}" naming "{place}"')
def check_refused_proposal(context, reason, place):
    error = context.reply.json()["error"]
    assert context.reply.status == 422, context.reply
    assert error["reason"] == reason, error
    assert place in error["detail"], error


@behave.then("every entry host still has the revision it had")
def check_same_revisions(context):
    assert _list_revisions(context) == context.before


@behave.given('a fleet of the user "{user}"')
def use_fleet_of_user(context, user):
    context.user = USERS[user]
    environment.use_shared_fleet(context, **context.user)
    text = pathlib.Path(context.user["rules_path"]).read_text()
    context.rule_set = grammars.parse_rules(text)


def _gather_chats(context, workspaces):
    async def run():
        async with aiohttp.ClientSession() as session:
            return await asyncio.gather(
                *[
                    callers.stream_chat(
                        session,
                        entry.address,
                        request_id=uuid.uuid4().hex,
                        prompt=f"{workspace} asks {entry.name}",
                        max_tokens=5,
                        model=context.user["model"],
                        workspace=workspace,
                    )
                    for entry in context.fleet.entries
                    for workspace in workspaces
                ]
            )

    return asyncio.run(run())


@behave.then(
    "each of its workspaces gets a whole answer through each entry host"
)
def check_each_workspace(context):
    serve = context.rule_set.list_serves(context.user["model"])[0]
    for chat in _gather_chats(context, serve.workspaces):
        assert chat.whole, chat


@behave.then('a workspace that no rule names is refused as "{reason}"')
def check_other_workspace(context, reason):
    for chat in _gather_chats(context, ["strangers"]):
        assert chat.error["reason"] == reason, chat


@behave.then('its call "{operation}" runs once through each entry host')
def check_user_call(context, operation):
    async def run():
        async with aiohttp.ClientSession() as session:
            return await asyncio.gather(
                *[
                    callers.call_service(
                        session,
                        entry.address,
                        operation,
                        request_id=uuid.uuid4().hex,
                        body={"shop": entry.name},
                        service=context.user["service"],
                    )
                    for entry in context.fleet.entries
                ]
            )

    executed = [it["request_id"] for it in context.fleet.list_executions()]
    for result in asyncio.run(run()):
        assert result.status == 200, result
    executed = [it["request_id"] for it in context.fleet.list_executions()]
    assert len(executed) == len(set(executed)) >= 3, executed
