import { createConnection, createServer } from "node:net";

/**
 * A TCP link to a port on 127.0.0.1 that can be cut. While it is cut, no byte passes in either direction and connections
 * stay open without an answer, as behind a network partition. After the cut, bytes that were under way arrive unless an
 * end has closed its connection in the meantime.
 */
export class Link {
    constructor(targetPort) {
        this.targetPort = targetPort;
        this.isCut = false;
        this.pairs = new Set();
        this.server = createServer({ pauseOnConnect: false }, client => this.accept(client));
    }

    /** Listens on a free port and returns the port. */
    async listen() {
        await new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.listen(0, "127.0.0.1", resolve);
        });
        this.port = this.server.address().port;
        return this.port;
    }

    /** Lets no byte pass from now on. */
    cut() {
        this.isCut = true;
        for (const { client, upstream } of this.pairs) {
            client.pause();
            upstream?.pause();
        }
    }

    /** Ends the cut. */
    heal() {
        this.isCut = false;
        for (const pair of this.pairs) {
            if (pair.client.destroyed || pair.upstream?.destroyed) {
                this.drop(pair);
                continue;
            }
            if (pair.upstream === undefined) {
                this.connect(pair);
            }
            pair.client.resume();
            pair.upstream.resume();
        }
    }

    /** Closes the link. */
    close() {
        this.server.close();
        [...this.pairs].forEach(pair => this.drop(pair));
    }

    accept(client) {
        const pair = { client, upstream: undefined };
        this.pairs.add(pair);
        client.setNoDelay(true);
        client.pause();
        client.on("error", () => undefined);
        client.on("close", () => this.handleClose(pair));
        if (!this.isCut) {
            this.connect(pair);
            client.resume();
        }
    }

    connect(pair) {
        const { client } = pair;
        const upstream = createConnection({ host: "127.0.0.1", port: this.targetPort, noDelay: true });
        pair.upstream = upstream;
        upstream.on("error", () => undefined);
        upstream.on("close", () => this.handleClose(pair));
        client.on("data", chunk => upstream.write(chunk));
        upstream.on("data", chunk => client.write(chunk));
    }

    handleClose(pair) {
        if (!this.isCut) {
            this.drop(pair);
        }
    }

    drop(pair) {
        this.pairs.delete(pair);
        pair.client.destroy();
        pair.upstream?.destroy();
    }
}
