/** Longest time for which a line waits, in milliseconds. */
const MAX_WAIT_MS = 50;
/** Characters that are written at once at the latest, so that a flood of lines doesn't fill the memory. */
const MAX_CHARACTERS = 16_384;

/** Gathers log lines and writes several of them at once, since each write costs a system call. */
export class LineBuffer {
    private text = "";
    private timer: NodeJS.Timeout | undefined;

    /** @param write Writes a text of whole lines. */
    constructor(private readonly write: (text: string) => void) {}

    /** Adds a line, which ends with a line feed. */
    addLine(line: string): void {
        this.text += line;
        if (this.text.length >= MAX_CHARACTERS) {
            this.flush();
        }
        else if (this.timer === undefined) {
            this.timer = setTimeout(() => this.flush(), MAX_WAIT_MS);
            // A process that is about to end calls `flush` itself.
            this.timer.unref();
        }
    }

    /** Writes all lines that wait. */
    flush(): void {
        clearTimeout(this.timer);
        this.timer = undefined;
        if (this.text !== "") {
            this.write(this.text);
            this.text = "";
        }
    }
}
