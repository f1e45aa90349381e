"""A plain runner: registers in the store and answers requests as PROTOCOL.md says.

Usage: runner.py STORE ID MODE SLOTS. Modes:
  unframed  streams of 10 events without a length or chunks, ended by the end of the connection; the
            head goes out when the request is taken, the first event 0.4 s later
  long      chunked streams of 220 events of 16 kB, as fast as they are read
  slow      a small answer with a length, 3 s later
Requests below /short/ get a small answer with a length in each mode. Each run is a line of the output.
"""
import json
import socket
import sys
import threading
import time

from lab import write_record

HEARTBEAT_S = 0.4


def head(fields, more):
    return ("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Signature: %s.1\r\n%s\r\n"
            % (fields.get("request-id", ""), IDENTITY, more)).encode()


def answer_short(connection, fields):
    connection.sendall(head(fields, "Content-Length: 2\r\n") + b"ok")
    return True


def answer_unframed(connection, fields):
    last = int(fields.get("last-event-id") or 0)
    connection.sendall(head(fields, "Content-Type: text/event-stream\r\nConnection: close\r\n"))
    time.sleep(0.4)
    for number in range(last + 1, 11):
        connection.sendall(b"id: %d\ndata: piece %d\n\n" % (number, number))
        time.sleep(0.05)
    return False


def answer_slow(connection, fields):
    time.sleep(3)
    return answer_short(connection, fields)


def answer_long(connection, fields):
    last = int(fields.get("last-event-id") or 0)
    connection.sendall(
        head(fields, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"))
    for number in range(last + 1, 221):
        event = b"id: %d\ndata: %s\n\n" % (number, b"x" * 16000)
        connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
    connection.sendall(b"0\r\n\r\n")
    return True


def serve(connection):
    reader = connection.makefile("rb")
    try:
        while True:
            line = reader.readline()
            if not line:
                break
            method, target = line.decode().split(" ")[:2]
            fields = {}
            for text in iter(reader.readline, b"\r\n"):
                if not text:
                    return
                name, value = text.decode().split(":", 1)
                fields[name.strip().lower()] = value.strip()
            body = reader.read(int(fields.get("content-length", "0")))
            if fields.get("expect-instance", IDENTITY) != IDENTITY:
                connection.sendall(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
                continue
            print(json.dumps({"ran": fields.get("request-id"), "method": method, "target": target,
                              "body_bytes": len(body)}), flush=True)
            answer = answer_short if target.startswith("/short/") else MODES[MODE]
            if not answer(connection, fields):
                break
    except OSError:
        pass
    finally:
        reader.close()
        connection.close()


def register(address):
    sequence = 0
    while True:
        sequence += 1
        entry = dict(service="desk", addr=address, zone="ifo", version="v1", slots=SLOTS, state="ready",
                     cold_left_ms=0, seq=sequence, born=BORN)
        try:
            write_record(STORE, "keyed.servers", IDENTITY, json.dumps(entry))
        except Exception:  # The store may end first.
            pass
        time.sleep(HEARTBEAT_S)


MODES = {"unframed": answer_unframed, "long": answer_long, "slow": answer_slow}
STORE, IDENTITY, MODE, SLOTS = sys.argv[1], sys.argv[2], sys.argv[3], int(sys.argv[4])
BORN = int(time.time() * 1000)

listener = socket.socket()
listener.bind(("127.0.0.1", 0))
listener.listen(512)
own_address = "127.0.0.1:%d" % listener.getsockname()[1]
print(json.dumps({"address": own_address}), flush=True)
threading.Thread(target=register, args=(own_address,), daemon=True).start()
while True:
    accepted, _ = listener.accept()
    threading.Thread(target=serve, args=(accepted,), daemon=True).start()
