"""A runner that streams without a length or chunks is killed before its first event (ORDER)."""
import http.client
import os
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "common-3"))
import lab as stand  # noqa: E402

RUNNERS = 6
EVENTS = 10
ROUNDS = 6
STREAMS_A_ROUND = 18
DEADLINE_MS = 8000


def case(lab):
    store = lab.start_store()
    stand.write_record(store, "keyed.op", "config", stand.json.dumps(stand.configuration(
        1, [stand.route("draft", "/draft/", "streaming", can_resume=True),
            stand.route("short", "/short/", "idempotent")])))
    lives = 0
    runners = []
    for _ in range(RUNNERS):
        lives += 1
        runners.append(lab.start_runner("i-%03d" % lives, "unframed"))
    entry = lab.start_entry("front-ifo-1")
    time.sleep(2)
    # Callers of short requests all the while, so that the budget for repeats is not empty.
    stopping = threading.Event()

    def call_short():
        while not stopping.is_set():
            try:
                stand.call(entry.front, "GET", "/short/x", lab.headers(1500))
            except (OSError, http.client.HTTPException):
                pass
            time.sleep(0.05)

    short_callers = [threading.Thread(target=call_short) for _ in range(3)]
    for caller in short_callers:
        caller.start()
    time.sleep(6)
    outcomes = []

    def stream(number):
        headers = lab.headers(DEADLINE_MS)
        try:
            status, body = stand.call(entry.front, "POST", "/draft/x", headers, b"prompt", 9.0)
            outcome = (status, body.count(b"\ndata: "))
            text = "%d, complete, %d of %d events" % (outcome + (EVENTS,))
        except (OSError, http.client.HTTPException) as error:
            outcome = (0, 0)
            text = "no complete answer: %s" % type(error).__name__
        outcomes.append(outcome)
        lab.note("round %d %s: %s" % (number, headers["Request-Id"], text))

    for number in range(1, ROUNDS + 1):
        callers = [threading.Thread(target=stream, args=(number,)) for _ in range(STREAMS_A_ROUND)]
        for caller in callers:
            caller.start()
        time.sleep(0.25)
        if stand.TROUBLE:
            victim = runners.pop(0)
            lab.note("round %d: SIGKILL to the runner at %s" % (number, victim.address))
            victim.kill()
            victim.wait()
        for caller in callers:
            caller.join()
        if stand.TROUBLE:
            time.sleep(4.5)
            lives += 1
            runners.append(lab.start_runner("i-%03d" % lives, "unframed"))
        time.sleep(2)
    stopping.set()
    for caller in short_callers:
        caller.join()
    short = [outcome for outcome in outcomes if outcome[0] == 200 and outcome[1] < EVENTS]
    whole = [outcome for outcome in outcomes if outcome == (200, EVENTS)]
    lab.note("%d streams: %d whole, %d end as complete before their last event"
             % (len(outcomes), len(whole), len(short)))
    if not whole:
        raise stand.CannotRun("no stream was answered")
    return stand.BROKEN if short else stand.HELD


stand.run(FOLDER, case)
