import { createContextKey } from "@connectrpc/connect";

/** Under this key a call carries the name of the operator who makes it. */
export const operatorKey = createContextKey("", { description: "operator" });
