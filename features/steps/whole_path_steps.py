"""Steps of callers and operators of a running system."""

import subprocess
import sys

from behave import given, then, when
from behave.runner import Context
from openai import OpenAI

from features.support.processes import MODEL, wait_until


@given("a program opened at node {node:d}")
def open_program(context: Context, node: int) -> None:
    context.program = context.system.open_program(node)
    context.answers = []


@given("a program opened at node {node:d} with a budget of {tokens:d} tokens")
def open_program_with_budget(context: Context, node: int, tokens: int) -> None:
    context.program = context.system.open_program(node, budget_tokens=tokens)
    context.answers = []


@when('call {number:d} "{text}" is made at node {node:d}')
def make_call(context: Context, number: int, text: str, node: int) -> None:
    context.answers.append(context.system.call(node, context.program, number, text))


@then("every call was answered")
def every_call_answered(context: Context) -> None:
    for answer in context.answers:
        assert answer.status == 200, answer.data
        assert answer.json()["choices"][0]["finish_reason"] == "stop"


def program_document(context: Context, node: int = 0) -> dict:
    return context.system.request(node, "GET", f"/v1/programs/{context.program}").json()


@then("the program shows {count:d} finished calls")
def shows_finished(context: Context, count: int) -> None:
    calls = program_document(context)["calls"]
    assert [call["status"] for call in calls] == ["finished"] * count, calls


@then("each call was started once on the engines")
def started_once(context: Context) -> None:
    calls = program_document(context)["calls"]
    expected = [f"{context.program}/{call['call']}/1" for call in calls]
    assert context.system.starts(context.program) == expected


@then("no call was started on the engines")
def started_never(context: Context) -> None:
    assert context.system.starts(context.program) == []


@then("the second prompt contained the first call and its answer")
def prompt_contains_history(context: Context) -> None:
    first, second = (answer.json()["usage"] for answer in context.answers)
    added = second["prompt_tokens"] - first["prompt_tokens"]
    assert added > first["completion_tokens"], (first, second)


def openai_call(context: Context, node: int, number: int, stream: bool):
    client = OpenAI(api_key="unused", base_url=context.system.url(node) + "/v1", max_retries=0)
    return client.chat.completions.create(
        model=MODEL,
        messages=[{"role": "user", "content": f"question {number}"}],
        max_tokens=40,
        stream=stream,
        extra_headers={"Yarrowwall-Program": context.program, "Yarrowwall-Call": str(number)},
    )


@when("the openai client makes call {number:d} as a stream at node {node:d}")
def openai_stream(context: Context, number: int, node: int) -> None:
    chunks = list(openai_call(context, node, number, stream=True))
    context.streamed_chunks = len(chunks)
    context.streamed = "".join(c.choices[0].delta.content or "" for c in chunks if c.choices)
    assert chunks[-1].choices[0].finish_reason == "stop"


@when("the openai client makes call {number:d} as a whole at node {node:d}")
def openai_complete(context: Context, number: int, node: int) -> None:
    context.whole = openai_call(context, node, number, stream=False).choices[0].message.content


@then("both answers are whole and in the record")
def answers_in_record(context: Context) -> None:
    assert context.streamed_chunks > 2, "the answer did not come in pieces"
    for number, expected in ((1, context.streamed), (2, context.whole)):
        recorded = openai_call(context, 0, number, stream=False).choices[0].message.content
        assert recorded == expected and expected, (number, recorded, expected)


@when("a call without a program is made at node {node:d}")
def call_without_program(context: Context, node: int) -> None:
    body = {"model": MODEL, "messages": [{"role": "user", "content": "hello"}], "max_tokens": 8}
    context.answer = context.system.request(node, "POST", "/v1/chat/completions", body)


@then("it is answered and its program has ended")
def single_call_ended(context: Context) -> None:
    assert context.answer.status == 200, context.answer.data
    context.program = context.answer.headers["Yarrowwall-Program"]
    assert program_document(context, 2)["status"] == "ended"


@when('a lookup of "{kind}" "{key}" is made at node {node:d}')
def look_up(context: Context, kind: str, key: str, node: int) -> None:
    context.lookup = (kind, key)
    context.answer = context.system.request(node, "POST", "/v1/lookups", {"kind": kind, "key": key})


