package questionnaire

import (
	"os"
	"sort"
	"strconv"
	"strings"

	"github.com/borageusher/borageusher/internal/inifile"
	"github.com/borageusher/borageusher/pkg/adapter"
	"github.com/borageusher/borageusher/pkg/configuration"
)

// Prefixes of the names of a questionnaire's INI sections.
const (
	servicePrefix  = "service."
	adaptersPrefix = "adapters."
)

// Answers is the parsed questionnaire of one team.
type Answers struct {
	Team     configuration.Team
	Adapters []configuration.Adapter
}

// Read reads and parses the questionnaire at path. An error about a value states
// the file, the section, the key, the value found and the values allowed.
func Read(path string) (Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Answers{}, &Error{Op: "read", Kind: Unreadable, Err: err}
	}
	return Parse(path, data)
}

// Parse parses the text of a questionnaire. It uses path in errors only.
func Parse(path string, data []byte) (Answers, error) {
	f, err := inifile.Parse(path, data)
	if err != nil {
		return Answers{}, &Error{Op: "parse", Kind: Malformed, Err: err}
	}
	a := Answers{Team: configuration.Team{Name: f.Name("team", "name"), Keys: readKeys(f)}}
	for _, name := range f.Sections(servicePrefix) {
		a.Team.Services = append(a.Team.Services, readService(f, name))
	}
	for _, service := range f.Sections(adaptersPrefix) {
		a.Adapters = append(a.Adapters, readAdapters(f, a.Team, service)...)
	}
	checkDuplicateAdapters(f, a)
	if err := f.Done(); err != nil {
		return Answers{}, &Error{Op: "check", Kind: BadAnswer, Err: err}
	}
	return a, nil
}

func readKeys(f *inifile.File) []configuration.Digest {
	var keys []configuration.Digest
	text := f.Text("team", "key_digests")
	for _, part := range strings.Split(text, ",") {
		d, ok := configuration.ParseDigest(strings.TrimSpace(part))
		if !ok {
			f.Fail("team", "key_digests", text, "SHA-256 digests in hexadecimal, separated by commas (see borageusher key)")
			return nil
		}
		keys = append(keys, d)
	}
	return keys
}

func readService(f *inifile.File, name string) configuration.Service {
	section := servicePrefix + name
	if !adapter.ValidName(name) {
		f.Fail(section, "", name, "a section name of lower-case letters, digits, '-', '_' and '.'")
	}
	s := configuration.Service{Name: name}
	if f.Choice(section, "kind", "model", "plain") == "plain" {
		s.Kind = configuration.PlainService
		return s
	}
	s.Base = f.Name(section, "base")
	s.RefusesStaleOrders = f.Bool(section, "refuses_stale_orders", false)
	s.Lending.Share = f.Float(section, "lend_share", 0, 0, 1)
	s.Lending.Borrowers = f.Names(section, "lend_to")
	if s.Lending.Share > 0 && len(s.Lending.Borrowers) == 0 {
		f.Fail(section, "lend_to", "", "the names of the borrowing teams, because lend_share is above 0")
	}
	return s
}

func readAdapters(f *inifile.File, team configuration.Team, service string) []configuration.Adapter {
	section := adaptersPrefix + service
	s, ok := team.Service(service)
	if !ok || s.Kind != configuration.ModelService {
		f.Fail(section, "", service, "a section named after a service of kind model")
		return nil
	}
	var out []configuration.Adapter
	for _, name := range f.Keys(section) {
		if !adapter.ValidName(name) {
			f.Fail(section, name, name, "a name of lower-case letters, digits, '-', '_' and '.'")
			return nil
		}
		a := configuration.Adapter{Team: team.Name, Name: name, Service: service}
		a.Versions, a.Current = readVersions(f, section, name)
		out = append(out, a)
	}
	return out
}

// readVersions parses a list of versions such as "1, 2, 3*" and returns the
// versions in ascending order and the one with an asterisk.
func readVersions(f *inifile.File, section, key string) ([]adapter.Version, adapter.Version) {
	text := f.Text(section, key)
	const allowed = "versions such as 1, 2, 3* with exactly one asterisk"
	var versions []adapter.Version
	var current adapter.Version
	for _, part := range strings.Split(text, ",") {
		number, starred := strings.CutSuffix(strings.TrimSpace(part), "*")
		n, err := strconv.ParseUint(number, 10, 32)
		if err != nil || n == 0 || (starred && current != 0) {
			f.Fail(section, key, text, allowed)
			return nil, 0
		}
		versions = append(versions, adapter.Version(n))
		if starred {
			current = adapter.Version(n)
		}
	}
	sort.Slice(versions, func(i, j int) bool { return versions[i] < versions[j] })
	for i := 1; i < len(versions); i++ {
		if versions[i] == versions[i-1] {
			f.Fail(section, key, text, "each version once")
		}
	}
	if current == 0 {
		f.Fail(section, key, text, allowed)
	}
	return versions, current
}

// checkDuplicateAdapters records a failure for each adapter that is listed under more than
// one service.
func checkDuplicateAdapters(f *inifile.File, a Answers) {
	seen := map[string]string{}
	for _, ad := range a.Adapters {
		if other, ok := seen[ad.Name]; ok {
			f.Fail(adaptersPrefix+ad.Service, ad.Name, ad.Name, "a name that is not listed under service "+other+" as well")
		}
		seen[ad.Name] = ad.Service
	}
}

// Generate returns the revision after current in which the answers replace the
// teams, services and adapters of the same teams. All other teams are copied
// from current. If current is nil, it returns revision 1.
func Generate(current *configuration.Configuration, answers ...Answers) *configuration.Configuration {
	var revision uint64
	var teams []configuration.Team
	var adapters []configuration.Adapter
	replaced := map[string]bool{}
	for _, a := range answers {
		replaced[a.Team.Name] = true
		teams = append(teams, a.Team)
		adapters = append(adapters, a.Adapters...)
	}
	if current != nil {
		revision = current.Revision
		for _, t := range current.Teams {
			if !replaced[t.Name] {
				teams = append(teams, t)
			}
		}
		for _, ad := range current.Adapters {
			if !replaced[ad.Team] {
				adapters = append(adapters, ad)
			}
		}
	}
	return configuration.New(revision+1, teams, adapters)
}
