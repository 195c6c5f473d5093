import type { Client } from "@connectrpc/connect";
import type { OperatorService } from "@sardinestage/operator-rpc";

/** RPC client of the operators' API. */
export type OperatorClient = Client<typeof OperatorService>;
