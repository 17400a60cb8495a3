// Package faultmatrix checks the page docs/fault-matrix.md against the tests that it names.
package faultmatrix

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

const root = "../.."

var (
	aliasPattern = regexp.MustCompile(`^[A-Z]{1,2}\d+$`)
	entryPattern = regexp.MustCompile("^- ([A-Z]{1,2}\\d+): `([a-z/]+)\\.((?:Test|Fuzz)\\w+)(?:/([^`]+))?`$")
)

// readPage returns the cells of the page's tables, and the tests by alias. A test consists of
// the directory, the function and the name of the subtest.
func readPage(t *testing.T) (cells []string, tests map[string][]string) {
	data, err := os.ReadFile(filepath.Join(root, "docs", "fault-matrix.md"))
	require.NoError(t, err)
	tests = map[string][]string{}
	for line := range strings.Lines(string(data)) {
		line = strings.TrimSpace(line)
		if m := entryPattern.FindStringSubmatch(line); m != nil {
			require.NotContains(t, tests, m[1], "alias defined twice")
			tests[m[1]] = m[2:]
		} else if strings.HasPrefix(line, "- ") {
			require.Fail(t, "an entry of the list is not `- ALIAS: `directory.Test/case``", line)
		}
		if strings.HasPrefix(line, "| ") && !strings.HasPrefix(line, "| Fault") && !strings.HasPrefix(line, "| Invariant") {
			cells = append(cells, strings.Split(strings.Trim(line, "|"), "|")[1:]...)
		}
	}
	return cells, tests
}

// parseTests returns the names of the functions in the test files of a directory, and the
// string literals, which the names of subtests consist of. Methods map to false.
func parseTests(t *testing.T, dir string) (functions map[string]bool, literals []string) {
	files, err := filepath.Glob(filepath.Join(root, dir, "*_test.go"))
	require.NoError(t, err)
	require.NotEmpty(t, files, "%s has no tests", dir)
	functions = map[string]bool{}
	for _, name := range files {
		file, err := parser.ParseFile(token.NewFileSet(), name, nil, 0)
		require.NoError(t, err)
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				functions[n.Name.Name] = n.Recv == nil
			case *ast.BasicLit:
				if text, err := strconv.Unquote(n.Value); err == nil && n.Kind == token.STRING && len(text) > 1 {
					literals = append(literals, text)
				}
			}
			return true
		})
	}
	return functions, literals
}

// isComposedOf reports whether the name of a subtest is a concatenation of literals, with or
// without slashes between them.
func isComposedOf(name string, literals []string) bool {
	if name == "" {
		return true
	}
	for _, l := range literals {
		if rest, ok := strings.CutPrefix(name, l); ok && isComposedOf(strings.TrimPrefix(rest, "/"), literals) {
			return true
		}
	}
	return false
}

// Guards against a page that names missing tests, has a table cell with neither a test nor a
// reason, or lists a test that no cell refers to.
func TestPageNamesExistingTests(t *testing.T) {
	cells, tests := readPage(t)
	require.NotEmpty(t, cells)
	used := map[string]bool{}
	for _, cell := range cells {
		words := strings.Fields(cell)
		require.NotEmpty(t, words, "an empty cell; write the tests, `n/a: why`, `red` or `not covered`")
		explained := strings.HasPrefix(words[0], "n/a:") || words[0] == "red" || words[0] == "not"
		for _, word := range words {
			if word = strings.Trim(word, ",.;:()"); aliasPattern.MatchString(word) && tests[word] != nil {
				used[word], explained = true, true
			} else if aliasPattern.MatchString(word) {
				require.Regexp(t, `^I\d$`, word, "an alias without an entry in the list")
			}
		}
		require.True(t, explained, "cell has neither a test nor a reason: %s", cell)
	}
	for name, test := range tests {
		require.True(t, used[name], "no cell refers to the alias %s", name)
		functions, literals := parseTests(t, test[0])
		require.True(t, functions[test[1]], "%s: %s.%s does not exist", name, test[0], test[1])
		require.True(t, isComposedOf(test[2], literals), "%s: %s.%s has no subtest %q", name, test[0], test[1], test[2])
	}
}
