/** In-memory stand-ins for tests: the platform, the workers, and links between entries; all use the runtime's clock. */
export { createFakeNetwork, type FakeNetwork } from "./createFakeNetwork";
export { createFakePlatform, type FakePlatform } from "./createFakePlatform";
export { createFakeProcesses, type FakeProcess, type FakeProcesses } from "./createFakeProcesses";
export { createFakeWorkers, type FakeWorker, type FakeWorkers } from "./createFakeWorkers";
