import tseslint from "typescript-eslint";

/** A slice may be used only through its `index.ts`; each pattern names a deep import from one depth. */
const deepImports = [
    {
        regex: "^\\.\\./(?!\\.\\.(/|$))[^/]+/(?!index$).+",
        message: "Import the slice's index.ts, not a file inside it.",
    },
    { regex: "^(\\.\\./)+src/[^/]+/(?!index$).+", message: "Import the slice's index.ts, not a file inside it." },
];

const sliceTests = [
    {
        regex: "^\\.\\./\\.\\./(?!\\.\\.(/|$))[^/]+/(?!index$).+",
        message: "Import the slice's index.ts, not a file inside it.",
    },
];

/** What is decided by the operators' instructions imports them, and not the other way round. */
const aboveThePolicy = {
    regex: "^\\.\\./(submissions|schedule|scheduler|machines|runs)$",
    message: "The operators' instructions stand below the parts that follow them.",
};

export default tseslint.config(
    { ignores: ["node_modules/", "dist/", "build/", "target/"] },
    ...tseslint.configs.recommended,
    {
        files: ["**/*.ts"],
        languageOptions: { parserOptions: { projectService: true, tsconfigRootDir: import.meta.dirname } },
        rules: {
            "@typescript-eslint/switch-exhaustiveness-check": ["error", { considerDefaultExhaustiveForUnions: true }],
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-unused-vars": ["error", { argsIgnorePattern: "^_", varsIgnorePattern: "^_" }],
            "@typescript-eslint/consistent-type-imports": "error",
            "@typescript-eslint/naming-convention": [
                "error",
                { selector: "typeLike", format: ["PascalCase"] },
                { selector: "interface", format: ["PascalCase"], custom: { regex: "^I[A-Z]", match: false } },
            ],
            "no-restricted-syntax": [
                "error",
                { selector: "TSEnumDeclaration", message: "Use a constant object instead of an enum." },
                { selector: "Literal[raw='null']", message: "Use undefined instead of null." },
            ],
            eqeqeq: "error",
            curly: "error",
            "prefer-const": "error",
        },
    },
    { files: ["src/**/*.ts"], rules: { "no-restricted-imports": ["error", { patterns: deepImports }] } },
    {
        files: ["src/policy/*.ts"],
        rules: { "no-restricted-imports": ["error", { patterns: [...deepImports, aboveThePolicy] }] },
    },
    { files: ["src/*/test/**/*.ts"], rules: { "no-restricted-imports": ["error", { patterns: sliceTests }] } },
    {
        files: [
            "platform/**/*.ts",
            "standins/**/*.ts",
            "bench/**/*.ts",
            "matrix/**/*.ts",
            "demo/**/*.ts",
            "test/**/*.ts",
        ],
        rules: { "no-restricted-imports": ["error", { patterns: deepImports.slice(1) }] },
    },
);
