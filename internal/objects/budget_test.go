package objects

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	"github.com/smartystreets/goconvey/convey"
	"github.com/uber-go/tally/v4"
)

func TestBucketPriority(t *testing.T) {
	convey.Convey("A bucket that is half empty serves claims and registrations but no calls of low priority", t, func() {
		b := NewBudget(950, 950, 950)
		now := time.Unix(1000, 0)
		for b.writes.takeToken(ForMembers, now) == 0 {
		}
		convey.So(b.writes.takeToken(ForVMs, now), convey.ShouldBeGreaterThan, 0)
		convey.So(b.writes.takeToken(ForRegistration, now), convey.ShouldEqual, 0)
		convey.So(b.writes.takeToken(ForClaims, now), convey.ShouldEqual, 0)
	})
}

func TestBucketRate(t *testing.T) {
	convey.Convey("Over a minute, the calls stay within the process's share", t, func() {
		b := NewBudget(2000, 300, 950)
		now := time.Unix(1000, 0)
		taken := 0
		for range 60000 {
			if b.writes.takeToken(ForClaims, now) == 0 {
				taken++
			}
			now = now.Add(time.Millisecond)
		}
		convey.So(taken, convey.ShouldBeLessThanOrEqualTo, minWriteBurst+60*300/950+1)
		convey.So(taken, convey.ShouldBeGreaterThanOrEqualTo, minWriteBurst+60*300/950-1)
	})
}

func TestBudgetExhausted(t *testing.T) {
	convey.Convey("A call that gets no token before its deadline is not made", t, func() {
		calls := 0
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			calls++
			w.Header().Set(versionHeader, "1")
		}))
		defer srv.Close()
		addr := netip.MustParseAddrPort(srv.Listener.Addr().String())
		scope := tally.NewTestScope("", nil)
		c := NewMetered(addr, srv.Client(), NewBudget(1, 1, 1000), scope).WithPurpose(ForClaims)
		var err error
		for range minWriteBurst + 1 {
			ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
			_, err = c.Put(ctx, Claims, "k", nil, 0)
			cancel()
		}
		convey.So(IsKind(err, Unavailable), convey.ShouldBeTrue)
		convey.So(calls, convey.ShouldEqual, minWriteBurst)
		counters := scope.Snapshot().Counters()
		convey.So(counters["store_calls+operation=put,purpose=claims,result=ok"].Value(), convey.ShouldEqual, minWriteBurst)
		convey.So(counters["store_calls+operation=put,purpose=claims,result=not_made"].Value(), convey.ShouldEqual, 1)
	})
}
