import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { StandInWorker } from "./standInWorker.js";

/** Faults of a worker's targets. */
interface TargetFaults {
    /** Share of requests whose connection is closed instead of an answer, between 0 and 1. */
    failShare: number;
    /** Whether requests are read but never answered. */
    silent: boolean;
    /** Returns a random number between 0 and 1. */
    pickRandom: () => number;
}

/** Minimum time from a request's start to its answer. */
const MIN_SERVICE_MS = 2;

/**
 * Serves the replicas of one worker. A request is answered with its own body and id, after a time that depends on the
 * replica's load and on interference.
 *
 * @returns The listening server.
 */
export function serveTarget(port: number, worker: StandInWorker, faults: TargetFaults): Promise<Server> {
    const server = createServer((request, response) => void answerRequest(worker, faults, request, response));
    server.keepAliveTimeout = 60_000;
    return new Promise((resolve, reject) => {
        server.once("error", reject);
        server.listen(port, "127.0.0.1", () => resolve(server));
    });
}

async function answerRequest(
    worker: StandInWorker,
    faults: TargetFaults,
    request: IncomingMessage,
    response: ServerResponse,
): Promise<void> {
    const { recorder, name, connections } = worker.options;
    const service = /^\/services\/([^/]+)/.exec(request.url ?? "")?.[1] ?? "";
    const requestId = String(request.headers["x-request-id"]);
    const replica = worker.findReplica(service);
    worker.openRequests++;
    recorder.recordConnections(name, worker.openRequests, connections);
    callOnceEnded(response, () => worker.openRequests--);
    if (replica === undefined) {
        request.resume();
        response.writeHead(503, { "x-not-run": "true" }).end();
        return;
    }
    replica.openRequests++;
    callOnceEnded(response, () => replica.openRequests--);
    const body = await readBody(request);
    if (body === undefined || faults.silent) {
        return;
    }
    recorder.recordRequest(requestId, request.headers["x-idempotent"] === "true");
    if (faults.pickRandom() < faults.failShare) {
        response.socket?.destroy();
        return;
    }
    const startedAtMs = performance.now();
    const concurrency = replica.model.concurrency ?? connections;
    // The replica works on `concurrency` requests at once; further ones wait for the next wave.
    const waves = Math.max(1, Math.ceil(replica.openRequests / concurrency));
    await waitFor((replica.model.serviceMs ?? 1) * worker.computeSlowdown(replica) * waves);
    replica.recordLatency(performance.now() - startedAtMs);
    if (!response.destroyed) {
        const digest = createHash("sha256").update(body).digest("hex");
        response.writeHead(200, { "x-request-id": requestId, "x-worker": name, "x-body-sha256": digest });
        response.end(body);
    }
}

/** Calls a handler once, when the whole answer has been passed to the operating system or the connection has closed. */
function callOnceEnded(response: ServerResponse, handleEnd: () => void): void {
    let ended = false;
    const end = () => {
        if (!ended) {
            ended = true;
            handleEnd();
        }
    };
    response.once("finish", end);
    response.once("close", end);
}

async function readBody(request: IncomingMessage): Promise<Buffer | undefined> {
    const chunks: Buffer[] = [];
    try {
        for await (const chunk of request) {
            chunks.push(chunk as Buffer);
        }
        return Buffer.concat(chunks);
    }
    catch {
        return undefined;
    }
}

function waitFor(milliseconds: number): Promise<void> {
    return new Promise(resolve => setTimeout(resolve, Math.max(milliseconds, MIN_SERVICE_MS)));
}
