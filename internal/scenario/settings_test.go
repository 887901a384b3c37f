package scenario

import (
	"bytes"
	"os"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
	"gopkg.in/ini.v1"
)

// entrydDefaults returns the settings of an entryd that a script does not override.
func entrydDefaults(name, network, platform string) map[string]string {
	return map[string]string{
		"process.name":     name,
		"process.region":   "lombardy",
		"process.zone":     "milano-a",
		"listen.address":   network + ".10:8000",
		"platform.address": platform,
		"peers.key":        "scenario-peer-key-0001",
		// Most scripts have no load balancer that must see the entryd unready
		// before it stops.
		"process.unready_for": "0s",
	}
}

// targetDefaults returns the settings of a targetd that a script does not override.
func targetDefaults(name, network, platform string) map[string]string {
	return map[string]string{
		"process.name":     name,
		"process.region":   "lombardy",
		"process.zone":     "milano-a",
		"listen.address":   network + ".20:8000",
		"platform.address": platform,
		"peers.key":        "scenario-peer-key-0001",
		"log.level":        "debug",
		"target.team":      "tessaro",
		"target.service":   "assistente",
		"target.engine":    network + ".30:8000",
	}
}

func cmdSettings(ts *testscript.TestScript, neg bool, args []string) {
	if neg || len(args) < 2 {
		ts.Fatalf("usage: settings NAME entry|target [SECTION.KEY=VALUE...]")
	}
	name, network, platform := args[0], ts.Getenv("NET"), ts.Getenv("PLATFORM")
	var values map[string]string
	switch args[1] {
	case "entry":
		values = entrydDefaults(name, network, platform)
	case "target":
		values = targetDefaults(name, network, platform)
	default:
		ts.Fatalf("settings: %s is not entry or target", args[1])
	}
	for _, arg := range args[2:] {
		key, value, ok := strings.Cut(arg, "=")
		if !ok {
			ts.Fatalf("settings: %s is not SECTION.KEY=VALUE", arg)
		}
		values[key] = value
	}
	ts.Check(os.WriteFile(ts.MkAbs(name+".ini"), iniText(ts, values), 0o600))
}

// iniText returns the text of an INI file with values, keyed by SECTION.KEY.
func iniText(ts *testscript.TestScript, values map[string]string) []byte {
	f := ini.Empty()
	for name, value := range values {
		section, key, _ := strings.Cut(name, ".")
		_, err := f.Section(section).NewKey(key, value)
		ts.Check(err)
	}
	var b bytes.Buffer
	_, err := f.WriteTo(&b)
	ts.Check(err)
	return b.Bytes()
}
