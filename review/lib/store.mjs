import { createServer } from "node:http";
import { CALL_BYTES, RECORD_BYTES } from "./constants.mjs";
import { readBody, sendJson } from "./http.mjs";

const PAGE_RECORDS = 500;
const PAGE_BYTES = 1_000_000;
const READ_BYTES = 1_048_576;
const REPEATED_APPENDS = 5;
const ANSWER_MS = 4;
const OPERATOR_TOPICS = new Set(["keyed.op", "keyed.servers"]);

/** The platform's store: keyed topics with one partition each, conditional appends and producer epochs. */
export class Store {
    constructor() {
        this.topics = new Map();
        this.servers = [];
    }

    /**
     * Listens on a free port of 127.0.0.1 for one reader.
     *
     * @param rewriteWorker Changes a worker's entry for this reader, which reaches workers over links of its own.
     * @returns The port.
     */
    async listen(rewriteWorker = entry => entry) {
        const server = createServer((request, response) => {
            this.handle(request, response, rewriteWorker).catch(() => response.destroy());
        });
        server.keepAliveTimeout = 60_000;
        await new Promise(resolve => server.listen(0, "127.0.0.1", resolve));
        this.servers.push(server);
        return server.address().port;
    }

    /** Writes a record on behalf of the operator or a worker; an undefined value drops the key. */
    write(topicName, key, value) {
        const topic = this.getTopic(topicName);
        topic.append([{ key, value: value === undefined ? undefined : Buffer.from(JSON.stringify(value)) }]);
    }

    /** Stops listening. */
    close() {
        for (const server of this.servers) {
            server.close();
            server.closeAllConnections();
        }
    }

    getTopic(name) {
        let topic = this.topics.get(name);
        if (topic === undefined) {
            topic = new TopicLog();
            this.topics.set(name, topic);
        }
        return topic;
    }

    async handle(request, response, rewriteWorker) {
        const url = new URL(request.url, "http://store");
        const query = url.searchParams;
        const name = query.get("topic") ?? "";
        const body = await readBody(request);
        await new Promise(resolve => setTimeout(resolve, ANSWER_MS));
        switch (`${request.method} ${url.pathname}`) {
            case "POST /-/log-append":
                return this.answerAppend(response, name, query, body);
            case "GET /-/log-read":
                return this.answerRead(response, name, query, rewriteWorker);
            case "GET /-/log-newest":
                return this.answerNewest(response, name, query, rewriteWorker);
            default:
                return sendJson(response, 404, {});
        }
    }

    answerAppend(response, name, query, body) {
        if (OPERATOR_TOPICS.has(name)) {
            return sendJson(response, 403, {});
        }
        const records = decodeRecords(body);
        if (records === undefined || body.length > CALL_BYTES) {
            return sendJson(response, 400, { reason: "size" });
        }
        const topic = this.getTopic(name);
        const at = query.get("at");
        if (at !== null && Number(at) !== topic.end) {
            return sendJson(response, 412, { end: topic.end });
        }
        const producer = query.get("producer");
        if (producer === null) {
            return sendJson(response, 200, topic.append(records));
        }
        const answer = topic.appendAs(producer, Number(query.get("epoch")), Number(query.get("seq")), records);
        return sendJson(response, answer.reason === undefined ? 200 : 409, answer);
    }

    async answerRead(response, name, query, rewriteWorker) {
        const topic = this.getTopic(name);
        const from = Number(query.get("from"));
        await topic.waitForRecord(from, Number(query.get("wait_ms") ?? 0));
        const head = Buffer.alloc(16);
        head.writeBigUInt64BE(BigInt(topic.end), 0);
        const parts = [head];
        let bytes = 0;
        for (let offset = from; offset < topic.end && bytes < READ_BYTES; offset++) {
            const encoded = encodeRecord(rewrite(name, topic.records[offset], rewriteWorker));
            bytes += encoded.length;
            parts.push(encoded);
        }
        const body = Buffer.concat(parts);
        if (!response.destroyed) {
            response.writeHead(200, { "Content-Length": body.length });
            response.end(body);
        }
    }

