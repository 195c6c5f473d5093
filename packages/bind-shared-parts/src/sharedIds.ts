/** Under these ids a container holds shared parts that have no class of their own. */
export const sharedIds = {
    logger: Symbol.for("logger"),
    log: Symbol.for("log"),
};
