import { beforeEach, describe, expect, it } from "@jest/globals";
import { PageSpan } from "./pageSpan.js";

describe("PageSpan", () => {
    let span: PageSpan;

    beforeEach(() => {
        span = new PageSpan();
    });

    it("expects any key in a page as long as no page was seen", () => {
        expect(span.isKnown).toBe(false);
        expect(span.isReached("0000000000000000", "ffffffffffffffff")).toBe(true);
    });

    it("expects as many keys in a page as the last full page had", () => {
        span.notePage("1000000000000000", "3000000000000000");
        expect(span.isKnown).toBe(true);
        expect(span.isReached("a000000000000000", "bfffffff00000000")).toBe(true);
        expect(span.isReached("a000000000000000", "c100000000000000")).toBe(false);
        span.notePage("3000000000000000", "4000000000000000");
        expect(span.isReached("a000000000000000", "bfffffff00000000")).toBe(false);
    });

    it("expects more keys, and never fewer, after a page that was the last one", () => {
        span.notePage("1000000000000000", "3000000000000000");
        span.notePage("e000000000000000", undefined);
        expect(span.isReached("a000000000000000", "bfffffff00000000")).toBe(true);
        span.notePage("1000000000000000", undefined);
        expect(span.isReached("1000000000000000", "f100000000000000")).toBe(true);
    });

    it("learns nothing from keys that aren't hexadecimal, and none from a page of one key", () => {
        span.notePage("f000000000000000", "part/f000000000000000");
        span.notePage("f000000000000000", "f000000000000000");
        expect(span.isKnown).toBe(false);
    });
});
