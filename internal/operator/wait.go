package operator

import (
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"
)

// revisionsPath is where an entryd tells in which processes a revision is in force.
const revisionsPath = "/operators/revisions"

// waitGrace is how much longer than asked an entryd may take to answer.
const waitGrace = 2 * time.Second

// waitFlags are the flags by which accept waits for a revision to be in force.
type waitFlags struct {
	wait    time.Duration
	entry   string // URL of an entryd
	keyFile string // with the operators' key
}

func (f *waitFlags) add(fs *flag.FlagSet) {
	fs.DurationVar(&f.wait, "wait", 0, "`time` to wait for the revision to be in force everywhere; needs -entry and -key_file")
	fs.StringVar(&f.entry, "entry", "", "`URL` of any entryd, such as http://10.0.0.10:8000")
	fs.StringVar(&f.keyFile, "key_file", "", "`file` with the operators' key of the entryds")
}

// check reports whether the flags go together.
func (f *waitFlags) check() error {
	if f.wait != 0 && (f.entry == "" || f.keyFile == "") {
		return &Error{Op: "read flags", Kind: BadFlag, Err: fmt.Errorf("-wait needs -entry and -key_file")}
	}
	return nil
}

// reportJSON is what an entryd answers.
type reportJSON struct {
	Processes []struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"processes"`
	Behind []string `json:"behind"`
	Unseen []string `json:"unseen"`
}

// waitInForce waits for a revision to be in force and prints where it is not.
func (c *commandLine) waitInForce(revision uint64) int {
	report, err := c.waiting.ask(revision)
	if err != nil {
		return c.fail(err)
	}
	n := 0
	for _, p := range report.Processes {
		if p.Revision >= revision {
			n++
		}
	}
	c.printf("revision %d is in force in %d processes\n", revision, n)
	for _, name := range report.Behind {
		c.printf("behind: %s\n", name)
	}
	for _, name := range report.Unseen {
		c.printf("not seen: %s\n", name)
	}
	if len(report.Behind)+len(report.Unseen) > 0 {
		return c.fail(&Error{Op: "accept", Kind: NotEverywhere})
	}
	return exitOK
}

// ask asks the entryd, which answers when the revision is in force everywhere
// or the time is over.
func (f *waitFlags) ask(revision uint64) (reportJSON, error) {
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return reportJSON{}, &Error{Op: "read key", Kind: BadFlag, Err: err}
	}
	q := url.Values{}
	q.Set("revision", fmt.Sprint(revision))
	q.Set("wait", f.wait.String())
	req, err := http.NewRequest(http.MethodGet, strings.TrimSuffix(f.entry, "/")+revisionsPath+"?"+q.Encode(), nil)
	if err != nil {
		return reportJSON{}, &Error{Op: "read flags", Kind: BadFlag, Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	client := &http.Client{Timeout: f.wait + waitGrace}
	resp, err := client.Do(req)
	if err != nil {
		return reportJSON{}, &Error{Op: "ask entryd", Kind: NoReport, Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the body was read or is abandoned
	if resp.StatusCode != http.StatusOK {
		return reportJSON{}, &Error{Op: "ask entryd", Kind: NoReport, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	var report reportJSON
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return reportJSON{}, &Error{Op: "ask entryd", Kind: NoReport, Err: err}
	}
	return report, nil
}
