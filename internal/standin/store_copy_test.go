package standin

import (
	"context"
	"net/http"
	"net/netip"
	"testing"

	"github.com/smartystreets/goconvey/convey"

	"github.com/borageusher/borageusher/internal/objects"
)

// admin sends a POST to an admin path and returns the status.
func admin(t *testing.T, addr netip.AddrPort, path string) int {
	t.Helper()
	resp, err := http.Post("http://"+addr.String()+path, "", nil)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestStoreCopy(t *testing.T) {
	convey.Convey("A platform returns to its copy, and gives out the lost versions again", t, func() {
		addr := startPlatform(t)
		c := objects.New(addr, http.DefaultClient)
		ctx := context.Background()
		convey.So(admin(t, addr, "/admin/restore"), convey.ShouldEqual, 409)
		kept, err := c.Put(ctx, objects.Claims, "a", []byte("1"), 0)
		convey.So(err, convey.ShouldBeNil)
		convey.So(admin(t, addr, "/admin/copy"), convey.ShouldEqual, 200)
		for range 2 { // the copy can be used again
			changed, err := c.Put(ctx, objects.Claims, "a", []byte("2"), kept)
			convey.So(err, convey.ShouldBeNil)
			convey.So(changed, convey.ShouldEqual, kept+1)
			_, err = c.Put(ctx, objects.Claims, "b", []byte("3"), 0)
			convey.So(err, convey.ShouldBeNil)
			convey.So(admin(t, addr, "/admin/restore"), convey.ShouldEqual, 200)
			all, version, err := c.List(ctx, objects.Claims)
			convey.So(err, convey.ShouldBeNil)
			convey.So(version, convey.ShouldEqual, kept)
			convey.So(len(all), convey.ShouldEqual, 1)
			convey.So(string(all[0].Value), convey.ShouldEqual, "1")
		}
	})
}
