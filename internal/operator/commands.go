package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net/netip"

	"github.com/borageusher/borageusher/internal/objects"
	"github.com/borageusher/borageusher/internal/registration"
	"github.com/borageusher/borageusher/pkg/configuration"
	"github.com/borageusher/borageusher/pkg/questionnaire"
)

// bearerKeyBytes is the number of random bytes in a new bearer key.
const bearerKeyBytes = 24

func runKey(c *commandLine) int {
	b := make([]byte, bearerKeyBytes)
	_, _ = rand.Read(b) // never fails
	key := hex.EncodeToString(b)
	c.printf("key         %s\nkey_digest  %s\n", key, configuration.DigestKey(key))
	return exitOK
}

func runCheck(c *commandLine) int {
	answers, ok := c.readAnswers()
	if !ok {
		return exitUsage
	}
	for _, a := range answers {
		c.printf("team %s: %d services, %d adapters: valid\n", a.Team.Name, len(a.Team.Services), len(a.Adapters))
	}
	return exitOK
}

func runGenerate(c *commandLine) int {
	answers, ok := c.readAnswers()
	if !ok {
		return exitUsage
	}
	c.printChanges(configuration.Diff(nil, questionnaire.Generate(nil, answers...)))
	return exitOK
}

func runDiff(c *commandLine) int {
	answers, ok := c.readAnswers()
	if !ok {
		return exitUsage
	}
	store, err := c.objectAPI()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	current, err := readAccepted(ctx, store)
	if err != nil {
		return c.fail(err)
	}
	c.printf("in force: revision %d\n", current.root.Revision)
	next := questionnaire.Generate(current.config, answers...)
	c.printChanges(configuration.Diff(current.config, next))
	return exitOK
}

func runStatus(c *commandLine) int {
	if c.platformStore != "" {
		return runPlatformStatus(c)
	}
	store, err := c.objectAPI()
	if err != nil {
		return c.fail(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	accepted, err := readAccepted(ctx, store)
	if err != nil {
		return c.fail(err)
	}
	list, _, err := store.List(ctx, objects.Targets)
	if err != nil {
		return c.fail(err)
	}
	c.printf("revision %d, accepted by %q\n", accepted.root.Revision, accepted.root.Operator)
	c.printf("%-20s %-10s %-16s %-12s %-22s %6s\n", "target", "state", "service", "zone", "address", "epoch")
	for _, o := range list {
		t, err := registration.Decode(o.Value)
		if err != nil {
			return c.fail(err)
		}
		c.printf("%-20s %-10s %-16s %-12s %-22s %6d\n", t.Name, t.State, t.Team+"/"+t.Service, t.Zone, t.Addr, t.Epoch)
	}
	return exitOK
}

// runPlatformStatus prints the state of a deployment on the users' platform.
func runPlatformStatus(c *commandLine) int {
	addr, err := netip.ParseAddrPort(c.platformStore)
	if err != nil {
		_, _ = fmt.Fprintln(c.err, "borageusher: -store:", err)
		return exitUsage
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	if err := c.users.Status(ctx, addr, c.out); err != nil {
		return c.fail(err)
	}
	return exitOK
}
