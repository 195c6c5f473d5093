import type { StageError } from "@sardinestage/errors";
import { ErrorKind } from "@sardinestage/errors";
import type { VmRecord } from "@sardinestage/types";
import type { Result } from "ts-results";
import { callPlatformHttp } from "./callPlatformHttp.js";
import { checkAnswer } from "./checkAnswer.js";
import { platformSchemas } from "./platformSchemas.js";
import type { VmListPort } from "./vmListPort.js";

/** HTTP client of the platform's VM list. */
export class HttpVmList implements VmListPort {
    constructor(private readonly url: string, private readonly timeoutMs: number) {}

    async list(): Promise<Result<readonly VmRecord[], StageError>> {
        const answer = await callPlatformHttp({
            method: "GET",
            url: this.url,
            timeoutMs: this.timeoutMs,
            unavailableKind: ErrorKind.ListUnavailable,
        });
        return answer
            .andThen(value => checkAnswer(platformSchemas.vmList, value, ErrorKind.ListUnavailable))
            .map(list => list.vms);
    }
}
