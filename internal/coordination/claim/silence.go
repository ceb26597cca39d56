package claim

import (
	"net/netip"
	"sync"
	"time"
)

// silence holds the processes that are asked nothing new for a while.
type silence struct {
	mu    sync.Mutex
	until map[netip.AddrPort]time.Time
}

func (s *silence) suspect(a netip.AddrPort, until time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil || len(s.until) >= maxSilent {
		s.until = make(map[netip.AddrPort]time.Time)
	}
	s.until[a] = until
}

func (s *silence) suspected(a netip.AddrPort, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[a])
}

// hear ends the suspicion of a process that has sent a message.
func (s *silence) hear(a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.until, a)
}
