// Package docs checks the documentation pages against the repository.
package docs

import (
	"bytes"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	testReference = regexp.MustCompile("`([a-z0-9]+)\\.(Test[A-Za-z0-9]+)`")
	pageLink      = regexp.MustCompile(`\]\(([^)#]+\.md)[^)]*\)`)
)

// TestGuaranteeReferencesExist guards against a guarantee that references a test that was
// renamed or removed.
func TestGuaranteeReferencesExist(t *testing.T) {
	page, err := os.ReadFile("../../docs/guarantees.md")
	assert.NilError(t, err)
	references := testReference.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(references) > 20)
	for _, reference := range references {
		assert.Check(t, testExists(t, reference[1], reference[2]), "%s.%s is referenced but does not exist", reference[1], reference[2])
	}
}

// testExists reports whether a test file in a directory with the package name declares
// the test.
func testExists(t *testing.T, packageName, test string) bool {
	found := false
	err := filepath.WalkDir("../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || found || entry.IsDir() || !strings.HasSuffix(path, "_test.go") || filepath.Base(filepath.Dir(path)) != packageName {
			return err
		}
		data, err := os.ReadFile(path)
		found = bytes.Contains(data, []byte("func "+test+"("))
		return err
	})
	assert.NilError(t, err)
	return found
}

// TestLinks guards against links to pages that do not exist.
func TestLinks(t *testing.T) {
	pages, err := filepath.Glob("../../docs/*.md")
	assert.NilError(t, err)
	for _, page := range append(pages, "../../README.md") {
		data, err := os.ReadFile(page)
		assert.NilError(t, err)
		for _, link := range pageLink.FindAllStringSubmatch(string(data), -1) {
			_, err := os.Stat(filepath.Join(filepath.Dir(page), link[1]))
			assert.Check(t, err, page)
		}
	}
}
