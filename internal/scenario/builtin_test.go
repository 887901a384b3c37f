package scenario

import (
	"os"
	"path/filepath"
	"regexp"
	"testing"
)

// endsEarly matches the testscript commands that end a script as passed (kill,
// which knows only its own processes, ends it as failed), so
// that what stands below them is never run.
var endsEarly = regexp.MustCompile(`(?m)^\s*(\[[^\]]*\]\s*)*(stop|skip|kill)\b.*$`)

func TestScriptsRunToTheirEnd(t *testing.T) {
	scripts, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, path := range scripts {
		data, err := os.ReadFile(path)
		if err != nil {
			t.Fatal(err)
		}
		if line := endsEarly.Find(data); line != nil {
			t.Errorf("%s ends early at %q", path, line)
		}
	}
}