    answerNewest(response, name, query, rewriteWorker) {
        const topic = this.getTopic(name);
        const after = query.get("depends_on");
        const keys = [...topic.newest.keys()].sort().filter(key => after === null || key > after);
        const items = [];
        let bytes = 0;
        for (const key of keys) {
            if (items.length >= PAGE_RECORDS || bytes >= PAGE_BYTES) {
                break;
            }
            const offset = topic.newest.get(key);
            const value = rewrite(name, topic.records[offset], rewriteWorker).value.toString("base64");
            bytes += value.length;
            items.push({ key, value, offset });
        }
        sendJson(response, 200, { items, has_more: items.length < keys.length, end: topic.end });
    }
}

/** The records of one keyed topic. */
class TopicLog {
    constructor() {
        this.records = [];
        /** Offset of the newest record of each key that has a value. */
        this.newest = new Map();
        this.producers = new Map();
        this.waiters = new Set();
    }

    get end() {
        return this.records.length;
    }

    append(records) {
        const offset = this.end;
        for (const record of records) {
            if (record.value === undefined) {
                this.newest.delete(record.key);
            }
            else {
                this.newest.set(record.key, this.end);
            }
            this.records.push(record);
        }
        const waiters = [...this.waiters];
        this.waiters.clear();
        waiters.forEach(wake => wake());
        return { offset, end: this.end };
    }

    appendAs(name, epoch, sequence, records) {
        const known = this.producers.get(name);
        if (known !== undefined && epoch < known.epoch) {
            return { reason: "fenced" };
        }
        if (known === undefined || epoch > known.epoch) {
            this.producers.set(name, { epoch, next: records.length === 0 ? undefined : sequence, answers: new Map() });
        }
        const producer = this.producers.get(name);
        if (records.length === 0) {
            return { offset: this.end, end: this.end };
        }
        const repeated = producer.answers.get(sequence);
        if (repeated !== undefined) {
            return repeated;
        }
        if (producer.next !== undefined && sequence !== producer.next) {
            return { reason: "seq", seq: producer.next };
        }
        const answer = this.append(records);
        producer.next = sequence + 1;
        producer.answers.set(sequence, answer);
        producer.answers.delete(sequence - REPEATED_APPENDS);
        return answer;
    }

    waitForRecord(from, waitMs) {
        if (from < this.end || waitMs === 0) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            const wake = () => {
                clearTimeout(timer);
                resolve();
            };
            const timer = setTimeout(() => {
                this.waiters.delete(wake);
                resolve();
            }, waitMs);
            this.waiters.add(wake);
        });
    }
}

function rewrite(topicName, record, rewriteWorker) {
    if (topicName !== "keyed.servers" || record.value === undefined) {
        return record;
    }
    const entry = rewriteWorker(JSON.parse(record.value.toString("utf8")), record.key);
    return { key: record.key, value: Buffer.from(JSON.stringify(entry)) };
}

/** Decodes the records of an append; undefined if one exceeds the limit of a record or is cut off. */
function decodeRecords(body) {
    const records = [];
    let position = 0;
    while (position < body.length) {
        const length = body.readUInt32BE(position);
        const start = position + 4;
        const end = start + length;
        if (length > RECORD_BYTES || end > body.length) {
            return undefined;
        }
        const valueStart = start + 1 + body.readUInt8(start);
        const key = body.toString("utf8", start + 1, valueStart);
        records.push({ key, value: valueStart < end ? Buffer.from(body.subarray(valueStart, end)) : undefined });
        position = end;
    }
    return records;
}

function encodeRecord({ key, value }) {
    const keyBytes = Buffer.from(key, "utf8");
    const head = Buffer.alloc(5);
    head.writeUInt32BE(1 + keyBytes.length + (value?.length ?? 0), 0);
    head.writeUInt8(keyBytes.length, 4);
    return Buffer.concat(value === undefined ? [head, keyBytes] : [head, keyBytes, value]);
}
