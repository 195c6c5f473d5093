import jsdoc from "eslint-plugin-jsdoc";
import { readFileSync } from "node:fs";
import tseslint from "typescript-eslint";

const verbLine = /^\| `([a-z]+)` \|/gm;
const verbs = [...readFileSync(new URL("./docs/VERBS.md", import.meta.url), "utf8").matchAll(verbLine)].map(m => m[1]);

/** Function names begin with a verb of docs/VERBS.md. */
const nameFunctionsByVerb = {
    create(context) {
        function checkName(node, name) {
            if (!verbs.some(verb => name === verb || (name.startsWith(verb) && /[A-Z0-9]/.test(name[verb.length])))) {
                context.report({ node, message: `'${name}' doesn't begin with a verb of docs/VERBS.md.` });
            }
        }
        return {
            FunctionDeclaration(node) {
                checkName(node, node.id.name);
            },
            MethodDefinition(node) {
                if (node.kind === "method" && node.key.type === "Identifier") {
                    checkName(node, node.key.name);
                }
            },
        };
    },
};

/** A file exports one thing, except an index, which exposes a package. */
const exportOneThing = {
    create(context) {
        let seen = 0;
        return {
            "ExportNamedDeclaration[declaration]"(node) {
                seen++;
                if (seen > 1) {
                    context.report({ node, message: "A file exports one thing; move this one to its own file." });
                }
            },
        };
    },
};

export default tseslint.config(
    { ignores: ["**/dist/**", "**/gen/**", "**/node_modules/**"] },
    ...tseslint.configs.recommended,
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        plugins: {
            jsdoc,
            house: { rules: { "function-verbs": nameFunctionsByVerb, "one-export": exportOneThing } },
        },
        rules: {
            "house/function-verbs": "error",
            "house/one-export": "error",
            "curly": ["error", "all"],
            "eqeqeq": "error",
            "max-lines": ["error", { max: 300, skipBlankLines: true, skipComments: true }],
            "@typescript-eslint/no-unused-vars": ["error", { varsIgnorePattern: "^_" }],
            "no-restricted-syntax": [
                "error",
                { selector: "TSInterfaceDeclaration[id.name=/^I[A-Z]/]", message: "No I before an interface's name." },
                { selector: "Literal[raw='null']", message: "Use undefined, not null." },
            ],
            "jsdoc/require-jsdoc": [
                "error",
                {
                    publicOnly: true,
                    require: { ClassDeclaration: true, FunctionDeclaration: true },
                    contexts: ["TSInterfaceDeclaration", "TSEnumDeclaration", "TSTypeAliasDeclaration"],
                },
            ],
        },
    },
    {
        files: ["packages/*/src/**/*.ts", "platform/src/**/*.ts"],
        ignores: ["**/*.test.ts"],
        languageOptions: { parserOptions: { projectService: true } },
        rules: {
            "@typescript-eslint/no-floating-promises": "error",
            "@typescript-eslint/no-misused-promises": "error",
        },
    },
);
