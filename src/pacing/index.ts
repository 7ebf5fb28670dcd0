/** How fast fillers work beside tasks that serve users. */
export { choosePace, type ServingReading } from "./choosePace";
