"""Steps on calls that execute at most once, with real processes."""

import asyncio
import time
import uuid

import aiohttp
import behave

from features import environment
from testbed import callers
from testbed import machines

START_SECONDS = 0.3
ANSWER_TIMEOUT_SECONDS = 20.0
POLL_SECONDS = 0.1


class Payment:
    """A payment and the results of all attempts to send it.

    An item of ``results`` is None while its attempt is in progress.
    """

    def __init__(self, fleet, *, request_id=None, headers=None) -> None:
        self.fleet = fleet
        self.request_id = request_id or uuid.uuid4().hex
        self.headers = headers or {}
        self.results: list[callers.CallResult | None] = []
        self._loop = asyncio.new_event_loop()
        self._started: asyncio.Task | None = None

    def send(
        self, number, *, method="POST", amount=20, attempt=None, query=""
    ):
        """Send it through an entry host, numbered from 1, and wait."""
        call = self._send(number, method, amount, attempt, query)
        self.results.append(self._loop.run_until_complete(call))
        return self.results[-1]

    def start(self, number):
        """Start to send it."""
        self._started = self._loop.create_task(
            self._send(number, "POST", 20, 1)
        )
        self.results.append(None)
        self._loop.run_until_complete(asyncio.sleep(START_SECONDS))

    def finish(self):
        """Wait for the attempt that was started."""
        self.results[0] = self._loop.run_until_complete(self._started)

    def disconnect(self):
        """Close the connection of the attempt that was started."""
        self._started.cancel()
        self._loop.run_until_complete(
            asyncio.gather(self._started, return_exceptions=True)
        )

    def count_runs(self) -> int:
        """Return how often the services executed it."""
        executed = [
            execution["request_id"]
            for execution in self.fleet.list_executions()
        ]
        return executed.count(self.request_id)

    async def _send(self, number, method, amount, attempt, query=""):
        if attempt is None and self.results:
            attempt = len(self.results) + 1
        headers = dict(self.headers)
        if attempt:
            headers["X-Request-Attempt"] = str(attempt)
        async with aiohttp.ClientSession() as session:
            return await callers.call_service(
                session,
                self.fleet.entries[number - 1].address,
                f"pay{query}",
                request_id=self.request_id,
                body={"runner": self.request_id, "amount": amount},
                method=method,
                headers=headers,
            )


def retry_until_final(payment, number, **options):
    """Retry until the result is final; only that result is kept.

    A host tries a store that was down only once per second.
    """
    deadline = time.monotonic() + ANSWER_TIMEOUT_SECONDS
    while not is_final(payment.send(number, **options)):
        assert time.monotonic() < deadline, payment.results
        payment.results.pop()
        time.sleep(POLL_SECONDS)


def is_final(result) -> bool:
    return result.reason not in ("still_running", "store_unavailable")


def set_service_faults(context, **faults):
    for service in context.fleet.services:
        service.set_faults(**faults)


@behave.given("a fleet for payments")
def use_fleet_for_payments(context):
    environment.use_shared_fleet(context, engines_per_zone=0)


@behave.given("a fresh fleet for payments")
def use_fresh_fleet_for_payments(context):
    environment.use_fresh_fleet(context, engines_per_zone=0)


@behave.given("the payment services answer with status 500")
def fail_services(context):
    set_service_faults(context, fail=1000)


@behave.given("the payment services take {seconds:g} seconds")
def slow_services(context, seconds):
    set_service_faults(context, slow=seconds)


@behave.given("the payment services pad each answer by {size:d} bytes")
def pad_answers(context, size):
    set_service_faults(context, padding=size)


@behave.given(
    "the payment services close each connection after running a call"
)
def close_after_run(context):
    set_service_faults(context, drop_after=1000)


@behave.given(
    "every host has a keep-alive connection to every payment service"
)
def warm_connections(context):
    async def run():
        async with aiohttp.ClientSession() as session:
            calls = [
                callers.call_service(
                    session,
                    entry.address,
                    "pay",
                    request_id=uuid.uuid4().hex,
                    body={"runner": "warm"},
                )
                for entry in context.fleet.entries
                for _ in range(30)
            ]
            await asyncio.gather(*calls)

    asyncio.run(run())


@behave.when("a payment is made through host {number:d}")
def make_payment(context, number):
    context.payment = Payment(context.fleet)
    context.payment.send(number)


@behave.when("a payment is made by {method} through host {number:d}")
def make_payment_by(context, method, number):
    context.payment = Payment(context.fleet)
    context.payment.send(number, method=method)


@behave.when(
    "a payment whose id was made {age:d} seconds ago is sent through "
    "host {number:d}"
)
def make_old_payment(context, age, number):
    made_at = str(time.time() - age)
    context.payment = Payment(
        context.fleet, headers={"X-Request-Time": made_at}
    )
    context.payment.send(number)


