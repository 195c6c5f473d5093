import type { Metrics } from "@sardinestage/count-metrics";
import express from "express";
import type { Server } from "node:http";

/** Address of the status server and the sources of its pages. */
interface StatusServerOptions {
    readonly address: string;
    readonly port: number;
    readonly metrics: Metrics;
    /** Returns the content of `/status`: the state that an operator on call reads first. */
    readonly readStatus: () => object;
    /** Returns whether the load balancer may send work to this process. */
    readonly isReady: () => boolean;
}

/**
 * Serves `/metrics` (Prometheus text), `/status` (JSON) and `/health` (200 while the load balancer may send work to
 * this process, 503 otherwise).
 *
 * @returns The listening server; rejects with the operating system's error when the port is in use.
 */
export function serveStatus(options: StatusServerOptions): Promise<Server> {
    const app = express();
    app.get("/metrics", async (_request, response) => {
        response.type("text/plain; version=0.0.4").send(await options.metrics.writeText());
    });
    app.get("/status", (_request, response) => {
        response.json(options.readStatus());
    });
    app.get("/health", (_request, response) => {
        response.status(options.isReady() ? 200 : 503).end();
    });
    return new Promise((resolve, reject) => {
        const server = app.listen(options.port, options.address, failure => {
            if (failure === undefined) {
                resolve(server);
            }
            else {
                reject(failure);
            }
        });
    });
}
