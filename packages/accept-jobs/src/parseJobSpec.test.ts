import { describe, expect, it } from "@jest/globals";
import { parseJobSpec } from "./parseJobSpec.js";

describe("parseJobSpec", () => {
    it("fills in the fields that a step leaves out", () => {
        const spec = parseJobSpec({ steps: [{ cpuMillis: 200 }, { dependsOn: [0] }] }).unwrap();
        expect(spec.steps).toMatchObject([{ taskCount: 1, cpuMillis: 200, gang: false }, { dependsOn: [0] }]);
    });

    // Guards against a job from outside that ends or occupies the coordinator's process.
    it.each<[string, unknown]>([
        ["no job", undefined],
        ["no steps", { steps: [] }],
        ["a step that isn't an object", { steps: ["step"] }],
        ["a dependency on itself", { steps: [{ dependsOn: [0] }] }],
        ["an unknown field", { steps: [{ cpu: 1 }] }],
        ["a fraction of a task", { steps: [{ taskCount: 0.5 }] }],
        ["a negative size", { steps: [{ cpuMillis: -1 }] }],
        ["too many tasks", { steps: [{ taskCount: 10_000_000 }] }],
    ])("refuses %s", (_case, value) => {
        expect(parseJobSpec(value).err).toBe(true);
    });
});
