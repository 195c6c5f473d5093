import { createContextKey } from "@connectrpc/connect";

/** Key of the RPC context value that holds the name of the calling operator. */
export const operatorContextKey = createContextKey("", { description: "operator" });
