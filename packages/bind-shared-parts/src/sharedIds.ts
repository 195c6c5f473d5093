/** Service ids in the container of the shared components that are bound by an interface and not by a class. */
export const sharedIds = {
    logger: Symbol.for("logger"),
    log: Symbol.for("log"),
};
