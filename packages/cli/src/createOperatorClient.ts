import { createClient } from "@connectrpc/connect";
import { createConnectTransport } from "@connectrpc/connect-node";
import { OperatorService } from "@sardinestage/operator-rpc";
import type { OperatorClient } from "./operatorClient.js";

/**
 * Creates a client of an administration process.
 *
 * @param url The URL of the process, such as `http://127.0.0.1:7000`.
 * @param key The operator's key.
 */
export function createOperatorClient(url: string, key: string): OperatorClient {
    const transport = createConnectTransport({
        baseUrl: url,
        httpVersion: "1.1",
        interceptors: [next => request => {
            request.header.set("authorization", `Bearer ${key}`);
            return next(request);
        }],
    });
    return createClient(OperatorService, transport);
}
