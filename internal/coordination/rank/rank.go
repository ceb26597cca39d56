package rank

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
	"github.com/dchest/siphash"
)

// Key is the fleet's secret key for hashing; without it, callers cannot choose
// their backend server.
type Key struct {
	K0, K1 uint64
}

// HashFlow returns the hash of a flow with the secret key.
func (k Key) HashFlow(f currantturn.FlowKey) uint64 {
	var b [36]byte
	putAddrPort(b[:18], f.Caller)
	putAddrPort(b[18:], f.Service)
	return siphash.Hash(k.K0, k.K1, b[:])
}

// HashBytes returns the hash of any other identifier, such as a request ID, with
// the secret key.
func (k Key) HashBytes(p []byte) uint64 {
	return siphash.Hash(k.K0, k.K1, p)
}

func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

// Seed returns the hash of a backend server's ID, which is computed once per
// configuration.
func Seed(id currantturn.BackendID) uint64 {
	return xxhash.Sum64String(string(id))
}

// Score returns the weighted rendezvous score of the backend server with the given
// seed for a hashed key; the highest score ranks first.
func Score(hash, seed uint64, weight int) float64 {
	return -float64(weight) / math.Log(uniform(hash, seed))
}

// uniform maps a hashed key and a seed to a uniformly distributed number in (0, 1).
func uniform(hash, seed uint64) float64 {
	return (float64(splitMix64(hash^seed)>>11) + 0.5) / (1 << 53)
}

// splitMix64 is the output function of the SplitMix64 generator.
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Table ranks the backend servers of one service under one configuration.
type Table struct {
	Service *currantturn.Service
	seeds   []uint64 // by index of the backend server
	// equalWeights says that all weights are equal, so that the hash alone gives
	// the order.
	equalWeights bool
}

// NewTable returns the table of a service.
func NewTable(s *currantturn.Service) *Table {
	t := &Table{Service: s, seeds: make([]uint64, len(s.Backends)), equalWeights: true}
	for i := range s.Backends {
		t.seeds[i] = Seed(s.Backends[i].ID)
		t.equalWeights = t.equalWeights && max(s.Backends[i].Weight, 1) == max(s.Backends[0].Weight, 1)
	}
	return t
}

// Filter reports whether a backend server takes part in a ranking.
type Filter func(*currantturn.BackendServer) bool

// Active reports whether a backend server may receive new work.
func Active(b *currantturn.BackendServer) bool {
	return b.State == currantturn.BackendActive && b.Weight > 0
}

// Configured accepts all backend servers, including draining ones.
func Configured(*currantturn.BackendServer) bool {
	return true
}

// Top fills out with the indexes of the accepted backend servers of the highest
// ranks for a hashed key and returns their number; it does not allocate.
func (t *Table) Top(hash uint64, accept Filter, out []int) int {
	var scores [currantturn.MaxRanks]float64
	n := 0
	limit := min(len(out), currantturn.MaxRanks)
	for i := range t.Service.Backends {
		b := &t.Service.Backends[i]
		if !accept(b) {
			continue
		}
		s := t.score(hash, i)
		n = insert(scores[:limit], out[:limit], n, s, i)
	}
	return n
}

// score gives the same order as Score; it omits the logarithm if all weights are
// equal, because the logarithm does not change the order then.
func (t *Table) score(hash uint64, i int) float64 {
	if t.equalWeights {
		return uniform(hash, t.seeds[i])
	}
	return Score(hash, t.seeds[i], max(t.Service.Backends[i].Weight, 1))
}

// insert adds a score with its index to the n best ones, which are in descending
// order, and returns their new number; the lower index comes first in a tie.
func insert(scores []float64, out []int, n int, s float64, index int) int {
	if n == len(scores) && s <= scores[n-1] {
		return n
	}
	if n < len(scores) {
		n++
	}
	i := n - 1
	for i > 0 && scores[i-1] < s {
		scores[i] = scores[i-1]
		out[i] = out[i-1]
		i--
	}
	scores[i] = s
	out[i] = index
	return n
}

// Owner returns the backend server that ranks first of all configured ones for a
// hashed key, or nil if there are none.
func (t *Table) Owner(hash uint64) *currantturn.BackendServer {
	var out [1]int
	if t.Top(hash, Configured, out[:]) == 0 {
		return nil
	}
	return &t.Service.Backends[out[0]]
}

// Every accepts all backend servers of a table that has been filtered before.
func Every(*currantturn.BackendServer) bool {
	return true
}

// Live returns a table of the active backend servers that are not in gone; when
// there are none, it falls back to all active ones and then to all configured
// ones.
func Live(s *currantturn.Service, gone map[currantturn.BackendID]bool) *Table {
	accepts := []Filter{
		func(b *currantturn.BackendServer) bool { return Active(b) && !gone[b.ID] },
		Active,
		Configured,
	}
	for _, accept := range accepts {
		live := *s
		live.Backends = nil
		for i := range s.Backends {
			if accept(&s.Backends[i]) {
				live.Backends = append(live.Backends, s.Backends[i])
			}
		}
		if len(live.Backends) > 0 {
			return NewTable(&live)
		}
	}
	return NewTable(s)
}
