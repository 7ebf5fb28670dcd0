import { type Either, Left, Right } from "purify-ts";
import { type SettingOrigin, type Settings, settingSpecs } from "./settingSpecs";

/** A setting that is missing or invalid, and the reason. */
export interface SettingsProblem {
    readonly setting: string;
    readonly flag: string;
    readonly variable: string;
    readonly message: string;
}

/** Valid settings, and where each value comes from. */
export interface ResolvedSettings {
    readonly settings: Settings;
    readonly origins: Readonly<Record<keyof Settings, SettingOrigin>>;
}

export function flagName(setting: string): string {
    return setting.replace(/[A-Z]/g, (letter) => `-${letter.toLowerCase()}`);
}

export function variableName(setting: string): string {
    return `SAMPHIREPIN_${flagName(setting).replaceAll("-", "_").toUpperCase()}`;
}

/** Finds settings that are valid one by one but not in combination. */
function checkCombinations(settings: Settings): readonly SettingsProblem[] {
    const { peerCertFile, peerKeyFile, peerCaFile, httpCertFile, httpKeyFile, host } = settings;
    const peerFiles = [peerCertFile, peerKeyFile, peerCaFile].filter((file) => file !== undefined).length;
    const isLoopback = /^(127\.|::1$)/.test(host);
    const found: [keyof Settings, string][] = [];
    if (peerFiles !== 0 && peerFiles !== 3) {
        found.push(["peerCertFile", "the certificate, its key and the certificate authority must be given together"]);
    }
    if (peerFiles === 0 && !isLoopback && settings.allowPlainPeers === "no") {
        found.push([
            "peerCertFile",
            "links on an address other than loopback require certificates, or allow-plain-peers set to yes",
        ]);
    }
    if ((httpCertFile === undefined) !== (httpKeyFile === undefined)) {
        found.push(["httpCertFile", "the certificate and its key must be given together"]);
    }
    return found.map(([setting, message]) => ({
        setting,
        flag: `--${flagName(setting)}`,
        variable: variableName(setting),
        message,
    }));
}

/** Reads every setting. A flag takes precedence over its environment variable. Returns all problems at once. */
export function readSettings(
    flags: Readonly<Record<string, string | undefined>>,
    environment: Readonly<Record<string, string | undefined>>,
): Either<readonly SettingsProblem[], ResolvedSettings> {
    const problems: SettingsProblem[] = [];
    const values: Record<string, unknown> = {};
    const origins: Record<string, SettingOrigin> = {};
    for (const [setting, spec] of Object.entries(settingSpecs)) {
        const [flag, variable] = [flagName(setting), variableName(setting)];
        const given = flags[flag] ?? environment[variable];
        const parsed = spec.schema.safeParse(given);
        origins[setting] = flags[flag] !== undefined ? "flag" : given !== undefined ? "environment" : "default";
        if (parsed.success) {
            values[setting] = parsed.data;
        }
        else {
            const reason = given === undefined ? "is required" : parsed.error.issues[0]?.message ?? "is invalid";
            const message = `${reason} (${spec.description}, such as ${spec.example})`;
            problems.push({ setting, flag: `--${flag}`, variable, message });
        }
    }
    const combinationProblems = problems.length > 0 ? [] : checkCombinations(values as Settings);
    return problems.length + combinationProblems.length > 0
        ? Left([...problems, ...combinationProblems])
        : Right({ settings: values as Settings, origins: origins as ResolvedSettings["origins"] });
}
