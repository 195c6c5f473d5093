/** What a stand-in answers: a status and a JSON body, or `undefined` for no answer at all. */
export type JsonAnswer = { readonly status: number; readonly body: unknown } | undefined;
