/** Stand-in of the platform's store (form "log"), in memory, after PROTOCOL.md. */
import { createServer } from "node:http";

const MAX_WAIT_MS = 30_000;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const KEPT_APPENDS = 5;

export class Store {
    /** Time that an answer takes, in milliseconds. */
    answerMs = 4;
    /** Called for each call before it is handled: undefined, or "silent", "busy", "reset", "lost". */
    fault = () => undefined;
    /** Number of calls by path. */
    calls = new Map();

    /** @param keepMs How long records are kept that aren't the newest of their key. */
    constructor({ keepMs = 20_000, onRecord = () => undefined } = {}) {
        this.keepMs = keepMs;
        this.onRecord = onRecord;
        this.topics = new Map();
        this.server = createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    listen(host = "127.0.0.1", port = 0) {
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(port, host, () => resolve(`${host}:${this.server.address().port}`));
        });
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Writes a record as the operator or a worker does; undefined deletes the key. */
    put(topic, key, value) {
        const bytes = value === undefined
            ? undefined
            : Buffer.isBuffer(value)
            ? value
            : Buffer.from(JSON.stringify(value));
        this.add(this.topic(topic), [{ key, value: bytes }]);
    }

    get(topic, key) {
        return this.topic(topic).newest.get(key)?.value;
    }

