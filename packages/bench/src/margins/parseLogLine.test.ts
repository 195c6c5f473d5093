import { describe, expect, it } from "@jest/globals";
import { LineFault } from "./lineFault.js";
import { parseLogLine } from "./parseLogLine.js";

const EVENT = "{\"time\":\"2026-07-10T16:23:12.064Z\",\"event\":\"takeover\",\"tookMs\":5}";
const FIELDS = { time: "2026-07-10T16:23:12.064Z", event: "takeover", tookMs: 5 };

describe("parseLogLine", () => {
    it.each([
        ["  12.2500 vm-1 ", 12.25],
        ["  -7.9138 vm-1 ", -7.9138],
        ["0 vm-1 ", 0],
    ])("reads an event after \"%s\"", (prefix, second) => {
        expect(parseLogLine(`${prefix}${EVENT}`, undefined).unwrap()).toEqual({
            second,
            event: "takeover",
            fields: FIELDS,
        });
    });

    it("reads the line after the piece of another", () => {
        const piece = "  -7.9354 vm-1 {\"time\":\"2026-07-10T16:23:12.064Z\",\"level\":\"info\",\"process\":\"f";
        expect(parseLogLine(`${piece}  -7.9138 vm-2 ${EVENT}`, undefined).unwrap().second).toBe(-7.9138);
    });

    it("gives a line without a second that of the line before", () => {
        expect(parseLogLine(EVENT, 31.5).unwrap()).toEqual({ second: 31.5, event: "takeover", fields: FIELDS });
        expect(parseLogLine(EVENT, undefined).val).toBe(LineFault.Unreadable);
    });

    it.each([
        ["", LineFault.Foreign],
        ["worth 0.5", LineFault.Foreign],
        [`  1.0 vm-1 ${EVENT.slice(0, -1)}`, LineFault.Unreadable],
        [`  1.0 vm-1 ${EVENT} x`, LineFault.Unreadable],
        ["  1.0 vm-1 {\"time\":\"\"}", LineFault.Unreadable],
        ["  1.0 vm-1 {\"time\":\"\",\"event\":5}", LineFault.Unreadable],
        [`  10001 vm-1 ${EVENT}`, LineFault.Unreadable],
    ])("refuses \"%s\" as %s", (text, fault) => {
        expect(parseLogLine(text, 1).val).toBe(fault);
    });
});
