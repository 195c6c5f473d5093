import got from "got";
import { standInKeys } from "./standInKeys.js";

/** What an operator's call came to. */
interface OperatorAnswer {
    readonly ok: boolean;
    readonly body: Record<string, unknown>;
}

/** Makes operators' calls as plain JSON over POST. */
export class OperatorCalls {
    /** @param port Where an administration process listens. */
    constructor(private readonly port: number) {}

    /** Makes one call; a refusal is an answer with `ok` false. */
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

    /** Publishes a configuration from the version in force. */
    async publishConfig(changeId: string, config: object): Promise<OperatorAnswer> {
        const current = await this.call("GetConfig", {});
        const { version } = current.body.current as { version?: number };
        return this.call("PublishConfig", { changeId, basedOn: version ?? 0, config });
    }
}
