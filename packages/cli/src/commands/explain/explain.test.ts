import { afterEach, describe, expect, it } from "@jest/globals";
import type { CoordinatorCall, CoordinatorReply } from "@sardinestage/accept-jobs";
import { Metrics } from "@sardinestage/count-metrics";
import { ExplainOutcome } from "@sardinestage/describe-work";
import { ErrorKind } from "@sardinestage/errors";
import { FrameKind, PeerServer } from "@sardinestage/exchange-frames";
import { spawnSync } from "node:child_process";
import { fileURLToPath } from "node:url";
import { formatExplanation } from "./formatExplanation.js";
import { readJobFile } from "./readJobFile.js";
import { requestExplanation } from "./requestExplanation.js";

const ADDRESS = "127.0.0.1";
const PORT = 39_471;
const COMMAND = fileURLToPath(new URL("../../../bin.js", import.meta.url));
const target = { address: ADDRESS, port: PORT, peerKey: "secret" };
const answered = { outcome: ExplainOutcome.Explained, mayStart: true, steps: [], leftOutCount: 0 };
let server: PeerServer | undefined;

async function listen(reply: CoordinatorReply): Promise<CoordinatorCall[]> {
    const calls: CoordinatorCall[] = [];
    server = new PeerServer({
        peerKey: "secret",
        maxFrameBytes: 100_000,
        maxConnections: 2,
        metrics: new Metrics(),
        handlers: new Map([[FrameKind.CallCoordinator, body => {
            calls.push(body as CoordinatorCall);
            return Promise.resolve(reply);
        }]]),
    });
    await server.listen(ADDRESS, PORT);
    return calls;
}

describe("stagectl explain", () => {
    afterEach(() => server?.close());

    it("asks the entry VM for an explanation", async () => {
        const calls = await listen({ explanation: answered });
        expect((await requestExplanation(target, { id: "job" })).unwrap()).toEqual(answered);
        expect(calls).toMatchObject([{ kind: 5, id: "job" }]);
    });

    it.each<[string, CoordinatorReply, string, ErrorKind]>([
        ["an unknown job", createRefusal(ExplainOutcome.UnknownJob), "secret", ErrorKind.UnknownJob],
        ["a finished job", createRefusal(ExplainOutcome.JobFinished), "secret", ErrorKind.JobFinished],
        ["too many questions", createRefusal(ExplainOutcome.TooOften), "secret", ErrorKind.TooManyPending],
        ["no coordinator", { isUnsent: true }, "secret", ErrorKind.NoCoordinator],
        ["a wrong key", { explanation: answered }, "wrong!", ErrorKind.Unauthenticated],
    ])("names the kind of failure for %s", async (_case, reply, peerKey, kind) => {
        await listen(reply);
        const result = await requestExplanation({ ...target, peerKey }, { id: "job" });
        expect(result.err && result.val.kind).toBe(kind);
    });

    // Guards against a stack trace, or an error within an error, in place of the remedy.
    it("prints the problem and its remedy, and exits with 1", () => {
        const options = ["--file", "/nowhere/job.json", "--queue", "q", "--peer", "h:1", "--peer-key", "k"];
        const { status, stderr } = spawnSync(process.execPath, [COMMAND, "explain", ...options], { encoding: "utf8" });
        expect(status).toBe(1);
        expect(stderr.trim().split("\n")).toEqual([expect.stringMatching(/^The job file .* can't be read: .* Check/)]);
    });

    it("names an unreadable job file", () => {
        const result = readJobFile("/nowhere/job.json");
        expect(result.err && result.val.kind).toBe(ErrorKind.FileUnreadable);
    });

    it("prints placements, reasons and ruled-out workers", () => {
        const step = {
            occurrence: 0,
            step: 0,
            taskCount: 3,
            activeCount: 1,
            waitingCount: 2,
            waitsForSteps: [],
            placements: [{ workerId: "w1", tasks: [1], reasons: ["4 cores and 10 MB free there"] }],
            waitReason: "too little free processor",
            candidateCount: 1,
            ruledOut: [{ reason: "draining", workers: 2 }],
        };
        const text = formatExplanation({ ...answered, mayStart: false, steps: [step], leftOutCount: 1 });
        expect(text.split("\n")).toEqual([
            "The coordinator may start no task now; the placements hold once it may.",
            "occurrence 0, step 0: 2 of 3 tasks wait, 1 run",
            "    w1: tasks 1",
            "        4 cores and 10 MB free there",
            "    further tasks wait: too little free processor",
            "    1 workers could take a task",
            "    2 workers ruled out: draining",
            "1 further steps with waiting tasks are left out.",
        ]);
    });
});

function createRefusal(outcome: ExplainOutcome): CoordinatorReply {
    return { explanation: { ...answered, outcome } };
}
