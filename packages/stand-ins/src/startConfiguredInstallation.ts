import type { ConfigDocument } from "@sardinestage/types";
import { Installation } from "./installation.js";
import type { InstallationPlan } from "./installationPlan.js";
import { OperatorJsonClient } from "./operatorJsonClient.js";
import { waitUntil } from "./waitUntil.js";

const TIMEOUT_MS = 20_000;

/**
 * Starts an installation, publishes its first configuration, and waits until every entry has capacity for each service
 * that has replicas in the entry's failure domain.
 */
export async function startConfiguredInstallation(
    plan: InstallationPlan,
    config: ConfigDocument,
): Promise<Installation> {
    const installation = new Installation(plan);
    try {
        await installation.start();
        const [first] = installation.entryVms.values();
        const published = await new OperatorJsonClient(first.ports.admin).publishConfig("first-config", config);
        if (!published.ok) {
            throw new Error(
                `The first configuration (change first-config) was refused: ${JSON.stringify(published.body)}`,
            );
        }
        const replicas = config.services.flatMap(service => Object.values(service.replicas)).reduce((a, b) => a + b, 0);
        await waitUntil("all replicas run", () => installation.recorder.starts >= replicas, TIMEOUT_MS);
        for (const { record, ports } of installation.entryVms.values()) {
            const localServices = config.services.filter(service => (service.replicas[record.domain] ?? 0) > 0);
            await waitUntil("every entry has targets", async () => {
                const { capacity } = await installation.readStatus(ports.entryMetrics) as {
                    capacity: Record<string, number>;
                };
                return localServices.every(service => (capacity[service.name] ?? 0) > 0);
            }, TIMEOUT_MS);
        }
        return installation;
    }
    catch (failure) {
        await installation.close();
        throw failure;
    }
}
