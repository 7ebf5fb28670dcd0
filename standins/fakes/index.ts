/** In-memory stand-ins for tests: the platform, the workers, and links between entries; all use the runtime's clock. */
export { createFakeNetwork, type FakeNetwork } from "./createFakeNetwork";
export { createFakePlatform, type FakePlatform } from "./createFakePlatform";
export { createFakeWorkers, type FakeWorker, type FakeWorkers } from "./createFakeWorkers";
