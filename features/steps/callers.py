import json

from behave import given
from behave import then
from behave import when
import logbook
import trio

from magnoliacove.standins import fleet as fleets

logbook.NullHandler().push_application()


async def _ask(context, method, path, body, headers):
    async with fleets.open_fleet() as fleet:
        url = fleet.entries["entry-0"].server.callers_url
        caller = fleets.Caller(url)
        answer = await caller.request(method, path, body, headers)
        context.status = answer.status
        context.error = json.loads(answer.content)["error"]
        context.steps = sum(
            len(engine.steps_run) for engine in fleet.engines.values()
        )


@given("a running fleet")
def start_fleet(context):
    context.status = None


@when('a caller sends {method} {path} with key "{key}" and body {body}')
def send_request(context, method, path, key, body):
    if "*" in body:
        count, _, character = body.partition("*")
        body = character * int(count)
    headers = {}
    if key in ("-", "bad"):
        headers["authorization"] = f"Bearer {key}"
    if key == "long":
        headers["idempotency-key"] = "k" * 256
    content = b"" if body == "-" else body.encode()
    trio.run(_ask, context, method, path, content, headers)


@then('the answer is {status:d} with code "{code}" and outcome "{outcome}"')
def check_answer(context, status, code, outcome):
    actual = (context.status, context.error["code"], context.error["outcome"])
    assert actual == (status, code, outcome), actual
    assert context.error["message"]


@then("no engine ran a step")
def check_engines(context):
    assert context.steps == 0
