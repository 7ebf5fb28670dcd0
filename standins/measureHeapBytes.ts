import { setFlagsFromString } from "node:v8";
import { runInNewContext } from "node:vm";

/** Heap in use after a garbage collection, in bytes. */
export function measureHeapBytes(): number {
    setFlagsFromString("--expose-gc");
    (runInNewContext("gc") as () => void)();
    return process.memoryUsage().heapUsed;
}
