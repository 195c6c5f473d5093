/** Stand-in of the advice service, after PROTOCOL.md (`POST /-/advise`). Every worker may run every step. */
import { createServer } from "node:http";

const MAX_WAITING = 32;

export class Advice {
    constructor({ decideMs, eachMs, validMs, report }) {
        Object.assign(this, { decideMs, eachMs, validMs, report });
        /** When each ticket that was given ends, in steady milliseconds. */
        this.tickets = new Map();
        this.given = 0;
        this.waiting = [];
        this.isBusy = false;
        this.server = createServer((request, response) => {
            const chunks = [];
            request.on("error", () => undefined);
            request.on("data", chunk => chunks.push(chunk));
            request.on("end", () => this.take(JSON.parse(Buffer.concat(chunks).toString()), response));
        });
        this.server.keepAliveTimeout = 60_000;
    }

    listen() {
        return new Promise(resolve =>
            this.server.listen(0, "127.0.0.1", () => resolve(`127.0.0.1:${this.server.address().port}`))
        );
    }

    close() {
        this.server.close();
        this.server.closeAllConnections();
    }

    /** Handles one call after the other: only one machine, the coordinator's, calls at a time. */
    take(body, response) {
        if (this.waiting.length >= MAX_WAITING) {
            response.statusCode = 429;
            response.end("{}");
            return;
        }
        this.waiting.push({ body, response });
        this.next();
    }

    next() {
        if (this.isBusy || this.waiting.length === 0) {
            return;
        }
        this.isBusy = true;
        const { body, response } = this.waiting.shift();
        setTimeout(() => {
            const endsAt = performance.now() + this.validMs;
            const good = body.workers.map(id => {
                const ticket = `t-${++this.given}`;
                this.tickets.set(ticket, { step: body.step, id, endsAt });
                return [id, ticket];
            });
            this.report({ event: "advice", step: body.step, workers: body.workers.length, isGone: response.destroyed });
            response.end(JSON.stringify({ good, valid_ms: this.validMs }));
            this.isBusy = false;
            this.next();
        }, this.decideMs + this.eachMs * body.workers.length);
    }

    /** Whether a ticket lets a task of a step start on a worker now. */
    isValid(ticket, task, id) {
        const found = this.tickets.get(ticket);
        return found !== undefined && found.id === id && task.startsWith(`${found.step}.`)
            && found.endsAt > performance.now();
    }
}
