// Stand-in of the platform's store (PROTOCOL.md, "The platform's metadata store"), in memory, over HTTP.
import { createServer } from "node:http";

const ANSWER_MS = 4;
const PAGE_ITEMS = 500;
const PAGE_BYTES = 1_000_000;
const REPEATS_KEPT = 5;

export class Store {
    /** Decides on each call: may return { status } to refuse, { silent } to leave it unanswered, { delayMs }, { lost }. */
    trouble = () => undefined;
    topics = new Map();
    waiters = new Set();

    async listen(host, port) {
        this.server = createServer((request, response) => void this.serve(request, response));
        this.server.keepAliveTimeout = 60_000;
        await new Promise(resolve => this.server.listen(port, host, resolve));
        this.address = `${host}:${this.server.address().port}`;
        return this.address;
    }

    close() {
        this.server.closeAllConnections();
        this.server.close();
    }

    /** Writes as the operator or a worker does. */
    put(topic, key, value) {
        this.appendRecords(this.topic(topic), [{ key, value: value === undefined ? undefined : Buffer.from(value) }]);
    }

    topic(name) {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = { name, records: [], first: 0, newest: new Map(), producers: new Map() };
            this.topics.set(name, topic);
        }
        return topic;
    }

    /** Drops all records but the newest of each key, as "may be deleted at any time" allows for the platform's topics. */
    compact(name) {
        const topic = this.topic(name);
        topic.first += topic.records.length;
        topic.records = [];
    }

    appendRecords(topic, records) {
        const offset = topic.first + topic.records.length;
        records.forEach((record, index) => {
            topic.records.push(record);
            if (record.value === undefined || record.value.length === 0) {
                topic.newest.delete(record.key);
            }
            else {
                topic.newest.set(record.key, { ...record, offset: offset + index });
            }
        });
        this.waiters.forEach(wake => wake());
        return { offset, end: topic.first + topic.records.length };
    }

    async serve(request, response) {
        const chunks = [];
        for await (const chunk of request) {
            chunks.push(chunk);
        }
        const body = Buffer.concat(chunks);
        const url = new URL(request.url, "http://store");
        const call = { path: url.pathname, topic: url.searchParams.get("topic"), client: request.socket.remoteAddress };
        const trouble = this.trouble(call) ?? {};
        if (trouble.silent) {
            return;
        }
        if (trouble.status !== undefined) {
            send(response, trouble.status, {});
            return;
        }
        await wait((trouble.delayMs ?? 0) + ANSWER_MS / 2);
        let answer;
        if (url.pathname === "/-/log-append") {
            answer = this.append(url.searchParams, body);
        }
        else if (url.pathname === "/-/log-newest") {
            answer = this.newest(url.searchParams);
        }
        else if (url.pathname === "/-/log-read") {
            answer = await this.read(url.searchParams);
        }
        else {
            answer = [404, {}];
        }
        await wait((trouble.delayMs ?? 0) + ANSWER_MS / 2);
        if (!trouble.lost) {
            send(response, ...answer);
        }
    }

    append(query, body) {
        const topic = this.topic(query.get("topic"));
        const end = topic.first + topic.records.length;
        const name = query.get("producer");
        const epoch = Number(query.get("epoch") ?? 0);
        const seq = Number(query.get("seq") ?? 0);
        const records = decode(body);
        let producer;
        if (name !== null) {
            producer = topic.producers.get(name) ?? { epoch: -1, seq: undefined, answers: new Map() };
            topic.producers.set(name, producer);
            if (epoch < producer.epoch) {
                return [409, { reason: "fenced" }];
            }
            if (epoch > producer.epoch) {
                Object.assign(producer, { epoch, seq: undefined, answers: new Map() });
            }
            if (records.length > 0) {
                if (producer.answers.has(seq)) {
                    return [200, producer.answers.get(seq)];
                }
                if (producer.seq !== undefined && seq !== producer.seq + 1) {
                    return [409, { reason: "seq", seq: producer.seq + 1 }];
                }
            }
        }
        if (query.has("at") && Number(query.get("at")) !== end) {
            return [412, { end }];
        }
        if (records.length === 0) {
            return [200, { offset: end, end }];
        }
        const answer = this.appendRecords(topic, records);
        if (producer !== undefined) {
            producer.seq = seq;
            producer.answers.set(seq, answer);
            producer.answers.delete(seq - REPEATS_KEPT);
        }
        return [200, answer];
    }

    newest(query) {
        const topic = this.topic(query.get("topic"));
        const after = query.get("depends_on") ?? "";
        const keys = [...topic.newest.keys()].filter(key => key > after).sort();
        const items = [];
        let bytes = 0;
        for (const key of keys) {
            const { value, offset } = topic.newest.get(key);
            bytes += value.length;
            if (items.length >= PAGE_ITEMS || (items.length > 0 && bytes > PAGE_BYTES)) {
                break;
            }
            items.push({ key, value: value.toString("base64"), offset });
        }
        return [200, { items, has_more: items.length < keys.length, end: topic.first + topic.records.length }];
    }

    async read(query) {
        const topic = this.topic(query.get("topic"));
        const from = Number(query.get("from"));
        const untilMs = Date.now() + Math.min(30_000, Number(query.get("wait_ms") ?? 0));
        while (from >= topic.first + topic.records.length && Date.now() < untilMs) {
            await new Promise(resolve => {
                const wake = () => {
                    clearTimeout(timer);
                    this.waiters.delete(wake);
                    resolve();
                };
                const timer = setTimeout(wake, untilMs - Date.now());
                this.waiters.add(wake);
            });
        }
        if (from < topic.first) {
            return [410, { first: topic.first }];
        }
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.first + topic.records.length), 0);
        head.writeBigUInt64BE(BigInt(topic.first), 8);
        const parts = [head];
        let bytes = 0;
        for (const record of topic.records.slice(from - topic.first)) {
            const part = encode(record);
            bytes += part.length;
            if (bytes > 1_048_576 && parts.length > 1) {
                break;
            }
            parts.push(part);
        }
        return [200, Buffer.concat(parts)];
    }
}

export function wait(ms) {
    return new Promise(resolve => setTimeout(resolve, ms));
}

export function send(response, status, body) {
    const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": bytes.length });
    response.end(bytes);
}

function encode({ key, value }) {
    const keyBytes = Buffer.from(key);
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + (value?.length ?? 0), 0);
    head.writeUInt8(keyBytes.length, 4);
    return Buffer.concat([head, keyBytes, value ?? Buffer.alloc(0)]);
}

function decode(body) {
    const records = [];
    for (let at = 0; at < body.length;) {
        const length = body.readUInt32BE(at);
        const keyLength = body.readUInt8(at + 4);
        const key = body.toString("utf8", at + 5, at + 5 + keyLength);
        const value = body.subarray(at + 5 + keyLength, at + 4 + length);
        records.push({ key, value: value.length === 0 ? undefined : Buffer.from(value) });
        at += 4 + length;
    }
    return records;
}
