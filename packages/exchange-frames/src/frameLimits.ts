/** Version of the frame layout that this build writes, and the only one that it reads. */
export const FRAME_VERSION = 1;
