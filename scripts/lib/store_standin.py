#!/usr/bin/env python3
"""A store and upstreams in the platform's shape, in memory and on loopback, for scripts/compatibility.

Usage: store_standin.py STORE_PORT UPSTREAM_PORT...
The store serves /rows-get, /rows-feed and /rows-tx; GET /rows returns all tables, POST /row writes one row.
Each upstream answers every request with 200 and its signature; POST /fail makes it answer 500 from then on.
"""
import base64, http.server, json, socketserver, sys, threading, time
from urllib.parse import parse_qs, urlsplit

changed = threading.Condition()
tables, log, version = {}, [], 100


def write(table, key, value):
    """Writes a row, or removes it if the value is None. The caller holds the lock."""
    global version
    version += 1
    rows = tables.setdefault(table, {})
    if value is None:
        rows.pop(key, None)
    else:
        rows[key] = (value, version)
    log.append((table, key, value, version))
    changed.notify_all()


def encoded(table, key, value, row_version):
    row = {"Table": table, "part": "", "Key": key, "RowVersion": row_version}
    if value is None:
        return {**row, "Deleted": True}
    return {**row, "Value": base64.b64encode(value.encode()).decode()}


def page(rows):
    return {"Rows": rows, "HasMore": False, "RowVersion": version, "NowMs": 1}


class Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        pass

    def body(self):
        return self.rfile.read(int(self.headers.get("Content-Length", 0)))

    def reply(self, status, value, headers=()):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.send_response(status)
        for name, content in headers:
            self.send_header(name, content)
        self.send_header("Content-Length", str(len(text)))
        self.end_headers()
        self.wfile.write(text)


class Store(Handler):
    def do_GET(self):
        target = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(target.query).items()}
        with changed:
            if target.path == "/rows":
                return self.reply(200, {t: {k: v for k, (v, _) in rows.items()} for t, rows in tables.items()})
            table = query["Table"]
            if target.path == "/rows-get":
                rows = sorted(tables.get(table, {}).items())
                return self.reply(200, page([encoded(table, k, v, n) for k, (v, n) in rows]))
            after, end = int(query["AfterRevision"]), time.monotonic() + int(query["WaitMs"]) / 1000
            while True:
                rows = [encoded(*entry) for entry in log if entry[0] == table and entry[3] > after]
                left = end - time.monotonic()
                if rows or left <= 0:
                    return self.reply(200, page(rows))
                changed.wait(left)

    def do_POST(self):
        body = json.loads(self.body())
        with changed:
            if self.path == "/row":
                write(body["Table"], body["Key"], body["Value"])
                return self.reply(200, {})
            for condition in body["ExpectedRevision"]:
                row = tables.get(condition["Table"], {}).get(condition["Key"])
                if (row[1] if row else 0) != condition["RowVersion"]:
                    return self.reply(412, {})
            for row in body["Put"]:
                write(row["Table"], row["Key"], base64.b64decode(row["Value"]).decode())
            for row in body["Remove"]:
                write(row["Table"], row["Key"], None)
            self.reply(200, {"RowVersion": version, "NowMs": 1})


class Upstream(Handler):
    failing = set()

    def do_GET(self):
        self.body()
        failing = self.server.server_port in self.failing
        time.sleep(0.005)
        headers = [("Response-Signature", "1"), ("Attempt-Id", self.headers.get("Attempt-Id", ""))]
        self.reply(500 if failing else 200, str(self.server.server_port).encode(), headers)

    def do_POST(self):
        if self.path != "/fail":
            return self.do_GET()
        self.failing.add(self.server.server_port)
        self.reply(200, {})


class Server(socketserver.ThreadingMixIn, http.server.HTTPServer):
    daemon_threads = True
    request_queue_size = 256


def main():
    ports = [int(port) for port in sys.argv[1:]]
    for port in ports[1:]:
        threading.Thread(target=Server(("127.0.0.1", port), Upstream).serve_forever, daemon=True).start()
    Server(("127.0.0.1", ports[0]), Store).serve_forever()


main()