    topic(name) {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = {
                name,
                records: [],
                first: 0,
                newest: new Map(),
                waiters: new Set(),
                writers: new Map(),
                busyUntil: 0,
            };
            this.topics.set(name, topic);
        }
        return topic;
    }

    end(topic) {
        return topic.first + topic.records.length;
    }

    add(topic, records) {
        const offset = this.end(topic);
        const now = performance.now();
        records.forEach((record, index) => {
            topic.records.push({ ...record, at: now });
            if (record.value === undefined) {
                topic.newest.delete(record.key);
            }
            else {
                topic.newest.set(record.key, { value: record.value, offset: offset + index });
            }
            this.onRecord(topic.name, record, offset + index);
        });
        [...topic.waiters].forEach(wake => wake());
        return offset;
    }

    expire(topic) {
        const oldest = performance.now() - this.keepMs;
        let count = 0;
        while (count < topic.records.length && topic.records[count].at < oldest) {
            count++;
        }
        if (count > 0) {
            topic.records.splice(0, count);
            topic.first += count;
        }
    }

    handle(request, response) {
        const chunks = [];
        request.on("error", () => undefined);
        request.on("data", chunk => chunks.push(chunk));
        request.on("end", () => {
            const url = new URL(request.url, "http://store");
            const query = Object.fromEntries(url.searchParams);
            this.calls.set(url.pathname, (this.calls.get(url.pathname) ?? 0) + 1);
            const fault = this.fault({ path: url.pathname, query, socket: request.socket });
            if (fault === "silent") {
                return;
            }
            if (fault === "reset") {
                request.socket.resetAndDestroy();
                return;
            }
            if (fault === "busy") {
                this.send(response, 503, {});
                return;
            }
            const send = fault === "lost" ? () => undefined : (status, body) => this.send(response, status, body);
            this.answer(url.pathname, query, Buffer.concat(chunks), send, response);
        });
    }

    send(response, status, body) {
        setTimeout(() => {
            if (!response.destroyed) {
                response.statusCode = status;
                response.end(Buffer.isBuffer(body) ? body : JSON.stringify(body));
            }
        }, this.answerMs);
    }

    answer(path, query, body, send, response) {
        const topic = this.topic(query.topic ?? "");
        this.expire(topic);
        switch (path) {
            case "/-/log-append":
                return this.append(topic, query, body, send);
            case "/-/log-read":
                return this.read(topic, query, send, response);
            case "/-/log-newest":
                return this.listNewest(topic, query, send);
            default:
                return send(404, {});
        }
    }

    append(topic, query, body, send) {
        if (["keyed.op", "keyed.servers"].includes(topic.name)) {
            return send(403, {});
        }
        const records = decode(body);
        const writer = query.producer === undefined ? undefined : topic.writers.get(query.producer);
        const epoch = Number(query.epoch);
        const seq = Number(query.seq);
        if (query.producer !== undefined) {
            if (writer !== undefined && epoch < writer.epoch) {
                return send(409, { reason: "fenced" });
            }
            if (writer !== undefined && epoch === writer.epoch && records.length > 0 && writer.next !== undefined) {
                const repeat = writer.last.find(each => each.seq === seq);
                if (repeat !== undefined) {
                    return send(200, repeat.answer);
                }
                if (seq !== writer.next) {
                    return send(409, { reason: "seq", seq: writer.next });
                }
            }
        }
        if (query.at !== undefined && Number(query.at) !== this.end(topic)) {
            return send(412, { end: this.end(topic) });
        }
        const offset = this.add(topic, records);
        const answer = { offset, end: this.end(topic) };
        if (query.producer !== undefined) {
            const isSame = writer !== undefined && writer.epoch === epoch;
            const last = isSame ? writer.last : [];
            const next = records.length > 0 ? seq + 1 : isSame ? writer.next : undefined;
            if (records.length > 0) {
                last.push({ seq, answer });
            }
            topic.writers.set(query.producer, { epoch, next, last: last.slice(-KEPT_APPENDS) });
        }
        send(200, answer);
    }

    read(topic, query, send, response) {
        const from = Number(query.from);
        const maxBytes = Number(query.max_kb ?? 1024) * 1024;
        const answer = () => {
            if (from < topic.first) {
                return send(410, { first: topic.first });
            }
            const header = Buffer.alloc(16);
            header.writeBigUInt64BE(BigInt(this.end(topic)), 0);
            header.writeBigUInt64BE(BigInt(topic.first), 8);
            const parts = [header];
            let bytes = 0;
            for (const record of topic.records.slice(from - topic.first)) {
                const encoded = encode(record);
                if (bytes > 0 && bytes + encoded.length > maxBytes) {
                    break;
                }
                bytes += encoded.length;
                parts.push(encoded);
            }
            send(200, Buffer.concat(parts));
        };
        const waitMs = Math.min(MAX_WAIT_MS, Number(query.wait_ms ?? 0));
        if (from < topic.first || from < this.end(topic) || waitMs <= 0) {
            return answer();
        }
        const finish = () => {
            clearTimeout(timer);
            topic.waiters.delete(finish);
            if (!response.destroyed) {
                answer();
            }
        };
        const timer = setTimeout(finish, waitMs);
        topic.waiters.add(finish);
    }

    listNewest(topic, query, send) {
        const after = query.depends_on ?? "";
        const later = [...topic.newest].filter(([key]) => key > after).sort(([left], [right]) => left < right ? -1 : 1);
        const items = [];
        let bytes = 0;
        for (const [key, { value, offset }] of later) {
            const encoded = value.toString("base64");
            if (items.length >= PAGE_ITEMS || (items.length > 0 && bytes + encoded.length > PAGE_BYTES)) {
                break;
            }
            bytes += encoded.length;
            items.push({ key, value: encoded, offset });
        }
        send(200, { items, has_more: items.length < later.length, end: this.end(topic) });
    }
}

function encode({ key, value }) {
    const name = Buffer.from(key);
    const length = Buffer.alloc(4);
    length.writeUInt32BE(1 + name.length + (value?.length ?? 0));
    return Buffer.concat([length, Buffer.from([name.length]), name, value ?? Buffer.alloc(0)]);
}

function decode(body) {
    const records = [];
    for (let start = 0; start < body.length;) {
        const end = start + 4 + body.readUInt32BE(start);
        const bytes = body.subarray(start + 4, end);
        const keyEnd = 1 + bytes[0];
        const value = keyEnd < bytes.length ? Buffer.from(bytes.subarray(keyEnd)) : undefined;
        records.push({ key: bytes.toString("utf8", 1, keyEnd), value });
        start = end;
    }
    return records;
}