@then("the lookup is answered with that record")
def lookup_answered(context: Context) -> None:
    document = context.answer.json()
    assert (document["kind"], document["key"]) == context.lookup and document["record"]


@given('intents that give the desk "{desk}" a budget of {tokens:d} tokens')
def budget_intents(context: Context, desk: str, tokens: int) -> None:
    context.desk, context.tokens = desk, tokens
    context.intents = {"budgets": [{"desk": desk, "tokens": tokens}]}


def apply_intents(context: Context, node: int, intents: dict) -> str:
    response = context.system.request(node, "POST", "/v1/operator/intents", intents)
    assert response.status == 200, response.data
    return response.json()["plan"]["plan_id"]


def confirm(context: Context, node: int, plan_id: str):
    return context.system.request(node, "POST", f"/v1/operator/plans/{plan_id}/confirm")


def budget_in_force(context: Context, node: int) -> int | None:
    status = context.system.request(node, "GET", "/v1/operator/status").json()
    budgets = {item["desk"]: item["tokens"] for item in status["configuration"]["budgets"]}
    return budgets.get(context.desk)


@when("the operator applies them at node {first:d} and confirms the plan at node {second:d}")
def apply_and_confirm(context: Context, first: int, second: int) -> None:
    plan_id = apply_intents(context, first, context.intents)
    answer = confirm(context, second, plan_id)
    assert answer.status == 200, answer.data


@then("the budget is in force on every node")
def budget_everywhere(context: Context) -> None:
    for node in range(3):
        wait_until(
            lambda node=node: budget_in_force(context, node) == context.tokens,
            f"the budget in force on node {node}",
        )


@then("the command line shows the configuration of node {node:d}")
def command_line_status(context: Context, node: int) -> None:
    arguments = ["status", "--node", context.system.url(node)]
    command = [sys.executable, "-m", "yarrowwall", *arguments]
    shown = subprocess.run(command, capture_output=True, text=True, check=True).stdout
    assert "configuration" in shown and f"node-{node} in" in shown, shown


@given("two operators apply them at node {first:d} and node {second:d}")
def two_plans(context: Context, first: int, second: int) -> None:
    intents = [{"budgets": [{"desk": "lab", "tokens": tokens}]} for tokens in (1000, 2000)]
    context.plans = [
        apply_intents(context, first, intents[0]),
        apply_intents(context, second, intents[1]),
    ]


@when("the first plan is confirmed and in force on node {node:d}")
def confirm_first(context: Context, node: int) -> None:
    context.desk = "lab"
    context.answers = [confirm(context, 0, context.plans[0])]
    wait_until(lambda: budget_in_force(context, node) == 1000, "the first plan in force")


@when("the second plan is confirmed at node {node:d}")
def confirm_second(context: Context, node: int) -> None:
    context.answers.append(confirm(context, node, context.plans[1]))


@then("one is accepted and the other is refused as stale with what changed")
def one_is_stale(context: Context) -> None:
    accepted, refused = context.answers
    assert accepted.status == 200, accepted.data
    error = refused.json()["error"]
    assert refused.status == 409 and error["type"] == "stale_plan", refused.data
    assert any("lab" in line for line in error["changed"]), error


@then("both calls got the same answer")
def same_answer(context: Context) -> None:
    texts = [answer.json()["choices"][0]["message"]["content"] for answer in context.answers]
    assert texts[0] == texts[1], texts


@then('the last call is refused as "{kind}" with status {status:d}')
def last_refused(context: Context, kind: str, status: int) -> None:
    answer = context.answers[-1]
    assert answer.status == status, (answer.status, answer.data)
    assert answer.json()["error"]["type"] == kind, answer.data


@when("the program is ended at node {node:d}")
def end_program(context: Context, node: int) -> None:
    path = f"/v1/programs/{context.program}/end"
    assert context.system.request(node, "POST", path).status == 200


@then("no engine holds anything for the program")
def nothing_held(context: Context) -> None:
    def free() -> bool:
        return all(context.program not in state["held"] for state in context.system.engine_state())

    wait_until(free, "the engines to release the program's cache")
