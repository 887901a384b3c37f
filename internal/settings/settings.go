// Package settings reads and validates the settings files of the daemons.
//
// # Usage
//
//	s, err := settings.ReadEntry("entryd.ini")
//	if err != nil {
//		return err // one line with file, section, key, the value found and those allowed
//	}
package settings

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/rs/zerolog"

	"github.com/borageusher/borageusher/internal/inifile"
	"github.com/borageusher/borageusher/pkg/loadbudget"
	"github.com/borageusher/borageusher/pkg/placement"
)

// minKeyBytes is the minimum length of the peer key and of the operators' key.
const minKeyBytes = 16

// Common holds the settings that all daemons have.
type Common struct {
	Name        string
	Region      string
	Zone        string // availability zone
	Listen      netip.AddrPort
	CertFile    string // empty for plain TCP
	KeyFile     string
	CAFile      string // CA certificates that peers' certificates are verified against, empty for plain TCP
	Platform    netip.AddrPort
	PeerKey     string
	LogLevel    zerolog.Level
	StopTimeout time.Duration // timeout of a graceful shutdown

	// Retention is the time for which the records of idempotency keys are kept.
	Retention time.Duration
	// StoreReadsPerSecond and StoreWritesPerSecond limit the calls per second
	// of all processes together to the object API. Processes is the number of
	// processes that share these limits.
	StoreReadsPerSecond, StoreWritesPerSecond float64
	Processes                                 int
	Seeds                                     []netip.AddrPort // targetds that are asked for state while the object API is unavailable
}

// Entry holds the settings of entryd.
type Entry struct {
	Common
	MaxInProgress int
	MaxBodyBytes  int
	StartWithin   time.Duration // default timeout until a request starts
	UnreadyFor    time.Duration // time for which requests are still served after the readiness probe starts to fail
	OperatorKey   string        // authenticates the operators' routes, which are disabled if it is empty
	WriteTimeout  time.Duration // timeout of each write to a caller
	Costs         placement.Costs
	LoadLimits    loadbudget.Limits // adapter loads from the weight store; a rate of zero grants no permits
}

// Target holds the settings of targetd.
type Target struct {
	Common
	DialAddress         netip.AddrPort // address that entryds connect to
	Team                string
	Service             string
	PlainService        bool // the target is a plain service, not a model
	Engine              netip.AddrPort
	Slots               int               // requests that run concurrently
	Adapters            int               // adapters that are resident at the same time
	Queue               int               // requests that wait for a slot
	LoadLimits          loadbudget.Limits // adapter loads from the weight store; a rate of zero means no limit
	WeightStoreTargets  int               // number of targets that share the weight store
	WeightStorePosition int               // zero-based position of this target among them, or -1 if not set
}

// ReadEntry reads the settings of entryd from the file at path.
func ReadEntry(path string) (Entry, error) {
	f, err := inifile.Open(path)
	if err != nil {
		return Entry{}, err
	}
	s := Entry{
		Common:        readCommon(f),
		MaxInProgress: f.Int("limits", "in_progress", 2000, 1, 1000000),
		MaxBodyBytes:  f.Int("limits", "body_bytes", 4<<20, 1024, 16<<20),
		StartWithin:   f.Duration("limits", "start_within", 30*time.Second, 100*time.Millisecond, 10*time.Minute),
		UnreadyFor:    f.Duration("process", "unready_for", 5*time.Second, 0, 10*time.Minute),
		WriteTimeout:  f.Duration("limits", "write_within", 20*time.Second, 100*time.Millisecond, 10*time.Minute),
		Costs: placement.Costs{
			Stall:       f.Float("placement", "stall_cost", 4, 0, 1000),
			Batch:       f.Float("placement", "batch_cost", 1, 0, 1000),
			LoadSeconds: f.Duration("placement", "load_time", 500*time.Millisecond, time.Millisecond, time.Minute).Seconds(),
		},
		LoadLimits: loadbudget.Limits{
			Rate:  f.Float("loads", "rate", 0, 0, 100000),
			Burst: f.Int("loads", "burst", 1, 1, 1000),
		},
	}
	s.OperatorKey = f.OptionalText("operators", "key", "")
	if s.OperatorKey != "" && len(s.OperatorKey) < minKeyBytes {
		f.Fail("operators", "key", "(a shorter key)", "at least 16 characters")
	}
	return s, f.Done()
}

