package claim

import (
	"net/netip"
	"sync"
	"time"
)

// silence holds the processes that are asked nothing new for a while.
type silence struct {
	mu    sync.Mutex
	until map[netip.AddrPort]suspicion
}

// suspicion is raised by silence itself, or told by those who know better; a
// message that was under way ends only the former.
type suspicion struct {
	until time.Time
	told  bool
}

func (s *silence) suspect(a netip.AddrPort, x suspicion) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.until == nil || len(s.until) >= maxSilent {
		s.until = make(map[netip.AddrPort]suspicion)
	}
	s.until[a] = x
}

func (s *silence) suspected(a netip.AddrPort, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.until[a].until)
}

// hear ends the suspicion of a process that was silent and has sent a message.
func (s *silence) hear(a netip.AddrPort) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.until[a].told {
		delete(s.until, a)
	}
}
