import got from "got";
import { standInKeys } from "./standInKeys.js";

/** Result of an operator's call; `ok` is false if the call was refused. */
interface OperatorAnswer {
    readonly ok: boolean;
    readonly body: Record<string, unknown>;
}

/** Calls the operator API of an administration process with JSON over POST. */
export class OperatorJsonClient {
    /** @param port Port on which the administration process listens. */
    constructor(private readonly port: number) {}

    /** Makes one call without retries; a refused call returns an answer with `ok` false instead of throwing. */
    async call(name: string, body: object, timeoutMs = 10_000): Promise<OperatorAnswer> {
        const url = `http://127.0.0.1:${this.port}/sardinestage.v1.OperatorService/${name}`;
        const answer = await got.post(url, {
            json: body,
            headers: { authorization: `Bearer ${standInKeys.operator}` },
            throwHttpErrors: false,
            retry: { limit: 0 },
            timeout: { request: timeoutMs },
            responseType: "json",
        });
        return { ok: answer.statusCode === 200, body: answer.body as Record<string, unknown> };
    }

    /** Publishes a configuration that is based on the current version. */
    async publishConfig(changeId: string, config: object): Promise<OperatorAnswer> {
        const current = await this.call("GetConfig", {});
        const { version } = current.body.current as { version?: number };
        return this.call("PublishConfig", { changeId, basedOn: version ?? 0, config });
    }
}
