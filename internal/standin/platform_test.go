package standin

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/objects"
)

// startPlatform starts a platform that serves until the test process ends and
// returns its address.
func startPlatform(t *testing.T) netip.AddrPort {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := netip.MustParseAddrPort(ln.Addr().String())
	if err := ln.Close(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = serve(addr.String(), newPlatform().register) }()
	for range 200 {
		if resp, err := http.Get("http://" + addr.String() + "/v1/vms"); err == nil {
			_ = resp.Body.Close()
			return addr
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatal("the platform did not respond within 2 s")
	return addr
}

// TestWatchReturnsAllChanges guards against a watch that reports a version newer than
// its changes. Writes during the watch would then be skipped by the next one.
func TestWatchReturnsAllChanges(t *testing.T) {
	const writes = 2000
	convey.Convey("A watch with zero wait returns all changes up to the version that it reports", t, func() {
		c := objects.New(startPlatform(t), http.DefaultClient)
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		defer cancel()
		writeErr := make(chan error, 1)
		go func() {
			for i := range writes {
				if _, err := c.Put(ctx, objects.Targets, strconv.Itoa(i), []byte("x"), 0); err != nil {
					writeErr <- err
					return
				}
			}
			writeErr <- nil
		}()
		seen := map[string]bool{}
		var after objects.Version
		for after < writes {
			changed, version, err := c.Watch(ctx, objects.Targets, after, 0)
			convey.So(err, convey.ShouldBeNil)
			for _, o := range changed {
				seen[o.Name] = true
			}
			after = max(after, version)
		}
		convey.So(<-writeErr, convey.ShouldBeNil)
		convey.So(len(seen), convey.ShouldEqual, writes)
	})
}