// ReadTarget reads the settings of targetd from the file at path.
func ReadTarget(path string) (Target, error) {
	f, err := inifile.Open(path)
	if err != nil {
		return Target{}, err
	}
	common := readCommon(f)
	s := Target{
		Common:       common,
		DialAddress:  f.OptionalAddrPort("listen", "dial_address", common.Listen),
		Team:         f.Name("target", "team"),
		Service:      f.Name("target", "service"),
		PlainService: f.Choice("target", "kind", "model", "plain") == "plain",
		Engine:       f.AddrPort("target", "engine"),
		Slots:        f.Int("target", "slots", 8, 1, 4096),
		Adapters:     f.Int("target", "adapters", 8, 1, 4096),
		Queue:        f.Int("target", "queue", 256, 1, 100000),
		LoadLimits: loadbudget.Limits{
			Rate:     f.Float("loads", "rate", 0, 0, 100000),
			InFlight: f.Int("loads", "in_flight", 1000, 1, 100000),
		},
		WeightStoreTargets:  f.Int("loads", "targets", 1, 1, 10000),
		WeightStorePosition: f.Int("loads", "position", -1, -1, 9999),
	}
	if s.WeightStorePosition >= s.WeightStoreTargets {
		f.Fail("loads", "position", strconv.Itoa(s.WeightStorePosition), "below loads.targets")
	}
	return s, f.Done()
}

func readCommon(f *inifile.File) Common {
	c := Common{
		Name:     f.Name("process", "name"),
		Region:   f.Name("process", "region"),
		Zone:     f.Name("process", "zone"),
		Listen:   f.AddrPort("listen", "address"),
		CertFile: f.OptionalText("listen", "certificate", ""),
		KeyFile:  f.OptionalText("listen", "certificate_key", ""),
		CAFile:   f.OptionalText("peers", "authorities", ""),
		Platform: f.AddrPort("platform", "address"),
		PeerKey:  f.Text("peers", "key"),

		StoreReadsPerSecond:  f.Float("platform", "reads_per_second", 2000, 1, 1e6),
		StoreWritesPerSecond: f.Float("platform", "writes_per_second", 300, 1, 1e6),
		Processes:            f.Int("platform", "processes", 10, 1, 100000),
		Seeds:                readSeeds(f),

		LogLevel:    readLevel(f),
		StopTimeout: f.Duration("process", "stop_within", 30*time.Second, time.Second, time.Hour),

		Retention: f.Duration("claims", "retention", time.Hour, time.Second, 24*time.Hour),
	}
	if c.PeerKey != "" && len(c.PeerKey) < minKeyBytes {
		f.Fail("peers", "key", "(a shorter key)", "at least 16 characters")
	}
	if (c.CertFile == "") != (c.KeyFile == "") {
		f.Fail("listen", "certificate_key", c.KeyFile, "a file exactly when certificate is given")
	}
	return c
}

func readLevel(f *inifile.File) zerolog.Level {
	switch f.Choice("log", "level", "info", "debug", "warn", "error") {
	case "debug":
		return zerolog.DebugLevel
	case "warn":
		return zerolog.WarnLevel
	case "error":
		return zerolog.ErrorLevel
	}
	return zerolog.InfoLevel
}

// readSeeds reads the blank-separated addresses of peers.seeds.
func readSeeds(f *inifile.File) []netip.AddrPort {
	text := f.OptionalText("peers", "seeds", "")
	var out []netip.AddrPort
	for _, field := range strings.Fields(text) {
		addr, err := netip.ParseAddrPort(field)
		if err != nil {
			f.Fail("peers", "seeds", text, "IP addresses with ports, separated by blanks")
			return nil
		}
		out = append(out, addr)
	}
	return out
}
