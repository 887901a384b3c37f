package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// earlyExitCommand matches the testscript commands that end a script before its
// last line: stop and skip, after which it counts as passed, and kill, which
// fails because it handles only processes that testscript started.
var earlyExitCommand = regexp.MustCompile(`(?m)^\s*(\[[^\]]*\]\s*)*(stop|skip|kill)\b.*$`)

func TestScriptsHaveNoEarlyExit(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range scripts {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if line := earlyExitCommand.Find(data); line != nil {
			t.Errorf("%s: early exit at %q", path, line)
		}
	}
}
