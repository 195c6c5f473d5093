/** A stand-in's answer to a call: a status and a JSON body, or `undefined` to leave the call unanswered. */
export type JsonAnswer = { readonly status: number; readonly body: unknown } | undefined;
