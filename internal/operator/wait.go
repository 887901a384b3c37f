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

// revisionsPath is the path at which an entryd reports the processes in which a
// revision is in force.
const revisionsPath = "/operators/revisions"

// responseMargin is added to the requested waiting time to get the timeout of the
// HTTP request.
const responseMargin = 2 * time.Second

// waitFlags are the flags of accept for waiting until the revision is in force.
type waitFlags struct {
	timeout time.Duration
	entry   string // URL of an entryd
	keyFile string // file with the operators' key
}

func (f *waitFlags) add(fs *flag.FlagSet) {
	fs.DurationVar(&f.timeout, "wait", 0, "`time` to wait for the revision to be in force everywhere; needs -entry and -key_file")
	fs.StringVar(&f.entry, "entry", "", "`URL` of any entryd, such as http://10.0.0.10:8000")
	fs.StringVar(&f.keyFile, "key_file", "", "`file` with the operators' key of the entryds")
}

// check returns an error if -wait is given without the flags that it needs.
func (f *waitFlags) check() error {
	if f.timeout != 0 && (f.entry == "" || f.keyFile == "") {
		return &Error{Op: "read flags", Kind: BadFlag, Err: fmt.Errorf("-wait needs -entry and -key_file")}
	}
	return nil
}

// revisionReport is the body of an entryd's response at revisionsPath.
type revisionReport struct {
	Processes []struct {
		Name     string `json:"name"`
		Revision uint64 `json:"revision"`
	} `json:"processes"`
	Behind []string `json:"behind"`
	Unseen []string `json:"unseen"`
}

// awaitInForce waits until a revision is in force everywhere or the timeout
// expires. It prints the processes that still use an earlier revision and the
// registered targets that did not respond, and returns the exit code.
func (c *commandLine) awaitInForce(revision uint64) int {
	report, err := c.wait.requestReport(revision)
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
		return c.fail(&Error{Op: "accept", Kind: PartlyInForce})
	}
	return exitOK
}

// requestReport requests the report on a revision from the entryd, which responds
// once the revision is in force everywhere or the waiting time has passed.
func (f *waitFlags) requestReport(revision uint64) (revisionReport, error) {
	key, err := os.ReadFile(f.keyFile)
	if err != nil {
		return revisionReport{}, &Error{Op: "read key", Kind: BadFlag, Err: err}
	}
	q := url.Values{}
	q.Set("revision", fmt.Sprint(revision))
	q.Set("wait", f.timeout.String())
	req, err := http.NewRequest(http.MethodGet, strings.TrimSuffix(f.entry, "/")+revisionsPath+"?"+q.Encode(), nil)
	if err != nil {
		return revisionReport{}, &Error{Op: "read flags", Kind: BadFlag, Err: err}
	}
	req.Header.Set("Authorization", "Bearer "+strings.TrimSpace(string(key)))
	client := &http.Client{Timeout: f.timeout + responseMargin}
	resp, err := client.Do(req)
	if err != nil {
		return revisionReport{}, &Error{Op: "query entryd", Kind: NoReport, Err: err}
	}
	defer func() { _ = resp.Body.Close() }() // the rest of the body, if any, is not needed
	if resp.StatusCode != http.StatusOK {
		return revisionReport{}, &Error{Op: "query entryd", Kind: NoReport, Err: fmt.Errorf("status %d", resp.StatusCode)}
	}
	var report revisionReport
	if err := json.NewDecoder(resp.Body).Decode(&report); err != nil {
		return revisionReport{}, &Error{Op: "query entryd", Kind: NoReport, Err: err}
	}
	return report, nil
}
