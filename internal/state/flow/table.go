package flow

import "sync"

// Flag is a property of a record.
type Flag uint8

// Flags of records.
const (
	Held   Flag = 1 << iota // the flow is held here; otherwise Holder has it
	Closed                  // a closing mark was seen
	Silent                  // never announced: another holder supersedes it, or connection IDs carry it
	Dirty                   // the announced ranks may be outdated
	Used                    // packets other than the opening ones followed this redirect
	Placed                  // redirect that this agent chose as the home
	Fenced                  // redirect to an agent that asked before it placed the flow
)

// Record is what an agent knows of one flow.
type Record struct {
	Key    Key
	Flags  Flag
	used   bool
	Hash   uint64
	Holder Ref
	Home   Ref    // rank to which a held flow was last announced
	Second Ref    // likewise
	Epoch  uint32 // ranking by which it was announced
	Conn   uint32 // hash of the connection ID in the opening packet
	Seen   Stamp  // last packet or announcement
	Told   Stamp  // last announcement of a held flow
}

// Has says whether all the given flags are set.
func (r *Record) Has(f Flag) bool {
	return r.Flags&f == f
}

// Set sets flags.
func (r *Record) Set(f Flag) {
	r.Flags |= f
}

// Clear clears flags.
func (r *Record) Clear(f Flag) {
	r.Flags &^= f
}

// Shard is a part of the table; its methods need its lock.
type Shard struct {
	sync.Mutex
	index  map[uint64]uint32
	slab   []Record
	free   []uint32
	held   int
	limit  int
	cursor int
}

// Table holds records by the keyed hash of their flow.
type Table struct {
	shards [Shards]Shard
}

// NewTable returns a table of at most limit records.
func NewTable(limit int) *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].index = make(map[uint64]uint32)
		t.shards[i].limit = max(limit/Shards, 1)
	}
	return t
}

// Shard returns the shard of a flow's hash.
func (t *Table) Shard(hash uint64) *Shard {
	return &t.shards[ShardOf(hash)]
}

// At returns a shard by number.
func (t *Table) At(i int) *Shard {
	return &t.shards[i]
}

// ShardOf is the number of a hash's shard.
func ShardOf(hash uint64) int {
	return int(hash % Shards)
}

// Len returns how many records there are, and how many of them are held here.
func (t *Table) Len() (records, held int) {
	for i := range t.shards {
		s := &t.shards[i]
		s.Lock()
		records += len(s.index)
		held += s.held
		s.Unlock()
	}
	return records, held
}

// Get returns the record of a flow, or nil; it is valid until the next Put.
func (s *Shard) Get(hash uint64, key *Key) *Record {
	i, ok := s.index[hash]
	if !ok || s.slab[i].Key != *key {
		return nil
	}
	return &s.slab[i]
}

// Put returns the flow's record, adding an empty one if needed; it returns nil
// when the shard is full.
func (s *Shard) Put(hash uint64, key *Key) *Record {
	if r := s.Get(hash, key); r != nil {
		return r
	}
	if i, ok := s.index[hash]; ok {
		s.remove(i)
	}
	if len(s.index) >= s.limit {
		return nil
	}
	i := s.slot()
	s.slab[i] = Record{Key: *key, Hash: hash, used: true}
	s.index[hash] = i
	return &s.slab[i]
}

func (s *Shard) slot() uint32 {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		return i
	}
	s.slab = append(s.slab, Record{})
	return uint32(len(s.slab) - 1)
}

// Hold makes the record one of a flow that is held here.
func (s *Shard) Hold(r *Record) {
	if !r.Has(Held) {
		s.held++
	}
	r.Set(Held | Dirty)
	r.Holder = 0
}

// Redirect makes the record point to another holder.
func (s *Shard) Redirect(r *Record, holder Ref) {
	if r.Has(Held) {
		s.held--
	}
	r.Flags = 0
	r.Holder = holder
}

// Delete removes a flow's record.
func (s *Shard) Delete(r *Record) {
	if i, ok := s.index[r.Hash]; ok && &s.slab[i] == r {
		s.remove(i)
	}
}

func (s *Shard) remove(i uint32) {
	r := &s.slab[i]
	if r.Has(Held) {
		s.held--
	}
	delete(s.index, r.Hash)
	*r = Record{}
	s.free = append(s.free, i)
}

// Sweep visits up to n records from where the last sweep ended, until visit
// returns false; visit may delete the record that it gets. It says whether the
// end was reached.
func (s *Shard) Sweep(n int, visit func(*Record) bool) bool {
	for range n {
		if s.cursor >= len(s.slab) {
			s.cursor = 0
			return true
		}
		r := &s.slab[s.cursor]
		if r.used && !visit(r) {
			return false
		}
		s.cursor++
	}
	return false
}

// Each visits every record until visit returns false.
func (s *Shard) Each(visit func(*Record) bool) {
	for i := range s.slab {
		if s.slab[i].used && !visit(&s.slab[i]) {
			return
		}
	}
}
