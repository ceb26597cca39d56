package claim

import (
	"net/netip"
	"sync"
	"time"
)

// suspects holds the processes that new attempts must not depend on for a
// while, because no reply is expected from them.
type suspects struct {
	mu        sync.Mutex
	byAddress map[netip.AddrPort]suspicion
}

// suspicion is either due to a timeout at this process or reported through
// Claims.Suspect. Only the former ends when a message arrives, because a
// message sent before a process stopped may arrive after the report.
type suspicion struct {
	until    time.Time
	reported bool
}

// add suspects a process; it drops all suspicions if there are too many.
func (s *suspects) add(addr netip.AddrPort, entry suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byAddress == nil || len(s.byAddress) >= maxSuspects {
		s.byAddress = make(map[netip.AddrPort]suspicion)
	}
	s.byAddress[addr] = entry
}

// contains reports whether a process is suspected at the given time.
func (s *suspects) contains(addr netip.AddrPort, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.byAddress[addr].until)
}

// reported reports whether a process is suspected at the given time because of a
// report, not only because it did not answer this process in time.
func (s *suspects) reported(addr netip.AddrPort, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	entry := s.byAddress[addr]
	return entry.reported && now.Before(entry.until)
}

// removeTimedOut ends the suspicion of a process that had timed out and has now
// sent a message.
func (s *suspects) removeTimedOut(addr netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.byAddress[addr].reported {
		delete(s.byAddress, addr)
	}
}
