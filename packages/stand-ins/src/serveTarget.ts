import { createHash } from "node:crypto";
import { createServer } from "node:http";
import type { IncomingMessage, Server, ServerResponse } from "node:http";
import type { StandInWorker } from "./standInWorker.js";

/** How targets misbehave; a share between 0 and 1 of requests. */
interface TargetFaults {
    failShare: number;
    /** Requests are taken and never answered. */
    silent: boolean;
    pickRandom: () => number;
}

const QUEUE_POLL_MS = 2;

/**
 * Serves the replicas of one worker: a request takes its time and is answered with its own body and id.
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
    const waves = Math.max(1, Math.ceil(replica.openRequests / concurrency));
    await waitFor((replica.model.serviceMs ?? 1) * worker.computeSlowdown(replica) * waves);
    replica.recordLatency(performance.now() - startedAtMs);
    if (!response.destroyed) {
        const digest = createHash("sha256").update(body).digest("hex");
        response.writeHead(200, { "x-request-id": requestId, "x-worker": name, "x-body-sha256": digest });
        response.end(body);
    }
}

/** A request is over for its target when the answer was handed to the system, or when its connection is gone. */
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
    return new Promise(resolve => setTimeout(resolve, Math.max(milliseconds, QUEUE_POLL_MS)));
}
