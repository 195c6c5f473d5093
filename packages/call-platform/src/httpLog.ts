import type { StageError } from "@sardinestage/errors";
import { ErrorKind } from "@sardinestage/errors";
import type { Result } from "ts-results";
import { z } from "zod";
import { callPlatformHttp } from "./callPlatformHttp.js";
import { checkAnswer } from "./checkAnswer.js";
import type { LogPage } from "./logPage.js";
import type { LogPort } from "./logPort.js";
import type { NewLogRecord } from "./newLogRecord.js";

const pageSchema = z.object({
    records: z.array(
        z.object({ offset: z.number().int(), id: z.string(), appendedAtMs: z.number(), data: z.unknown() }),
    ),
    next: z.number().int(),
    oldest: z.number().int(),
    atHead: z.boolean(),
});

/** The platform's log over HTTP. */
export class HttpLog implements LogPort {
    /**
     * @param baseUrl Where the log answers.
     * @param timeoutMs Bound on one call, without the wait that a read asks for.
     */
    constructor(private readonly baseUrl: string, private readonly timeoutMs: number) {}

    async append(stream: string, records: readonly NewLogRecord[]): Promise<Result<void, StageError>> {
        const answer = await callPlatformHttp({
            method: "POST",
            url: `${this.baseUrl}/streams/${stream}/records`,
            body: { records },
            timeoutMs: this.timeoutMs,
            unavailable: ErrorKind.LogUnavailable,
        });
        return answer.map(() => undefined);
    }

    async read(stream: string, from: number, waitMs: number): Promise<Result<LogPage, StageError>> {
        const answer = await callPlatformHttp({
            method: "GET",
            url: `${this.baseUrl}/streams/${stream}/records?from=${from}&waitMs=${waitMs}`,
            timeoutMs: this.timeoutMs + waitMs,
            unavailable: ErrorKind.LogUnavailable,
        });
        return answer.andThen(value => checkAnswer(pageSchema, value, ErrorKind.LogUnavailable));
    }
}
