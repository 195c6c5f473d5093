import { describe, expect, it } from "@jest/globals";
import { EventEmitter } from "node:events";
import { watchUnexpectedErrors } from "./watchUnexpectedErrors.js";

describe("watchUnexpectedErrors", () => {
    it.each(["uncaughtException", "unhandledRejection"])("logs an event %s with its cause", event => {
        const lines: unknown[] = [];
        const log = (name: string, fields?: object) => lines.push([name, fields]);
        const source = new EventEmitter();
        watchUnexpectedErrors(source, { info: log, warn: log, error: log });
        source.emit(event, "the cause");
        expect(lines).toEqual([["unexpected-error", { event, problem: "the cause" }]]);
    });
});
