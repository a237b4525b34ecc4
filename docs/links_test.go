// Package docs_test checks the documentation pages and the list of known failures.
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

var linkPattern = regexp.MustCompile(`\]\(([^)\s]+)\)`)

// headingAnchor returns the link anchor of a Markdown heading.
func headingAnchor(line string) string {
	text := strings.ToLower(strings.TrimSpace(strings.TrimLeft(line, "#")))
	return strings.ReplaceAll(regexp.MustCompile(`[^a-z0-9 _-]`).ReplaceAllString(text, ""), " ", "-")
}

func hasAnchor(page []byte, anchor string) bool {
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "#") && headingAnchor(line) == anchor {
			return true
		}
	}
	return false
}

// checkLink checks that the target file of a relative link exists and, if the link
// has an anchor, that the file has the heading.
func checkLink(t *testing.T, from, to string) {
	t.Helper()
	file, anchor, hasAnchorPart := strings.Cut(to, "#")
	target := from
	if file != "" {
		target = filepath.Join(filepath.Dir(from), file)
	}
	if _, err := os.Stat(target); err != nil {
		t.Errorf("%s: broken link to %s", from, to)
		return
	}
	if !hasAnchorPart {
		return
	}
	page, err := os.ReadFile(target)
	if err != nil || !hasAnchor(page, anchor) {
		t.Errorf("%s: %s has no heading %q", from, target, anchor)
	}
}

// Guards against broken links in the documentation, which occur when a page is
// renamed or a heading is reworded while other pages still link to the old name.
func TestLinksBetweenPagesResolve(t *testing.T) {
	checked := 0
	err := filepath.WalkDir(moduleRoot, func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || filepath.Ext(path) != ".md" {
			return err
		}
		page, err := os.ReadFile(path)
		for _, match := range linkPattern.FindAllStringSubmatch(string(page), -1) {
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
