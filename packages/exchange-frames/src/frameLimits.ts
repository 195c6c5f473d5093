/** The newest frame layout that this build speaks. */
export const FRAME_VERSION = 1;
