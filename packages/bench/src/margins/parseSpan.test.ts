import { describe, expect, it } from "@jest/globals";
import { ErrorKind } from "@sardinestage/errors";
import { parseSpan } from "./parseSpan.js";

describe("parseSpan", () => {
    it.each([["0-20", 0, 20], ["1.5-2.25", 1.5, 2.25]])("reads %s", (text, fromSecond, toSecond) => {
        expect(parseSpan(text).unwrap()).toEqual({ fromSecond, toSecond });
    });

    it.each(["", "5", "5-", "-5", "20-10", "5-5", "a-b", "1-2-3", "1e3-2e3"])("refuses \"%s\"", text => {
        const span = parseSpan(text);
        expect(span.err && span.val.kind).toBe(ErrorKind.InvalidArgument);
    });
});
