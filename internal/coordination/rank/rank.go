package rank

import (
	"encoding/binary"
	"math"
	"net/netip"

	"github.com/cespare/xxhash/v2"
	"github.com/currantturn/currantturn"
	"github.com/dchest/siphash"
)

// Key is the fleet's secret for hashing; callers who do not know it cannot
// choose their backend server.
type Key struct {
	K0, K1 uint64
}

// Flow hashes a flow with the secret key.
func (k Key) Flow(f currantturn.FlowKey) uint64 {
	var b [36]byte
	putAddrPort(b[:18], f.Caller)
	putAddrPort(b[18:], f.Service)
	return siphash.Hash(k.K0, k.K1, b[:])
}

// Bytes hashes any other identifier, such as a request ID, with the secret key.
func (k Key) Bytes(p []byte) uint64 {
	return siphash.Hash(k.K0, k.K1, p)
}

func putAddrPort(b []byte, a netip.AddrPort) {
	ip := a.Addr().As16()
	copy(b, ip[:])
	binary.BigEndian.PutUint16(b[16:], a.Port())
}

// Seed is the hash of a backend server's ID, computed once per configuration.
func Seed(id currantturn.BackendID) uint64 {
	return xxhash.Sum64String(string(id))
}

// Score is the weighted rendezvous score of a backend server for a key hash;
// the highest score ranks first.
func Score(key, seed uint64, weight int) float64 {
	return -float64(weight) / math.Log(uniform(key, seed))
}

// uniform maps a key and a seed to (0, 1).
func uniform(key, seed uint64) float64 {
	return (float64(mix(key^seed)>>11) + 0.5) / (1 << 53)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Table ranks the backend servers of one service under one configuration.
type Table struct {
	Service *currantturn.Service
	seeds   []uint64
	equal   bool // all weights are equal, so that the hash itself gives the order
}

// NewTable prepares a service for ranking.
func NewTable(s *currantturn.Service) *Table {
	t := &Table{Service: s, seeds: make([]uint64, len(s.Backends)), equal: true}
	for i := range s.Backends {
		t.seeds[i] = Seed(s.Backends[i].ID)
		t.equal = t.equal && max(s.Backends[i].Weight, 1) == max(s.Backends[0].Weight, 1)
	}
	return t
}

// Filter says whether a backend server takes part in a ranking.
type Filter func(*currantturn.BackendServer) bool

// Active accepts backend servers that may receive new work.
func Active(b *currantturn.BackendServer) bool {
	return b.State == currantturn.BackendActive && b.Weight > 0
}

// Configured accepts every backend server, draining ones included.
func Configured(*currantturn.BackendServer) bool {
	return true
}

// Top fills out with the indexes of the highest ranks and returns how many
// there are; it allocates nothing.
func (t *Table) Top(key uint64, accept Filter, out []int) int {
	var scores [currantturn.MaxRanks]float64
	n := 0
	limit := min(len(out), currantturn.MaxRanks)
	for i := range t.Service.Backends {
		b := &t.Service.Backends[i]
		if !accept(b) {
			continue
		}
		s := t.score(key, i)
		n = insert(scores[:limit], out[:limit], n, s, i)
	}
	return n
}

// score orders like Score; the logarithm is left out where it changes nothing.
func (t *Table) score(key uint64, i int) float64 {
	if t.equal {
		return uniform(key, t.seeds[i])
	}
	return Score(key, t.seeds[i], max(t.Service.Backends[i].Weight, 1))
}

// insert keeps the n best scores in descending order; ties keep the lower index.
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

// Owner returns the first rank over all configured backend servers, or nil.
func (t *Table) Owner(key uint64) *currantturn.BackendServer {
	var out [1]int
	if t.Top(key, Configured, out[:]) == 0 {
		return nil
	}
	return &t.Service.Backends[out[0]]
}

// Every accepts every backend server of a table that is filtered already.
func Every(*currantturn.BackendServer) bool {
	return true
}

// Live returns a table of the active backend servers that are not gone; when
// there are none it falls back to all active and then to all configured ones.
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
