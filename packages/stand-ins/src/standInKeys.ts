/** Authentication keys of stand-in installations. */
export const standInKeys = {
    peer: "peer-key-of-the-stand-ins",
    operator: "operator-key-of-the-stand-ins",
    caller: "caller-key-of-the-stand-ins",
    otherCaller: "other-caller-key-of-the-stand-ins",
};
