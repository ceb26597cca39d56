package link

import (
	"errors"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/currantturn/currantturn"
	"github.com/currantturn/currantturn/internal/event"
)

var errMisdirected = errors.New("meant for another process")

// notices reports what was dropped, at most once in noticeEvery for each event,
// so that a flood costs little.
type notices struct {
	report func(currantturn.Event)
	last   map[int]*atomic.Int64
}

func newNotices(report func(currantturn.Event)) notices {
	n := notices{report: report, last: make(map[int]*atomic.Int64)}
	for _, number := range []int{
		event.DatagramForged, event.DatagramReplayed, event.DatagramMalformed,
		event.DatagramTooLarge, event.DatagramMisdirected, event.EnvelopeTooLarge,
	} {
		n.last[number] = new(atomic.Int64)
	}
	return n
}

// due says whether an event may be reported now.
func (n *notices) due(now time.Time, number int) bool {
	if n.report == nil {
		return false
	}
	last := n.last[number].Load()
	return now.UnixNano()-last >= int64(noticeEvery) && n.last[number].CompareAndSwap(last, now.UnixNano())
}

func (n *notices) refused(now time.Time, from netip.AddrPort, bytes int, err error) {
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
	if !n.due(now, number) {
		return
	}
	fields := []currantturn.Field{event.F("from", from)}
	if detail.Name != "" {
		fields = append(fields, detail)
	}
	n.report(currantturn.Event{Number: number, Fields: fields})
}

func (n *notices) oversized(now time.Time, bytes, limit int) {
	if !n.due(now, event.EnvelopeTooLarge) {
		return
	}
	n.report(currantturn.Event{Number: event.EnvelopeTooLarge, Fields: []currantturn.Field{
		event.F("bytes", bytes), event.F("limit", limit),
	}})
}
