import type { Client } from "@connectrpc/connect";
import type { OperatorService } from "@sardinestage/operator-rpc";

/** The operators' calls. */
export type OperatorClient = Client<typeof OperatorService>;
