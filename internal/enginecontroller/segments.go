package enginecontroller

import (
	"bytes"
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

// add keeps a report and drops old ones. An answer replaces earlier ones with the same
// segment, so that frequent answers don't displace crashes.
func (r *segmentReports) add(now time.Time, m peer.Message) {
	if answers, ok := m.(peer.SegmentAnswers); ok {
		r.replaceAnswers(now, answers)
	}
	*r = append(*r, segmentReport{at: now, message: m})
	drop := max(0, len(*r)-maxSegmentReports)
	for drop < len(*r) && now.Sub((*r)[drop].at) > segmentReportTTL {
		drop++
	}
	*r = slices.Delete(*r, 0, drop)
}

// replaceAnswers removes the segments of m, which was received at now, from reports of
// earlier answers.
func (r *segmentReports) replaceAnswers(now time.Time, m peer.SegmentAnswers) {
	answeredAt := now.Add(-m.Age)
	kept := (*r)[:0]
	for _, report := range *r {
		old, ok := report.message.(peer.SegmentAnswers)
		if !ok || report.at.Add(-old.Age).After(answeredAt) {
			kept = append(kept, report)
			continue
		}
		if old.Segments = without(old.Segments, m.Segments); len(old.Segments) > 0 {
			kept = append(kept, segmentReport{at: report.at, message: old})
		}
	}
	clear((*r)[len(kept):])
	*r = kept
}

// without returns the segments of all that are not in removed.
func without(all, removed [][]byte) [][]byte {
	var out [][]byte
	for _, s := range all {
		if !slices.ContainsFunc(removed, func(o []byte) bool { return bytes.Equal(o, s) }) {
			out = append(out, s)
		}
	}
	return out
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
