import { appendFileSync, writeFileSync } from "node:fs";

/** Writes what was sent, answered and run to `record.txt`, and keeps it for the checks. */
export class Recorder {
    constructor(file) {
        this.file = file;
        this.startedAtMs = performance.now();
        this.entries = [];
        this.lines = [];
        writeFileSync(file, "");
        this.timer = setInterval(() => this.flush(), 250);
    }

    /** Time since the start of the case, in milliseconds. */
    now() {
        return Math.round(performance.now() - this.startedAtMs);
    }

    /** Records an event with its fields. */
    note(event, fields = {}) {
        const entry = { atMs: this.now(), event, ...fields };
        this.entries.push(entry);
        const text = Object.entries(fields).map(([key, value]) => `${key}=${value}`).join(" ");
        this.lines.push(`${(entry.atMs / 1000).toFixed(3)} ${event} ${text}`);
        return entry;
    }

    /** Lists the recorded events of a kind. */
    list(event) {
        return this.entries.filter(entry => entry.event === event);
    }

    /** Writes the lines that wait. */
    flush() {
        if (this.lines.length > 0) {
            appendFileSync(this.file, `${this.lines.join("\n")}\n`);
            this.lines = [];
        }
    }

    /** Writes the last lines and stops. */
    close() {
        clearInterval(this.timer);
        this.flush();
    }
}