@behave.when(
    "a payment whose id has {size:d} characters is sent through "
    "host {number:d}"
)
def make_unusable_payment(context, size, number):
    context.payment = Payment(context.fleet, request_id="x" * size)
    context.payment.send(number)


@behave.when("a payment is started through host {number:d}")
def start_payment(context, number):
    context.payment = Payment(context.fleet)
    context.payment.start(number)


@behave.when("the payment has reached a service")
def wait_for_run(context):
    machines.wait_until(
        context.payment.count_runs, what="a service runs the payment"
    )


@behave.when("the payment is retried through host {number:d}")
def retry_payment(context, number):
    """Retry until final: the outcome is recorded after the first response."""
    retry_until_final(context.payment, number)


@behave.when("the payment is retried through host {number:d} meanwhile")
def retry_payment_meanwhile(context, number):
    context.payment.send(number)


@behave.when(
    "the payment is retried by {method} through host {number:d} until it ends"
)
def retry_payment_by(context, method, number):
    retry_until_final(context.payment, number, method=method)


@behave.when("the payment is sent with another query through host {number:d}")
def send_other_query(context, number):
    context.payment.send(number, query="?twice=yes")


@behave.when("the payment is sent with another body through host {number:d}")
def send_other_body(context, number):
    context.payment.send(number, amount=21)


@behave.when(
    "the payment is retried through host {number:d} until it succeeds"
)
def retry_until_answered(context, number):
    deadline = time.monotonic() + ANSWER_TIMEOUT_SECONDS
    while context.payment.send(number).status != 200:
        assert time.monotonic() < deadline, context.payment.results[-4:]
        time.sleep(POLL_SECONDS)


@behave.when("the payment's first attempt ends")
def finish_payment(context):
    context.payment.finish()


@behave.when("the payment's client disconnects")
def disconnect_client(context):
    context.payment.disconnect()


@behave.when(
    "the payment's host {number:d} is terminated and exits with code 0"
)
def stop_host(context, number):
    entry = context.fleet.entries[number - 1]
    entry.terminate()
    assert entry.wait() == 0, entry.log


@behave.when("the payment's host {number:d} is drained")
def drain_host(context, number):
    reply = context.fleet.entries[number - 1].operate("POST", "/drain")
    assert reply.status == 200, reply


@behave.when("another payment is made through host {number:d}")
def make_other_payment(context, number):
    context.other_payment = Payment(context.fleet)
    context.other_payment.send(number)


@behave.then('the other payment is refused as "{reason}" with ran "{ran}"')
def check_other_payment(context, reason, ran):
    result = context.other_payment.results[-1]
    assert (result.reason, result.ran) == (reason, ran), result


@behave.then("payment attempt {number:d} is answered with status {status:d}")
def check_payment_answered(context, number, status):
    result = context.payment.results[number - 1]
    assert result.status == status and not result.reason, result
    assert result.ran == "yes", result


@behave.then(
    'payment attempt {number:d} is refused as "{reason}" with ran "{ran}"'
)
def check_payment_refused(context, number, reason, ran):
    result = context.payment.results[number - 1]
    assert (result.reason, result.ran) == (reason, ran), result
    assert reason != "still_running" or result.retry_after, result


@behave.then("payment attempts {first:d} and {second:d} have the same answer")
def check_same_answer(context, first, second):
    compare_answers(context, [first, second])


@behave.then(
    "payment attempts {first:d}, {second:d} and {third:d} have the same answer"
)
def check_same_answers(context, first, second, third):
    compare_answers(context, [first, second, third])


def compare_answers(context, numbers):
    results = [context.payment.results[number - 1] for number in numbers]
    answers = [
        (result.status, result.content_type, result.body) for result in results
    ]
    assert all(answer == answers[0] for answer in answers), answers
    assert results[0].ran == "yes", results[0]


@behave.then("the payment ran {count:d} time")
@behave.then("the payment ran {count:d} times")
def check_payment_runs(context, count):
    ran = context.payment.count_runs()
    assert ran == count, (ran, context.payment.results)


@behave.when("a payment without an id is made through host {number:d}")
def make_payment_without_id(context, number):
    context.payment = Payment(context.fleet)
    context.payment.request_id = ""
    context.payment.send(number)


@behave.then('payment attempt {number:d} is reported with ran "{ran}"')
def check_ran(context, number, ran):
    assert context.payment.results[number - 1].ran == ran, (
        context.payment.results
    )


@behave.then('no payment attempt is reported with ran "{ran}"')
def check_never_reported(context, ran):
    for result in context.payment.results:
        assert result is None or result.ran != ran, context.payment.results
