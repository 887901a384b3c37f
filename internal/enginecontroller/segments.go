package enginecontroller

import (
	"slices"
	"time"

	"github.com/borageusher/borageusher/internal/peer"
)

// Limits of the reports on prompt segments that are kept for entryds that connect
// later.
const (
	maxSegmentReports = 512
	// segmentReportTTL is the time after which a report affects no decision any more:
	// the longest time of a verdict.
	segmentReportTTL = time.Hour
)

// segmentReport is a report of an entryd on segments of prompts.
type segmentReport struct {
	at      time.Time // when it was received
	message peer.Message
}

// segmentReports are the newest reports, in the order of their receipt.
type segmentReports []segmentReport

// add keeps a report and drops old ones.
func (r *segmentReports) add(now time.Time, m peer.Message) {
	*r = append(*r, segmentReport{at: now, message: m})
	drop := max(0, len(*r)-maxSegmentReports)
	for drop < len(*r) && now.Sub((*r)[drop].at) > segmentReportTTL {
		drop++
	}
	*r = slices.Delete(*r, 0, drop)
}

// messages returns the kept reports with their present ages.
func (r *segmentReports) messages(now time.Time) []peer.Message {
	var out []peer.Message
	for _, kept := range *r {
		switch m := kept.message.(type) {
		case peer.SegmentCrash:
			out = append(out, m.After(now.Sub(kept.at)))
		case peer.SegmentAnswers:
			out = append(out, m.After(now.Sub(kept.at)))
		}
	}
	return out
}

// relaySegments forwards a report on segments to the other entryds and keeps it for
// those that connect later.
func (ec *Controller) relaySegments(now time.Time, from *peer.Conn, m peer.Message) {
	ec.mu.Lock()
	defer ec.mu.Unlock()
	ec.segments.add(now, m)
	for c := range ec.conns {
		if c != from {
			_, _ = c.Send(m) // after an error the entryd reconnects and gets all reports
		}
	}
}
