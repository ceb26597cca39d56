package link

import (
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

var errMisdirected = errors.New("datagram addressed to another process")

// dropReporter reports dropped datagrams. It reports each event at most once per
// reportInterval, so that a flood of bad datagrams costs little.
type dropReporter struct {
	report       func(currantturn.Event)
	lastReported map[int]*atomic.Int64 // Unix time in nanoseconds, by event number
}

func newDropReporter(report func(currantturn.Event)) dropReporter {
	r := dropReporter{report: report, lastReported: make(map[int]*atomic.Int64)}
	for _, number := range []int{
		event.DatagramForged, event.DatagramReplayed, event.DatagramMalformed,
		event.DatagramTooLarge, event.DatagramMisdirected, event.EnvelopeTooLarge,
	} {
		r.lastReported[number] = new(atomic.Int64)
	}
	return r
}

// allow returns whether the event may be reported now, and if so starts its next
// interval.
func (r *dropReporter) allow(now time.Time, number int) bool {
	if r.report == nil {
		return false
	}
	last := r.lastReported[number].Load()
	return now.UnixNano()-last >= int64(reportInterval) && r.lastReported[number].CompareAndSwap(last, now.UnixNano())
}

// reportDropped reports a received datagram that was dropped for the given error.
func (r *dropReporter) reportDropped(now time.Time, from netip.AddrPort, bytes int, err error) {
	number := event.DatagramMalformed
	detail := event.F("error", err)
	switch {
	case errors.Is(err, currantturn.ErrUnauthenticated):
		number, detail = event.DatagramForged, currantturn.Field{}
	case errors.Is(err, currantturn.ErrReplayed):
		number, detail = event.DatagramReplayed, currantturn.Field{}
	case errors.Is(err, currantturn.ErrTooLarge):
		number, detail = event.DatagramTooLarge, event.F("bytes", bytes)
	case errors.Is(err, errMisdirected):
		number, detail = event.DatagramMisdirected, currantturn.Field{}
	}
	if !r.allow(now, number) {
		return
	}
	fields := []currantturn.Field{event.F("from", from)}
	if detail.Name != "" {
		fields = append(fields, detail)
	}
	r.report(currantturn.Event{Number: number, Fields: fields})
}

// reportOversized reports a datagram that was too large to send.
func (r *dropReporter) reportOversized(now time.Time, bytes, limit int) {
	if !r.allow(now, event.EnvelopeTooLarge) {
		return
	}
	r.report(currantturn.Event{Number: event.EnvelopeTooLarge, Fields: []currantturn.Field{
		event.F("bytes", bytes), event.F("limit", limit),
	}})
}
