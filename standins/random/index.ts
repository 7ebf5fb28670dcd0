/** Seeded random numbers for tests, the matrix and the bench. */
export { createRandom, type Random } from "./createRandom";
