import { describe, expect, it } from "@jest/globals";
import { WorkerLife } from "./workerLife.js";

const BORN_MS = 1000;

/** Creates a life whose term has the newest token that `term.newest` says. */
function createLife(term: { newest: number }): WorkerLife {
    const life = new WorkerLife(() => term.newest);
    life.noteAnswer(BORN_MS);
    return life;
}

function createRequest(life: WorkerLife) {
    return { sentAtMs: 0, receivedAtMs: 0, fence: life.fence };
}

describe("WorkerLife", () => {
    it("brings a higher token to the next life after a start and a call without an answer", () => {
        const term = { newest: 10 };
        const life = createLife(term);
        life.noteStartSent();
        term.newest = 11;
        life.noteSilence();
        expect(life.fence).toBe(11);
    });

    it("keeps its token after a call without an answer if no start was sent with it", () => {
        const term = { newest: 10 };
        const life = createLife(term);
        term.newest = 11;
        life.noteSilence();
        expect(life.fence).toBe(10);
    });

    it("counts no report of the next life until the term has a token that no start was sent with", () => {
        const term = { newest: 10 };
        const life = createLife(term);
        life.noteStartSent();
        expect(life.noteAnswer(BORN_MS + 1)).toBe(true);
        expect(life.isReportedBy(createRequest(life))).toBe(false);
        const early = createRequest(life);
        term.newest = 11;
        expect(life.noteAnswer(BORN_MS + 1)).toBe(false);
        expect(life.isReportedBy(early)).toBe(false);
        expect(life.isReportedBy(createRequest(life))).toBe(true);
    });
});
