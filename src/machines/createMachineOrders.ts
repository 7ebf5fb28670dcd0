import type { Tenure } from "../duties";
import type { Reporter } from "../logging";
import type { Store } from "../store";
import type { MachineOrderer, MachineOrderResult, Machines } from "./machines";

/** What is kept of orders to machines, for the next owner. */
interface OrdersRecord {
    /** Time of the last order to each machine, milliseconds since 1970. */
    readonly orderedAtMs: Readonly<Record<string, number>>;
    /** Machines of each wave whose upkeep has certainly begun. */
    readonly waves: Readonly<Record<string, readonly string[]>>;
    /** When each wave was first seen, milliseconds since 1970. */
    readonly waveSeenAtMs?: Readonly<Record<string, number>>;
}

export type MachineOrder =
    | { readonly kind: "move"; readonly machine: string; readonly pool: string; }
    | { readonly kind: "maintain"; readonly machine: string; readonly wave: number; };

export interface MachineOrdersOptions {
    readonly store: Store;
    readonly machines: Machines;
    readonly tenure: Tenure;
    readonly orderer: MachineOrderer;
    readonly report: Reporter;
    /** Two holders must not take turns on a machine within this time, in milliseconds. */
    readonly turnMs: number;
}

export interface MachineOrders {
    load(): Promise<boolean>;
    /** Whether an order of an earlier owner may still be under way to this machine. */
    isBlocked(machine: string): boolean;
    /** Machines of a wave whose upkeep has certainly begun. */
    begun(wave: number): ReadonlySet<string>;
    /** When the wave was first seen, milliseconds since 1970; recorded with the next orders. */
    waveSeenAtMs(wave: number): number;
    /** Records and sends orders; tells of each as it is answered. */
    send(
        orders: readonly MachineOrder[],
        onResult: (order: MachineOrder, result: MachineOrderResult) => void,
    ): Promise<void>;
}

export const machineOrdersKey = "samphirepin/machines";

/** Allowance for clocks of instances that differ, in milliseconds. */
const clockSkewMs = 500;

/** Orders older than this are forgotten, in milliseconds. */
const keepMs = 60_000;

/**
 * Sends orders to machines, and records them first: the next owner must not order a machine right after this one did.
 * An upkeep counts only once the platform has answered that it has begun; a wave would else be called complete while an
 * order was lost.
 */
export function createMachineOrders(opts: MachineOrdersOptions): MachineOrders {
    const { store, tenure } = opts;
    let orderedAtMs = new Map<string, number>();
    const waves = new Map<string, Set<string>>();
    const waveSeenAtMs = new Map<string, number>();
    const own = new Set<string>();
    let revision = 0;
    let saving = Promise.resolve(true);

    function encode(): string {
        const cutMs = Date.now() - keepMs;
        orderedAtMs = new Map([...orderedAtMs].filter(([, atMs]) => atMs > cutMs));
        const record: OrdersRecord = {
            orderedAtMs: Object.fromEntries(orderedAtMs),
            waves: Object.fromEntries([...waves].map(([wave, machines]) => [wave, [...machines]])),
            waveSeenAtMs: Object.fromEntries(waveSeenAtMs),
        };
        return JSON.stringify(record);
    }

    /** Writes go one after the other: each depends on the revision that the one before has made. */
    function save(): Promise<boolean> {
        saving = saving.then(write);
        return saving;
    }

    async function write(): Promise<boolean> {
        const put = { key: machineOrdersKey, text: encode() };
        const result = await store.commit({
            conditions: [tenure.condition, { key: machineOrdersKey, revision }],
            puts: [put],
            deletes: [],
        });
        if (result.kind === "committed") {
            revision = result.revision;
            return true;
        }
        if (result.kind === "conflict") {
            // An earlier write of ours whose answer was lost; the next try goes by its revision.
            revision = result.items.find(({ key }) => key === machineOrdersKey)?.revision ?? 0;
        }
        return false;
    }

    /** Written with the next orders; an owner that does not find it orders again, which is harmless. */
    function noteBegun(order: MachineOrder, result: MachineOrderResult): void {
        if (order.kind === "maintain" && result.kind === "done") {
            const key = String(order.wave);
            waves.set(key, (waves.get(key) ?? new Set()).add(order.machine));
        }
    }

    async function sendOne(order: MachineOrder): Promise<MachineOrderResult> {
        if (!tenure.isValid()) {
            return { kind: "notNow", detail: "the tenure has ended" };
        }
        const result = order.kind === "move"
            ? await opts.machines.move(order.machine, order.pool, opts.orderer)
            : await opts.machines.maintain(order.machine, order.wave, opts.orderer);
        opts.report({
            kind: "machineOrder",
            order: order.kind,
            machine: order.machine,
            target: order.kind === "move" ? order.pool : `wave ${order.wave}`,
            token: tenure.token,
            outcome: result.kind,
        });
        return result;
    }

    return {
        async load() {
            const result = await store.read(machineOrdersKey);
            if (result.kind === "unavailable") {
                return false;
            }
            if (result.kind === "found") {
                const record = JSON.parse(result.item.text) as OrdersRecord;
                revision = result.item.revision;
                Object.entries(record.orderedAtMs).forEach(([machine, atMs]) => orderedAtMs.set(machine, atMs));
                Object.entries(record.waveSeenAtMs ?? {}).forEach(([wave, atMs]) => waveSeenAtMs.set(wave, atMs));
                Object.entries(record.waves).forEach(([wave, machines]) => waves.set(wave, new Set(machines)));
            }
            return true;
        },
        isBlocked(machine) {
            const atMs = orderedAtMs.get(machine);
            return atMs !== undefined && !own.has(machine) && Date.now() - atMs < opts.turnMs + clockSkewMs;
        },
        begun: (wave) => waves.get(String(wave)) ?? new Set(),
        waveSeenAtMs(wave) {
            const key = String(wave);
            const atMs = waveSeenAtMs.get(key) ?? Date.now();
            waveSeenAtMs.set(key, atMs);
            return atMs;
        },
        async send(orders, onResult) {
            orders.forEach(({ machine }) => orderedAtMs.set(machine, Date.now()));
            if (!await save()) {
                orders.forEach((order) => onResult(order, { kind: "notNow", detail: "not recorded" }));
                return;
            }
            orders.forEach(({ machine }) => own.add(machine));
            await Promise.all(orders.map(async (order) => {
                const result = await sendOne(order);
                noteBegun(order, result);
                onResult(order, result);
            }));
        },
    };
}
