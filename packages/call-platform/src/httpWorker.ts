import type { StageError } from "@sardinestage/errors";
import { ErrorKind } from "@sardinestage/errors";
import type { Result } from "ts-results";
import { z } from "zod";
import type { AttemptRef } from "./attemptRef.js";
import { callPlatformHttp } from "./callPlatformHttp.js";
import { checkAnswer } from "./checkAnswer.js";
import { platformSchemas } from "./platformSchemas.js";
import type { RenewOrder } from "./renewOrder.js";
import type { StartOrder } from "./startOrder.js";
import type { WorkerPort } from "./workerPort.js";
import type { WorkerReport } from "./workerReport.js";

const leaseSchema = z.object({ token: z.number().int() });
const checkpointSchema = z.object({ checkpoint: z.string() });

/** HTTP client of a worker's control interface. */
export class HttpWorker implements WorkerPort {
    constructor(private readonly baseUrl: string, private readonly timeoutMs: number) {}

    async acquireLease(holder: string, ttlMs: number): Promise<Result<number, StageError>> {
        const answer = await this.sendOrder("lease", { holder, ttlMs });
        return answer.andThen(value => checkAnswer(leaseSchema, value, ErrorKind.WorkerUnreachable)).map(lease =>
            lease.token
        );
    }

    async renewLease(token: number, order: RenewOrder): Promise<Result<WorkerReport, StageError>> {
        const answer = await this.sendOrder("renew", { token, ...order });
        return answer.andThen(value => checkAnswer(platformSchemas.workerReport, value, ErrorKind.WorkerUnreachable));
    }

    async releaseLease(token: number): Promise<Result<void, StageError>> {
        return (await this.sendOrder("release", { token })).map(() => undefined);
    }

    async startTask(token: number, order: StartOrder): Promise<Result<void, StageError>> {
        return (await this.sendOrder("start", { token, ...order })).map(() => undefined);
    }

    async checkpointTask(token: number, attempt: AttemptRef): Promise<Result<string, StageError>> {
        const answer = await this.sendOrder("checkpoint", { token, ...attempt });
        return answer
            .andThen(value => checkAnswer(checkpointSchema, value, ErrorKind.WorkerUnreachable))
            .map(taken => taken.checkpoint);
    }

    async throttleTask(token: number, attempt: AttemptRef, share: number): Promise<Result<void, StageError>> {
        return (await this.sendOrder("throttle", { token, ...attempt, share })).map(() => undefined);
    }

    async stopTask(token: number, attempt: AttemptRef): Promise<Result<void, StageError>> {
        return (await this.sendOrder("stop", { token, ...attempt })).map(() => undefined);
    }

    private sendOrder(order: string, body: object): Promise<Result<unknown, StageError>> {
        return callPlatformHttp({
            method: "POST",
            url: `${this.baseUrl}/${order}`,
            body,
            timeoutMs: this.timeoutMs,
            unavailableKind: ErrorKind.WorkerUnreachable,
        });
    }
}
