// Package docs_test checks the pages.
package docs_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

const moduleRoot = ".."

var link = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// heading is the anchor under which a page shows a heading.
func heading(line string) string {
	text := strings.ToLower(strings.TrimSpace(strings.TrimLeft(line, "#")))
	return strings.ReplaceAll(regexp.MustCompile(`[^a-z0-9 _-]`).ReplaceAllString(text, ""), " ", "-")
}

func hasAnchor(page []byte, anchor string) bool {
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "#") && heading(line) == anchor {
			return true
		}
	}
	return false
}

// checkLink checks a link to a file of the tree, and to a heading in it.
func checkLink(t *testing.T, from, to string) {
	t.Helper()
	file, anchor, hasHeading := strings.Cut(to, "#")
	target := from
	if file != "" {
		target = filepath.Join(filepath.Dir(from), file)
	}
	if _, err := os.Stat(target); err != nil {
		t.Errorf("%s: the link to %s leads nowhere", from, to)
		return
	}
	if !hasHeading {
		return
	}
	page, err := os.ReadFile(target)
	if err != nil || !hasAnchor(page, anchor) {
		t.Errorf("%s: %s has no heading %q", from, target, anchor)
	}
}

// A page is renamed or a heading reworded, and pages that link to it keep the
// old name: an operator in a hurry follows a link to nothing.
func TestLinksBetweenPagesLeadSomewhere(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		page, err := os.ReadFile(path)
		for _, match := range link.FindAllStringSubmatch(string(page), -1) {
			if !strings.Contains(match[1], "://") {
				checkLink(t, path, match[1])
				checked++
			}
		}
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	if checked == 0 {
		t.Error("found no links")
	}
	t.Logf("%d links", checked)
}
