package flow

import "sync"

// Flag is a bit set of record properties.
type Flag uint8

// Flags of records.
const (
	Held        Flag = 1 << iota // this agent holds the flow; if not set, the record is a redirect to Holder
	Closed                       // a packet with a closing mark was received
	Unannounced                  // not to be announced: found by connection ID, superseded by another holder, or already handed over
	Dirty                        // the announced ranks have to be compared with the current ones
	Established                  // redirect that has forwarded packets other than opening ones
	Placed                       // redirect that this agent created by placing the flow, as its home
	Fenced                       // redirect to an agent that sent a query before it placed the flow
)

// Record is an agent's state of one flow: a held flow or a redirect to its holder.
type Record struct {
	Key             Key
	Flags           Flag
	occupied        bool   // false in an unoccupied entry of a shard
	Hash            uint64 // keyed hash of the flow
	Holder          Ref    // target of a redirect; in a held record, the agent that gets new connections when this one leaves
	AnnouncedHome   Ref    // highest-ranked agent at the last announcement
	AnnouncedSecond Ref    // second-ranked agent at the last announcement
	AnnouncedEpoch  uint32 // epoch of the ranking at the last announcement
	ConnIDHash      uint32 // hash of the connection ID in the opening packet
	LastSeen        Stamp  // last packet of the flow or received announcement
	LastAnnounced   Stamp  // last announcement of a held flow
}

// Has reports whether all bits of f are set.
func (r *Record) Has(f Flag) bool {
	return r.Flags&f == f
}

// Set sets the bits of f.
func (r *Record) Set(f Flag) {
	r.Flags |= f
}

// Clear clears the bits of f.
func (r *Record) Clear(f Flag) {
	r.Flags &^= f
}

// Shard is a part of the table; its lock must be held to call its other methods.
type Shard struct {
	sync.Mutex
	index      map[uint64]uint32 // positions in records, by the flow's hash
	records    []Record
	free       []uint32 // positions of the unoccupied entries in records
	held       int      // records of held flows
	limit      int      // highest number of records
	sweepIndex int      // where the next sweep starts
}

// Table stores records by the keyed hash of their flow.
type Table struct {
	shards [Shards]Shard
}

// NewTable returns a table for limit records, divided evenly among the shards;
// each shard takes at least one.
func NewTable(limit int) *Table {
	t := &Table{}
	for i := range t.shards {
		t.shards[i].index = make(map[uint64]uint32)
		t.shards[i].limit = max(limit/Shards, 1)
	}
	return t
}

// Shard returns the shard for a flow's hash.
func (t *Table) Shard(hash uint64) *Shard {
	return &t.shards[ShardOf(hash)]
}

// At returns the shard with number i.
func (t *Table) At(i int) *Shard {
	return &t.shards[i]
}

// ShardOf returns the number of the shard for a flow's hash.
func ShardOf(hash uint64) int {
	return int(hash % Shards)
}

// Len returns the number of records, and how many of them are of held flows.
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

// Get returns the record of a flow, or nil. The pointer is valid until the next
// Put.
func (s *Shard) Get(hash uint64, key *Key) *Record {
	i, ok := s.index[hash]
	if !ok || s.records[i].Key != *key {
		return nil
	}
	return &s.records[i]
}

// Put returns the flow's record and adds an empty one if needed, in place of a
// record of another flow with the same hash. It returns nil if the shard is full.
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
	i := s.allocate()
	s.records[i] = Record{Key: *key, Hash: hash, occupied: true}
	s.index[hash] = i
	return &s.records[i]
}

// allocate returns the index of a free entry of records.
func (s *Shard) allocate() uint32 {
	if n := len(s.free); n > 0 {
		i := s.free[n-1]
		s.free = s.free[:n-1]
		return i
	}
	s.records = append(s.records, Record{})
	return uint32(len(s.records) - 1)
}

// Hold marks the record's flow as held by this agent, to be announced.
func (s *Shard) Hold(r *Record) {
	if !r.Has(Held) {
		s.held++
	}
	r.Set(Held | Dirty)
	r.Holder = 0
}

// Redirect makes the record a redirect to holder and clears its flags.
func (s *Shard) Redirect(r *Record, holder Ref) {
	if r.Has(Held) {
		s.held--
	}
	r.Flags = 0
	r.Holder = holder
}

// Delete removes a record.
func (s *Shard) Delete(r *Record) {
	if i, ok := s.index[r.Hash]; ok && &s.records[i] == r {
		s.remove(i)
	}
}

// remove deletes the record at position i, whose entry can then be reused.
func (s *Shard) remove(i uint32) {
	r := &s.records[i]
	if r.Has(Held) {
		s.held--
	}
	delete(s.index, r.Hash)
	*r = Record{}
	s.free = append(s.free, i)
}

// Sweep visits the records among the next n entries after those of the last
// sweep; visit may delete its record. If visit returns false, the sweep stops
// and the next one starts with the same record. Sweep returns true when it
// reaches the end of the shard, and the next sweep starts over.
func (s *Shard) Sweep(n int, visit func(*Record) bool) bool {
	for range n {
		if s.sweepIndex >= len(s.records) {
			s.sweepIndex = 0
			return true
		}
		r := &s.records[s.sweepIndex]
		if r.occupied && !visit(r) {
			return false
		}
		s.sweepIndex++
	}
	return false
}

// Each calls visit for each record until it returns false.
func (s *Shard) Each(visit func(*Record) bool) {
	for i := range s.records {
		if s.records[i].occupied && !visit(&s.records[i]) {
			return
		}
	}
}
