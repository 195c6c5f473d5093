import { Agent, request as sendHttp } from "node:http";

const agent = new Agent({ keepAlive: false });

/** Reads the whole body of a request or response. */
export async function readBody(stream) {
    const chunks = [];
    for await (const chunk of stream) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks);
}

/** Sends a JSON response. */
export function sendJson(response, status, body) {
    if (response.destroyed) {
        return;
    }
    const text = body === undefined ? "" : JSON.stringify(body);
    response.writeHead(status, { "Content-Type": "application/json", "Content-Length": Buffer.byteLength(text) });
    response.end(text);
}

/**
 * Sends a client's request to a port on 127.0.0.1.
 *
 * @returns The status and the parsed body; status 0 if no complete response came in time.
 */
export function sendRequest({ port, method, path, host, body, timeoutMs = 3000 }) {
    return new Promise(resolve => {
        const text = body === undefined ? "" : JSON.stringify(body);
        const headers = { Host: host, "Timeout-Ms": String(timeoutMs) };
        if (body !== undefined) {
            headers["Content-Type"] = "application/json";
            headers["Content-Length"] = Buffer.byteLength(text);
        }
        const request = sendHttp({ host: "127.0.0.1", port, method, path, headers, agent }, response => {
            readBody(response).then(bytes => {
                clearTimeout(timer);
                resolve({ status: response.statusCode, body: parseJson(bytes) });
            }, () => resolve({ status: 0 }));
        });
        const timer = setTimeout(() => request.destroy(new Error("timeout")), timeoutMs);
        request.on("error", () => {
            clearTimeout(timer);
            resolve({ status: 0 });
        });
        request.end(text);
    });
}

function parseJson(bytes) {
    try {
        return JSON.parse(bytes.toString("utf8"));
    }
    catch {
        return undefined;
    }
}
