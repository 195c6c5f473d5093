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

/** HTTP client of the platform's log. */
export class HttpLog implements LogPort {
    /**
     * @param baseUrl Base URL of the log.
     * @param timeoutMs Timeout of one call, in milliseconds; a read's `waitMs` is added to it.
     */
    constructor(private readonly baseUrl: string, private readonly timeoutMs: number) {}

    async append(stream: string, records: readonly NewLogRecord[]): Promise<Result<void, StageError>> {
        const answer = await callPlatformHttp({
            method: "POST",
            url: `${this.baseUrl}/streams/${stream}/records`,
            body: { records },
            timeoutMs: this.timeoutMs,
            unavailableKind: ErrorKind.LogUnavailable,
        });
        return answer.map(() => undefined);
    }

    async read(stream: string, from: number, waitMs: number): Promise<Result<LogPage, StageError>> {
        const answer = await callPlatformHttp({
            method: "GET",
            url: `${this.baseUrl}/streams/${stream}/records?from=${from}&waitMs=${waitMs}`,
            timeoutMs: this.timeoutMs + waitMs,
            unavailableKind: ErrorKind.LogUnavailable,
        });
        return answer.andThen(value => checkAnswer(pageSchema, value, ErrorKind.LogUnavailable));
    }
}
